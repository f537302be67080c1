// CLOCK_BOOTTIME as the decisions' time points.
#include <tamarackglade/runtime/boot_now.hpp>

#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace tamarack {

time_point bootNow()
{
    timespec time{};
    // Without this clock nothing would grow old, a confirmation of withdrawn keys neither.
    if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        std::perror("CLOCK_BOOTTIME can't be read");
        std::abort();
    }
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace tamarack
