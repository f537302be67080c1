// Trimming and splitting.
#include <tamarackglade/ini/text.hpp>

namespace tamarack {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Space = " \t\r\n\v\f";
    const std::size_t first = text.find_first_not_of(Space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Space) - first + 1);
}

std::vector<std::string_view> splitText(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (std::size_t end = text.find(separator); end != std::string_view::npos;
         end = text.find(separator)) {
        parts.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    parts.push_back(text);
    return parts;
}

} // namespace tamarack
