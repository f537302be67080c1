// The rates of all customers over all gateways.
#pragma once

#include <tamarackglade/rates/peer_table.hpp>
#include <tamarackglade/rates/shared_bucket.hpp>

#include <optional>
#include <unordered_map>

namespace tamarack {

/// @brief How many requests a gateway has admitted for a customer since it incarnation.
struct admitted_count
{
    customer_id customer;
    std::uint64_t admitted = 0;
    double level = 0; // tokens in the gateway's bucket
};

/// @brief Admits requests by shared buckets. Two groups of gateways that don't hear each other each
/// use their own share, so that all together stay within the rate.
class shared_rates
{
public:
    explicit shared_rates(const peer_table &peerTable) : m_peerTable(peerTable) { }

    /// @brief Sets a customer's rate and burst; a rate of 0 is no limit.
    void setLimit(const customer_id &customer, double rate, double burst, time_point now);

    /// @brief Admits a request or tells when to come back.
    /// @return nullopt if admitted, else the time until a token is expected
    std::optional<duration> admit(const customer_id &customer, time_point now);

    /// @brief Takes a peer's counts. A new bucket takes over the first level that is told.
    /// @param wasReachable whether the peer drew from our buckets since its last report
    void onPeerCounts(const vm_id &peer, incarnation_number incarnation,
                      const std::vector<admitted_count> &counts, bool wasReachable, time_point now);

    /// @return this gateway's counts, for its reports
    [[nodiscard]] std::vector<admitted_count> ownCounts() const;

private:
    struct customer_state
    {
        shared_bucket bucket;
        bool limited = true;
        std::uint64_t admitted = 0;
        bool adopted = false; // the level of a peer, or none was needed any more
    };
    struct peer_counts
    {
        incarnation_number incarnation;
        std::unordered_map<customer_id, std::uint64_t> admitted;
    };

    const peer_table &m_peerTable;
    std::unordered_map<customer_id, customer_state> m_customers;
    std::unordered_map<vm_id, peer_counts> m_peers;
};

} // namespace tamarack
