// Connections of the server, each in its fiber.
#include <tamarackglade/http/detail/http_session.hpp>
#include <tamarackglade/http/http_server.hpp>
#include <tamarackglade/http/tls_context.hpp>
#include <tamarackglade/runtime/tcp_stream.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace tamarack {

struct http_server::shared_state
{
    http_server_options options;
    handler handle;
    detail::session_registry sessions;
};

namespace {

std::unique_ptr<byte_stream> secureStream(const http_server_options &options,
                                          boost::beast::tcp_stream stream)
{
    if (options.tls == nullptr)
        return std::make_unique<tcp_stream>(std::move(stream));
    auto secure = options.tls->accept(std::move(stream), options.headerTimeout);
    return secure.ok() ? std::move(*secure) : nullptr;
}

} // namespace

http_server::http_server(io_thread &thread, http_server_options options, handler handle)
    : m_thread(thread), m_state(std::make_shared<shared_state>()),
      m_listener(thread, [state = m_state](boost::beast::tcp_stream stream) {
          const auto secured = secureStream(state->options, std::move(stream));
          if (!secured)
              return;
          detail::http_session session(*secured, state->options, state->handle, state->sessions);
          session.run();
      })
{
    m_state->options = std::move(options);
    m_state->handle = std::move(handle);
}

absl::StatusOr<std::uint16_t> http_server::listen(const std::string &address)
{
    return m_listener.listen(address);
}

void http_server::drain()
{
    m_state->sessions.draining = true;
    m_listener.stopAccepting();
    boost::asio::post(m_thread.io(), [state = m_state] {
        state->sessions.closed = true;
        for (byte_stream *stream : state->sessions.idle) {
            if (!stream->inputWaiting())
                stream->close();
        }
    });
}

void http_server::closeAfterAnswers()
{
    m_state->sessions.draining = true;
}

void http_server::setCallerLimits(duration headerTimeout, duration idleTimeout,
                                  std::size_t headerBytes, std::size_t bodyBytes)
{
    using std::chrono::milliseconds;
    http_server_options &options = m_state->options;
    options.headerTimeout = std::chrono::duration_cast<milliseconds>(headerTimeout);
    options.idleTimeout = std::chrono::duration_cast<milliseconds>(idleTimeout);
    options.headerLimit = static_cast<std::uint32_t>(headerBytes);
    options.bodyLimit = bodyBytes;
}

std::size_t http_server::activeRequests() const
{
    return m_state->sessions.active;
}

} // namespace tamarack
