// Tests that a refusal which comes once more on a kept connection never counts for another run.
#include <platform/http_protocol.hpp>
#include <tamarackglade/gateway/upstream/upstream_caller.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct refusal_form
{
    std::string status; // with its reason phrase
    bool isNamed; // with the id of its request
    std::string body;
};

std::string refusalOf(const std::string &id, const refusal_form &form)
{
    std::string text = "HTTP/1.1 " + form.status + "\r\nNot-Executed: 1\r\n";
    if (form.isNamed)
        text += "Request-Id: " + id + "\r\n";
    return text + "Content-Length: " + std::to_string(form.body.size()) + "\r\n\r\n" + form.body;
}

std::string answerTo(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: " + id
           + "\r\nContent-Length: 2\r\n\r\nok";
}

/// Refuses the first request and runs all others. Where a connection has carried the refusal, it is
/// sent once more as soon as the next request has arrived.
class repeating_upstream
{
public:
    explicit repeating_upstream(refusal_form form)
        : m_form(std::move(form)), m_acceptor(m_io, {asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this] { accept(); })
    {
    }
    repeating_upstream(const repeating_upstream &) = delete;
    repeating_upstream &operator=(const repeating_upstream &) = delete;
    ~repeating_upstream()
    {
        m_stopped = true;
        boost::system::error_code ignored;
        tcp::socket(m_io).connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
        for (std::thread &each : m_connections)
            each.join();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    [[nodiscard]] std::vector<std::string> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    void accept()
    {
        for (;;) {
            auto socket = std::make_shared<tcp::socket>(m_io);
            boost::system::error_code error;
            m_acceptor.accept(*socket, error);
            if (error || m_stopped)
                return;
            m_connections.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(tcp::socket &socket)
    {
        std::string copy;
        asio::streambuf input;
        boost::system::error_code error;
        for (;;) {
            const std::size_t size = asio::read_until(socket, input, "\r\n\r\n", error);
            if (error)
                return;
            const std::string head(asio::buffers_begin(input.data()),
                                   asio::buffers_begin(input.data())
                                       + static_cast<std::ptrdiff_t>(size));
            input.consume(size);
            const std::string id = idIn(head);
            if (!m_refused.exchange(true)) {
                copy = refusalOf(id, m_form);
                asio::write(socket, asio::buffer(copy), error);
                continue;
            }
            addRun(id);
            asio::write(socket, asio::buffer(copy + answerTo(id)), error);
            copy.clear();
        }
    }

    static std::string idIn(const std::string &head)
    {
        const std::string name = "Request-Id: ";
        const auto start = head.find(name) + name.size();
        return head.substr(start, head.find('\r', start) - start);
    }

    void addRun(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(id);
    }

    refusal_form m_form;
    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_refused{false};
    std::atomic<bool> m_stopped{false};
    mutable std::mutex m_mutex; // guards m_runs
    std::vector<std::string> m_runs;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

class null_sink final : public response_sink
{
public:
    bool onHead(const http_response & /*head*/, const response_metadata & /*metadata*/) override
    {
        return true;
    }
    bool onEvent(const stream_event & /*event*/) override { return true; }
    bool onFlush() override { return true; }
};

struct played_attempts
{
    std::vector<attempt_outcome> outcomes;
    std::vector<std::string> runs;
};

/// Sends the requests one after the other through one pool.
played_attempts play(const refusal_form &form, const std::vector<std::string> &ids)
{
    played_attempts played;
    io_thread thread;
    repeating_upstream server(form);
    thread.run([&] {
        upstream_pool pool(thread.io());
        const platform::http_protocol protocol;
        upstream_caller caller(pool, protocol, {});
        live_upstream upstream;
        upstream.address = server.address();
        for (const std::string &id : ids) {
            http_client_request request;
            request.headers.emplace_back("Request-Id", id);
            stream_progress progress(std::nullopt);
            null_sink sink;
            attempt_handle handle;
            const attempt_limits limits{bootNow() + 5s, duration::zero(), std::nullopt, 1s};
            played.outcomes.push_back(
                caller.run(upstream, request, request_id(id), false, limits, progress, sink, handle)
                    .outcome);
        }
        pool.tick(bootNow() + 1h);
    });
    played.runs = server.runs();
    return played;
}

const std::vector<refusal_form> Forms{
    {"503 Service Unavailable", false, ""},     {"503 Service Unavailable", true, ""},
    {"429 Too Many Requests", false, "full\n"}, {"429 Too Many Requests", true, "full\n"},
    {"421 Misdirected Request", false, ""},     {"421 Misdirected Request", true, ""},
};

void checkNoRunCountsAsRefused(const std::vector<std::string> &ids)
{
    for (const refusal_form &form : Forms) {
        CAPTURE(form.status);
        CAPTURE(form.isNamed);
        const played_attempts played = play(form, ids);
        CHECK(played.outcomes.front() == attempt_outcome::NotRun);
        CHECK(played.runs.size() == ids.size() - 1);
        for (std::size_t i = 1; i < ids.size(); ++i)
            CHECK(played.outcomes[i] != attempt_outcome::NotRun);
    }
}

} // namespace

TEST_CASE("a late copy of another request's refusal doesn't say that the present one hasn't run")
{
    checkNoRunCountsAsRefused({"r1", "r2", "r3"});
}

TEST_CASE("a late copy of a request's own refusal doesn't say that its next attempt hasn't run")
{
    checkNoRunCountsAsRefused({"r1", "r1"});
}

TEST_CASE("a late copy of another request's refusal doesn't break the present one off")
{
    for (const refusal_form &form : Forms) {
        if (!form.isNamed)
            continue;
        CAPTURE(form.status);
        const played_attempts played = play(form, {"r1", "r2", "r3"});
        CHECK(played.outcomes
              == std::vector{attempt_outcome::NotRun, attempt_outcome::Answered,
                             attempt_outcome::Answered});
        CHECK(played.runs == std::vector<std::string>{"r2", "r3"});
    }
}
