// Rate limits that all gateways keep together: of customers and of upstreams.
#pragma once

#include <tamarackglade/rates/peer_table.hpp>
#include <tamarackglade/rates/shared_bucket.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Number of requests that a gateway has admitted for an id since it started.
template <class Id>
struct admitted_count
{
    Id id;
    std::uint64_t admitted = 0;
    double level = 0; // tokens in the gateway's bucket; may be negative
};

/// @brief Admits requests by shared token buckets. If the network is partitioned, the gateways of
/// each side use only their share, so that all gateways together stay within the rate.
///
/// Instantiated for customer_id and upstream_id.
template <class Id>
class shared_rates
{
public:
    explicit shared_rates(const peer_table &peerTable) : m_peerTable(peerTable) { }

    /// @brief Sets an id's rate (requests per second) and burst; a rate of 0 means no limit.
    void setLimit(const Id &id, double rate, double burst, time_point now);
    /// @brief Removes an id and its counts.
    void remove(const Id &id);

    /// @brief Admits or refuses a request. Ids without a limit are always admitted.
    /// @return nullopt if the request was admitted, else the expected time until a token is
    /// available
    std::optional<duration> admit(const Id &id, time_point now);
    /// @brief Counts a request that is sent in any case; the level may become negative.
    void take(const Id &id, time_point now);
    /// @return the tokens of an id; infinite without a limit
    [[nodiscard]] double tokens(const Id &id, time_point now) const;

    /// @brief Subtracts the requests that a peer has admitted since its last report. A bucket that
    /// has admitted no request adopts the first level that a reachable peer reports.
    /// @param incarnation of the peer; the counts of a new incarnation start at zero
    /// @param wasReachable whether the peer was reachable before this report; only then its
    /// admissions are subtracted, since otherwise it used a share of its own. The first total of an
    /// id that comes from a gateway which started earlier isn't subtracted, as most of it was
    /// admitted before this gateway's bucket began.
    void onPeerCounts(const vm_id &peer, incarnation_number incarnation,
                      const std::vector<admitted_count<Id>> &counts, bool wasReachable,
                      time_point now);

    /// @return this gateway's counts of admitted requests, for its reports
    [[nodiscard]] std::vector<admitted_count<Id>> ownCounts() const;
    /// @return this gateway's count of one id
    [[nodiscard]] admitted_count<Id> ownCount(const Id &id) const;

private:
    struct limit_state
    {
        shared_bucket bucket;
        bool limited = true;
        std::uint64_t admitted = 0;
        bool adopted = false; // a reachable peer has reported; later levels aren't adopted
    };
    struct peer_counts
    {
        incarnation_number incarnation;
        bool isOlder = false; // it started well before this gateway
        std::unordered_map<Id, std::uint64_t> admitted;
    };

    const peer_table &m_peerTable;
    std::unordered_map<Id, limit_state> m_limits;
    std::unordered_map<vm_id, peer_counts> m_peers;
};

extern template class shared_rates<customer_id>;
extern template class shared_rates<upstream_id>;

} // namespace tamarack
