// Checking and reading of setting values.
#include <tamarackglade/settings/setting_values.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cassert>

namespace tamarack {

namespace {

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string_view::npos
        || !absl::SimpleAtoi(absl::string_view(text.data() + colon + 1, text.size() - colon - 1),
                             &port)
        || port > 65535)
        return false;
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    return !error;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    for (absl::string_view part : absl::StrSplit(text, ',', absl::SkipWhitespace()))
        parts.emplace_back(absl::StripAsciiWhitespace(part));
    return parts;
}

bool isAddressList(const std::string &text)
{
    const auto parts = splitList(text);
    return std::all_of(parts.begin(), parts.end(),
                       [](const std::string &part) { return isAddress(part); });
}

bool isInRange(const setting_option &option, const std::string &text)
{
    std::int64_t value = 0;
    return absl::SimpleAtoi(text, &value) && value >= option.minimum && value <= option.maximum;
}

bool isSecondsInRange(const setting_option &option, const std::string &text)
{
    double value = 0;
    return absl::SimpleAtod(text, &value) && value >= static_cast<double>(option.minimum)
           && value <= static_cast<double>(option.maximum);
}

bool isChoice(const setting_option &option, const std::string &text)
{
    const std::vector<std::string> choices =
        absl::StrSplit(absl::string_view(option.choices.data(), option.choices.size()), '|');
    return std::find(choices.begin(), choices.end(), text) != choices.end();
}

bool isValid(const setting_option &option, const std::string &text)
{
    switch (option.type) {
    case setting_type::Text:
        return true;
    case setting_type::Integer:
    case setting_type::Milliseconds:
        return isInRange(option, text);
    case setting_type::Seconds:
        return isSecondsInRange(option, text);
    case setting_type::Flag:
        return text == "yes" || text == "no";
    case setting_type::Choice:
        return isChoice(option, text);
    case setting_type::Address:
        return isAddress(text);
    case setting_type::AddressList:
        return isAddressList(text);
    }
    return false;
}

std::string expectation(const setting_option &option)
{
    switch (option.type) {
    case setting_type::Text:
        return "text";
    case setting_type::Integer:
    case setting_type::Milliseconds:
        return absl::StrCat("a whole number from ", option.minimum, " to ", option.maximum,
                            option.unit.empty() ? "" : " ", std::string(option.unit));
    case setting_type::Seconds:
        return absl::StrCat("a number from ", option.minimum, " to ", option.maximum, " ",
                            std::string(option.unit));
    case setting_type::Flag:
        return "yes or no";
    case setting_type::Choice:
        return absl::StrCat("one of ", std::string(option.choices));
    case setting_type::Address:
        return "ip:port";
    case setting_type::AddressList:
        return "ip:port, separated by commas";
    }
    return {};
}

} // namespace

std::string setting_fault::text() const
{
    const std::string place = line > 0 ? absl::StrCat(source, ":", line) : source;
    return absl::StrCat(place, ": ", key, ": expected ", expected, ", found ",
                        found.empty() ? "nothing" : absl::StrCat("'", found, "'"));
}

setting_values::setting_values(const option_table &table) : m_table(table)
{
    for (const setting_option &option : table.options)
        m_values.emplace(option.name, option.defaultValue);
}

void setting_values::set(std::string_view name, const std::string &text, const std::string &source,
                         int line, std::vector<setting_fault> &faults)
{
    const setting_option *option = m_table.find(name);
    if (option == nullptr) {
        faults.push_back({source, line, std::string(name), text, "a known setting"});
        return;
    }
    // Without a value an optional setting keeps its default.
    if (text.empty() && !option->required && option->defaultValue.empty())
        return;
    if (!isValid(*option, text) || (option->required && text.empty())) {
        faults.push_back({source, line, std::string(name), text, expectation(*option)});
        return;
    }
    m_values.find(name)->second = text;
}

void setting_values::checkRequired(const std::string &source,
                                   std::vector<setting_fault> &faults) const
{
    for (const setting_option &option : m_table.options) {
        if (option.required && text(option.name).empty())
            faults.push_back({source, 0, std::string(option.name), "", expectation(option)});
        const bool lacksOther =
            !option.needs.empty() && !text(option.name).empty() && text(option.needs).empty();
        if (lacksOther)
            faults.push_back({source, 0, std::string(option.needs), "",
                              absl::StrCat("a value, as ", std::string(option.name), " has one")});
    }
}

const std::string &setting_values::text(std::string_view name) const
{
    const auto found = m_values.find(name);
    assert(found != m_values.end() && "a setting that its table lacks");
    return found->second;
}

std::int64_t setting_values::integer(std::string_view name) const
{
    std::int64_t value = 0;
    const bool parsed = absl::SimpleAtoi(text(name), &value);
    assert(parsed && "a number that was not checked");
    (void)parsed;
    return value;
}

std::chrono::milliseconds setting_values::milliseconds(std::string_view name) const
{
    return std::chrono::milliseconds(integer(name));
}

std::chrono::milliseconds setting_values::seconds(std::string_view name) const
{
    double value = 0;
    const bool parsed = absl::SimpleAtod(text(name), &value);
    assert(parsed && "a number that was not checked");
    (void)parsed;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(value));
}

bool setting_values::flag(std::string_view name) const
{
    return text(name) == "yes";
}

std::vector<std::string> setting_values::list(std::string_view name) const
{
    return splitList(text(name));
}

} // namespace tamarack
