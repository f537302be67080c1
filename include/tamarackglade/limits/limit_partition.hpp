// One limit partition as folded by this entry: its home, and the role of this entry.
#pragma once

#include <tamarackglade/limits/entry_membership.hpp>
#include <tamarackglade/limits/home_lease.hpp>
#include <tamarackglade/limits/home_record.hpp>
#include <tamarackglade/limits/limit_action.hpp>
#include <tamarackglade/limits/limit_options.hpp>

#include <optional>
#include <vector>

namespace tamarack {

/// @brief Folds claims, maintains the lease as home or successor, and claims the partition when
/// due.
/// Design and proof: docs/design/limits.md.
class limit_partition
{
public:
    limit_partition(const limit_options &options, partition_id partition, time_point now);

    /// @brief Folds a claim read from the log.
    /// @return whether the claim counts
    bool onClaim(const schema::home_claimed_message &claim, const entry_membership &membership,
                 time_point now);

    /// @brief Applies a record that a peer folded; it may be any number of claims ahead of this
    /// fold.
    /// @return whether the record counts
    bool onPeerRecord(const home_record &record, const entry_membership &membership,
                      time_point now);

    /// @return the acknowledgement, if this entry is the home's successor in the epoch of the ping
    std::optional<schema::lease_ack_message> onPing(const vm_id &from,
                                                    const schema::lease_ping_message &ping,
                                                    const entry_membership &membership,
                                                    time_point now);

    void onAck(const vm_id &from, const schema::lease_ack_message &ack);

    /// @brief Shortens the back-off after a claim that was certainly not appended.
    void onAppendFailed(epoch_number epoch, time_point now);

    /// @brief Sends pings and claims that are due.
    void poll(entry_membership &membership, bool logReachable, time_point now,
              std::vector<limit_action> &out);

    /// @brief Stops lending permanently. While this entry is home, it claims the partition for
    /// another entry.
    void handOver(const entry_membership &membership, time_point now,
                  std::vector<limit_action> &out);

    /// @return whether this entry is still home and has to hand over to another one before it ends.
    /// While the log is unreachable, it waits for it only if another entry that takes work couldn't
    /// claim soon after its end
    [[nodiscard]] bool mustHandOver(const entry_membership &membership, bool logReachable) const;

    /// @return whether this entry may admit and lend from its buckets at this time point
    [[nodiscard]] bool mayLend(time_point now) const;

    /// @return whether the folded claim makes this entry home
    [[nodiscard]] bool isHome() const { return m_isHome; }

    /// @return the folded claim
    [[nodiscard]] const std::optional<home_record> &record() const { return m_record; }

    /// @return when new buckets begin to fill; meaningful while isHome()
    [[nodiscard]] time_point lendingStart() const { return m_lendingStart; }

    /// @return when the earlier home's loans have expired; meaningful while isHome()
    [[nodiscard]] time_point settledAt() const { return m_settledAt; }

    /// @return whether the last fold made this entry home, so that it needs new buckets; false if
    /// it was home already
    [[nodiscard]] bool becameHome() const { return m_becameHome; }

private:
    void fold(home_record record, const entry_membership &membership, time_point now);
    void startAsHome(time_point now);
    void pingIfDue(time_point now, std::vector<limit_action> &out);
    void pollAsHome(entry_membership &membership, time_point now, std::vector<limit_action> &out);
    void pollAsLeaving(const entry_membership &membership, time_point now,
                       std::vector<limit_action> &out);
    void pollAsSuccessor(entry_membership &membership, time_point now,
                         std::vector<limit_action> &out);
    void pollAsOther(const entry_membership &membership, time_point now,
                     std::vector<limit_action> &out);
    [[nodiscard]] std::optional<live_entry>
    handOverTarget(const entry_membership &membership) const;
    // Returns whether the back-off allows a claim now, and if so starts the next back-off.
    bool beginClaim(time_point now);
    // Claims the partition for this entry, with any successor except the excluded VM.
    void claimExcluding(const vm_id &excluded, const entry_membership &membership, time_point now,
                        std::vector<limit_action> &out);
    [[nodiscard]] schema::home_claimed_message
    makeClaim(const live_entry &home, const std::optional<live_entry> &successor) const;
    [[nodiscard]] bool isSuccessor(const entry_membership &membership) const;

    const limit_options *m_options;
    partition_id m_partition;
    std::optional<home_record> m_record;
    time_point m_recordReadAt; // when m_record was folded, or this object was constructed
    bool m_isHome = false;
    bool m_becameHome = false;
    bool m_leaving = false; // this entry no longer lends, since handOver()
    // State at handOver(); reset when this entry becomes home after another one:
    bool m_wasLending = false; // it was lending
    bool m_wasSettled = false; // it was lending, and all loans of earlier homes had expired
    time_point m_lendingStart;
    time_point m_settledAt;
    home_lease m_lease;
    // As successor, in the epoch of m_record:
    std::optional<time_point> m_lastAckAt;
    bool m_ackedSettled = false; // acknowledged a ping with settled set
    // Claims:
    time_point m_nextClaimAt;
    duration m_claimBackoff;
    // Since when entries other than the successor may claim.
    std::optional<time_point> m_vacantSince;
};

} // namespace tamarack
