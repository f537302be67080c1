// Runs a fiber for each request or connection. Each thread has its own part of the load and its own
// statistics, which are merged at the end.
#include <tamarackglade/load/load_client.hpp>
#include <tamarackglade/load/load_plan.hpp>
#include <tamarackglade/load/load_run.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <thread>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds DrainPollInterval{5};
constexpr std::chrono::milliseconds StopTimeout{2'000}; // to wait for aborted requests to return
constexpr std::chrono::milliseconds StartDelay{
    50}; // before the time zero of the plan, for the threads to start

void sleepUntil(time_point when)
{
    const duration left = when - steadyNow();
    if (left > duration{})
        boost::this_fiber::sleep_for(left);
}

// The part of a load run on one thread.
class load_shard
{
public:
    load_shard(io_thread &thread, const load_profile &profile)
        : m_profile(profile), m_client(thread.io(), profile)
    {
    }

    void runPlan(const std::vector<planned_request> &plan, std::size_t first, std::size_t step,
                 time_point start)
    {
        for (std::size_t i = first; i < plan.size(); i += step) {
            const time_point intended = start + plan[i].arrival;
            sleepUntil(intended);
            m_result.maxStartDelay = std::max(m_result.maxStartDelay, steadyNow() - intended);
            spawn([this, &request = plan[i], intended] { send(request, intended); });
        }
        drain(start + fromSeconds(m_profile.seconds + m_profile.drain));
    }

    void runConnections(unsigned connections, std::uint64_t seed, time_point start)
    {
        const time_point end = start + fromSeconds(m_profile.seconds);
        for (unsigned i = 0; i < connections; ++i)
            spawn([this, seed, i, start, end] { repeat(seed + i, start, end); });
        sleepUntil(end);
        drain(end + fromSeconds(m_profile.drain));
    }

    [[nodiscard]] const load_result &result() const { return m_result; }

private:
    void spawn(std::function<void()> body)
    {
        ++m_running;
        boost::fibers::fiber([this, body = std::move(body)] {
            body();
            --m_running;
        }).detach();
    }

    void send(const planned_request &request, time_point intended)
    {
        const request_outcome outcome = m_client.execute(request, intended);
        if (request.arrival >= fromSeconds(m_profile.warmup))
            m_result.statistics.record(request, outcome);
    }

    void repeat(std::uint64_t seed, time_point start, time_point end)
    {
        std::mt19937_64 random(seed);
        std::uniform_int_distribution<std::uint32_t> customer(
            0, static_cast<std::uint32_t>(m_profile.customers.size() - 1));
        for (time_point now = steadyNow(); now < end; now = steadyNow()) {
            planned_request request = randomRequest(m_profile, customer(random), random);
            request.arrival = now - start;
            send(request, now);
        }
    }

    void drain(time_point deadline)
    {
        while (m_running > 0 && steadyNow() < deadline)
            boost::this_fiber::sleep_for(DrainPollInterval);
        m_client.stop();
        const time_point stopDeadline = steadyNow() + StopTimeout;
        while (m_running > 0 && steadyNow() < stopDeadline)
            boost::this_fiber::sleep_for(DrainPollInterval);
    }

    const load_profile &m_profile;
    load_client m_client;
    load_result m_result;
    std::size_t m_running = 0; // fibers
};

using shard_body = std::function<void(load_shard &shard, unsigned index, time_point start)>;

load_result runShards(const load_profile &profile, unsigned threads, const shard_body &body)
{
    load_result result;
    result.measuredSeconds = profile.seconds - profile.warmup;
    std::vector<std::unique_ptr<io_thread>> workers;
    std::vector<std::unique_ptr<load_shard>> shards;
    for (unsigned i = 0; i < threads; ++i) {
        workers.push_back(std::make_unique<io_thread>());
        shards.push_back(std::make_unique<load_shard>(*workers.back(), profile));
    }
    const time_point start = steadyNow() + StartDelay;
    std::vector<std::thread> waiters;
    waiters.reserve(threads);
    for (unsigned i = 0; i < threads; ++i)
        waiters.emplace_back([&, i] { workers[i]->run([&] { body(*shards[i], i, start); }); });
    for (std::thread &waiter : waiters)
        waiter.join();
    for (unsigned i = 0; i < threads; ++i) {
        result.statistics.merge(shards[i]->result().statistics);
        result.maxStartDelay = std::max(result.maxStartDelay, shards[i]->result().maxStartDelay);
        workers[i]->run([&] { shards[i].reset(); });
    }
    return result;
}

} // namespace

load_result runOpenLoop(const load_profile &profile, const std::vector<planned_request> &plan,
                        unsigned threads)
{
    return runShards(profile, threads, [&](load_shard &shard, unsigned index, time_point start) {
        shard.runPlan(plan, index, threads, start);
    });
}

load_result runClosedLoop(const load_profile &profile, unsigned connections, unsigned threads)
{
    return runShards(profile, threads, [&](load_shard &shard, unsigned index, time_point start) {
        const unsigned share = connections / threads + (index < connections % threads ? 1 : 0);
        const std::uint64_t seed = profile.seed * 1'000'003ULL + index * 100'003ULL;
        shard.runConnections(share, seed, start);
    });
}

} // namespace tamarack
