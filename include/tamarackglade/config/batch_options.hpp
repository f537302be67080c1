// Section [batch] of the manifest.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>

namespace tamarack {

struct batch_options
{
    duration resultExpiry{}; // results stay readable this long after the job ends
    duration minWindow{}; // shortest completion window; at most maxWindow
    duration maxWindow{};
    std::uint32_t maxItems = 0;
    // Percent, 0 to 100: how much of the engines' room for batch is given up for the online tail.
    std::uint32_t onlineProtection = 0;
};

} // namespace tamarack
