// Linear regression of measured points.
#pragma once

#include <span>

namespace tamarack {

/// @brief y = base + slope * x, by least squares.
struct linear_fit
{
    double base = 0; // y at x = 0
    double slope = 0; // y per x
    double residual = 0; // root mean square of the distances in y from the line

    /// @brief Fits a line. The slope is 0 if all x are equal.
    /// @param x values of the independent variable
    /// @param y as many values as x
    static linear_fit through(std::span<const double> x, std::span<const double> y);
};

} // namespace tamarack
