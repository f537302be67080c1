// Implements the gate benchmark as a loop over arrivals, gate and engine model in steps of 1 ms.
#include <tamarackglade/gate/side_gate.hpp>
#include <tamarackglade/load/engine_model.hpp>
#include <tamarackglade/load/gate_bench.hpp>
#include <tamarackglade/load/quantile.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

namespace {

constexpr duration Tick = std::chrono::milliseconds(1);
constexpr time_point Start{std::chrono::hours(1)};
constexpr std::size_t PromptLength = 600; // characters
const connection_id Entry(1);

std::vector<time_point> onlineArrivals(const gate_bench_options &options)
{
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> wait(options.onlinePerSecond);
    std::uniform_real_distribution<double> within(0, toSeconds(options.burstLength));
    std::vector<time_point> arrivals;
    const auto end = Start + options.length;
    for (auto at = Start + fromSeconds(wait(random)); at < end; at += fromSeconds(wait(random)))
        arrivals.push_back(at);
    for (auto burst = Start + options.burstInterval; burst < end; burst += options.burstInterval) {
        for (int i = 0; i < options.burstSize; ++i)
            arrivals.push_back(burst + fromSeconds(within(random)));
    }
    std::sort(arrivals.begin(), arrivals.end());
    return arrivals;
}

class gate_bench
{
public:
    explicit gate_bench(const gate_bench_options &options)
        : m_options(options), m_engine(engine_profile{}),
          m_gate(gateOptions(options), incarnation_number(1)), m_arrivals(onlineArrivals(options))
    {
        perform(m_gate.onConnected(Entry, m_now));
    }

    gate_bench_result run()
    {
        while (m_now < Start + m_options.length) {
            m_now += Tick;
            deliverTokens();
            sendOnline();
            sendBatch();
            if (isGated())
                perform(m_gate.tick(m_now));
        }
        return result();
    }

private:
    struct stream
    {
        upstream_run run;
        bool batch = false;
        time_point arrived{};
        std::optional<time_point> lastToken;
    };

    static gate_options gateOptions(const gate_bench_options &options)
    {
        gate_options gate;
        gate.onlineProtection = options.onlineProtection;
        gate.maxStreams = engine_profile{}.maxSequences;
        return gate;
    }

    [[nodiscard]] bool isGated() const { return m_options.policy == gate_policy::Gate; }
    [[nodiscard]] bool isPastWarmUp() const { return m_now >= Start + m_options.warmUp; }

    void sendOnline()
    {
        while (m_nextArrival < m_arrivals.size() && m_arrivals[m_nextArrival] <= m_now) {
            const auto arrived = m_arrivals[m_nextArrival++];
            if (m_options.policy == gate_policy::BatchOnly)
                continue;
            m_onlineCalls += isPastWarmUp() ? 1 : 0;
            send(false, arrived);
        }
    }

    void sendBatch()
    {
        if (m_options.policy == gate_policy::OnlineOnly)
            return;
        if (isGated()) {
            while (m_credits > 0) {
                --m_credits;
                send(true, m_now);
            }
            return;
        }
        while (m_batchStreams < m_options.ungatedBatchStreams)
            send(true, m_now);
    }

    void send(bool batch, time_point arrived)
    {
        schema::start_call_message call;
        const call_attempt_name name{vm_id("e"), incarnation_number(1), ++m_lastSequence,
                                     incarnation_number(1)};
        call.attempt = name.format().value();
        call.call_class = batch ? schema::call_class::Batch : schema::call_class::Online;
        call.customer = "c" + std::to_string(m_lastSequence % 8);
        call.weight = 1;
        call.repeatable = true;
        call.deadline_ms = 30'000;
        m_arrivedAt[call.attempt] = arrived;
        if (isGated())
            perform(m_gate.onStart(call, Entry, m_now));
        else
            open({{attempt_id(call.attempt), 1}, call, 0});
    }

    void perform(const gate_actions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *opening = std::get_if<open_upstream>(&action))
                open(*opening);
            else if (const auto *aborted = std::get_if<abort_upstream>(&action))
                abort(aborted->run);
            else if (const auto *sent = std::get_if<send_frame>(&action))
                receive(sent->frame);
        }
    }

    void receive(const side_frame &frame)
    {
        if (const auto *report = std::get_if<schema::load_report_message>(&frame))
            m_credits = report->batch_credits;
    }

    void open(const open_upstream &action)
    {
        const bool batch = action.call.call_class == schema::call_class::Batch;
        const auto prompt = action.call.attempt + std::string(PromptLength, 'x');
        const auto last = batch ? m_options.batchTokens : m_options.onlineTokens;
        const auto first = static_cast<std::uint32_t>(action.resumeFrom);
        const auto id = m_engine.submit(m_now, prompt, first, last);
        m_streams[id] = {action.run, batch, m_arrivedAt[action.call.attempt], std::nullopt};
        m_sequences[action.call.attempt] = id;
        m_batchStreams += batch ? 1 : 0;
    }

    void abort(const upstream_run &run)
    {
        const auto id = m_sequences.at(run.attempt.value());
        m_engine.cancel(id);
        close(id);
    }

    void close(sequence_id id)
    {
        m_batchStreams -= m_streams.at(id).batch ? 1 : 0;
        m_streams.erase(id);
    }

    void deliverTokens()
    {
        for (const auto &token : m_engine.advance(m_now)) {
            const auto found = m_streams.find(token.sequence);
            if (found == m_streams.end())
                continue;
            count(found->second, token);
            const auto run = found->second.run;
            if (token.last)
                close(token.sequence);
            if (!isGated())
                continue;
            perform(m_gate.onUpstreamData(run, {}, token.when));
            if (token.last)
                perform(m_gate.onUpstreamEnd(run, m_now));
        }
    }

    void count(stream &answer, const token_event &token)
    {
        if (isPastWarmUp())
            ++(answer.batch ? m_batchTokens : m_onlineTokens);
        if (!answer.batch && isPastWarmUp()) {
            if (answer.lastToken)
                m_gaps.push_back(toSeconds(token.when - *answer.lastToken));
            else
                m_firstTokens.push_back(toSeconds(token.when - answer.arrived));
            m_onlineEnded += token.last && answer.arrived >= Start + m_options.warmUp ? 1 : 0;
        }
        answer.lastToken = token.when;
    }

    gate_bench_result result()
    {
        const auto seconds = toSeconds(m_options.length - m_options.warmUp);
        gate_bench_result summary;
        summary.batchTokensPerSecond = static_cast<double>(m_batchTokens) / seconds;
        summary.onlineTokensPerSecond = static_cast<double>(m_onlineTokens) / seconds;
        summary.gapP50 = quantile(m_gaps, 0.5);
        summary.gapP95 = quantile(m_gaps, 0.95);
        summary.gapP99 = quantile(m_gaps, 0.99);
        summary.firstTokenP50 = quantile(m_firstTokens, 0.5);
        summary.firstTokenP95 = quantile(m_firstTokens, 0.95);
        summary.firstTokenP99 = quantile(m_firstTokens, 0.99);
        summary.onlineCalls = m_onlineCalls;
        summary.onlineUnfinished = m_onlineCalls - std::min(m_onlineCalls, m_onlineEnded);
        return summary;
    }

    gate_bench_options m_options;
    time_point m_now = Start;
    engine_model m_engine;
    side_gate m_gate;
    std::vector<time_point> m_arrivals;
    std::size_t m_nextArrival = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint32_t m_credits = 0; // of the gate's last report
    std::uint32_t m_batchStreams = 0; // at the engine
    std::unordered_map<sequence_id, stream> m_streams; // at the engine
    std::unordered_map<std::string, sequence_id> m_sequences; // by attempt
    std::unordered_map<std::string, time_point> m_arrivedAt; // by attempt
    std::vector<double> m_gaps;
    std::vector<double> m_firstTokens;
    std::size_t m_batchTokens = 0;
    std::size_t m_onlineTokens = 0;
    std::size_t m_onlineCalls = 0;
    std::size_t m_onlineEnded = 0;
};

} // namespace

gate_bench_result runGateBench(const gate_bench_options &options)
{
    return gate_bench(options).run();
}

} // namespace tamarack
