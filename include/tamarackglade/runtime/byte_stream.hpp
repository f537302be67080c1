// A connected byte stream whose operations suspend the calling fiber only.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <boost/system/system_error.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// @brief A TCP or TLS connection. Fulfils Beast's SyncReadStream and SyncWriteStream, so that
/// Beast's synchronous operations work on it without blocking the thread.
/// Errors are error codes; an expired timeout is boost::beast::error::timeout.
class byte_stream
{
public:
    byte_stream() = default;
    byte_stream(const byte_stream &) = delete;
    byte_stream &operator=(const byte_stream &) = delete;
    virtual ~byte_stream() = default;

    /// @brief Reads at least one byte. @return the bytes read
    virtual std::size_t readSome(boost::asio::mutable_buffer buffer,
                                 boost::system::error_code &error) = 0;
    /// @brief Writes at least one byte. @return the bytes written
    virtual std::size_t writeSome(boost::asio::const_buffer buffer,
                                  boost::system::error_code &error) = 0;
    /// @brief Sets how long each later operation may take; zero for no limit.
    virtual void setTimeout(std::chrono::milliseconds timeout) = 0;
    /// @brief Closes both directions at once; pending operations fail. Same thread only.
    virtual void close() = 0;
    /// @brief Sets whether the connection is reset instead of closed in order, also if the process
    /// ends.
    virtual void setResetOnClose(bool /*reset*/) { }
    /// @brief Ends the sending direction.
    virtual void shutdownSend() = 0;
    /// @return whether the peer has closed or reset, without consuming data
    virtual bool peerClosed() = 0;
    /// @return whether bytes can be read at once, without consuming them
    virtual bool inputWaiting() { return false; }
    /// @brief Waits until bytes can be read or the peer has closed, without consuming anything. The
    /// timeout holds as for a read. Returns operation_not_supported at once if the stream can only
    /// read.
    virtual void waitForInput(boost::system::error_code &error)
    {
        error = boost::asio::error::operation_not_supported;
    }
    /// @brief Calls onClosed once if the peer closes before unwatchPeer. Not while a read waits.
    virtual void watchPeer(const std::function<void()> & /*onClosed*/) { }
    /// @brief Ends the watch; onClosed isn't called any more.
    virtual void unwatchPeer() { }
    /// @return the peer's address as "ip:port"
    [[nodiscard]] virtual std::string peerAddress() const = 0;

    template <class MutableBuffers>
    std::size_t read_some(const MutableBuffers &buffers, boost::system::error_code &error)
    {
        return readSome(firstNonEmpty<boost::asio::mutable_buffer>(buffers), error);
    }
    template <class MutableBuffers>
    std::size_t read_some(const MutableBuffers &buffers)
    {
        boost::system::error_code error;
        const std::size_t size = read_some(buffers, error);
        if (error)
            throw boost::system::system_error(error);
        return size;
    }
    template <class ConstBuffers>
    std::size_t write_some(const ConstBuffers &buffers, boost::system::error_code &error)
    {
        return writeSome(firstNonEmpty<boost::asio::const_buffer>(buffers), error);
    }
    template <class ConstBuffers>
    std::size_t write_some(const ConstBuffers &buffers)
    {
        boost::system::error_code error;
        const std::size_t size = write_some(buffers, error);
        if (error)
            throw boost::system::system_error(error);
        return size;
    }

private:
    template <class Buffer, class Buffers>
    static Buffer firstNonEmpty(const Buffers &buffers)
    {
        const auto end = boost::asio::buffer_sequence_end(buffers);
        for (auto it = boost::asio::buffer_sequence_begin(buffers); it != end; ++it) {
            const Buffer buffer(*it);
            if (buffer.size() > 0)
                return buffer;
        }
        return {};
    }
};

} // namespace tamarack
