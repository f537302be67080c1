// Implements quantiles with std::nth_element.
#include <tamarackglade/load/quantile.hpp>

#include <algorithm>
#include <cstddef>

namespace tamarack {

double quantile(std::vector<double> &values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    const auto position = values.begin() + index;
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace tamarack
