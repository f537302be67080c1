// The reader and the writer of a connection.
#include <tamarackglade/wire/detail/frame_io.hpp>
#include <tamarackglade/wire/detail/wire_connection.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>

#include <atomic>
#include <utility>

namespace tamarack::detail {

namespace {

std::uint64_t nextConnectionId()
{
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

const std::string &encodedKeepalive()
{
    static const std::string Bytes = encodeFrame(frameBody(schema::keepalive_message{}));
    return Bytes;
}

} // namespace

wire_connection::wire_connection(boost::asio::io_context &io, std::unique_ptr<byte_stream> stream,
                                 peer_identity peer, const wire_settings &settings,
                                 wire_handler &handler)
    : m_io(io), m_stream(std::move(stream)), m_peer(std::move(peer)),
      m_connectionId(nextConnectionId()), m_settings(settings), m_handler(handler)
{
}

void wire_connection::run(std::string readAhead)
{
    const auto self = shared_from_this();
    m_stream->setTimeout(m_settings.silenceLimit);
    boost::fibers::fiber writer([self] { self->writeLoop(); });
    m_handler.onConnected(self);
    for (;;) {
        auto frame = readFrame(*m_stream, readAhead, MaxFrameBytes);
        if (!frame.ok())
            break;
        if (frame->body.type != schema::frame_body::keepalive)
            m_handler.onFrame(self, std::move(*frame));
    }
    close();
    writer.join();
    m_handler.onClosed(self);
}

void wire_connection::send(const schema::frame_bodyUnion &body)
{
    const std::string bytes = encodeFrame(body);
    bool overflow = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed)
            return;
        m_pending += bytes;
        overflow = m_pending.size() > m_settings.sendQueueLimit;
    }
    if (overflow)
        close();
    else
        m_changed.notify_one();
}

std::size_t wire_connection::queuedBytes()
{
    const std::lock_guard lock(m_mutex);
    return m_pending.size();
}

void wire_connection::close()
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_closed, true))
            return;
    }
    m_changed.notify_all();
    boost::asio::post(m_io, [self = shared_from_this()] { self->m_stream->close(); });
}

void wire_connection::writeLoop()
{
    std::string bytes;
    while (takePending(bytes)) {
        if (!writeBytes(*m_stream, bytes).ok()) {
            close();
            return;
        }
    }
}

bool wire_connection::takePending(std::string &bytes)
{
    std::unique_lock lock(m_mutex);
    const bool woken = m_changed.wait_for(lock, m_settings.keepalivePeriod,
                                          [this] { return m_closed || !m_pending.empty(); });
    bytes.clear();
    if (!woken)
        bytes = encodedKeepalive();
    else
        std::swap(bytes, m_pending);
    return !m_closed;
}

} // namespace tamarack::detail
