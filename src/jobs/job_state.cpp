// API names of job states.
#include <tamarackglade/jobs/job_state.hpp>

#include <array>

namespace tamarack {

std::string_view jobStateName(job_state state)
{
    static constexpr std::array<std::string_view, 7> Names{
        "validating", "in_progress", "finalizing", "completed",
        "cancelling", "cancelled",   "expired"};
    return Names[static_cast<std::size_t>(state)];
}

} // namespace tamarack
