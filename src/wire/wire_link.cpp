// The connector's end of wire connections.
#include <tamarackglade/runtime/tcp_stream.hpp>
#include <tamarackglade/wire/detail/wire_connection.hpp>
#include <tamarackglade/wire/hello.hpp>
#include <tamarackglade/wire/wire_link.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <mutex>
#include <random>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1'000};
constexpr std::chrono::milliseconds FirstPause{50};
constexpr std::chrono::milliseconds LongestPause{1'000};

// Half to all of the pause, so that many processes don't reconnect at the same instant.
std::chrono::milliseconds jittered(std::chrono::milliseconds pause)
{
    static thread_local std::minstd_rand generator{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> distribution(pause.count() / 2, pause.count());
    return std::chrono::milliseconds(distribution(generator));
}

} // namespace

struct wire_link::shared_state
{
    std::atomic<bool> closed{false};
    std::mutex mutex; // guards connection
    std::shared_ptr<detail::wire_connection> connection;

    void setConnection(std::shared_ptr<detail::wire_connection> next)
    {
        const std::lock_guard lock(mutex);
        connection = std::move(next);
    }
    std::shared_ptr<detail::wire_connection> currentConnection()
    {
        const std::lock_guard lock(mutex);
        return connection;
    }
};

wire_link::wire_link(io_thread &thread, const wire_settings &settings, wire_handler &handler,
                     std::string address)
    : m_address(std::move(address)), m_state(std::make_shared<shared_state>())
{
    thread.spawn([state = m_state, target = m_address, &thread, &settings, &handler] {
        auto pause = FirstPause;
        while (!state->closed) {
            auto stream = tcp_stream::connect(thread.io(), target, ConnectTimeout);
            if (stream.ok()) {
                std::string readAhead;
                auto peer = helloAsConnector(**stream, settings, readAhead);
                if (peer.ok()) {
                    pause = FirstPause;
                    auto connection = std::make_shared<detail::wire_connection>(
                        thread.io(), std::move(*stream), std::move(*peer), settings, handler);
                    state->setConnection(connection);
                    if (!state->closed)
                        connection->run(std::move(readAhead));
                    state->setConnection(nullptr);
                }
            }
            if (state->closed)
                return;
            boost::this_fiber::sleep_for(jittered(pause));
            pause = std::min(pause * 2, LongestPause);
        }
    });
}

wire_link::~wire_link()
{
    close();
}

void wire_link::close()
{
    m_state->closed = true;
    if (const auto connection = m_state->currentConnection())
        connection->close();
}

} // namespace tamarack
