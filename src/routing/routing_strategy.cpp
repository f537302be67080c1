// The routing strategies.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/routing/routing_strategy.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace tamarack {

namespace {

using candidates_type = std::vector<route_candidate>;

std::size_t randomIndex(std::size_t count, std::mt19937_64 &random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

std::size_t betterOfTwo(const candidates_type &candidates, std::mt19937_64 &random)
{
    const auto first = randomIndex(candidates.size(), random);
    if (candidates.size() == 1)
        return first;
    const auto step = 1 + randomIndex(candidates.size() - 1, random);
    const auto second = (first + step) % candidates.size();
    return candidates[second].cost < candidates[first].cost ? second : first;
}

class random_strategy : public routing_strategy
{
public:
    std::size_t choose(const candidates_type &candidates, std::uint64_t /*prefixHash*/,
                       std::mt19937_64 &random) override
    {
        return randomIndex(candidates.size(), random);
    }
};

class round_robin_strategy : public routing_strategy
{
public:
    std::size_t choose(const candidates_type &candidates, std::uint64_t /*prefixHash*/,
                       std::mt19937_64 & /*random*/) override
    {
        return m_next++ % candidates.size();
    }

private:
    std::size_t m_next = 0;
};

class least_reported_strategy : public routing_strategy
{
public:
    std::size_t choose(const candidates_type &candidates, std::uint64_t /*prefixHash*/,
                       std::mt19937_64 & /*random*/) override
    {
        const auto less = [](const auto &a, const auto &b) {
            return a.reportedLoad < b.reportedLoad;
        };
        const auto leastLoaded = std::min_element(candidates.begin(), candidates.end(), less);
        return static_cast<std::size_t>(leastLoaded - candidates.begin());
    }
};

class two_choices_strategy : public routing_strategy
{
public:
    std::size_t choose(const candidates_type &candidates, std::uint64_t /*prefixHash*/,
                       std::mt19937_64 &random) override
    {
        return betterOfTwo(candidates, random);
    }
};

/// @brief Rendezvous hashing with bounded load.
/// Chooses the first candidate in the rank order of the prefix whose cost is within the bound.
/// Adding or removing a candidate moves only the prefixes of that candidate.
class prefix_bounded_strategy : public routing_strategy
{
public:
    explicit prefix_bounded_strategy(double boundFactor) : m_boundFactor(boundFactor) { }

    std::size_t choose(const candidates_type &candidates, std::uint64_t prefixHash,
                       std::mt19937_64 &random) override
    {
        if (prefixHash == 0)
            return betterOfTwo(candidates, random);
        double total = 1;
        for (const auto &candidate : candidates)
            total += candidate.cost;
        const auto mean = total / static_cast<double>(candidates.size());
        const auto bound = std::ceil(mean * m_boundFactor);
        for (const auto index : rank(candidates, prefixHash)) {
            if (candidates[index].cost <= bound)
                return index;
        }
        return betterOfTwo(candidates, random);
    }

private:
    static std::vector<std::size_t> rank(const candidates_type &candidates,
                                         std::uint64_t prefixHash)
    {
        std::vector<std::uint64_t> scores(candidates.size());
        for (std::size_t i = 0; i < candidates.size(); ++i)
            scores[i] = stableHash(candidates[i].id.value(), prefixHash);
        std::vector<std::size_t> order(candidates.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::sort(order.begin(), order.end(),
                  [&](std::size_t a, std::size_t b) { return scores[a] > scores[b]; });
        return order;
    }

    double m_boundFactor;
};

} // namespace

std::unique_ptr<routing_strategy> makeRoutingStrategy(const routing_options &options)
{
    switch (options.strategy) {
    case routing_strategy_kind::Random:
        return std::make_unique<random_strategy>();
    case routing_strategy_kind::RoundRobin:
        return std::make_unique<round_robin_strategy>();
    case routing_strategy_kind::LeastReported:
        return std::make_unique<least_reported_strategy>();
    case routing_strategy_kind::TwoChoices:
        return std::make_unique<two_choices_strategy>();
    case routing_strategy_kind::PrefixBounded:
        break;
    }
    return std::make_unique<prefix_bounded_strategy>(options.boundFactor);
}

} // namespace tamarack
