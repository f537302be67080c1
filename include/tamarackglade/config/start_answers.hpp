// What peers answered to a process that has no confirmed configuration yet.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstddef>
#include <map>

namespace tamarack {

/// @brief Answers count for a while from the question on, so that one that lay in a buffer while
/// the process was paused counts for nothing.
class start_answers
{
public:
    explicit start_answers(duration lifetime) : m_lifetime(lifetime) { }

    /// @param requestedAt when the question went out
    /// @param offset that the peer holds; 0 if it never had a configuration in force
    /// @param serving whether the peer serves with it now
    void add(const vm_id &peer, time_point requestedAt, log_offset offset, bool serving);

    void clear() { m_answers.clear(); }

    /// @return peers that answered, and are serving; complexity O(answers)
    [[nodiscard]] std::size_t serving(time_point now) const;
    [[nodiscard]] std::size_t all(time_point now) const;

    /// @return the highest offset that a peer answered; 0 if none did
    [[nodiscard]] log_offset highest(time_point now) const;

private:
    struct answer
    {
        time_point requestedAt;
        log_offset offset;
        bool serving = false;
    };

    [[nodiscard]] bool counts(const answer &entry, time_point now) const;

    duration m_lifetime;
    std::map<vm_id, answer> m_answers;
};

} // namespace tamarack
