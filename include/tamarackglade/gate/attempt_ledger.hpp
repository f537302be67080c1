// Records the attempts that this side process has received, so that each runs at most once.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/gate/call_attempt_name.hpp>
#include <tamarackglade/gate/dedup_result.hpp>
#include <tamarackglade/gate/gate_mutation.hpp>
#include <tamarackglade/gate/ledger_limits.hpp>
#include <tamarackglade/gate/less_by_value.hpp>

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace tamarack {

/// @brief Deduplicates attempts and keeps tombstones of attempts that must never start.
/// Settled (finished or refused) attempts are evicted by age and by number. A watermark per sender
/// marks evicted attempts as unknown, since reporting them as not started could run them twice.
class attempt_ledger
{
public:
    /// @param own the incarnation of this side process
    attempt_ledger(incarnation_number own, ledger_limits limits, gate_mutation mutation);

    /// @brief Classifies a start_call and records a new attempt as pending. O(log n).
    dedup_result admit(const call_attempt_name &name);

    /// @brief Records that the attempt is about to be sent to the upstream.
    void start(const call_attempt_name &name);

    /// @brief Records the end of a started attempt.
    void finish(const call_attempt_name &name, time_point now);

    /// @brief Records that the attempt has not run and never will.
    /// Only valid if the attempt is pending or the upstream received nothing of it.
    void refuse(const call_attempt_name &name, time_point now);

    /// @brief Handles refuse_attempt: refuses the attempt unless it may have started.
    /// @return whether the attempt never starts; if so, the caller must drop it if it is pending
    bool ensureNeverStarts(const call_attempt_name &name, time_point now);

    /// @brief Evicts attempts that were settled longer ago than the retention.
    void tick(time_point now);

    /// @return the number of recorded attempts
    [[nodiscard]] std::size_t size() const;

private:
    enum class state { Pending, Started, Finished, Refused };
    struct sender
    {
        std::map<std::uint64_t, state> attempts;
        // Invariant: holds each finished or refused attempt of attempts once, oldest first.
        std::deque<std::pair<time_point, std::uint64_t>> settled;
        // Sequence numbers up to this one that are not in attempts were evicted or never received.
        std::uint64_t evictedUpTo = 0;
        time_point lastSettledAt{};
    };
    using senders = std::map<incarnation_number, sender, less_by_value>;

    [[nodiscard]] bool mayHaveBeenEvicted(const call_attempt_name &name) const;
    sender &senderOf(const call_attempt_name &name);
    void settle(const call_attempt_name &name, state value, time_point now);
    void evictOldest(sender &from);
    void evictExpired(sender &from, time_point now);
    void evictOldIncarnations(const vm_id &vm, senders &all, time_point now);

    incarnation_number m_own;
    ledger_limits m_limits;
    gate_mutation m_mutation;
    std::unordered_map<vm_id, senders> m_senders;
    // Newest evicted incarnation of each entry; up to it, none of that entry is in m_senders.
    std::unordered_map<vm_id, incarnation_number> m_evictedIncarnations;
};

} // namespace tamarack
