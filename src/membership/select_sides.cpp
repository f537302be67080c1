// Selection of sides by rendezvous hashing.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/membership/select_sides.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace tamarack {

namespace {

struct scored_side
{
    std::uint64_t score = 0; // higher is better
    const listed_vm *side = nullptr;
};

using scored_sides = std::vector<scored_side>;

bool isBetter(const scored_side &left, const scored_side &right)
{
    return left.score != right.score ? left.score > right.score : left.side->vm < right.side->vm;
}

// Returns the ranked sides of each zone other than the entry's, in a zone order specific to the
// entry.
std::vector<scored_sides> otherZones(const scored_sides &ranked, const zone_id &zone,
                                     std::uint64_t seed)
{
    std::map<std::pair<std::uint64_t, zone_id>, scored_sides> zones;
    for (const scored_side &entry : ranked) {
        const zone_id &other = entry.side->zone;
        if (other != zone)
            zones[{stableHash(other.value(), seed), other}].push_back(entry);
    }
    std::vector<scored_sides> result;
    result.reserve(zones.size());
    for (auto &[order, sides] : zones)
        result.push_back(std::move(sides));
    return result;
}

// Selects the best sides of the own zone up to its share, then the best of each other zone in turn,
// then, if these are too few, more of the own zone.
scored_sides selectFromGroup(const scored_sides &ranked, const zone_id &zone, std::uint64_t seed,
                             const subset_options &options)
{
    const std::size_t subsetSize = std::min(options.perGroup, ranked.size());
    scored_sides own;
    std::copy_if(ranked.begin(), ranked.end(), std::back_inserter(own),
                 [&](const scored_side &entry) { return entry.side->zone == zone; });
    const std::size_t share = std::min({options.sameZone, subsetSize, own.size()});
    const auto shareEnd = own.begin() + static_cast<std::ptrdiff_t>(share);
    scored_sides chosen(own.begin(), shareEnd);
    const std::vector<scored_sides> zones = otherZones(ranked, zone, seed);
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        for (const scored_sides &sides : zones) {
            if (rank < sides.size() && chosen.size() < subsetSize)
                chosen.push_back(sides[rank]);
        }
    }
    const auto missing = static_cast<std::ptrdiff_t>(subsetSize - chosen.size());
    chosen.insert(chosen.end(), shareEnd, shareEnd + missing);
    return chosen;
}

} // namespace

std::vector<listed_vm> selectSides(const vm_id &entry, const zone_id &zone,
                                   std::span<const listed_vm> sides, const subset_options &options)
{
    const std::uint64_t seed = stableHash(entry.value());
    std::map<group_id, scored_sides> groups;
    for (const listed_vm &side : sides)
        groups[side.group].push_back({stableHash(side.vm.value(), seed), &side});
    std::vector<listed_vm> chosen;
    for (auto &[group, ranked] : groups) {
        std::sort(ranked.begin(), ranked.end(), isBetter);
        for (const scored_side &pick : selectFromGroup(ranked, zone, seed, options))
            chosen.push_back(*pick.side);
    }
    std::sort(chosen.begin(), chosen.end(), [](const listed_vm &left, const listed_vm &right) {
        return left.group != right.group ? left.group < right.group : left.vm < right.vm;
    });
    return chosen;
}

} // namespace tamarack
