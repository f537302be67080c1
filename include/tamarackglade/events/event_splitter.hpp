// Splits a byte stream into complete server-sent events.
#pragma once

#include <tamarackglade/events/stream_event.hpp>

#include <cstddef>
#include <string>

namespace tamarack {

/// @brief Buffers bytes until they form a complete event, so that no part of an event is forwarded
/// from a stream that breaks off. Lines may end in LF or CR LF.
class event_splitter
{
public:
    /// Maximum size of a buffered event.
    static constexpr std::size_t MaxEventBytes = 1024 * 1024;

    /// @brief Appends bytes and invalidates the views of earlier events; O(size) of bytes and
    /// buffer.
    void feed(std::string_view bytes);

    /// @return the next complete event, or nullopt if more bytes are needed
    std::optional<stream_event> next();

    /// @return whether bytes after the last returned event remain
    [[nodiscard]] bool hasPartial() const { return m_begin < m_buffer.size(); }
    /// @return the number of bytes that are held
    [[nodiscard]] std::size_t heldBytes() const { return m_buffer.size(); }
    /// @return whether the remaining bytes exceed MaxEventBytes
    [[nodiscard]] bool tooLong() const { return m_buffer.size() - m_begin > MaxEventBytes; }

private:
    // Invariant: m_begin <= m_scanned <= m_buffer.size(). No event that
    // begins at m_begin ends before m_scanned.
    std::string m_buffer;
    std::size_t m_begin = 0; // offset of the next event
    std::size_t m_scanned = 0;
};

} // namespace tamarack
