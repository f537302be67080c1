// The latest appends of the config stream, kept so that a lagging peer gets only what it lacks.
#pragma once

#include <tamarackglade/config/log_entry.hpp>

#include <cstddef>
#include <deque>
#include <span>
#include <string_view>
#include <vector>

namespace tamarack {

class config_history
{
public:
    /// @param maxBytes payload bytes kept at most
    explicit config_history(std::size_t maxBytes) : m_maxBytes(maxBytes) { }

    /// @brief Adds an append; one that doesn't follow the last starts the history anew.
    void add(log_offset offset, std::string_view payload);

    void clear();

    /// @return all appends after an offset up to the last; empty if one of them is missing here
    [[nodiscard]] std::vector<log_entry> after(log_offset offset) const;

    /// @return payload bytes that after(offset) would hold; 0 if that is empty
    [[nodiscard]] std::size_t bytesAfter(log_offset offset) const;

private:
    [[nodiscard]] std::size_t indexAfter(log_offset offset) const;

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0; // Invariant: payload bytes of m_entries, at most m_maxBytes.
    std::deque<log_entry> m_entries; // Invariant: offsets without gaps.
};

} // namespace tamarack
