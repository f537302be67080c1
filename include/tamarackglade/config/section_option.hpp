// A row of the option table, tied to the member that it sets.
#pragma once

#include <tamarackglade/config/option_doc.hpp>
#include <tamarackglade/config/parse_option.hpp>

namespace tamarack {

/// @brief One key of the section that Section holds.
template <class Section>
struct section_option
{
    option_doc doc;
    bool (*set)(Section &section, std::string_view text, const option_doc &doc);
};

/// @brief Reads text into one member of a section.
template <auto Member, class Section>
bool setOption(Section &section, std::string_view text, const option_doc &doc)
{
    return parseOption(text, doc, section.*Member);
}

} // namespace tamarack
