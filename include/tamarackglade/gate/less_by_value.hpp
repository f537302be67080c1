// Orders ids by their representation.
#pragma once

namespace tamarack {

/// @brief A comparison for ordered containers of strong ids.
struct less_by_value
{
    template <class Id>
    bool operator()(const Id &a, const Id &b) const
    {
        return a.value() < b.value();
    }
};

} // namespace tamarack
