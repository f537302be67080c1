// Implements the failure messages of tamarackctl.
#include <tamarackglade/ctl/ctl_failure.hpp>
#include <tamarackglade/ctl/exit_code.hpp>

#include <absl/strings/str_cat.h>

namespace tamarack {

int printUsageError(ctl_context &context, const std::string &usage)
{
    context.output.error(absl::StrCat("usage: tamarackctl ", usage));
    return ExitUsage;
}

int printFailure(ctl_context &context, const absl::Status &status)
{
    context.output.error(std::string(status.message()));
    if (!absl::IsUnknown(status))
        return ExitFailed;
    context.output.error(
        "whether the command took effect is unknown: check with 'status' and try again");
    return ExitUnknown;
}

} // namespace tamarack
