// Admissions by the gateways of a zone, for reports to other zones.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/schema/peer_generated.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Count of one customer at one gateway.
struct member_count
{
    vm_id member;
    schema::customer_count count;
};

/// @brief Keeps the newest counts of the zone's gateways and selects those that a report holds.
/// Counts are totals, so a lost report needs no repeat.
class zone_counts
{
public:
    /// @brief Records the counts of a gateway's report; another incarnation begins anew.
    void onCounts(const vm_id &member, incarnation_number incarnation,
                  const std::vector<schema::customer_count> &counts, time_point now);
    /// @brief Forgets a gateway.
    void remove(const vm_id &member) { m_members.erase(member); }

    /// @return the counts that changed within RepeatWindow, and one of Rounds parts of the others
    std::vector<member_count> dueCounts(time_point now);

private:
    // Several reports repeat a change, as they may be lost.
    static constexpr std::chrono::milliseconds RepeatWindow{400};
    static constexpr std::uint64_t Rounds = 64;

    struct kept_count
    {
        std::uint32_t admitted = 0;
        float level = 0;
        time_point changedAt{};
    };
    struct member_state
    {
        incarnation_number incarnation;
        std::unordered_map<std::uint64_t, kept_count> counts; // by the customer's hash
    };

    std::unordered_map<vm_id, member_state> m_members;
    std::uint64_t m_round = 0; // number of reports so far
};

} // namespace tamarack
