// Decides when the configuration is appended to the log again, before its records expire there.
#pragma once

#include <tamarackglade/config/config_fold.hpp>
#include <tamarackglade/core/time.hpp>

#include <optional>
#include <random>

namespace tamarack {

/// @brief Every process runs one; random delays make one of them act, the others see its record.
///
/// A snapshot is due once the latest one in the log is older than half the retention, and is
/// appended within a further eighth, so it always lands before anything it needs expires.
class config_retention
{
public:
    /// @brief Asks whether to append a snapshot now; a yes counts as an attempt.
    /// @param wallSeconds wall time in seconds; a wrong clock only costs early or repeated appends
    bool shouldAppend(time_point now, std::uint64_t wallSeconds, const config_fold &fold,
                      std::mt19937_64 &random);

private:
    std::optional<time_point> m_due; // none while the latest snapshot is young
};

} // namespace tamarack
