// Parsing of the platform's VM list.
#include <tamarackglade/membership/vm_list.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace tamarack {

namespace {

using nlohmann::json;

const std::map<std::string, vm_role> Roles{
    {"entry", vm_role::Entry}, {"side", vm_role::Side}, {"service", vm_role::Service}};
const std::map<std::string, listed_state> States{{"live", listed_state::Live},
                                                 {"leaving", listed_state::Leaving}};

absl::Status invalidEntry(std::size_t index, const std::string &what)
{
    return absl::InvalidArgumentError("VM list entry " + std::to_string(index) + ": " + what);
}

std::optional<std::string> readString(const json &entry, const char *field)
{
    const auto found = entry.find(field);
    if (found == entry.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

template <class Value>
std::optional<Value> readEnum(const json &entry, const char *field,
                              const std::map<std::string, Value> &choices)
{
    const auto found = choices.find(readString(entry, field).value_or(""));
    if (found == choices.end())
        return std::nullopt;
    return found->second;
}

absl::StatusOr<listed_vm> parseEntry(const json &entry, std::size_t index)
{
    if (!entry.is_object())
        return invalidEntry(index, "not an object");
    for (const char *field : {"vm", "zone", "region", "address"}) {
        if (readString(entry, field).value_or("").empty())
            return invalidEntry(index, std::string(field) + " is not a non-empty string");
    }
    const auto incarnation = entry.find("incarnation");
    if (incarnation == entry.end() || !incarnation->is_number_unsigned())
        return invalidEntry(index, "incarnation is not an unsigned integer");
    const auto role = readEnum(entry, "role", Roles);
    if (!role)
        return invalidEntry(index, "role is not entry, side or service");
    const auto state = readEnum(entry, "state", States);
    if (!state)
        return invalidEntry(index, "state is not live or leaving");
    listed_vm vm;
    vm.vm = vm_id(*readString(entry, "vm"));
    vm.incarnation = incarnation_number(incarnation->get<std::uint64_t>());
    vm.role = *role;
    vm.group = group_id(readString(entry, "group").value_or(""));
    vm.zone = zone_id(*readString(entry, "zone"));
    vm.region = region_id(*readString(entry, "region"));
    vm.address = *readString(entry, "address");
    vm.state = *state;
    if (vm.role != vm_role::Entry && vm.group.value().empty())
        return invalidEntry(index, "group is empty");
    return vm;
}

} // namespace

absl::StatusOr<vm_list> parseVmList(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_array())
        return absl::InvalidArgumentError("VM list is not a JSON array");
    vm_list list;
    std::set<vm_id> seen;
    for (std::size_t index = 0; index < document.size(); ++index) {
        absl::StatusOr<listed_vm> entry = parseEntry(document[index], index);
        if (!entry.ok())
            return entry.status();
        if (!seen.insert(entry->vm).second)
            return invalidEntry(index, "vm is listed twice");
        list.push_back(*std::move(entry));
    }
    return list;
}

} // namespace tamarack
