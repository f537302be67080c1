// CLOCK_BOOTTIME as the decisions' time points.
#include <tamarackglade/runtime/boot_now.hpp>

#include <ctime>

namespace tamarack {

time_point bootNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace tamarack
