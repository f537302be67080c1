// Text of what an option takes.
#include <tamarackglade/config/format_duration.hpp>
#include <tamarackglade/config/option_doc.hpp>
#include <tamarackglade/ini/text.hpp>

namespace tamarack {

namespace {

std::string joinChoices(std::string_view choices)
{
    std::string text;
    for (const std::string_view choice : splitText(choices, '|'))
        text += concat(text.empty() ? "" : ", ", choice);
    return text;
}

} // namespace

std::string option_doc::expected() const
{
    switch (type) {
    case option_type::Integer:
        return concat("an integer from ", min, " to ", max);
    case option_type::Number:
        return concat("a number from ", min, " to ", max);
    case option_type::Duration:
        return concat("a duration from ", formatDuration(fromSeconds(min)), " to ",
                      formatDuration(fromSeconds(max)), " with unit ms, s, m, h or d");
    case option_type::YesNo:
        return "yes or no";
    case option_type::Text:
        return "a text";
    case option_type::Name:
        return "a name of at most 40 of a-z, 0-9, '-', '_' and '.'";
    case option_type::List:
        return "names separated by commas, or *";
    case option_type::Choice:
        return "one of " + joinChoices(choices);
    }
    return "";
}

} // namespace tamarack
