// Simulates a fleet of limiters in virtual time, with faults, for tests of the rate limits.
#pragma once

#include "support/limits_oracle.hpp"
#include <tamarackglade/limits/fleet_limiter.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tamarack::test {

using namespace std::chrono_literals;

/// True time since the start of a run.
using true_time = std::chrono::nanoseconds;

/// @brief The counts of one customer in a run. "Within" counts requests that an ideal central
/// bucket admits.
struct customer_counts
{
    std::uint64_t offered = 0;
    std::uint64_t within = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t refusedWithin = 0; // refused or lost, although within
    std::uint64_t sharesRefused = 0; // refused by static equal shares, although within
    std::uint64_t overAdmitted = 0;
    std::uint64_t lost = 0; // the entry ended before it answered
};

/// @brief Delays and faults of the network between entries, the log and the VM list.
struct fleet_network
{
    true_time minDelay = 800us;
    true_time maxDelay = 1200us;
    double duplicates = 0; // share of messages that arrive twice
    true_time logDelay = 10ms;
    true_time listLag = 2s;
    true_time logRetention = true_time::max(); // entries that start read only younger records
};

/// @brief Entries, the log and the VM list, driven by one queue of events.
class limits_fleet
{
public:
    limits_fleet(std::size_t entries, const limit_options &options, std::uint64_t seed,
                 fleet_network network = {});

    void setRate(const customer_id &customer, customer_rate rate, true_time spread = 0ns);
    void removeCustomer(const customer_id &customer, true_time spread);
    void offer(const customer_id &customer, std::size_t entry);
    void advance(true_time time);
    /// Poisson arrivals at perSecond until end, at entries drawn by weight.
    void load(const customer_id &customer, double perSecond, std::vector<double> weights,
              true_time end);
    /// Like load, without the arrivals that would exceed the customer's rate and burst.
    void loadWithin(const customer_id &customer, double perSecond, std::vector<double> weights,
                    true_time end);

    void kill(std::size_t entry);
    void restart(std::size_t entry);
    void pause(std::size_t entry, true_time time);
    void handOver(std::size_t entry);
    void cut(std::size_t from, std::size_t to) { m_cuts.insert({from, to}); }
    void healAll();
    void setLog(bool up);
    void cutLog(std::size_t entry);

    /// The entry that may lend for a customer now; entries() if none.
    std::size_t homeOf(const customer_id &customer);
    /// The entry that is successor of a customer's home by the home's fold; entries() if none.
    std::size_t successorOf(const customer_id &customer);
    fleet_network &network() { return m_network; }
    [[nodiscard]] std::size_t entries() const { return m_nodes.size(); }
    [[nodiscard]] bool alive(std::size_t entry) const { return m_nodes[entry].limiter != nullptr; }
    [[nodiscard]] bool handedOver(std::size_t entry) const { return m_nodes[entry].handedOver; }
    [[nodiscard]] const fleet_limiter &limiter(std::size_t entry) const
    {
        return *m_nodes[entry].limiter;
    }
    [[nodiscard]] true_time now() const { return m_now; }
    [[nodiscard]] std::uint64_t messages() const { return m_messages; }
    [[nodiscard]] std::uint64_t appends() const { return m_appends; }
    [[nodiscard]] const std::unordered_map<customer_id, customer_counts> &counts() const
    {
        return m_counts;
    }
    [[nodiscard]] std::uint64_t overAdmitted() const;
    std::function<true_time(const limit_message &)> extraDelay; // per message, if set

private:
    struct sim_entry
    {
        std::unique_ptr<fleet_limiter> limiter;
        std::uint64_t incarnation = 0;
        std::uint64_t runNumber = 0; // of the process; events of earlier runs are dropped
        double clockError = 0;
        true_time clockOffset{};
        bool paused = false;
        bool logCut = false;
        std::vector<std::function<void()>> backlog;
        std::size_t logRead = 0;
        bool handedOver = false;
        std::unordered_map<customer_id, customer_rate> rates;
        true_time tickAt = true_time::max();
    };
    struct sim_event
    {
        true_time when;
        std::uint64_t order;
        std::function<void()> run;
        bool operator>(const sim_event &other) const
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };
    struct open_ticket
    {
        customer_id customer;
        bool within = false;
    };
    struct customer_bound
    {
        limits_oracle oracle;
        limits_oracle ideal;
        // Static equal shares: each entry's bucket, where a request costs one token per entry.
        std::vector<limits_oracle> shares;
        std::uint32_t heldBurst = 0; // the largest burst that an entry has
        std::map<std::uint32_t, true_time>
            formerBursts; // lowered bursts, and until when their loans may last
    };

    void at(true_time when, std::function<void()> run);
    void atNode(true_time when, std::size_t index,
                const std::function<void(fleet_limiter &, time_point)> &run);
    void call(std::size_t index, const std::function<void(fleet_limiter &, time_point)> &run);
    void carryOut(std::size_t index);
    void carryOut(std::size_t index, const admit_ticket &action);
    void carryOut(std::size_t index, const refuse_ticket &action);
    void carryOut(std::size_t index, const send_limit_message &action);
    void carryOut(std::size_t index, const append_claim &action);
    void scheduleTick(std::size_t index);
    void readLog(std::size_t index);
    [[nodiscard]] std::size_t expiredRecords() const;
    void publishList();
    void readLists();
    void readConnections();
    void reportLogState(std::size_t index);
    void applyRate(std::size_t index, const customer_id &customer, customer_rate rate);
    void updateBound(const customer_id &customer);
    struct arrival_stream
    {
        customer_id customer;
        double perSecond;
        std::vector<double> weights;
        true_time end;
        bool onlyWithin;
    };
    void scheduleArrival(const arrival_stream &stream);
    [[nodiscard]] time_point local(const sim_entry &entry) const;
    true_time random(true_time from, true_time to);

    limit_options m_options;
    fleet_network m_network;
    std::mt19937_64 m_random;
    true_time m_now{};
    std::uint64_t m_order = 0;
    std::priority_queue<sim_event, std::vector<sim_event>, std::greater<>> m_events;
    std::vector<sim_entry> m_nodes;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    bool m_logUp = true;
    std::vector<schema::home_claimed_message> m_log;
    std::vector<true_time> m_logTimes; // when each record was appended
    std::vector<std::function<void()>> m_hungAppends; // take effect when the log is up again
    std::vector<std::pair<true_time, std::vector<live_entry>>> m_lists; // by time
    std::unordered_map<customer_id, customer_rate> m_rates; // the latest rates
    std::unordered_map<customer_id, customer_bound> m_bounds;
    std::unordered_map<customer_id, customer_counts> m_counts;
    std::map<std::pair<std::size_t, std::uint64_t>, open_ticket>
        m_openTickets; // by entry and ticket
    std::uint64_t m_ticket = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_appends = 0;
};

} // namespace tamarack::test
