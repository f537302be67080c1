// Chooses the gateways that pass reports from zone to zone.
#pragma once

#include <tamarackglade/rates/peer_table.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace tamarack {

/// Gateways of a zone that report to other zones; the second covers the loss of the first.
constexpr std::size_t RelaysPerZone = 2;

/// @brief Orders the gateways of a zone by rendezvous hashing, so that all that know the same ones
/// choose the same relays without an election.
/// @param gateways of one zone
/// @return the gateways, first choice first
std::vector<gateway_member> rankRelays(std::vector<gateway_member> gateways);

/// @brief Determines whether this gateway is a relay of its zone.
/// @param self this gateway
/// @param reachable the other gateways of the zone that reach this one
/// @return its rank among the relays, from 0; nullopt if it is none
std::optional<std::size_t> relayRank(const gateway_member &self,
                                     const std::vector<gateway_member> &reachable);

/// @brief Chooses the gateway of another zone that a relay reports to. Relays of the same rank
/// report to each other.
/// @param rank of the sender
/// @param gateways of the other zone; must not be empty
/// @param isReceived whether reports of that zone arrive; otherwise each attempt asks another
/// gateway, since the first choices may be lost
/// @param attempt number of the report
const gateway_member &relayTarget(std::size_t rank, const std::vector<gateway_member> &gateways,
                                  bool isReceived, std::size_t attempt);

} // namespace tamarack
