// Names of the gateway's mutations.
#include "gateway_mutation.hpp"

#include <algorithm>
#include <array>

namespace tamarack {

std::optional<gateway_mutation> gatewayMutationFrom(std::string_view name)
{
    using enum gateway_mutation;
    struct row
    {
        std::string_view name;
        gateway_mutation mutation;
    };
    static constexpr std::array<row, 16> Rows{{{"", None},
                                               {"ClaimNotRun", ClaimNotRun},
                                               {"AnyAnswer", AnyAnswer},
                                               {"AnyInstance", AnyInstance},
                                               {"IgnoreLeaving", IgnoreLeaving},
                                               {"IgnoreLeavingHeader", IgnoreLeavingHeader},
                                               {"IgnoreEvacuations", IgnoreEvacuations},
                                               {"IgnoreWarmUps", IgnoreWarmUps},
                                               {"KeepCustomerHeader", KeepCustomerHeader},
                                               {"ForwardKey", ForwardKey},
                                               {"AcknowledgeUnstored", AcknowledgeUnstored},
                                               {"RefuseUnknown", RefuseUnknown},
                                               {"AlwaysCurrent", AlwaysCurrent},
                                               {"IgnoreCondition", IgnoreCondition},
                                               {"AnyText", AnyText},
                                               {"ForgetEnds", ForgetEnds}}};
    const auto found =
        std::find_if(Rows.begin(), Rows.end(), [&](const row &each) { return each.name == name; });
    return found == Rows.end() ? std::nullopt : std::optional(found->mutation);
}

} // namespace tamarack
