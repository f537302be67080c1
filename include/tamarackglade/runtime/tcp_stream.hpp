// A plain TCP connection as a byte_stream.
#pragma once

#include <tamarackglade/runtime/byte_stream.hpp>
#include <tamarackglade/runtime/operation_timeout.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <sys/types.h>

#include <memory>
#include <string>

namespace tamarack {

/// @brief A byte_stream over beast::tcp_stream. A write that times out closes the connection; a
/// read that does leaves it open, so that the peer can be told.
///
/// What the socket can do at once is done without a timer and without a change of fibers, a
/// bounded number of times in a row, so that a busy connection doesn't hold up its thread.
class tcp_stream final : public byte_stream
{
public:
    explicit tcp_stream(boost::beast::tcp_stream stream);
    ~tcp_stream() override;

    /// @brief Connects to "ip:port" within the timeout.
    /// @return the connection, or Unavailable / InvalidArgument
    static absl::StatusOr<std::unique_ptr<tcp_stream>> connect(boost::asio::io_context &io,
                                                               const std::string &address,
                                                               std::chrono::milliseconds timeout);

    std::size_t readSome(boost::asio::mutable_buffer buffer,
                         boost::system::error_code &error) override;
    std::size_t writeSome(boost::asio::const_buffer buffer,
                          boost::system::error_code &error) override;
    void setTimeout(std::chrono::milliseconds timeout) override;
    void close() override;
    void setResetOnClose(bool reset) override;
    void shutdownSend() override;
    bool peerClosed() override;
    bool inputWaiting() override;
    void waitForInput(boost::system::error_code &error) override;
    void watchPeer(const std::function<void()> &onClosed) override;
    void unwatchPeer() override;
    [[nodiscard]] std::string peerAddress() const override;

    /// @return the underlying stream, for the TLS layer
    boost::beast::tcp_stream &native() { return m_stream; }

private:
    struct peer_watch
    {
        std::function<void()> onClosed; // empty once the watch has ended
    };

    /// @return the bytes that were read or written at once; 0 if the operation has to wait or
    /// failed
    std::size_t readNow(boost::asio::mutable_buffer buffer);
    std::size_t writeNow(boost::asio::const_buffer buffer);
    bool mayBeImmediate();
    /// @brief Receives without waiting. @return as of recv(); a failure is kept in m_failure
    ssize_t receiveNow(boost::asio::mutable_buffer buffer, int flags);
    /// @return the error with which a read ends: m_failure instead of an orderly end after it
    boost::system::error_code endOfRead(const boost::system::error_code &error);
    /// @brief Keeps the error in m_failure unless the connection can go on after it.
    void keepFailure(const boost::system::error_code &error);

    boost::beast::tcp_stream m_stream;
    // Of m_stream's socket. One fiber may read while another one writes.
    operation_timeout m_readTimeout;
    operation_timeout m_writeTimeout;
    std::chrono::milliseconds m_timeout{0};
    // First failure of the connection. Reads fail with it once all received bytes are read; their
    // end is an orderly one only without a failure.
    boost::system::error_code m_failure;
    unsigned m_immediate = 0; // operations done at once since the last that waited
    std::shared_ptr<peer_watch> m_watch; // shared with the handler, which may outlive the stream
};

/// @brief Splits "ip:port".
/// @return the endpoint, or InvalidArgument
absl::StatusOr<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address);

} // namespace tamarack
