// The rate limits of one entry process, driven by events and time.
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

/// @brief Admits requests so that the whole fleet stays within each customer's rate and burst.
/// Not thread-safe; the process guards it with a shard's lock. After any call, the caller carries
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

    /// @brief Requests a token. The result is an admit_ticket or refuse_ticket action, at once or
    /// within maxWait; a customer without a rate is refused at once.
    void admit(const customer_id &customer, std::uint64_t ticket, time_point now);

    /// @brief Removes a waiting request; no action follows for it.
    void cancelTicket(const customer_id &customer, std::uint64_t ticket);

    /// @brief Dispatches a message of another entry's limiter to its handler.
    void onMessage(const vm_id &from, const limit_message &message, time_point now);

    void onLoanRequest(const vm_id &from, const schema::loan_request_message &request,
                       time_point now);
    void onLoanGrant(const vm_id &from, const schema::loan_grant_message &grant, time_point now);
    void onLeasePing(const vm_id &from, const schema::lease_ping_message &ping, time_point now);
    void onLeaseAck(const vm_id &from, const schema::lease_ack_message &ack, time_point now);

    /// @brief Answers with this entry's homes if the sender's digest differs.
    void onHomesRequest(const vm_id &from, const schema::homes_request_message &request);
    /// @brief Applies the homes that a peer folded.
    void onHomesSnapshot(const schema::homes_snapshot_message &snapshot, time_point now);

    /// @brief Folds the next record of the stream "homes". Repeats are ignored by their offset.
    void onHomeRecord(log_offset offset, const schema::home_claimed_message &claim, time_point now);

    /// @brief Handles a claim that was certainly not appended. An append with an unknown outcome
    /// must not be reported here.
    void onAppendFailed(const schema::home_claimed_message &claim, time_point now);

    /// @brief Stores a new answer of the VM list: the entry VMs, live or leaving.
    void onEntries(const std::vector<live_entry> &entries, time_point now);

    /// @brief Sets the connected entries that accept work. Successors are chosen from them, and the
    /// homes are requested from them. Until the first call, every listed entry may be a successor.
    void onPeers(const std::vector<vm_id> &peers);

    /// @brief Sets whether the log is reachable. While it is not, nothing is claimed, and the homes
    /// are requested from peers.
    void onLogReachable(bool reachable) { m_logReachable = reachable; }

    void tick(time_point now) { m_timers.advance(now); }
    [[nodiscard]] std::optional<time_point> nextDeadline() const { return m_timers.nextExpiry(); }

    /// @brief Hands over every home of this entry to its successor, for a planned stop.
    void handOver(time_point now);

    /// @return whether this entry still is home of partitions that it has to hand over before it
    /// ends
    [[nodiscard]] bool mustHandOver() const;

    /// @return the actions since the last call, in order
    std::vector<limit_action> takeActions();

    /// @return whether this entry may lend for the customer's partition now
    [[nodiscard]] bool isLending(const customer_id &customer, time_point now) const;

    /// @return the home of the customer's partition as folded
    [[nodiscard]] const std::optional<home_record> &homeRecord(const customer_id &customer) const;

    /// @return the estimated memory of the customers' state, in bytes
    [[nodiscard]] std::size_t stateBytes() const;

private:
    /// Delay before the next attempt if the home is unknown or does not lend.
    static constexpr duration NoHomeRetryDelay = std::chrono::milliseconds(20);
    /// Minimum retry delay that is reported when no token is available.
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
    std::vector<vm_id> m_peers; // connected entries that accept work
    time_point m_nextHomesRequestAt{};
    log_offset m_lastOffset;
    // Sequence number of the last loan request. All customers share one count, so that a customer
    // that was removed and added again never accepts a grant from before its removal.
    std::uint64_t m_lastRequestSequence = 0;
    std::vector<limit_partition> m_partitions; // by partition id
    std::unordered_map<customer_id, customer_limit> m_customers;
    timer_service m_timers;
    std::vector<limit_action> m_actions;
};

} // namespace tamarack
