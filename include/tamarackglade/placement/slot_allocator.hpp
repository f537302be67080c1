// Chooses upstreams by the slots that are taken, over all gateways.
#pragma once

#include <tamarackglade/placement/failure_score.hpp>
#include <tamarackglade/placement/slot_use.hpp>
#include <tamarackglade/placement/upstream_directory.hpp>

#include <cstdint>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief What a choice is made by.
struct placement_request
{
    group_id group;
    work_class work = work_class::Online;
    std::uint64_t prefixHash = 0; // of the prompt's shared beginning; 0 for none
    std::set<upstream_id> excluded; // already tried
};

/// @brief Times and margins of the choice.
struct placement_options
{
    zone_id zone; // of this process; its upstreams are preferred
    double otherZoneCost = 3; // slots that another zone's upstream has to be emptier by
    // Slots of another zone's upstream that are left to its own gateways, whose reports are
    // younger.
    unsigned otherZoneReserve = 2;
    unsigned batchReserve = 2; // slots of each upstream that batch work leaves free
    double failureCost = 3; // slots by which an upstream counts as fuller, for each failure lately
    double maxFailureCost = 8; // slots
    double peerEjectionCost = 3; // slots, for each gateway that gives it no work
    failure_options failures{};
    duration peerUseLifetime = std::chrono::seconds(1); // after it a peer's report is dropped
};

/// @brief Counts the slots in use and picks the emptiest usable upstream. Upstreams admit in order
/// of arrival and know no priorities, so more than their slots is never sent to them.
///
/// Load that it answers: bursts beyond the fleet's slots, with batch work in the calm between.
class slot_allocator
{
public:
    slot_allocator(const upstream_directory &directory, placement_options options,
                   std::uint64_t seed);

    /// @return an upstream with a free slot for this class of work, or nullopt
    std::optional<upstream_id> pick(const placement_request &request, time_point now);

    /// @brief Picks for a batch item: another upstream than those at which it failed, if the group
    /// has one.
    std::optional<upstream_id> pickForItem(const group_id &group,
                                           const std::set<upstream_id> &failedAt, time_point now);

    /// @return slots that are free for this class of work, over all upstreams of the group
    [[nodiscard]] unsigned freeSlots(const group_id &group, work_class work, time_point now);

    /// @brief Takes or gives back a slot. The upstream may have left meanwhile.
    void acquire(const upstream_id &id, work_class work);
    void release(const upstream_id &id, work_class work);

    /// @brief Tells how an attempt went.
    void onSuccess(const upstream_id &id, time_point now);
    void onFault(const upstream_id &id, attempt_fault fault, time_point now);

    /// @return the upstreams that get no work from this process for a while
    [[nodiscard]] std::vector<upstream_id> ejected(time_point now) const;
    /// @brief Forgets failures and reports of long ago; call now and then.
    void tick(time_point now);

    /// @brief Takes a peer's report of its own use, replacing its last one.
    /// @param ejected upstreams that get no work from the peer; they may fail for some only
    void onPeerUse(const vm_id &peer, std::unordered_map<upstream_id, slot_use> use,
                   std::set<upstream_id> ejected, time_point now);

    /// @return this process's own use, for the report to peers
    [[nodiscard]] const std::unordered_map<upstream_id, slot_use> &ownUse() const { return m_own; }

private:
    struct peer_report
    {
        std::unordered_map<upstream_id, slot_use> use;
        std::set<upstream_id> ejected;
        time_point lastReceivedAt{};
    };

    /// What all peers report of one upstream.
    struct peer_totals
    {
        unsigned used = 0; // slots
        unsigned ejecting = 0; // peers that give it no work
    };

    void addReport(const peer_report &report);
    void removeReport(const peer_report &report);
    void dropOldReports(time_point now);
    [[nodiscard]] unsigned usedSlots(const upstream_id &id) const;
    [[nodiscard]] bool usable(const live_upstream &upstream, const group_id &group,
                              time_point now) const;
    [[nodiscard]] double failureCost(const upstream_id &id, time_point now) const;
    [[nodiscard]] unsigned capacity(const live_upstream &upstream, work_class work) const;

    const upstream_directory &m_directory;
    const placement_options m_options;
    std::mt19937_64 m_random;
    std::unordered_map<upstream_id, slot_use> m_own; // entries with something in use
    std::unordered_map<upstream_id, failure_score> m_failures; // of those that failed lately
    std::unordered_map<vm_id, peer_report> m_peers;
    std::unordered_map<upstream_id, peer_totals> m_peerTotals; // of all in m_peers
};

} // namespace tamarack
