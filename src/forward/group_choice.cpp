// Maps the hash of an id to the range of the weights' sum.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/forward/group_choice.hpp>

namespace tamarack {

const group_id &chooseGroup(const std::vector<weighted_group> &groups, const request_id &id)
{
    return chooseUsableGroup(groups, id, [](const group_id &) { return true; });
}

const group_id &chooseUsableGroup(const std::vector<weighted_group> &groups, const request_id &id,
                                  const std::function<bool(const group_id &)> &isUsable)
{
    double sum = 0;
    for (const weighted_group &each : groups)
        sum += isUsable(each.group) ? each.weight : 0;
    const bool countsAll = sum <= 0;
    if (countsAll) {
        for (const weighted_group &each : groups)
            sum += each.weight;
    }
    constexpr std::uint64_t Steps = 1'000'000;
    double remaining = sum * static_cast<double>(stableHash(id.value()) % Steps) / Steps;
    const group_id *last = &groups.back().group;
    for (const weighted_group &each : groups) {
        if (!countsAll && !isUsable(each.group))
            continue;
        last = &each.group;
        remaining -= each.weight;
        if (remaining < 0)
            break;
    }
    return *last;
}

} // namespace tamarack
