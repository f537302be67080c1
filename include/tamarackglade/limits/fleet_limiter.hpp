// The rate limits of one entry process: one object, driven by events and time.
#pragma once

#include <tamarackglade/core/timer_service.hpp>
#include <tamarackglade/limits/customer_limit.hpp>
#include <tamarackglade/limits/entry_membership.hpp>
#include <tamarackglade/limits/limit_action.hpp>
#include <tamarackglade/limits/limit_options.hpp>
#include <tamarackglade/limits/limit_partition.hpp>

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Admits requests so that the fleet keeps to each customer's rate and burst.
/// Not thread-safe; the process keeps it under a shard's lock. After any call, the caller carries
/// out takeActions() and calls tick() at nextDeadline(). Design: docs/design/limits.md.
class fleet_limiter
{
public:
    /// @param incarnation must be larger than that of any earlier process on this VM
    fleet_limiter(const limit_options &options, vm_id self, incarnation_number incarnation,
                  std::mt19937_64 seed, time_point now);
    fleet_limiter(const fleet_limiter &) = delete;
    fleet_limiter &operator=(const fleet_limiter &) = delete;

    /// @brief Adds a customer or changes its rate.
    void setRate(const customer_id &customer, customer_rate rate, time_point now);

    /// @brief Removes a customer; its waiting requests are refused.
    void removeCustomer(const customer_id &customer);

    /// @brief Asks for a token. The answer is an admit_ticket or refuse_ticket action, now or
    /// within maxWait; a customer without a rate is refused at once.
    void admit(const customer_id &customer, std::uint64_t ticket, time_point now);

    /// @brief Forgets a request that waits; no action follows for it.
    void cancelTicket(const customer_id &customer, std::uint64_t ticket);

    /// @brief Takes any message of another entry's limiter.
    void onMessage(const vm_id &from, const limit_message &message, time_point now);

    void onLoanRequest(const vm_id &from, const schema::loan_request_message &request,
                       time_point now);
    void onLoanGrant(const vm_id &from, const schema::loan_grant_message &grant, time_point now);
    void onLeasePing(const vm_id &from, const schema::lease_ping_message &ping, time_point now);
    void onLeaseAck(const vm_id &from, const schema::lease_ack_message &ack, time_point now);

    /// @brief Answers with the homes if the asker knows others.
    void onHomesRequest(const vm_id &from, const schema::homes_request_message &request);
    /// @brief Takes the homes that a peer folded.
    void onHomesSnapshot(const schema::homes_snapshot_message &snapshot, time_point now);

    /// @brief Folds the next record of the stream "homes". Repeats are ignored by their offset.
    void onHomeRecord(log_offset offset, const schema::home_claimed_message &claim, time_point now);

    /// @brief A claim was certainly not appended. An unknown outcome is not reported here.
    void onAppendFailed(const schema::home_claimed_message &claim, time_point now);

    /// @brief Takes a fresh answer of the VM list: the entry VMs, live or leaving.
    void onEntries(const std::vector<live_entry> &entries, time_point now);

    /// @brief Sets the entries that are connected and take work: whom to choose as a successor, and
    /// whom to ask for the homes. Until the first call, every listed entry may be a successor.
    void onPeers(const std::vector<vm_id> &peers);

    /// @brief While the log can't be reached, nothing is claimed, and peers tell of the homes.
    void onLogReachable(bool reachable) { m_logReachable = reachable; }

    void tick(time_point now) { m_timers.advance(now); }
    [[nodiscard]] std::optional<time_point> nextDeadline() const { return m_timers.nextExpiry(); }

    /// @brief For a planned stop: gives every home of this entry to its successor.
    void handOver(time_point now);

    /// @return whether this entry still has homes that another one could take
    [[nodiscard]] bool mustHandOver() const;

    /// @return the actions since the last call, in order
    std::vector<limit_action> takeActions();

    /// @return whether this entry may lend for the customer's partition now
    [[nodiscard]] bool isLending(const customer_id &customer, time_point now) const;

    /// @return the home of the customer's partition as folded
    [[nodiscard]] const std::optional<home_record> &homeRecord(const customer_id &customer) const;

    /// @return an estimate of the memory that the customers' state takes, in bytes
    [[nodiscard]] std::size_t stateBytes() const;

private:
    /// Pause before asking again a home that isn't known or doesn't lend.
    static constexpr duration NoHomeRetryDelay = std::chrono::milliseconds(20);
    /// Shortest pause that is named to a request that waits for a token.
    static constexpr duration MinRetryAfter = std::chrono::milliseconds(1);

    void poll(time_point now);
    void requestHomes(time_point now);
    void onHomeChanged(partition_id partition, time_point now);
    [[nodiscard]] std::uint64_t homesDigest() const;
    void serve(const customer_id &customer, customer_limit &state, time_point now);
    void serveFromBucket(const customer_id &customer, customer_limit &state, time_point now);
    void serveFromBorrowed(const customer_id &customer, customer_limit &state, time_point now);
    void admitFront(const customer_id &customer, customer_limit &state, time_point now);
    void refuseFront(const customer_id &customer, customer_limit &state, duration retryAfter);
    void refuseUnservable(const customer_id &customer, customer_limit &state, duration wait,
                          std::size_t available, time_point now);
    void requestTokens(const customer_id &customer, customer_limit &state, time_point now);
    void returnTokens(const customer_id &customer, customer_limit &state, time_point now);
    void sendRequest(const customer_id &customer, customer_limit &state, std::uint32_t tokens,
                     std::uint32_t returned, time_point now);
    void onTimer(const customer_id &customer, time_point now);
    void schedule(const customer_id &customer, customer_limit &state);
    [[nodiscard]] std::uint32_t prefetch(customer_limit &state, time_point now) const;
    [[nodiscard]] const limit_partition &limitPartitionOf(const customer_limit &state) const;
    void send(const vm_id &to, limit_message message);

    limit_options m_options;
    entry_membership m_membership;
    std::mt19937_64 m_random;
    bool m_logReachable = true;
    std::vector<vm_id> m_peers; // connected entries that take work
    time_point m_nextHomesRequestAt{};
    log_offset m_lastOffset;
    // Of loan requests. One count for all customers, so that a customer that was removed and came
    // back never takes a grant of its earlier life for a new one.
    std::uint64_t m_lastRequestSequence = 0;
    std::vector<limit_partition> m_partitions; // by partition id
    std::unordered_map<customer_id, customer_limit> m_customers;
    timer_service m_timers;
    std::vector<limit_action> m_actions;
};

} // namespace tamarack
