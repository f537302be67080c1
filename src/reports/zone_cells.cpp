// Orders gateways and upstreams by the hashes of their names and cuts the order into equal runs.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/reports/zone_cells.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t GatewaysPerCell = 9;

std::size_t cellCount(std::size_t gateways)
{
    return std::max<std::size_t>(1, (gateways + GatewaysPerCell / 2) / GatewaysPerCell);
}

std::pair<std::uint64_t, std::string> placeOf(const std::string &name)
{
    return {stableHash(name), name};
}

} // namespace

zone_cell cellOf(const gateway_member &self, const std::vector<gateway_member> &zonePeers,
                 const upstream_directory &directory)
{
    std::vector<gateway_member> gateways = zonePeers;
    gateways.push_back(self);
    std::sort(gateways.begin(), gateways.end(), [](const auto &left, const auto &right) {
        return placeOf(left.vm.value()) < placeOf(right.vm.value());
    });
    const std::size_t cells = cellCount(gateways.size());
    const auto cellOfRank = [&](std::size_t rank, std::size_t count) {
        return rank * cells / count;
    };
    const auto own = std::find_if(gateways.begin(), gateways.end(),
                                  [&](const auto &each) { return each.vm == self.vm; });
    const std::size_t ownCell =
        cellOfRank(static_cast<std::size_t>(own - gateways.begin()), gateways.size());
    zone_cell cell;
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        if (cellOfRank(i, gateways.size()) == ownCell && gateways[i].vm != self.vm)
            cell.peers.push_back(gateways[i]);
    }
    std::map<group_id, std::vector<std::pair<std::uint64_t, std::string>>> groups;
    for (const auto &[id, upstream] : directory.upstreams()) {
        if (upstream.zone == self.zone && !upstream.leaving)
            groups[upstream.group].push_back(placeOf(id.value()));
    }
    for (auto &[group, upstreams] : groups) {
        std::sort(upstreams.begin(), upstreams.end());
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            if (cellOfRank(i, upstreams.size()) == ownCell)
                cell.upstreams.emplace(upstreams[i].second);
        }
    }
    return cell;
}

} // namespace tamarack
