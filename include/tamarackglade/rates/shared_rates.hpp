// Rate limits of all customers, shared by all gateways.
#pragma once

#include <tamarackglade/rates/peer_table.hpp>
#include <tamarackglade/rates/shared_bucket.hpp>

#include <optional>
#include <unordered_map>

namespace tamarack {

/// @brief Number of requests that a gateway has admitted for a customer since it started.
struct admitted_count
{
    customer_id customer;
    std::uint64_t admitted = 0;
    double level = 0; // tokens in the gateway's bucket; may be negative
};

/// @brief Admits requests by shared token buckets. If the network is partitioned, the gateways of
/// each side use only their share, so that all gateways together stay within the rate.
class shared_rates
{
public:
    explicit shared_rates(const peer_table &peerTable) : m_peerTable(peerTable) { }

    /// @brief Sets a customer's rate (requests per second) and burst; a rate of 0 means no limit.
    void setLimit(const customer_id &customer, double rate, double burst, time_point now);

    /// @brief Admits or refuses a request. Customers without a limit are always admitted.
    /// @return nullopt if the request was admitted, else the expected time until a token is
    /// available
    std::optional<duration> admit(const customer_id &customer, time_point now);

    /// @brief Subtracts the requests that a peer has admitted since its last report. A bucket that
    /// has admitted no request adopts the first level that a reachable peer reports.
    /// @param incarnation of the peer; the counts of a new incarnation start at zero
    /// @param wasReachable whether the peer was reachable before this report; only then its
    /// admissions are subtracted, since otherwise it used a share of its own
    void onPeerCounts(const vm_id &peer, incarnation_number incarnation,
                      const std::vector<admitted_count> &counts, bool wasReachable, time_point now);

    /// @return this gateway's counts of admitted requests, for its reports
    [[nodiscard]] std::vector<admitted_count> ownCounts() const;

private:
    struct customer_state
    {
        shared_bucket bucket;
        bool limited = true;
        std::uint64_t admitted = 0;
        bool adopted = false; // a reachable peer has reported; later levels aren't adopted
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
