// The common frame of the stand-in programs: listen, announce the address, serve until a signal.
#pragma once

#include <tamarackglade/http/http_server.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

namespace tamarack::standins {

/// @return the signals that end a stand-in
inline sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// @brief Blocks the stop signals; call it before any thread starts.
inline void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// @return whether an address is "127.0.0.1:PORT", the only interface that stand-ins serve
inline bool isLoopback(const std::string &address)
{
    return address.starts_with("127.0.0.1:");
}

/// @brief Serves until SIGTERM or SIGINT. A stand-in keeps nothing, so it ends at once.
/// @return the exit status if the address can't be served
inline int serveUntilSignal(http_server &server, const std::string &address)
{
    if (!isLoopback(address)) {
        std::cerr << "--listen: '" << address << "' is not 127.0.0.1:PORT\n";
        return 2;
    }
    const auto port = server.listen(address);
    if (!port.ok()) {
        std::cerr << "--listen: " << port.status().message() << "\n";
        return 1;
    }
    std::cout << "listening on 127.0.0.1:" << *port << std::endl;
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
    std::_Exit(0);
}

} // namespace tamarack::standins
