// Signals through Asio.
#include <tamarackglade/runtime/fiber_token.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/fiber.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <initializer_list>

namespace tamarack {

namespace {

void changeMask(int how, std::initializer_list<int> signals)
{
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : signals)
        sigaddset(&set, signal);
    pthread_sigmask(how, &set, nullptr);
}

} // namespace

void holdSignals()
{
    changeMask(SIG_BLOCK, {SIGHUP, SIGTERM, SIGINT});
}

void releaseSignal(int signal)
{
    changeMask(SIG_UNBLOCK, {signal});
}

void runUntilStopped(io_thread &thread, const std::function<void()> &drain,
                     const std::function<void()> &onSecondSignal)
{
    thread.run([&] {
        boost::asio::signal_set signals(thread.io(), SIGTERM, SIGINT);
        releaseSignal(SIGTERM);
        releaseSignal(SIGINT);
        signals.async_wait(FiberToken);
        bool drained = false;
        boost::fibers::fiber second([&] {
            // A drain that never waits is over before this fiber begins.
            if (drained)
                return;
            const auto again = signals.async_wait(FiberToken);
            if (!again.error)
                onSecondSignal();
        });
        drain();
        drained = true;
        boost::system::error_code ignored;
        signals.cancel(ignored);
        second.join();
    });
}

void exitProcess(int code)
{
    std::fflush(nullptr);
    std::quick_exit(code);
}

} // namespace tamarack
