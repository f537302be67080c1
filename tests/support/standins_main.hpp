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

/// @brief Ends the process without tearing its threads and fibers down, since it keeps nothing.
[[noreturn]] inline void endProcess(int status, const std::string &message)
{
    if (!message.empty())
        std::cerr << "--listen: " << message << std::endl;
    std::_Exit(status);
}

/// @brief Serves until SIGTERM or SIGINT, then ends the process with status 0; with 2 if the
/// address isn't loopback and 1 if it can't be bound.
[[noreturn]] inline void serveUntilSignal(http_server &server, const std::string &address)
{
    if (!isLoopback(address))
        endProcess(2, "'" + address + "' is not 127.0.0.1:PORT");
    const auto port = server.listen(address);
    if (!port.ok())
        endProcess(1, std::string(port.status().message()));
    std::cout << "listening on 127.0.0.1:" << *port << std::endl;
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
    endProcess(0, "");
}

} // namespace tamarack::standins
