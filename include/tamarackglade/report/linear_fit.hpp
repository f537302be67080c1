// A straight line through measured points.
#pragma once

#include <span>

namespace tamarack {

/// @brief y = base + slope * x, by least squares.
struct linear_fit
{
    double base = 0; // y at x = 0
    double slope = 0; // y per x
    double residual = 0; // root of the mean squared distance from the line, in units of y

    /// @brief Fits a line; with equal x everywhere the slope is 0. The spans have one length.
    static linear_fit through(std::span<const double> x, std::span<const double> y);
};

} // namespace tamarack
