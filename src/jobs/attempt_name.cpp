// Formatting and parsing of attempt ids.
#include <tamarackglade/jobs/attempt_name.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <string>
#include <vector>

namespace tamarack {

attempt_id attempt_name::toId() const
{
    return attempt_id(item.job.value() + ":" + std::to_string(item.item.value()) + ":"
                      + std::to_string(epoch.value()) + ":" + std::to_string(number));
}

std::optional<attempt_name> attempt_name::parse(const attempt_id &id)
{
    const std::vector<std::string> parts = absl::StrSplit(id.value(), ':');
    std::uint32_t item = 0;
    std::uint64_t epoch = 0;
    std::uint32_t number = 0;
    const bool isName = parts.size() == 4 && absl::SimpleAtoi(parts[1], &item)
                        && absl::SimpleAtoi(parts[2], &epoch)
                        && absl::SimpleAtoi(parts[3], &number);
    if (!isName)
        return std::nullopt;
    return attempt_name{{job_id(parts[0]), item_index(item)}, epoch_number(epoch), number};
}

} // namespace tamarack
