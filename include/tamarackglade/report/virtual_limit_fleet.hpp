// Simulates the limiters of many entries in virtual time without faults, for the capacity page.
#pragma once

#include <tamarackglade/limits/fleet_limiter.hpp>
#include <tamarackglade/report/job_measurement.hpp>
#include <tamarackglade/report/limit_fleet_cost.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Simulated fleet of limiters. Deterministic except for the processor time. Not
/// thread-safe.
class virtual_limit_fleet
{
public:
    /// @param clock returns the processor time of this thread
    virtual_limit_fleet(std::size_t entries, std::uint32_t partitions,
                        std::function<duration()> clock);

    /// @brief Adds customers with the same rate at every entry.
    void addCustomers(std::size_t customers, customer_rate rate);

    /// @brief Advances virtual time. Requests arrive at random times, for random customers and at
    /// random entries.
    void advance(duration time, double requestsPerSecond = 0);

    void resetCost() { m_cost = {}; }
    [[nodiscard]] const limit_fleet_cost &cost() const { return m_cost; }

private:
    using limiter_call = std::function<void(fleet_limiter &)>;

    void runUntil(time_point end, double requestsPerSecond);
    void run(std::size_t entry, const limiter_call &call);
    void perform(std::size_t entry, const limit_action &action);
    void deliver(std::size_t from, const send_limit_message &message);
    void append(const schema::home_claimed_message &claim);
    void tickAll();
    void submitRequest();

    std::function<duration()> m_clock;
    std::mt19937_64 m_random{1};
    time_point m_now{std::chrono::hours(1)};
    time_point m_nextTick = m_now;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<std::unique_ptr<fleet_limiter>> m_limiters;
    std::vector<vm_id> m_names;
    std::unordered_map<vm_id, std::size_t> m_indexes;
    std::vector<customer_id> m_customers;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastOffset = 0;
    limit_fleet_cost m_cost;
};

} // namespace tamarack
