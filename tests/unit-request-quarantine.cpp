// Tests of the quarantine of requests, without a network.
#include <tamarackglade/quarantine/request_quarantine.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{std::chrono::hours(1)};
const group_id Engines("engines");
// The users' rule: later than this after the third crash, a request is sent three times at most.
constexpr duration StableWindow = 3s;
constexpr std::ptrdiff_t MaxLaterRuns = 3;

request_fingerprint fingerprint(const std::string &body, const std::string &customer = "north")
{
    return fingerprintOf(customer_id(customer), "/drafts", body);
}

/// Gateways that exchange breaks, successes and states every 300 ms of virtual time, and engines
/// that crash when they run a deadly request.
class request_fleet
{
public:
    explicit request_fleet(std::size_t gateways, std::size_t engines = 12)
        : m_engines(engines), m_gateways(gateways)
    {
        for (std::size_t i = 0; i < gateways; ++i)
            restart(i);
        for (engine_state &each : m_engines)
            each.instance = instance_hash(++m_lastInstance);
    }

    /// Replaces a gateway's process by one that knows nothing.
    void restart(std::size_t index)
    {
        m_gateways[index].quarantine = std::make_unique<request_quarantine>(
            vm_id("g" + std::to_string(index)), request_quarantine_options());
    }
    void setCutOff(std::size_t index, bool cutOff) { m_gateways[index].cutOff = cutOff; }

    /// Sends a request at a gateway, and to a second engine if the first one crashes.
    /// @return the engines that it crashed
    unsigned send(std::size_t gateway, const request_fingerprint &request, unsigned maxRuns = 2)
    {
        unsigned crashes = 0;
        for (unsigned i = 0; i < maxRuns; ++i) {
            const auto engine = upEngine();
            if (!engine || at(gateway).beginRun(request, Engines, m_now)) {
                ++refused;
                return crashes;
            }
            runTimes[request].push_back(m_now);
            advance(30ms);
            if (!deadly.contains(request)) {
                at(gateway).endRun(request, run_end::Proper, m_now);
                ++served;
                return crashes;
            }
            crash(*engine, {{gateway, request}});
            ++crashes;
        }
        return crashes;
    }

    struct run
    {
        std::size_t gateway;
        request_fingerprint request;
    };

    /// An engine ends while it does these runs.
    void crash(std::size_t engine, const std::vector<run> &runs)
    {
        for (const run &each : runs) {
            broken_run broken;
            broken.group = Engines;
            broken.request = each.request;
            broken.instance = m_engines[engine].instance;
            broken.sentAt = m_now - 30ms;
            broken.brokeAt = m_now;
            m_gateways[each.gateway].breaks.push_back(broken);
            at(each.gateway).onBreak(broken, m_now);
            at(each.gateway).endRun(each.request, run_end::Other, m_now);
            crashTimes[each.request].push_back(m_now);
        }
        m_engines[engine].instance = instance_hash(++m_lastInstance);
        m_engines[engine].upAt = m_now + 3s;
    }

    /// An engine that lives breaks a run off.
    void reset(std::size_t gateway, const request_fingerprint &request, std::size_t engine)
    {
        const instance_hash instance = m_engines[engine].instance;
        crash(engine, {{gateway, request}});
        m_engines[engine] = {instance, m_now};
        living.insert(instance);
    }

    void advance(duration length)
    {
        const time_point end = m_now + length;
        const duration step = length < 5s ? 10ms : 300ms;
        while (m_now < end) {
            m_now += step;
            if (m_now - m_exchangedAt >= 300ms)
                exchange();
            for (gateway_state &each : m_gateways)
                each.quarantine->tick(
                    [&](instance_hash instance, time_point) { return living.contains(instance); },
                    servingFor(each), {{Engines, m_engines.size()}}, m_now);
        }
    }

    /// @return the runs of the request later than StableWindow after its third crash
    [[nodiscard]] std::ptrdiff_t laterRuns(const request_fingerprint &request)
    {
        const auto &crashes = crashTimes[request];
        if (crashes.size() < 3)
            return 0;
        const auto &runs = runTimes[request];
        return std::count_if(runs.begin(), runs.end(),
                             [&](time_point at) { return at > crashes[2] + StableWindow; });
    }
    [[nodiscard]] bool refuses(std::size_t gateway, const request_fingerprint &request)
    {
        const auto blocked = at(gateway).check(request, Engines, m_now);
        return blocked && blocked->quarantined;
    }
    [[nodiscard]] request_quarantine &at(std::size_t index)
    {
        return *m_gateways[index].quarantine;
    }
    [[nodiscard]] std::size_t size() const { return m_gateways.size(); }
    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] std::size_t down() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(),
                          [&](const engine_state &each) { return each.upAt > m_now; }));
    }
    void useEngine(std::size_t engine) { m_nextEngine = engine; }

    std::set<request_fingerprint> deadly;
    std::set<instance_hash> living; // instances known to serve runs that were sent later
    std::map<request_fingerprint, std::vector<time_point>> runTimes;
    std::map<request_fingerprint, std::vector<time_point>> crashTimes;
    unsigned served = 0;
    unsigned refused = 0;

private:
    struct engine_state
    {
        instance_hash instance;
        time_point upAt{};
    };
    struct gateway_state
    {
        std::unique_ptr<request_quarantine> quarantine;
        std::vector<broken_run> breaks; // its own
        bool cutOff = false;
    };

    std::optional<std::size_t> upEngine()
    {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            const std::size_t index = m_nextEngine++ % m_engines.size();
            if (m_engines[index].upAt <= m_now)
                return index;
        }
        return std::nullopt;
    }

    void exchange()
    {
        m_exchangedAt = m_now;
        for (gateway_state &from : m_gateways) {
            std::erase_if(from.breaks,
                          [&](const broken_run &each) { return m_now - each.brokeAt > 1200ms; });
            for (gateway_state &to : m_gateways) {
                if (&from == &to || from.cutOff || to.cutOff)
                    continue;
                for (const broken_run &broken : from.breaks)
                    to.quarantine->onBreak(broken, m_now);
                for (const sound_request &sound : from.quarantine->soundSuspects(m_now))
                    to.quarantine->onPeerSuccess(sound, m_now);
                for (const quarantined_request &state : from.quarantine->states())
                    to.quarantine->adopt(state, m_now);
            }
        }
    }

    [[nodiscard]] std::vector<vm_id> servingFor(const gateway_state &self) const
    {
        std::vector<vm_id> serving;
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if (&m_gateways[i] == &self || (!m_gateways[i].cutOff && !self.cutOff))
                serving.emplace_back("g" + std::to_string(i));
        }
        return serving;
    }

    std::vector<engine_state> m_engines;
    std::vector<gateway_state> m_gateways;
    time_point m_now = Start;
    time_point m_exchangedAt = Start;
    std::uint64_t m_lastInstance = 0;
    std::size_t m_nextEngine = 0;
};

} // namespace

TEST_CASE("a request that crashes upstreams is refused at all gateways")
{
    request_fleet fleet(7);
    const auto bad = fingerprint("bad");
    fleet.deadly = {bad};
    for (std::size_t i = 0; i < 100; ++i) {
        fleet.send(i % 7, bad);
        fleet.send(i % 7, fingerprint("sound " + std::to_string(i)));
        fleet.advance(150ms);
    }
    CHECK(fleet.crashTimes[bad].size() >= 3);
    CHECK(fleet.crashTimes[bad].size() <= 5);
    CHECK(fleet.served == 100);
    for (std::size_t i = 0; i < 7; ++i)
        CHECK(fleet.refuses(i, bad));
}

TEST_CASE("a rare request that crashes upstreams is found however long its attempts lie apart")
{
    request_fleet fleet(7);
    const auto bad = fingerprint("bad");
    fleet.deadly = {bad};
    for (std::size_t i = 0; i < 12; ++i) {
        fleet.send(i % 7, bad, 1);
        fleet.advance(40s);
    }
    CHECK(fleet.laterRuns(bad) <= MaxLaterRuns);
}

TEST_CASE("copies of a request that run at the same moment count")
{
    request_fleet fleet(7);
    const auto bad = fingerprint("bad");
    fleet.deadly = {bad};
    for (std::size_t gateway = 0; gateway < 5; ++gateway)
        fleet.send(gateway, bad, 1);
    fleet.advance(1s);
    for (std::size_t i = 0; i < 40; ++i) {
        fleet.send(i % 7, bad);
        fleet.advance(200ms);
    }
    CHECK(fleet.laterRuns(bad) <= MaxLaterRuns);
}

TEST_CASE("the same content of another customer is not refused")
{
    request_fleet fleet(2);
    const auto bad = fingerprint("bad", "north");
    fleet.deadly = {bad};
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.send(i % 2, bad);
        fleet.advance(1s);
    }
    CHECK(fleet.refuses(0, bad));
    CHECK_FALSE(fleet.refuses(0, fingerprint("bad", "south")));
    CHECK_FALSE(fleet.refuses(0, fingerprint("bad!", "north")));
}

TEST_CASE("requests that ran beside a crashing one are not blamed")
{
    request_fleet fleet(3);
    const auto bad = fingerprint("bad");
    const auto beside = fingerprint("beside");
    // Both run at the first and the third upstream, the other one alone at the second and fourth.
    fleet.crash(0, {{0, bad}, {1, beside}});
    fleet.advance(300ms);
    fleet.crash(1, {{0, bad}});
    fleet.advance(300ms);
    fleet.crash(2, {{1, bad}, {2, beside}});
    fleet.advance(1s);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(fleet.refuses(i, bad));
        CHECK_FALSE(fleet.at(i).check(beside, Engines, fleet.now()));
    }
}

TEST_CASE("a request that ran beside three different crashing ones is not blamed for long")
{
    request_fleet fleet(3);
    const auto beside = fingerprint("beside");
    std::vector<request_fingerprint> bad;
    std::size_t engine = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        bad.push_back(fingerprint("bad " + std::to_string(i)));
        fleet.crash(engine++, {{i, bad[i]}, {i, beside}});
        fleet.advance(300ms);
    }
    for (std::size_t round = 0; round < 2; ++round) {
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.crash(engine++, {{i, bad[i]}});
            fleet.advance(100ms);
        }
    }
    fleet.advance(1s);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(fleet.refuses(0, bad[i]));
        CHECK_FALSE(fleet.refuses(i, beside));
    }
}

TEST_CASE("breaks by upstreams that serve on condemn no request")
{
    request_fleet fleet(3);
    const auto unlucky = fingerprint("unlucky");
    for (std::size_t engine = 0; engine < 4; ++engine) {
        fleet.reset(engine % 3, unlucky, engine);
        fleet.advance(50ms);
    }
    fleet.advance(1s);
    for (std::size_t i = 0; i < 3; ++i)
        CHECK_FALSE(fleet.at(i).check(unlucky, Engines, fleet.now()));
}

TEST_CASE("a request that is served in between is not condemned by other crashes")
{
    request_fleet fleet(3);
    const auto popular = fingerprint("popular");
    for (std::size_t engine = 0; engine < 9; ++engine) {
        fleet.crash(engine, {{engine % 3, popular}});
        fleet.advance(500ms);
        fleet.send((engine + 1) % 3, popular);
        fleet.advance(500ms);
    }
    for (std::size_t i = 0; i < 3; ++i)
        CHECK_FALSE(fleet.refuses(i, popular));
    CHECK(fleet.served == 9);
}

TEST_CASE("upstreams that are killed together condemn no request that is served elsewhere")
{
    request_fleet fleet(3);
    const auto popular = fingerprint("popular");
    for (std::size_t engine = 0; engine < 4; ++engine)
        fleet.crash(engine, {{engine % 3, popular}});
    fleet.useEngine(5);
    fleet.send(0, popular);
    fleet.advance(1s);
    for (std::size_t i = 0; i < 3; ++i)
        CHECK_FALSE(fleet.at(i).check(popular, Engines, fleet.now()));
}

TEST_CASE("a quarantined request is tried three times at most, and released by a success")
{
    request_fleet fleet(4);
    const auto bad = fingerprint("bad");
    fleet.deadly = {bad};
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.send(i, bad, 1);
        fleet.advance(600ms);
    }
    const std::size_t before = fleet.runTimes[bad].size();
    SUBCASE("that goes on crashing")
    {
        for (std::size_t second = 0; second < 9000; second += 5) {
            for (std::size_t i = 0; i < 4; ++i)
                fleet.send(i, bad);
            fleet.advance(5s);
        }
        CHECK(fleet.runTimes[bad].size() == before + 3);
        CHECK(fleet.laterRuns(bad) <= MaxLaterRuns);
    }
    SUBCASE("whose cause is gone")
    {
        fleet.deadly = {};
        for (std::size_t second = 0; second < 70; ++second) {
            for (std::size_t i = 0; i < 4; ++i)
                fleet.send(i, bad);
            fleet.advance(1s);
        }
        CHECK(fleet.served > 4);
        for (std::size_t i = 0; i < 4; ++i)
            CHECK_FALSE(fleet.refuses(i, bad));
    }
    SUBCASE("that nobody asks for")
    {
        fleet.advance(std::chrono::minutes(62));
        CHECK_FALSE(fleet.refuses(0, bad));
    }
}

TEST_CASE("a trial that an upstream refuses is sent again")
{
    request_quarantine quarantine(vm_id("g"), request_quarantine_options());
    const auto bad = fingerprint("bad");
    const auto never = [](instance_hash, time_point) { return false; };
    time_point now = Start;
    for (std::uint64_t i = 0; i < 3; ++i) {
        broken_run broken;
        broken.group = Engines;
        broken.request = bad;
        broken.instance = instance_hash(i + 1);
        broken.brokeAt = now;
        quarantine.onBreak(broken, now);
    }
    now += 1s;
    quarantine.tick(never, {vm_id("g")}, {}, now);
    REQUIRE(quarantine.check(bad, Engines, now));
    now += 61s;
    quarantine.tick(never, {vm_id("g")}, {}, now);
    CHECK_FALSE(quarantine.beginRun(bad, Engines, now));
    CHECK(quarantine.beginRun(bad, Engines, now)); // one trial at a time
    quarantine.endRun(bad, run_end::NotRun, now);
    CHECK_FALSE(quarantine.beginRun(bad, Engines, now + 10ms));
    quarantine.endRun(bad, run_end::Other, now + 20ms);
    CHECK(quarantine.beginRun(bad, Engines, now + 30ms));
}

TEST_CASE("suspected requests are put off while many upstreams are down")
{
    request_fleet fleet(3, 12);
    std::vector<request_fingerprint> bad;
    for (std::size_t i = 0; i < 20; ++i) {
        bad.push_back(fingerprint("bad " + std::to_string(i)));
        fleet.deadly.insert(bad.back());
    }
    std::size_t maxDown = 0;
    for (std::size_t round = 0; round < 600; ++round) {
        fleet.send(round % 3, bad[round % 20]);
        fleet.advance(50ms);
        if (round > 200)
            maxDown = std::max(maxDown, fleet.down());
    }
    CHECK(maxDown <= 6);
    fleet.advance(5s);
    for (const auto &each : bad)
        CHECK(fleet.laterRuns(each) <= MaxLaterRuns);
}

TEST_CASE("memory is bounded under any number of requests")
{
    request_quarantine_options options;
    options.maxRequests = 64;
    options.maxQuarantined = 16;
    request_quarantine quarantine(vm_id("g"), options);
    time_point now = Start;
    for (std::uint64_t i = 0; i < 2000; ++i) {
        broken_run broken;
        broken.group = Engines;
        broken.request = fingerprint("request " + std::to_string(i / 4));
        broken.instance = instance_hash(i + 1);
        broken.brokeAt = now;
        quarantine.onBreak(broken, now);
        now += 200ms;
        quarantine.tick([](instance_hash, time_point) { return false; }, {vm_id("g")}, {}, now);
    }
    CHECK(quarantine.crashes().size() <= 64);
    CHECK(quarantine.size() <= 16);
    CHECK(quarantine.size() > 0);
}

TEST_CASE("the bound holds beside restarts and cuts of gateways")
{
    const bool holds = rc::check([] {
        request_fleet fleet(5);
        const auto bad = fingerprint("bad");
        fleet.deadly = {bad};
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        for (std::size_t i = 0; i < 150; ++i) {
            // A gateway that was restarted or cut off is bound again once it is back in contact.
            const std::size_t troubled = random() % 5;
            if (random() % 4 == 0) {
                if (random() % 2 == 0)
                    fleet.restart(troubled);
                else
                    fleet.setCutOff(troubled, true);
                fleet.advance(400ms);
                fleet.setCutOff(troubled, false);
                fleet.advance(700ms);
            }
            fleet.send(random() % 5, bad, 1 + random() % 2);
            fleet.advance(std::chrono::milliseconds(random() % 400));
        }
        RC_ASSERT(fleet.laterRuns(bad) <= MaxLaterRuns);
    });
    CHECK(holds);
}
