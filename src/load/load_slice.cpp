// Implements the sum of two slices.
#include <tamarackglade/load/load_slice.hpp>

namespace tamarack {

void load_slice::merge(const load_slice &other)
{
    intended += other.intended;
    whole += other.whole;
    for (const auto &[reason, count] : other.reasons)
        reasons[reason] += count;
}

} // namespace tamarack
