// Reads one option's value into a typed member.
#pragma once

#include <tamarackglade/config/format_duration.hpp>
#include <tamarackglade/config/group_kind.hpp>
#include <tamarackglade/config/objective_class.hpp>
#include <tamarackglade/config/objective_kind.hpp>
#include <tamarackglade/config/option_doc.hpp>
#include <tamarackglade/core/strong_id.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace tamarack {

/// @return whether text is a name: 1 to 40 of a-z, 0-9, '-', '_' and '.'
bool isManifestName(std::string_view text);

/// @brief Each reads text as doc says.
/// @return false, with value untouched, if text isn't as doc.expected() says
bool parseOption(std::string_view text, const option_doc &doc, std::uint32_t &value);
bool parseOption(std::string_view text, const option_doc &doc, double &value);
bool parseOption(std::string_view text, const option_doc &doc, duration &value);
bool parseOption(std::string_view text, const option_doc &doc, bool &value);
bool parseOption(std::string_view text, const option_doc &doc, std::string &value);
bool parseOption(std::string_view text, const option_doc &doc, std::vector<std::string> &value);

/// @return the index of text among doc.choices; none if it isn't there
std::optional<std::size_t> choiceIndex(std::string_view text, const option_doc &doc);

/// An enum whose values are in the order of doc.choices.
template <class Enum>
requires std::is_enum_v<Enum>
bool parseOption(std::string_view text, const option_doc &doc, Enum &value)
{
    const std::optional<std::size_t> index = choiceIndex(text, doc);
    if (index)
        value = static_cast<Enum>(*index);
    return index.has_value();
}

template <class Tag>
bool parseOption(std::string_view text, const option_doc &doc, strong_id<Tag, std::string> &value)
{
    std::string name;
    if (!parseOption(text, doc, name))
        return false;
    value = strong_id<Tag, std::string>(std::move(name));
    return true;
}

template <class Tag>
bool parseOption(std::string_view text, const option_doc &doc,
                 std::vector<strong_id<Tag, std::string>> &value)
{
    std::vector<std::string> names;
    if (!parseOption(text, doc, names))
        return false;
    value.clear();
    for (std::string &name : names)
        value.emplace_back(std::move(name));
    return true;
}

/// A list that has no limit, nullopt, if the text is "*". An empty text is an empty list.
template <class Value>
bool parseOption(std::string_view text, const option_doc &doc,
                 std::optional<std::vector<Value>> &value)
{
    if (text == "*") {
        value.reset();
        return true;
    }
    std::vector<Value> list;
    if (!parseOption(text, doc, list))
        return false;
    value = std::move(list);
    return true;
}

} // namespace tamarack
