// TLS through Asio and OpenSSL.
#include <tamarackglade/http/tls_context.hpp>
#include <tamarackglade/runtime/fiber_token.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/ssl/stream.hpp>

#include <utility>

namespace tamarack {

namespace asio = boost::asio;

namespace {

// A server-side TLS connection as a byte_stream.
class tls_stream final : public byte_stream
{
public:
    tls_stream(boost::beast::tcp_stream stream, std::shared_ptr<asio::ssl::context> context)
        : m_context(std::move(context)), m_stream(std::move(stream), *m_context)
    {
    }

    boost::system::error_code handshake()
    {
        armTimeout();
        return m_stream.async_handshake(asio::ssl::stream_base::server, FiberToken);
    }
    std::size_t readSome(asio::mutable_buffer buffer, boost::system::error_code &error) override
    {
        armTimeout();
        const auto result = m_stream.async_read_some(buffer, FiberToken);
        error = result.error;
        return result.value;
    }
    std::size_t writeSome(asio::const_buffer buffer, boost::system::error_code &error) override
    {
        armTimeout();
        const auto result = m_stream.async_write_some(buffer, FiberToken);
        error = result.error;
        return result.value;
    }
    void setTimeout(std::chrono::milliseconds timeout) override { m_timeout = timeout; }
    void close() override { m_stream.next_layer().close(); }
    void shutdownSend() override
    {
        constexpr auto CloseNotifyTimeout = std::chrono::seconds(1);
        m_stream.next_layer().expires_after(CloseNotifyTimeout);
        m_stream.async_shutdown(FiberToken);
    }
    bool peerClosed() override
    {
        char byte = 0;
        const int handle = m_stream.next_layer().socket().native_handle();
        return ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }
    [[nodiscard]] std::string peerAddress() const override
    {
        boost::system::error_code error;
        const auto endpoint = m_stream.next_layer().socket().remote_endpoint(error);
        if (error)
            return "unknown";
        return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
    }

private:
    void armTimeout()
    {
        if (m_timeout.count() > 0)
            m_stream.next_layer().expires_after(m_timeout);
        else
            m_stream.next_layer().expires_never();
    }

    std::shared_ptr<asio::ssl::context> m_context; // outlives m_stream
    asio::ssl::stream<boost::beast::tcp_stream> m_stream;
    std::chrono::milliseconds m_timeout{0};
};

} // namespace

tls_context::tls_context(std::string certificateFile, std::string keyFile)
    : m_certificateFile(std::move(certificateFile)), m_keyFile(std::move(keyFile))
{
}

absl::Status tls_context::reload()
{
    const file_times times = modificationTimes();
    auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    boost::system::error_code error;
    context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2
                             | asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1
                             | asio::ssl::context::no_tlsv1_1,
                         error);
    context->use_certificate_chain_file(m_certificateFile, error);
    if (error)
        return absl::InvalidArgumentError(
            absl::StrCat("certificate ", m_certificateFile, ": ", error.message()));
    context->use_private_key_file(m_keyFile, asio::ssl::context::pem, error);
    if (error)
        return absl::InvalidArgumentError(
            absl::StrCat("private key ", m_keyFile, ": ", error.message()));
    const std::lock_guard lock(m_mutex);
    m_context = std::move(context);
    m_loadedTimes = times;
    return absl::OkStatus();
}

absl::StatusOr<bool> tls_context::reloadIfChanged()
{
    {
        const std::lock_guard lock(m_mutex);
        if (modificationTimes() == m_loadedTimes)
            return false;
    }
    const absl::Status status = reload();
    if (!status.ok())
        return status;
    return true;
}

absl::StatusOr<std::unique_ptr<byte_stream>> tls_context::accept(boost::beast::tcp_stream stream,
                                                                 std::chrono::milliseconds timeout)
{
    std::shared_ptr<asio::ssl::context> context;
    {
        const std::lock_guard lock(m_mutex);
        context = m_context;
    }
    auto secure = std::make_unique<tls_stream>(std::move(stream), std::move(context));
    secure->setTimeout(timeout);
    const auto error = secure->handshake();
    if (error)
        return absl::UnavailableError(absl::StrCat("TLS handshake: ", error.message()));
    return std::unique_ptr<byte_stream>(std::move(secure));
}

tls_context::file_times tls_context::modificationTimes() const
{
    std::error_code ignored;
    return {std::filesystem::last_write_time(m_certificateFile, ignored),
            std::filesystem::last_write_time(m_keyFile, ignored)};
}

} // namespace tamarack
