// Parameters of a load run.
#pragma once

#include <tamarackglade/load/arrival_shape.hpp>
#include <tamarackglade/load/load_batch.hpp>
#include <tamarackglade/load/load_class.hpp>
#include <tamarackglade/load/load_customer.hpp>
#include <tamarackglade/load/load_target.hpp>

#include <cstdint>
#include <vector>

namespace tamarack {

/// @brief Duration, arrival rate and contents of a run. A profile without faults in
/// checkLoadProfile() has at least one target, customer and class.
struct load_profile
{
    std::uint32_t seed = 1;
    double seconds = 10; // during which requests arrive
    double warmup = 0; // seconds at the start that are left out of the results
    double drain = 30; // seconds to wait for answers after the last arrival
    std::uint32_t maxRequests = 1'000'000; // in a plan; a larger plan is rejected
    arrival_shape shape = arrival_shape::Steady;
    double burstFactor = 4; // multiplies the rate during a burst
    double burstSeconds = 1; // length of a burst
    double burstInterval = 5; // seconds between the starts of bursts
    double diurnalPeriod = 60; // seconds
    double diurnalDepth = 0.5; // amplitude as a share of the rate, 0 to 1
    std::vector<load_target> targets;
    std::vector<load_customer> customers;
    std::vector<load_class> classes;
    std::vector<load_batch> batches;
};

} // namespace tamarack
