// Formatting and parsing of attempt ids.
#include <tamarackglade/gate/call_attempt_name.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <string>
#include <string_view>

namespace tamarack {

namespace {

/// @brief Removes a trailing "/<number>" from text.
/// @return the number; nullopt if text does not end with one
std::optional<std::uint64_t> removeLastNumber(std::string_view &text)
{
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto digits = text.substr(slash + 1);
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &number))
        return std::nullopt;
    text = text.substr(0, slash);
    return number;
}

} // namespace

attempt_id call_attempt_name::format() const
{
    return attempt_id(absl::StrCat(entry.value(), "/", entryIncarnation.value(), "/", sequence, "/",
                                   sideIncarnation.value()));
}

std::optional<call_attempt_name> call_attempt_name::parse(const attempt_id &id)
{
    std::string_view rest = id.value();
    const auto side = removeLastNumber(rest);
    const auto sequence = side ? removeLastNumber(rest) : std::nullopt;
    const auto entry = sequence ? removeLastNumber(rest) : std::nullopt;
    if (!entry || rest.empty())
        return std::nullopt;
    return call_attempt_name{vm_id(std::string(rest)), incarnation_number(*entry), *sequence,
                             incarnation_number(*side)};
}

} // namespace tamarack
