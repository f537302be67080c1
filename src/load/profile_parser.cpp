// Parses a profile with one table of keys for each kind of section.
#include <tamarackglade/ini/ini_document.hpp>
#include <tamarackglade/load/profile_parser.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <map>
#include <variant>

namespace tamarack {

namespace {

// A key of a section, the member that it sets, and the range of a number.
template <class Section>
struct profile_key
{
    std::string_view name;
    std::variant<double Section::*, std::uint32_t Section::*, std::string Section::*,
                 arrival_shape Section::*>
        member;
    double minimum = 0;
    double maximum = 0;
};

const profile_key<load_profile> RunKeys[] = {
    {"seed", &load_profile::seed, 0, 4e9},
    {"seconds", &load_profile::seconds, 0.01, 86'400},
    {"warmup", &load_profile::warmup, 0, 86'400},
    {"drain", &load_profile::drain, 0, 3'600},
    {"max-requests", &load_profile::maxRequests, 1, 50e6},
    {"shape", &load_profile::shape},
    {"burst-factor", &load_profile::burstFactor, 0, 1'000},
    {"burst-seconds", &load_profile::burstSeconds, 0.001, 3'600},
    {"burst-every", &load_profile::burstInterval, 0.001, 86'400},
    {"diurnal-period", &load_profile::diurnalPeriod, 0.1, 86'400},
    {"diurnal-depth", &load_profile::diurnalDepth, 0, 1},
};

const profile_key<load_target> TargetKeys[] = {
    {"address", &load_target::address},
    {"weight", &load_target::weight, 0, 1e6},
};

const profile_key<load_customer> CustomerKeys[] = {
    {"rate", &load_customer::rate, 0, 1e6},
    {"burst", &load_customer::burst, 0, 1e6},
    {"load", &load_customer::load, 0, 1e6},
    {"excess", &load_customer::excess, 0, 1'000},
};

const profile_key<load_class> ClassKeys[] = {
    {"model", &load_class::model},
    {"share", &load_class::share, 0, 1e6},
    {"streamed", &load_class::streamed, 0, 1},
    {"prompt-tokens", &load_class::promptTokens, 1, 1e6},
    {"shared-tokens", &load_class::sharedTokens, 0, 1e6},
    {"prefixes", &load_class::prefixes, 1, 1e6},
    {"max-tokens", &load_class::maxTokens, 1, 1e6},
};

const profile_key<load_batch> BatchKeys[] = {
    {"customer", &load_batch::customer},
    {"model", &load_batch::model},
    {"start", &load_batch::start, 0, 86'400},
    {"items", &load_batch::items, 1, 150'000},
    {"prompt-tokens", &load_batch::promptTokens, 1, 1e6},
    {"max-tokens", &load_batch::maxTokens, 1, 1e6},
};

bool setMember(arrival_shape &member, const std::string &value)
{
    static const std::map<std::string, arrival_shape> Shapes{{"steady", arrival_shape::Steady},
                                                             {"bursty", arrival_shape::Bursty},
                                                             {"diurnal", arrival_shape::Diurnal}};
    const auto found = Shapes.find(value);
    if (found != Shapes.end())
        member = found->second;
    return found != Shapes.end();
}

// Returns a description of the expected value, or an empty text if the value was set.
template <class Section>
std::string setKey(Section &section, const profile_key<Section> &key, const std::string &value)
{
    if (const auto *text = std::get_if<std::string Section::*>(&key.member)) {
        section.*(*text) = value;
        return value.empty() ? "a text" : "";
    }
    if (const auto *shape = std::get_if<arrival_shape Section::*>(&key.member))
        return setMember(section.*(*shape), value) ? "" : "steady, bursty or diurnal";
    double number = 0;
    if (!absl::SimpleAtod(value, &number) || !(number >= key.minimum && number <= key.maximum))
        return absl::StrCat("a number from ", key.minimum, " to ", key.maximum);
    if (const auto *real = std::get_if<double Section::*>(&key.member)) {
        section.*(*real) = number;
        return "";
    }
    std::uint32_t whole = 0;
    if (!absl::SimpleAtoi(value, &whole))
        return absl::StrCat("a whole number from ", key.minimum, " to ", key.maximum);
    section.*std::get<std::uint32_t Section::*>(key.member) = whole;
    return "";
}

template <class Section, std::size_t Size>
std::string setInTable(Section &section, const profile_key<Section> (&table)[Size],
                       const std::string &name, const std::string &value)
{
    const auto *const key = std::ranges::find(table, name, &profile_key<Section>::name);
    if (key != std::end(table))
        return setKey(section, *key, value);
    std::string known = "one of";
    for (const auto &each : table)
        absl::StrAppend(&known, " ", std::string(each.name));
    return known;
}

// Returns the section of that name, which is added if it does not exist.
template <class Section>
Section &findOrAddSection(std::vector<Section> &sections, const std::string &name)
{
    const auto found = std::ranges::find(sections, name, &Section::name);
    if (found != sections.end())
        return *found;
    sections.emplace_back().name = name;
    return sections.back();
}

std::string setEntry(load_profile &profile, const std::string &section, const ini_entry &entry)
{
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(section, absl::MaxSplits(' ', 1));
    const auto &[kind, name] = parts;
    if (section == "run")
        return setInTable(profile, RunKeys, entry.key, entry.value);
    if (kind == "target" && !name.empty())
        return setInTable(findOrAddSection(profile.targets, name), TargetKeys, entry.key,
                          entry.value);
    if (kind == "customer" && !name.empty())
        return setInTable(findOrAddSection(profile.customers, name), CustomerKeys, entry.key,
                          entry.value);
    if (kind == "class" && !name.empty())
        return setInTable(findOrAddSection(profile.classes, name), ClassKeys, entry.key,
                          entry.value);
    if (kind == "batch" && !name.empty())
        return setInTable(findOrAddSection(profile.batches, name), BatchKeys, entry.key,
                          entry.value);
    return "a section [run], [target NAME], [customer NAME], [class NAME] or [batch NAME]";
}

} // namespace

parsed_profile parseLoadProfile(const std::string &text)
{
    parsed_profile parsed;
    const ini_document document = readIni(text);
    for (const ini_section &section : document.sections) {
        for (const ini_entry &entry : section.entries) {
            const std::string expected = setEntry(parsed.profile, section.header, entry);
            if (!expected.empty())
                parsed.faults.push_back(absl::StrCat("line ", entry.line, ": [", section.header,
                                                     "] ", entry.key, ": expected ", expected,
                                                     ", found '", entry.value, "'"));
        }
    }
    for (const manifest_fault &fault : document.faults)
        parsed.faults.push_back(absl::StrCat("line ", fault.line, ": expected ", fault.expected));
    return parsed;
}

absl::Status setRunOption(load_profile &profile, const std::string &key, const std::string &value)
{
    const std::string expected = setInTable(profile, RunKeys, key, value);
    if (expected.empty())
        return absl::OkStatus();
    return absl::InvalidArgumentError(
        absl::StrCat(key, ": expected ", expected, ", found '", value, "'"));
}

absl::Status setCustomerKeys(load_profile &profile, const std::string &text)
{
    std::map<std::string, std::string> keys;
    for (const absl::string_view line : absl::StrSplit(text, '\n', absl::SkipWhitespace())) {
        const std::vector<std::string> words =
            absl::StrSplit(line, absl::ByAnyChar(" \t\r"), absl::SkipEmpty());
        if (words.size() != 2)
            return absl::InvalidArgumentError("the key file must have lines 'CUSTOMER KEY'");
        keys[words[0]] = words[1];
    }
    for (load_customer &customer : profile.customers) {
        customer.key = keys[customer.name];
        if (customer.key.empty())
            return absl::InvalidArgumentError(
                absl::StrCat("the key file has no key for customer ", customer.name));
    }
    return absl::OkStatus();
}

std::vector<std::string> checkLoadProfile(const load_profile &profile)
{
    std::vector<std::string> faults;
    const auto positive = [](const auto &sections, auto member) {
        return std::ranges::any_of(sections,
                                   [&](const auto &section) { return section.*member > 0; });
    };
    if (!positive(profile.targets, &load_target::weight))
        faults.emplace_back("expected a [target NAME] with a weight above 0");
    for (const load_target &target : profile.targets) {
        if (target.address.empty())
            faults.push_back(absl::StrCat("[target ", target.name, "] expected an address"));
    }
    if (!positive(profile.customers, &load_customer::load))
        faults.emplace_back("expected a [customer NAME] with a load above 0");
    if (!positive(profile.classes, &load_class::share))
        faults.emplace_back("expected a [class NAME] with a share above 0");
    for (const load_batch &batch : profile.batches) {
        if (std::ranges::find(profile.customers, batch.customer, &load_customer::name)
            == profile.customers.end())
            faults.push_back(absl::StrCat("[batch ", batch.name, "] customer: '", batch.customer,
                                          "' has no section"));
    }
    if (profile.warmup >= profile.seconds)
        faults.emplace_back("warmup must be less than seconds");
    return faults;
}

} // namespace tamarack
