// The only place that reads clocks.
#include <tamarackglade/runtime/steady_now.hpp>

namespace tamarack {

time_point steadyNow()
{
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

std::uint64_t wallSeconds()
{
    return wallMicros() / 1'000'000;
}

std::uint64_t wallMicros()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace tamarack
