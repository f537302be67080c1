// Chooses batch runs of other gateways that yield their slots to online requests.
#pragma once

#include <tamarackglade/placement/slot_queue.hpp>

#include <cstdint>
#include <random>
#include <vector>

namespace tamarack {

/// @brief A batch run at a gateway: one of those at the upstream.
struct yield_target
{
    vm_id gateway;
    upstream_id upstream;

    friend bool operator==(const yield_target &, const yield_target &) = default;
};

/// @brief Asks for one slot for each request that waits.
///
/// This handles bursts that find the slots of the fleet in use by batch items. One gateway is asked
/// for one run, since in a fleet of hundreds of gateways a request to all would end a run at each
/// of them for every request that waits.
class yield_planner
{
public:
    explicit yield_planner(std::uint64_t seed) : m_random(seed) { }

    /// @brief Chooses the runs to ask for now.
    /// @return at most MaxAsksPerRound runs; each counts as asked for AnswerTime
    std::vector<yield_target> plan(const slot_allocator &allocator,
                                   const std::vector<waiting_work> &waiting, time_point now);

    /// @brief Takes back what a gateway was asked for if its report shows that a run has ended.
    /// @param use slots that the gateway uses at each upstream
    /// @return whether there was such a run
    bool onReport(const vm_id &gateway, const std::unordered_map<upstream_id, slot_use> &use);

    static constexpr std::size_t MaxAsksPerRound = 4;
    /// Time in which a gateway that was asked frees the slot and says so. Later the request is
    /// repeated, to another run if there is one.
    static constexpr std::chrono::milliseconds AnswerTime{150};

private:
    struct asked_run
    {
        yield_target target;
        unsigned runs = 0; // that the gateway had at the upstream
        time_point at{};
    };

    [[nodiscard]] std::size_t asked(const yield_target &target) const;

    std::mt19937_64 m_random;
    std::vector<asked_run> m_asked; // without an answer yet, at most AnswerTime old
};

} // namespace tamarack
