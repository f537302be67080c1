// Exchange of the origins of streams with other gateways.
#pragma once

#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/rates/peer_table.hpp>
#include <tamarackglade/resumption/origin_search.hpp>
#include <tamarackglade/resumption/origin_table.hpp>
#include <tamarackglade/schema/peer_generated.h>

#include <boost/fiber/future.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tamarack {

/// @brief Result of the search for an origin.
struct origin_lookup
{
    std::optional<stream_origin> origin; // nullopt if unknown
    const char *source = "nowhere"; // who kept it, for logs
    std::size_t asked = 0; // other gateways
    std::size_t silent = 0; // of those, without an answer in time
};

/// @brief Gives the origin of each stream that begins here to a few other gateways, and asks them
/// for those that began elsewhere. It outlasts the loss of the gateway that began the stream, and
/// needs no store. All calls on the gateway's thread.
class origin_exchange
{
public:
    using datagram_sender = std::function<void(const gateway_member &to, const std::string &bytes)>;

    origin_exchange(const vm_id &self, peer_table &peers, metric_registry &metrics)
        : m_self(self), m_peers(peers), m_metrics(metrics)
    {
    }

    void setSender(datagram_sender send) { m_send = std::move(send); }

    /// @brief Keeps the origin here and at other gateways. Call before the caller has an event.
    void share(stream_key stream, const stream_origin &origin);
    /// @brief Gives the origins that no gateway could receive to those that can by now; call
    /// several times a second.
    void tick();
    /// @brief Finds the origin here or at other gateways; the fiber waits for their answers.
    origin_lookup find(stream_key stream);
    /// @brief Applies a datagram of another gateway.
    /// @param reply set to the datagram to send back, if any
    /// @return false if it is no message of this exchange
    bool onDatagram(std::string_view bytes, std::string &reply);

private:
    struct running_search
    {
        stream_key stream;
        origin_search search;
        boost::fibers::promise<void> finished;
    };

    struct unshared_origin
    {
        stream_key stream;
        stream_origin origin;
    };

    void sendTo(const std::vector<gateway_member> &gateways, stream_key stream,
                const stream_origin &origin);
    [[nodiscard]] origin_lookup ask(stream_key stream);
    void onAnswer(const schema::origin_message_message &message);
    void count(const origin_lookup &lookup);

    const vm_id m_self;
    peer_table &m_peers;
    metric_registry &m_metrics;
    datagram_sender m_send;
    origin_table m_table;
    std::deque<unshared_origin> m_unshared; // began while no other gateway was reachable
    std::uint64_t m_lastQuery = 0;
    std::unordered_map<std::uint64_t, running_search *> m_searches; // by number; not owned
};

} // namespace tamarack
