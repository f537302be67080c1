// Least-squares fit of one variable.
#include <tamarackglade/report/linear_fit.hpp>

#include <cmath>
#include <cstddef>
#include <numeric>

namespace tamarack {

namespace {

double meanOf(std::span<const double> values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

} // namespace

linear_fit linear_fit::through(std::span<const double> x, std::span<const double> y)
{
    linear_fit fit;
    if (x.empty())
        return fit;
    const double meanX = meanOf(x);
    const double meanY = meanOf(y);
    double products = 0;
    double squares = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        products += (x[i] - meanX) * (y[i] - meanY);
        squares += (x[i] - meanX) * (x[i] - meanX);
    }
    fit.slope = squares > 0 ? products / squares : 0;
    fit.base = meanY - fit.slope * meanX;
    double errors = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        const double error = y[i] - fit.base - fit.slope * x[i];
        errors += error * error;
    }
    fit.residual = std::sqrt(errors / static_cast<double>(x.size()));
    return fit;
}

} // namespace tamarack
