// Sorts members by their rendezvous weight for the stream.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/resumption/origin_keepers.hpp>

#include <algorithm>

namespace tamarack {

std::vector<gateway_member> originKeepers(stream_key stream, std::vector<gateway_member> members,
                                          std::size_t count)
{
    const auto weight = [&](const gateway_member &member) {
        return stableHash(member.vm.value(), stream.value());
    };
    const std::size_t size = std::min(count, members.size());
    std::partial_sort(
        members.begin(), members.begin() + static_cast<std::ptrdiff_t>(size), members.end(),
        [&](const auto &left, const auto &right) { return weight(left) > weight(right); });
    members.resize(size);
    return members;
}

} // namespace tamarack
