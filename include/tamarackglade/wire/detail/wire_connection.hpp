// A wire connection: one fiber reads, one writes, keepalives tell a dead peer from a silent one.
#pragma once

#include <tamarackglade/runtime/byte_stream.hpp>
#include <tamarackglade/wire/wire_handler.hpp>
#include <tamarackglade/wire/wire_settings.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <memory>
#include <string>

namespace tamarack::detail {

/// @brief Runs an authenticated connection until it ends.
class wire_connection final : public wire_peer, public std::enable_shared_from_this<wire_connection>
{
public:
    wire_connection(boost::asio::io_context &io, std::unique_ptr<byte_stream> stream,
                    peer_identity peer, const wire_settings &settings, wire_handler &handler);

    /// @brief Reads frames in the calling fiber until the connection ends.
    /// @param readAhead bytes that were read after the hello
    void run(std::string readAhead);

    [[nodiscard]] const peer_identity &identity() const override { return m_peer; }
    [[nodiscard]] std::uint64_t connectionId() const override { return m_connectionId; }
    void send(const schema::frame_bodyUnion &body) override;
    [[nodiscard]] std::size_t queuedBytes() override;
    void close() override;

private:
    void writeLoop();
    bool takePending(std::string &bytes);

    boost::asio::io_context &m_io;
    std::unique_ptr<byte_stream> m_stream; // used on m_io's thread only
    peer_identity m_peer;
    std::uint64_t m_connectionId;
    const wire_settings &m_settings;
    wire_handler &m_handler;

    boost::fibers::mutex m_mutex; // guards the members below
    boost::fibers::condition_variable m_changed;
    std::string m_pending; // encoded frames to be written
    bool m_closed = false;
};

} // namespace tamarack::detail
