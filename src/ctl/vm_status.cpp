// Reads members of a status answer.
#include <tamarackglade/ctl/vm_status.hpp>

namespace tamarack {

std::optional<std::uint64_t> vm_status::number(const char *member) const
{
    if (!answer.is_object() || !answer.contains(member) || !answer[member].is_number_unsigned())
        return std::nullopt;
    return answer[member].get<std::uint64_t>();
}

bool vm_status::flag(const char *member) const
{
    return answer.is_object() && answer.contains(member) && answer[member].is_boolean()
           && answer[member].get<bool>();
}

bool vm_status::hasInForce(log_offset offset) const
{
    if (!isReached())
        return false;
    const auto configOffset = number("config_offset");
    return configOffset && *configOffset >= offset.value() && (flag("serving") || flag("draining"));
}

} // namespace tamarack
