// Values of the manifest's options.
#include <tamarackglade/config/parse_option.hpp>
#include <tamarackglade/ini/text.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::size_t MaxNameLength = 40;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

} // namespace

bool isManifestName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool parseOption(std::string_view text, const option_doc &doc, std::uint32_t &value)
{
    const std::optional<std::uint32_t> number = parseNumber<std::uint32_t>(text);
    if (!number || *number < doc.min || *number > doc.max)
        return false;
    value = *number;
    return true;
}

bool parseOption(std::string_view text, const option_doc &doc, double &value)
{
    const std::optional<double> number = parseNumber<double>(text);
    if (!number || !(*number >= doc.min && *number <= doc.max))
        return false;
    value = *number;
    return true;
}

bool parseOption(std::string_view text, const option_doc &doc, duration &value)
{
    const std::optional<duration> parsed = parseDuration(text);
    if (!parsed || *parsed < fromSeconds(doc.min) || *parsed > fromSeconds(doc.max))
        return false;
    value = *parsed;
    return true;
}

bool parseOption(std::string_view text, const option_doc & /*doc*/, bool &value)
{
    if (text != "yes" && text != "no")
        return false;
    value = text == "yes";
    return true;
}

bool parseOption(std::string_view text, const option_doc &doc, std::string &value)
{
    if (doc.type == option_type::Name && !isManifestName(text))
        return false;
    value = std::string(text);
    return true;
}

bool parseOption(std::string_view text, const option_doc & /*doc*/, std::vector<std::string> &value)
{
    value.clear();
    if (text == "*" || text.empty())
        return true;
    for (const std::string_view piece : splitText(text, ',')) {
        const std::string_view part = trimmed(piece);
        const bool repeated = std::find(value.begin(), value.end(), part) != value.end();
        if (part.empty() || part == "*" || repeated)
            return false;
        value.emplace_back(part);
    }
    return true;
}

std::optional<std::size_t> choiceIndex(std::string_view text, const option_doc &doc)
{
    const std::vector<std::string_view> choices = splitText(doc.choices, '|');
    const auto found = std::find(choices.begin(), choices.end(), text);
    if (found == choices.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - choices.begin());
}

} // namespace tamarack
