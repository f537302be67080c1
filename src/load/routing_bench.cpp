// Implements the routing benchmark as a loop over arrivals, routers and engine models; each step is
// 1 ms.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/load/engine_model.hpp>
#include <tamarackglade/load/quantile.hpp>
#include <tamarackglade/load/routing_bench.hpp>
#include <tamarackglade/routing/router.hpp>

#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tamarack {

namespace {

constexpr duration Tick = std::chrono::milliseconds(1);
constexpr duration ReportInterval = std::chrono::milliseconds(250);
constexpr time_point Start{std::chrono::hours(1)};
constexpr std::size_t PrefixLength = 6'000; // characters
constexpr std::size_t TailLength = 400;

class routing_bench
{
public:
    explicit routing_bench(const routing_bench_options &options)
        : m_options(options), m_random(options.seed)
    {
        engine_profile profile;
        profile.cacheBlocks = options.cacheBlocks;
        std::vector<upstream_info> upstreams;
        upstreams.reserve(options.engines);
        for (std::size_t i = 0; i < options.engines; ++i) {
            m_engines.emplace_back(profile);
            upstreams.push_back({nameOf(i), group_id("g"), zone_id("z"), {}});
        }
        routing_options routes;
        routes.strategy = options.strategy;
        for (std::size_t i = 0; i < options.entries; ++i) {
            auto &entryRouter = m_routers.emplace_back(routes, std::mt19937_64(options.seed + i));
            entryRouter.setUpstreams(upstreams);
            for (const auto &upstream : upstreams)
                entryRouter.onConnected(upstream.id, Start - std::chrono::hours(1));
        }
    }

    routing_bench_result run()
    {
        std::exponential_distribution<double> wait(m_options.callsPerSecond);
        auto arrival = Start + fromSeconds(wait(m_random));
        while (m_now < Start + m_options.length) {
            m_now += Tick;
            deliverTokens();
            report();
            for (; arrival <= m_now; arrival += fromSeconds(wait(m_random)))
                send(arrival);
        }
        return result();
    }

private:
    struct stream
    {
        std::size_t entry = 0;
        time_point arrived{};
        bool answered = false;
    };
    struct delayed_report
    {
        time_point due{};
        std::size_t engine = 0;
        schema::load_report_message report;
    };

    static upstream_id nameOf(std::size_t engine)
    {
        return upstream_id("u" + std::to_string(engine));
    }

    [[nodiscard]] bool isPastWarmUp(time_point when) const
    {
        return when >= Start + m_options.warmUp;
    }

    void send(time_point arrived)
    {
        const auto entry = m_random() % m_routers.size();
        const auto prefix = std::to_string(m_random() % m_options.prefixes) + " ";
        std::string prompt;
        while (prompt.size() < PrefixLength)
            prompt += prefix;
        route_query query;
        query.group = group_id("g");
        query.prefixHash = stableHash(prompt);
        prompt += std::to_string(++m_lastCall) + std::string(TailLength, 'y');
        const auto upstream = m_routers[entry].choose(query, m_now);
        const auto engine = static_cast<std::size_t>(std::stoi(upstream->value().substr(1)));
        m_routers[entry].onAttemptStarted(*upstream, m_now);
        const auto id = m_engines[engine].submit(m_now, prompt, 0, m_options.answerTokens);
        m_streams[{engine, id.value()}] = {entry, arrived, false};
    }

    void deliverTokens()
    {
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            for (const auto &token : m_engines[engine].advance(m_now)) {
                const std::pair key(engine, token.sequence.value());
                auto &answer = m_streams.at(key);
                if (!std::exchange(answer.answered, true) && isPastWarmUp(answer.arrived))
                    m_firstTokens.push_back(toSeconds(token.when - answer.arrived));
                if (!token.last)
                    continue;
                m_routers[answer.entry].onAttemptEnded(nameOf(engine), attempt_result::Succeeded,
                                                       m_now);
                m_streams.erase(key);
            }
        }
        if (!m_warmUpCounted && isPastWarmUp(m_now)) {
            m_warmUpCounted = true;
            std::tie(m_cachedTokensAtWarmUpEnd, m_promptTokensAtWarmUpEnd) = promptCounts();
        }
    }

    void report()
    {
        if (m_now >= m_nextReport) {
            m_nextReport = m_now + ReportInterval;
            for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
                const auto load = m_engines[engine].load();
                schema::load_report_message message;
                message.online_active = static_cast<std::uint32_t>(load.active);
                message.queued = static_cast<std::uint32_t>(load.waiting);
                m_reports.push_back({m_now + m_options.reportAge, engine, message});
            }
        }
        for (; !m_reports.empty() && m_reports.front().due <= m_now; m_reports.pop_front()) {
            for (auto &routes : m_routers)
                routes.onReport(nameOf(m_reports.front().engine), m_reports.front().report);
        }
    }

    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> promptCounts() const
    {
        std::pair<std::uint64_t, std::uint64_t> counts;
        for (const auto &engine : m_engines) {
            counts.first += engine.cachedPromptTokens();
            counts.second += engine.promptTokensAdmitted();
        }
        return counts;
    }

    routing_bench_result result()
    {
        const auto [hits, tokens] = promptCounts();
        routing_bench_result summary;
        summary.hitRate = static_cast<double>(hits - m_cachedTokensAtWarmUpEnd)
                          / static_cast<double>(tokens - m_promptTokensAtWarmUpEnd);
        summary.firstTokenP50 = quantile(m_firstTokens, 0.5);
        summary.firstTokenP95 = quantile(m_firstTokens, 0.95);
        summary.firstTokenP99 = quantile(m_firstTokens, 0.99);
        return summary;
    }

    struct key_hash
    {
        std::size_t operator()(const std::pair<std::size_t, std::uint64_t> &key) const
        {
            return key.first ^ (key.second << 8U);
        }
    };

    routing_bench_options m_options;
    std::mt19937_64 m_random;
    time_point m_now = Start;
    time_point m_nextReport = Start;
    std::vector<engine_model> m_engines;
    std::vector<router> m_routers; // one for each entry
    std::deque<delayed_report> m_reports; // in order of due time
    // Keyed by engine and sequence.
    std::unordered_map<std::pair<std::size_t, std::uint64_t>, stream, key_hash> m_streams;
    std::uint64_t m_lastCall = 0;
    std::vector<double> m_firstTokens;
    bool m_warmUpCounted = false;
    std::uint64_t m_cachedTokensAtWarmUpEnd = 0;
    std::uint64_t m_promptTokensAtWarmUpEnd = 0;
};

} // namespace

routing_bench_result runRoutingBench(const routing_bench_options &options)
{
    return routing_bench(options).run();
}

} // namespace tamarack
