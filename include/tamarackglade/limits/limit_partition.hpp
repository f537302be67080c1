// One limit partition as this entry sees it: who is home, and this entry's part in it.
#pragma once

#include <tamarackglade/limits/entry_membership.hpp>
#include <tamarackglade/limits/home_lease.hpp>
#include <tamarackglade/limits/home_record.hpp>
#include <tamarackglade/limits/limit_action.hpp>
#include <tamarackglade/limits/limit_options.hpp>

#include <optional>
#include <vector>

namespace tamarack {

/// @brief Folds claims, keeps the lease as home or successor, and claims when it should.
/// Design and proof: docs/design/limits.md.
class limit_partition
{
public:
    limit_partition(const limit_options &options, partition_id partition, time_point now);

    /// @brief Folds a claim read from the log.
    /// @return whether the claim counts
    bool onClaim(const schema::home_claimed_message &claim, const entry_membership &membership,
                 time_point now);

    /// @brief Takes a record that a peer folded; it may be any number of claims ahead.
    /// @return whether the record counts
    bool onPeerRecord(const home_record &record, const entry_membership &membership,
                      time_point now);

    /// @return the acknowledgement, if this entry is the successor that the ping needs
    std::optional<schema::lease_ack_message> onPing(const vm_id &from,
                                                    const schema::lease_ping_message &ping,
                                                    const entry_membership &membership,
                                                    time_point now);

    void onAck(const vm_id &from, const schema::lease_ack_message &ack);

    /// @brief Ends the wait for a claim that certainly failed.
    void onAppendFailed(epoch_number epoch, time_point now);

    /// @brief Sends pings and claims that are due.
    void poll(entry_membership &membership, bool logReachable, time_point now,
              std::vector<limit_action> &out);

    /// @brief Stops lending for good. While this entry is home, it names another one as home.
    void handOver(const entry_membership &membership, time_point now,
                  std::vector<limit_action> &out);

    /// @return whether this entry is still home and another one could be
    [[nodiscard]] bool mustHandOver(const entry_membership &membership) const;

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

    /// @return whether buckets must be new: this entry wasn't home in the epoch before
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
    // Counts a claim that is made now, if the back-off allows one.
    bool beginClaim(time_point now);
    // Claims for this entry, with any successor but the excluded one.
    void claimExcluding(const vm_id &excluded, const entry_membership &membership, time_point now,
                        std::vector<limit_action> &out);
    [[nodiscard]] schema::home_claimed_message
    makeClaim(const live_entry &home, const std::optional<live_entry> &successor) const;
    [[nodiscard]] bool isSuccessor(const entry_membership &membership) const;

    const limit_options *m_options;
    partition_id m_partition;
    std::optional<home_record> m_record;
    time_point m_recordReadAt; // when m_record was folded; before that, when this object began
    bool m_isHome = false;
    bool m_becameHome = false;
    bool m_leaving = false; // this entry lends no more
    // As home that leaves, in the epochs without another home since:
    bool m_wasLending = false; // it was lending when it began to leave
    bool m_wasSettled = false; // and no loan of an earlier home could be unexpired then
    time_point m_lendingStart;
    time_point m_settledAt;
    home_lease m_lease;
    // As successor, in the epoch of m_record:
    std::optional<time_point> m_lastAckAt;
    bool m_ackedSettled = false; // acknowledged a ping that said settled
    // Claims:
    time_point m_nextClaimAt;
    duration m_claimBackoff;
    std::optional<time_point> m_vacantSince; // since when others than the successor may claim
};

} // namespace tamarack
