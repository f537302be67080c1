// Compares the token times of a running engine with the iteration formula of its profile.
#pragma once

#include <tamarackglade/load/engine_profile.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Measured and predicted token time at one batch size.
struct calibration_point
{
    std::uint32_t sequences = 0;
    double measured = 0; // seconds per token, median over the sequences; a failed one counts as 0
    double formula = 0; // seconds per token
};

/// @brief Streams n answers concurrently from an engine for n = 1, 2, 4, 8, 16, 32 and measures the
/// time between their tokens.
/// @param address ip:port of the engine
std::vector<calibration_point> calibrate(const std::string &address, const std::string &model,
                                         const engine_profile &profile);

/// @return a table with the relative error of the formula at each point
std::string calibrationText(const std::vector<calibration_point> &points);

} // namespace tamarack
