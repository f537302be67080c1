// A value that names one kind of thing, so that ids of different kinds can't be mixed up.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace tamarack {

/// @brief An id of the kind that Tag names, held as Rep.
/// Ids compare and hash like their representation; there is no implicit conversion.
template <class Tag, class Rep>
class strong_id
{
public:
    using representation = Rep;

    strong_id() = default;
    explicit strong_id(Rep value) : m_value(std::move(value)) { }

    /// @return the representation, for codecs and messages
    [[nodiscard]] const Rep &value() const { return m_value; }

    friend bool operator==(const strong_id &, const strong_id &) = default;
    // NOLINTNEXTLINE(modernize-use-nullptr): taken for the 0 of a rewritten comparison
    friend auto operator<=>(const strong_id &, const strong_id &) = default;
    friend std::ostream &operator<<(std::ostream &out, const strong_id &id)
    {
        return out << id.m_value;
    }

private:
    Rep m_value{};
};

} // namespace tamarack

template <class Tag, class Rep>
struct std::hash<tamarack::strong_id<Tag, Rep>>
{
    std::size_t operator()(const tamarack::strong_id<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};
