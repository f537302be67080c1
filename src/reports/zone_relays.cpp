// Ranks the gateways of a zone by a hash of their names.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/reports/zone_relays.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::uint64_t RelaySeed = 0x52656c6179; // differs from other choices by the same names

std::uint64_t weightOf(const gateway_member &gateway)
{
    return stableHash(gateway.vm.value(), RelaySeed);
}

bool isBefore(const gateway_member &left, const gateway_member &right)
{
    return std::pair(weightOf(right), right.vm) < std::pair(weightOf(left), left.vm);
}

} // namespace

std::vector<gateway_member> rankRelays(std::vector<gateway_member> gateways)
{
    std::sort(gateways.begin(), gateways.end(), isBefore);
    return gateways;
}

std::optional<std::size_t> relayRank(const gateway_member &self,
                                     const std::vector<gateway_member> &reachable)
{
    const auto rank = static_cast<std::size_t>(
        std::count_if(reachable.begin(), reachable.end(),
                      [&](const gateway_member &each) { return isBefore(each, self); }));
    return rank < RelaysPerZone ? std::optional(rank) : std::nullopt;
}

const gateway_member &relayTarget(std::size_t rank, const std::vector<gateway_member> &gateways,
                                  bool isReceived, std::size_t attempt)
{
    const std::size_t index = isReceived ? rank : rank + RelaysPerZone * attempt;
    return gateways[index % gateways.size()];
}

} // namespace tamarack
