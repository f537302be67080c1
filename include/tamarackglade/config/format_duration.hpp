// Durations as manifests write them.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// @return a whole number with the largest unit that divides it: "90s", "24h", "360ms"
std::string formatDuration(duration value);

/// @brief Reads a number with one of the units ms, s, m, h, d.
/// @return none if the text isn't one, has no unit, or is negative
std::optional<duration> parseDuration(std::string_view text);

} // namespace tamarack
