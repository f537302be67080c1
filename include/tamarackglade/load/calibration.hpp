// Compares a running engine's iteration times with the formula.
#pragma once

#include <tamarackglade/load/engine_profile.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/// @brief One batch size of a calibration.
struct calibration_point
{
    std::uint32_t sequences = 0;
    double measured = 0; // seconds per token, median over the sequences; 0 if they failed
    double formula = 0; // seconds per token
};

/// @brief Streams n answers at once for n = 1, 2, 4 ... 32 from an engine and times their tokens.
std::vector<calibration_point> calibrate(const std::string &address, const std::string &model,
                                         const engine_profile &profile);

/// @return a table with the error of each point
std::string calibrationText(const std::vector<calibration_point> &points);

} // namespace tamarack
