// Plans Poisson arrivals of a varying rate by thinning and marks those within the rate limit.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/load/load_plan.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace tamarack {

namespace {

template <class Section>
std::uint32_t weightedChoice(const std::vector<Section> &sections, double Section::*weight,
                             std::mt19937_64 &random)
{
    double total = 0;
    for (const Section &section : sections)
        total += section.*weight;
    double point = std::uniform_real_distribution<double>(0, total)(random);
    for (std::uint32_t i = 0; i < sections.size(); ++i) {
        point -= sections[i].*weight;
        if (point < 0)
            return i;
    }
    return static_cast<std::uint32_t>(sections.size() - 1);
}

double peakFactor(const load_profile &profile)
{
    switch (profile.shape) {
    case arrival_shape::Bursty:
        return std::max(1.0, profile.burstFactor);
    case arrival_shape::Diurnal:
        return 1 + profile.diurnalDepth;
    case arrival_shape::Steady:
        break;
    }
    return 1;
}

// Marks the requests that a token bucket of the customer's rate and burst would admit.
void markWithinRate(const load_customer &customer, std::vector<planned_request> &requests)
{
    if (customer.rate <= 0)
        return;
    const double burst = std::max(1.0, customer.burst);
    double level = burst;
    duration updated{};
    for (planned_request &request : requests) {
        level = std::min(burst, level + customer.rate * toSeconds(request.arrival - updated));
        updated = request.arrival;
        request.withinRate = level >= 1;
        if (request.withinRate)
            level -= 1;
    }
}

std::vector<planned_request> planCustomer(const load_profile &profile, std::uint32_t customer,
                                          std::size_t limit)
{
    std::mt19937_64 random(stableHash(profile.customers[customer].name, profile.seed));
    const double rate = profile.customers[customer].load * profile.customers[customer].excess;
    const double peak = rate * peakFactor(profile);
    std::vector<planned_request> requests;
    if (peak <= 0)
        return requests;
    std::exponential_distribution<double> gap(peak);
    std::uniform_real_distribution<double> share(0, 1);
    for (double at = gap(random); at < profile.seconds && requests.size() <= limit;
         at += gap(random)) {
        if (share(random) * peak >= rate * shapeFactor(profile, at))
            continue;
        planned_request request = randomRequest(profile, customer, random);
        request.arrival = fromSeconds(at);
        requests.push_back(request);
    }
    markWithinRate(profile.customers[customer], requests);
    return requests;
}

} // namespace

absl::StatusOr<std::vector<planned_request>> planRequests(const load_profile &profile)
{
    std::vector<planned_request> plan;
    for (std::uint32_t customer = 0; customer < profile.customers.size(); ++customer) {
        const auto requests = planCustomer(profile, customer, profile.maxRequests);
        plan.insert(plan.end(), requests.begin(), requests.end());
        if (plan.size() > profile.maxRequests)
            return absl::ResourceExhaustedError(
                absl::StrCat("the profile has more than ", profile.maxRequests, " requests"));
    }
    std::ranges::stable_sort(plan, {}, &planned_request::arrival);
    return plan;
}

planned_request randomRequest(const load_profile &profile, std::uint32_t customer,
                              std::mt19937_64 &random)
{
    planned_request request;
    request.customer = customer;
    request.requestClass = weightedChoice(profile.classes, &load_class::share, random);
    request.target = weightedChoice(profile.targets, &load_target::weight, random);
    request.streamed =
        std::bernoulli_distribution(profile.classes[request.requestClass].streamed)(random);
    request.promptSeed = random();
    return request;
}

std::string promptText(const load_profile &profile, const planned_request &request)
{
    const load_class &kind = profile.classes[request.requestClass];
    const std::uint32_t shared = std::min(kind.sharedTokens, kind.promptTokens);
    const std::uint64_t prefixSeed =
        stableHash(profile.customers[request.customer].name, request.promptSeed % kind.prefixes);
    return seededText(prefixSeed, shared)
           + seededText(request.promptSeed, kind.promptTokens - shared);
}

std::string seededText(std::uint64_t seed, std::uint32_t tokens)
{
    std::mt19937_64 random(seed);
    std::string text;
    text.reserve(tokens * 4);
    for (std::uint32_t i = 0; i < tokens; ++i) {
        std::uint64_t bits = random();
        for (int letter = 0; letter < 3; ++letter, bits /= 26)
            text += static_cast<char>('a' + bits % 26);
        text += ' ';
    }
    return text;
}

double shapeFactor(const load_profile &profile, double seconds)
{
    switch (profile.shape) {
    case arrival_shape::Bursty:
        return std::fmod(seconds, profile.burstInterval) < profile.burstSeconds
                   ? profile.burstFactor
                   : 1;
    case arrival_shape::Diurnal:
        return 1
               + profile.diurnalDepth
                     * std::sin(2 * std::numbers::pi * seconds / profile.diurnalPeriod);
    case arrival_shape::Steady:
        break;
    }
    return 1;
}

} // namespace tamarack
