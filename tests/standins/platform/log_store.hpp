// The stand-in's append-only streams.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace tamarack::standins {

/// @brief The records of one stream. Offsets count from 1 and never repeat.
struct log_stream
{
    // Invariant: records holds the offsets firstOffset .. nextOffset - 1.
    std::uint64_t firstOffset = 1;
    std::uint64_t nextOffset = 1;
    std::deque<std::string> records;
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    std::uint64_t bytesAppended = 0;
    std::uint64_t bytesRead = 0;

    /// @return the retained record at an offset, which must be retained
    [[nodiscard]] const std::string &at(std::uint64_t offset) const
    {
        return records[offset - firstOffset];
    }
};

/// @brief All streams; a stream exists from its first use.
class log_store
{
public:
    /// @return the new record's offset
    std::uint64_t append(const std::string &stream, std::string bytes);

    /// @brief Drops a stream's records below an offset.
    void dropBefore(const std::string &stream, std::uint64_t offset);

    /// @brief Keeps at most this many records in each stream; 0 for no limit.
    void setRetention(std::uint64_t records);

    /// @return the stream, made if it is new; the reference stays valid
    log_stream &stream(const std::string &name) { return m_streams[name]; }
    [[nodiscard]] const std::map<std::string, log_stream> &streams() const { return m_streams; }
    [[nodiscard]] std::uint64_t retention() const { return m_retention; }

private:
    void trim(log_stream &stream) const;

    std::map<std::string, log_stream> m_streams;
    std::uint64_t m_retention = 0; // records, 0 for no limit
};

} // namespace tamarack::standins
