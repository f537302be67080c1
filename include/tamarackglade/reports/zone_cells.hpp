// Divides a zone's gateways and upstreams into cells.
#pragma once

#include <tamarackglade/placement/upstream_directory.hpp>
#include <tamarackglade/rates/peer_table.hpp>

#include <cstddef>
#include <unordered_set>
#include <vector>

namespace tamarack {

/// @brief The gateways and upstreams of this gateway's cell.
struct zone_cell
{
    std::vector<gateway_member> peers; // without this gateway
    std::unordered_set<upstream_id> upstreams;
};

/// @brief Divides a zone into cells of a few gateways that prefer the same few upstreams.
///
/// The gateways of a cell tell each other several times in 100 ms which slots they use, which those
/// of a whole zone could not. Cells are runs of a fixed order, so that few gateways and upstreams
/// move to another cell when one comes or goes. Gateways that know different members may disagree
/// for a moment, which only changes what they prefer.
/// @param self this gateway
/// @param zonePeers the other gateways of its zone
zone_cell cellOf(const gateway_member &self, const std::vector<gateway_member> &zonePeers,
                 const upstream_directory &directory);

} // namespace tamarack
