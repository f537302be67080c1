// Key of an item: its job and its index in the job.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <tuple>

namespace tamarack {

struct item_key
{
    job_id job;
    item_index item;

    friend bool operator==(const item_key &, const item_key &) = default;
    friend bool operator<(const item_key &a, const item_key &b)
    {
        return std::tie(a.job, a.item) < std::tie(b.job, b.item);
    }
};

} // namespace tamarack

template <>
struct std::hash<tamarack::item_key>
{
    std::size_t operator()(const tamarack::item_key &key) const noexcept
    {
        return std::hash<tamarack::job_id>{}(key.job) * 31 + key.item.value();
    }
};
