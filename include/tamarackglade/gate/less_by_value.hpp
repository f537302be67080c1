// Comparator of strong ids.
#pragma once

namespace tamarack {

/// @brief Orders strong ids by their underlying value, for ordered containers.
struct less_by_value
{
    template <class Id>
    bool operator()(const Id &a, const Id &b) const
    {
        return a.value() < b.value();
    }
};

} // namespace tamarack
