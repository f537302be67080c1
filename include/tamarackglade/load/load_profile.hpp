// All that a load run needs to know.
#pragma once

#include <tamarackglade/load/arrival_shape.hpp>
#include <tamarackglade/load/load_batch.hpp>
#include <tamarackglade/load/load_class.hpp>
#include <tamarackglade/load/load_customer.hpp>
#include <tamarackglade/load/load_target.hpp>

#include <cstdint>
#include <vector>

namespace tamarack {

/// @brief A checked profile: at least one target, customer and class.
struct load_profile
{
    std::uint32_t seed = 1;
    double seconds = 10; // in which requests arrive
    double warmup = 0; // seconds at the start that aren't measured
    double drain = 30; // seconds to wait for answers after the last arrival
    std::uint32_t maxRequests = 1'000'000; // a plan with more is refused
    arrival_shape shape = arrival_shape::Steady;
    double burstFactor = 4; // of the rate, in a burst
    double burstSeconds = 1; // length of a burst
    double burstInterval = 5; // seconds from burst to burst
    double diurnalPeriod = 60; // seconds
    double diurnalDepth = 0.5; // 0 to 1, of the rate
    std::vector<load_target> targets;
    std::vector<load_customer> customers;
    std::vector<load_class> classes;
    std::vector<load_batch> batches;
};

} // namespace tamarack
