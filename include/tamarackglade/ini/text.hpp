// Functions to trim, split, parse and concatenate text. Abseil's don't fit, because Debian builds
// it with its own string_view instead of std::string_view.
#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace tamarack {

/// @brief Removes ASCII white space from both ends.
/// @return a view into text; empty if text is only white space
std::string_view trimmed(std::string_view text);

/// @brief Splits a text at each separator. Empty parts are kept.
/// @return views into text; one empty part if text is empty
std::vector<std::string_view> splitText(std::string_view text, char separator);

/// @brief Parses a whole text as a decimal number, as std::from_chars does.
/// @return the number; none if it is out of range, or if any of the text is not part of it
template <class Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// @brief Formats a number in decimal digits, without an exponent.
/// @return the shortest such text that parses to the same number
template <class Number>
requires std::is_arithmetic_v<Number> std::string toText(Number number)
{
    char buffer[400]; // the longest double in fixed notation has 327 characters
    std::to_chars_result end{};
    if constexpr (std::is_floating_point_v<Number>)
        end = std::to_chars(buffer, buffer + sizeof buffer, number, std::chars_format::fixed);
    else
        end = std::to_chars(buffer, buffer + sizeof buffer, number);
    return {buffer, end.ptr};
}

/// @brief Returns a text unchanged; concat() uses it for parts that are texts.
inline std::string_view toText(std::string_view text)
{
    return text;
}

/// @brief Concatenates texts and numbers.
/// @param parts texts, or numbers to format with toText()
template <class... Parts>
std::string concat(const Parts &...parts)
{
    std::string text;
    ((text += toText(parts)), ...);
    return text;
}

} // namespace tamarack
