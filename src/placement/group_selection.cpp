// Tries conditions on the groups, from the strictest to the weakest.
#include <tamarackglade/forward/group_choice.hpp>
#include <tamarackglade/placement/group_selection.hpp>

#include <algorithm>
#include <functional>

namespace tamarack {

const group_id &selectGroup(const std::vector<weighted_group> &groups, const request_id &id,
                            const slot_allocator &allocator, const std::set<upstream_id> &tried,
                            time_point now)
{
    if (groups.size() == 1)
        return groups.front().group;
    const std::function<bool(const group_id &)> conditions[] = {
        [&](const group_id &group) { return allocator.takesWork(group, tried, now); },
        [&](const group_id &group) { return allocator.takesWork(group, {}, now); },
        [&](const group_id &group) { return allocator.knows(group); },
    };
    for (const auto &holds : conditions) {
        const bool any = std::any_of(groups.begin(), groups.end(), [&](const auto &each) {
            return each.weight > 0 && holds(each.group);
        });
        if (any)
            return chooseUsableGroup(groups, id, holds);
    }
    return chooseGroup(groups, id);
}

} // namespace tamarack
