// Random fault sequences for the fleet of limiters.
#include "support/limits_steps.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace tamarack::test {

namespace {

const std::array<customer_id, 3> Customers{customer_id("small"), customer_id("middle"),
                                           customer_id("large")};
constexpr std::array<customer_rate, 3> Rates{{{5, 3}, {20, 10}, {200, 40}}};
constexpr std::uint32_t Partitions = 3;
constexpr true_time Warmup = 4s;
constexpr true_time HealTime = 20s;
constexpr true_time CalmTime = 10s;

void changeRate(limits_fleet &fleet, const limits_step &step)
{
    const auto which = step.a % Customers.size();
    auto rate = Rates[which];
    const std::uint32_t factor = 1 + step.b % 3;
    rate.perSecond = rate.perSecond * factor / 2;
    rate.perSecond = std::floor(rate.perSecond);
    rate.burst = std::max<std::uint32_t>(1, rate.burst * factor / 2);
    fleet.setRate(Customers[which], rate, 3s);
}

void sendBurst(limits_fleet &fleet, const limits_step &step)
{
    const auto which = step.a % Customers.size();
    for (std::uint32_t i = 0; i < 2 * Rates[which].burst; ++i)
        fleet.offer(Customers[which], (step.b + i % 2) % fleet.entries());
}

void apply(limits_fleet &fleet, const limits_step &step)
{
    using enum limits_step_kind;
    const std::size_t a = step.a % fleet.entries();
    const std::size_t b = step.b % fleet.entries();
    const std::size_t home = fleet.homeOf(Customers[step.a % Customers.size()]);
    switch (step.kind) {
    case RemoveCustomer:
        fleet.removeCustomer(Customers[step.a % Customers.size()], 1s);
        break;
    case ListLag:
        fleet.network().listLag = std::chrono::milliseconds(step.b * 100);
        break;
    case Advance:
    case Count:
        break;
    case Kill:
        fleet.kill(a);
        break;
    case Restart:
        fleet.restart(a);
        break;
    case RestartAll:
        for (std::size_t i = 0; i < fleet.entries(); ++i)
            fleet.restart(i);
        break;
    case Pause:
        fleet.pause(a, std::chrono::milliseconds(step.b * 20));
        break;
    case CutOneWay:
        fleet.cut(a, b);
        break;
    case CutTwoWay:
        fleet.cut(a, b);
        fleet.cut(b, a);
        break;
    case CutLog:
        fleet.cutLog(a);
        break;
    case HealAll:
        fleet.healAll();
        break;
    case LogDown:
        fleet.setLog(false);
        break;
    case LogUp:
        fleet.setLog(true);
        break;
    case SlowNetwork:
        fleet.network().maxDelay = std::chrono::milliseconds(1 + step.a * 2);
        fleet.network().duplicates = step.b / 512.0;
        break;
    case NormalNetwork:
        fleet.network().maxDelay = 1200us;
        fleet.network().duplicates = 0;
        break;
    case ChangeRate:
        changeRate(fleet, step);
        break;
    case HandOver:
        fleet.handOver(a);
        break;
    case Burst:
        sendBurst(fleet, step);
        break;
    case KillHome:
        if (home < fleet.entries())
            fleet.kill(home);
        break;
    case PauseHome:
        if (home < fleet.entries())
            fleet.pause(home, std::chrono::milliseconds(step.b * 20));
        break;
    }
}

void healEverything(limits_fleet &fleet)
{
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        if (!fleet.alive(i) || fleet.handedOver(i))
            fleet.restart(i);
    }
    fleet.network() = {};
    fleet.setLog(true);
    fleet.healAll();
    for (std::size_t which = 0; which < Customers.size(); ++which)
        fleet.setRate(Customers[which], Rates[which], 1s);
}

std::uint64_t totalRefused(const limits_fleet &fleet)
{
    std::uint64_t sum = 0;
    for (const auto &[customer, counts] : fleet.counts())
        sum += counts.refusedWithin;
    return sum;
}

} // namespace

std::ostream &operator<<(std::ostream &out, const limits_step &step)
{
    return out << '{' << int(step.kind) << ',' << int(step.a) << ',' << int(step.b) << ','
               << step.ms << '}';
}

limits_outcome runSteps(const std::vector<limits_step> &steps, std::size_t entries,
                        std::uint64_t seed, limit_mutation mutation)
{
    limit_options options;
    options.partitions = Partitions;
    options.mutation = mutation;
    limits_fleet fleet(entries, options, seed);
    true_time loaded = Warmup;
    for (const auto &step : steps)
        loaded += std::chrono::milliseconds(step.ms);
    const std::vector<double> even(entries, 1);
    for (std::size_t which = 0; which < Customers.size(); ++which) {
        fleet.setRate(Customers[which], Rates[which]);
        fleet.load(Customers[which], 2 * Rates[which].perSecond, even, loaded);
    }
    fleet.advance(Warmup);
    for (const auto &step : steps) {
        apply(fleet, step);
        fleet.advance(std::chrono::milliseconds(step.ms));
    }
    healEverything(fleet);
    fleet.advance(HealTime);
    limits_outcome outcome;
    const auto refusedBefore = totalRefused(fleet);
    for (std::size_t which = 0; which < Customers.size(); ++which)
        fleet.loadWithin(Customers[which], Rates[which].perSecond * 0.8, even,
                         fleet.now() + CalmTime);
    std::uint64_t offeredBefore = 0;
    for (const auto &[customer, counts] : fleet.counts())
        offeredBefore += counts.offered;
    fleet.advance(CalmTime + 1s);
    outcome.refusedAfterHeal = totalRefused(fleet) - refusedBefore;
    for (const auto &[customer, counts] : fleet.counts()) {
        outcome.offered += counts.offered;
        outcome.admitted += counts.admitted;
        outcome.overAdmitted += counts.overAdmitted;
    }
    outcome.offeredAfterHeal = outcome.offered - offeredBefore;
    return outcome;
}

std::vector<limits_step> randomSteps(std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<limits_step> steps(count);
    for (auto &step : steps) {
        step.kind =
            static_cast<limits_step_kind>(random() % static_cast<int>(limits_step_kind::Count));
        step.a = static_cast<std::uint8_t>(random());
        step.b = static_cast<std::uint8_t>(random());
        step.ms = static_cast<std::uint16_t>(random() % MaxStepMs);
    }
    return steps;
}

} // namespace tamarack::test
