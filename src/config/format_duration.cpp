// Durations with units.
#include <tamarackglade/config/format_duration.hpp>
#include <tamarackglade/ini/text.hpp>

#include <array>
#include <cmath>
#include <utility>

namespace tamarack {

namespace {

using namespace std::chrono_literals;

// Longer than any duration that a manifest may hold, in seconds.
constexpr double MaxSeconds = 1e9;

// Larger units first; "ms" before "s" and "m", whose last letters it shares.
constexpr std::array<std::pair<std::string_view, duration>, 5> Units{
    {{"d", 24h}, {"h", 1h}, {"m", 1min}, {"s", 1s}, {"ms", 1ms}}};

std::optional<duration> unitOf(std::string_view name)
{
    for (const auto &[unit, size] : Units) {
        if (unit == name)
            return size;
    }
    return std::nullopt;
}

} // namespace

std::string formatDuration(duration value)
{
    for (const auto &[unit, size] : Units) {
        if (value != duration::zero() && value % size == duration::zero())
            return concat(value / size, unit);
    }
    return concat(value / duration(1ms), "ms");
}

std::optional<duration> parseDuration(std::string_view text)
{
    const std::size_t end = text.find_last_of("0123456789.");
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::optional<duration> unit = unitOf(text.substr(end + 1));
    const std::optional<double> number = parseNumber<double>(text.substr(0, end + 1));
    if (!unit || !number)
        return std::nullopt;
    const double seconds = *number * toSeconds(*unit);
    if (!(seconds >= 0 && seconds <= MaxSeconds))
        return std::nullopt;
    // Rounds to whole milliseconds, so that 0.1s is not a nanosecond short.
    return std::chrono::milliseconds(std::llround(seconds * 1000));
}

} // namespace tamarack
