// Remembers which attempts this side process has seen, so that each runs at most once.
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

/// @brief Deduplicates attempts and keeps the proofs that some never start.
/// Settled attempts are forgotten after a time or a count; a watermark per sender then makes the
/// answer for them "unknown", never "not started".
class attempt_ledger
{
public:
    attempt_ledger(incarnation_number own, ledger_limits limits, gate_mutation mutation);

    /// @brief Judges a start_call and records a fresh one as pending; O(log n).
    dedup_result admit(const call_attempt_name &name);

    /// @brief Records that the upstream may see the attempt from now on.
    void start(const call_attempt_name &name);

    /// @brief Records the end of a started attempt.
    void finish(const call_attempt_name &name, time_point now);

    /// @brief Records that the attempt has not run and never will.
    /// The caller knows it: the attempt was pending, or the upstream never received it.
    void refuse(const call_attempt_name &name, time_point now);

    /// @brief Answers refuse_attempt: makes it true that the attempt never starts, if it can.
    /// @return whether that is proved; a pending attempt must then be dropped by the caller
    bool ensureNeverStarts(const call_attempt_name &name, time_point now);

    /// @brief Forgets what is older than the retention.
    void tick(time_point now);

    /// @return the number of remembered attempts
    [[nodiscard]] std::size_t size() const;

private:
    enum class state { Pending, Started, Finished, Refused };
    struct sender
    {
        std::map<std::uint64_t, state> attempts;
        // Invariant: holds each finished or refused attempt of attempts once, oldest first.
        std::deque<std::pair<time_point, std::uint64_t>> settled;
        // Attempts up to here that are not in attempts were forgotten or never seen.
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
    // Entry incarnations up to these were dropped whole; they are not in m_senders.
    std::unordered_map<vm_id, incarnation_number> m_evictedIncarnations;
};

} // namespace tamarack
