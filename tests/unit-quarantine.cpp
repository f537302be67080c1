// Tests of the quarantine of prompt parts, without a network.
#include <tamarackglade/quarantine/prompt_quarantine.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <random>
#include <string>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{std::chrono::hours(1)};
const group_id Engines("engines");
const group_id OtherEngines("other-engines");

std::vector<prompt_part_id> partsNamed(const std::vector<std::string> &names)
{
    std::vector<prompt_part_id> parts;
    parts.reserve(names.size());
    for (const std::string &name : names)
        parts.emplace_back(name);
    return parts;
}

/// Gateways that exchange breaks, successes and states every 100 ms of virtual time.
class quarantine_fleet
{
public:
    explicit quarantine_fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            m_gateways.push_back({vm_id("g" + std::to_string(i)), 1, nullptr, false});
        for (gateway &each : m_gateways)
            restart(each);
    }

    void restart(std::size_t index)
    {
        ++m_gateways[index].incarnation;
        restart(m_gateways[index]);
    }
    void setCutOff(std::size_t index, bool cutOff) { m_gateways[index].cutOff = cutOff; }

    /// Sends a request at a gateway. If one of its parts is deadly, the upstream crashes after
    /// 30 ms and the request is sent to a second one.
    /// @return the number of upstreams that crashed
    unsigned send(std::size_t index, const std::vector<std::string> &names,
                  unsigned maxAttempts = 2)
    {
        gateway &at = m_gateways[index];
        const auto parts = partsNamed(names);
        const std::uint64_t request = ++m_requests;
        for (unsigned attempt = 0; attempt < maxAttempts; ++attempt) {
            if (at.quarantine->beginRun(Engines, parts, m_now)) {
                ++refused;
                return attempt;
            }
            const time_point sentAt = m_now;
            advance(30ms);
            if (!isDeadly(names)) {
                at.quarantine->onFirstEvent(Engines, parts, m_now);
                at.quarantine->endRun(Engines, parts, true, m_now);
                ++served;
                return attempt;
            }
            ++crashes;
            crashTimes.push_back(m_now);
            breakRun(index, names, request, nextInstance(), sentAt);
        }
        return maxAttempts;
    }

    /// Reports that an upstream broke a run off.
    void breakRun(std::size_t index, const std::vector<std::string> &names, std::uint64_t request,
                  instance_hash instance, time_point sentAt)
    {
        broken_run broken;
        broken.group = Engines;
        broken.parts = partsNamed(names);
        broken.request = {0, request};
        broken.instance = instance;
        broken.sentAt = sentAt;
        broken.brokeAt = m_now;
        m_gateways[index].quarantine->onBreak(broken, m_now);
        m_gateways[index].quarantine->endRun(Engines, broken.parts, true, m_now);
    }

    void advance(duration length)
    {
        const time_point end = m_now + length;
        while (m_now < end) {
            m_now += 10ms;
            if ((m_now - Start) % 100ms == 0ms)
                exchange();
            for (gateway &each : m_gateways)
                each.quarantine->tick(peerSuccesses(each), servingFor(each), m_now);
        }
    }

    [[nodiscard]] bool refuses(std::size_t index, const std::vector<std::string> &names) const
    {
        return m_gateways[index].quarantine->check(Engines, partsNamed(names), m_now).has_value();
    }
    [[nodiscard]] bool anyQuarantined() const
    {
        return std::any_of(m_gateways.begin(), m_gateways.end(),
                           [](const gateway &each) { return each.quarantine->size() > 0; });
    }
    [[nodiscard]] std::size_t size() const { return m_gateways.size(); }
    /// @return the crashes later than this time after the third
    [[nodiscard]] std::ptrdiff_t crashesAfterThird(duration later) const
    {
        if (crashTimes.size() < 3)
            return 0;
        return std::count_if(crashTimes.begin(), crashTimes.end(),
                             [&](time_point at) { return at > crashTimes[2] + later; });
    }
    [[nodiscard]] prompt_quarantine &at(std::size_t index) { return *m_gateways[index].quarantine; }
    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] instance_hash nextInstance() { return instance_hash(++m_instance); }
    [[nodiscard]] std::uint64_t nextRequest() { return ++m_requests; }

    std::set<std::string> deadly; // parts that crash upstreams
    unsigned crashes = 0;
    std::vector<time_point> crashTimes;
    unsigned served = 0;
    unsigned refused = 0;

private:
    struct gateway
    {
        vm_id vm;
        std::uint64_t incarnation = 0;
        std::unique_ptr<prompt_quarantine> quarantine;
        bool cutOff = false;
    };

    void restart(gateway &each)
    {
        each.quarantine = std::make_unique<prompt_quarantine>(
            each.vm, incarnation_number(each.incarnation), quarantine_options());
    }

    [[nodiscard]] bool isDeadly(const std::vector<std::string> &names) const
    {
        return std::any_of(names.begin(), names.end(),
                           [&](const std::string &name) { return deadly.contains(name); });
    }

    [[nodiscard]] static bool connected(const gateway &a, const gateway &b)
    {
        return &a != &b && !a.cutOff && !b.cutOff;
    }

    void exchange()
    {
        for (gateway &from : m_gateways) {
            for (gateway &to : m_gateways) {
                if (!connected(from, to))
                    continue;
                for (const broken_run &broken : from.quarantine->ownBreaks(m_now - 1200ms))
                    to.quarantine->onPeerBreak(broken, m_now);
                for (const sound_part &sound : from.quarantine->soundSuspects(m_now))
                    to.quarantine->onPeerSuccess(sound);
                for (const served_run &run : from.quarantine->servedSinceBreak(m_now))
                    to.quarantine->onServed(run);
                for (const quarantined_part &state : from.quarantine->states())
                    to.quarantine->adopt(state, m_now);
            }
        }
    }

    [[nodiscard]] double peerSuccesses(const gateway &self) const
    {
        double sum = 0;
        for (const gateway &each : m_gateways) {
            if (connected(self, each))
                sum += each.quarantine->recentSuccesses(m_now);
        }
        return sum;
    }

    [[nodiscard]] std::vector<vm_id> servingFor(const gateway &self) const
    {
        std::vector<vm_id> serving{self.vm};
        for (const gateway &each : m_gateways) {
            if (connected(self, each))
                serving.push_back(each.vm);
        }
        return serving;
    }

    std::vector<gateway> m_gateways;
    time_point m_now = Start;
    std::uint64_t m_requests = 0;
    std::uint64_t m_instance = 0;
};

/// Sends sound requests with many different parts, so that the fleet has successes.
void serveOthers(quarantine_fleet &fleet, unsigned count, const std::string &first = "shared")
{
    for (unsigned i = 0; i < count; ++i)
        fleet.send(i % fleet.size(), {first, "own-" + std::to_string(fleet.nextRequest())});
}

/// Breaks a sound run off because its upstream is killed. The request may be sent to another one.
void killUpstream(quarantine_fleet &fleet, std::size_t gateway,
                  const std::vector<std::string> &parts, bool isRetried)
{
    fleet.breakRun(gateway, parts, fleet.nextRequest(), fleet.nextInstance(), fleet.now() - 30ms);
    if (isRetried)
        fleet.send(gateway, parts);
}

} // namespace

TEST_CASE("a part that crashes upstreams is refused at all gateways after three crashes")
{
    quarantine_fleet fleet(3);
    fleet.deadly = {"bad"};
    serveOthers(fleet, 30);
    for (std::size_t i = 0; i < 12; ++i) {
        fleet.send(i % 3, {"shared", "bad"});
        serveOthers(fleet, 5);
    }
    CHECK(fleet.crashes >= 3);
    CHECK(fleet.crashesAfterThird(1s) == 0);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(fleet.refuses(i, {"shared", "bad"}));
        CHECK_FALSE(fleet.refuses(i, {"shared", "own-1"}));
    }
}

TEST_CASE("the tries of one request are not enough to quarantine its parts")
{
    quarantine_fleet fleet(3);
    serveOthers(fleet, 30);
    const std::uint64_t request = fleet.nextRequest();
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.breakRun(i % 3, {"shared", "own"}, request, fleet.nextInstance(), fleet.now() - 30ms);
        fleet.advance(500ms);
    }
    CHECK_FALSE(fleet.anyQuarantined());
}

TEST_CASE("breaks that are the fault of another request blame no part")
{
    for (const bool isFaultOfAnother : {true, false}) {
        quarantine_fleet fleet(3);
        for (std::size_t i = 0; i < 3; ++i)
            fleet.at(i).setFaultOfAnother([=](const broken_run &) { return isFaultOfAnother; });
        serveOthers(fleet, 30);
        for (std::size_t i = 0; i < 4; ++i) {
            fleet.breakRun(i % 3, {"shared", "own"}, fleet.nextRequest(), fleet.nextInstance(),
                           fleet.now() - 30ms);
            fleet.advance(500ms);
        }
        CHECK(fleet.anyQuarantined() != isFaultOfAnother);
    }
}

TEST_CASE("requests that share the other parts of a quarantined prompt are served")
{
    quarantine_fleet fleet(3);
    fleet.deadly = {"bad"};
    serveOthers(fleet, 30, "unrelated");
    // The parts before the deadly one have no success until it is quarantined.
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.send(i % 3, {"first", "second", "bad"});
        fleet.advance(300ms);
        serveOthers(fleet, 3, "unrelated");
    }
    CHECK(fleet.refuses(0, {"first", "second", "bad"}));
    CHECK_FALSE(fleet.refuses(0, {"first", "second"}));
    CHECK_FALSE(fleet.refuses(0, {"first"}));
}

TEST_CASE("a deadly first part is found although each request has another second part")
{
    quarantine_fleet fleet(3);
    fleet.deadly = {"bad"};
    serveOthers(fleet, 30);
    for (std::size_t i = 0; i < 12; ++i) {
        fleet.send(i % 3, {"bad", "own-" + std::to_string(i)}, 3);
        fleet.advance(500ms);
        serveOthers(fleet, 3);
    }
    CHECK(fleet.crashes <= 8); // the fifth, and three after it
    CHECK(fleet.refuses(0, {"bad", "another"}));
    CHECK_FALSE(fleet.refuses(0, {"shared", "another"}));
}

TEST_CASE("a part that was in use before it became deadly is found")
{
    quarantine_fleet fleet(3);
    serveOthers(fleet, 30, "popular");
    fleet.deadly = {"popular"};
    unsigned sent = 0;
    while (!fleet.refuses(0, {"popular"}) && ++sent < 20) {
        fleet.send(sent % 3, {"popular", "own-" + std::to_string(sent)}, 3);
        fleet.advance(400ms);
        serveOthers(fleet, 3);
    }
    CHECK(fleet.crashesAfterThird(3s) == 0);
    CHECK(fleet.refuses(2, {"popular", "another"}));
}

TEST_CASE("many upstreams that are killed at once quarantine nothing")
{
    quarantine_fleet fleet(3);
    serveOthers(fleet, 30);
    for (unsigned round = 0; round < 5; ++round) {
        const time_point sentAt = fleet.now();
        fleet.advance(20ms);
        for (unsigned i = 0; i < 20; ++i)
            fleet.breakRun(i % 3, {"shared", "rare"}, fleet.nextRequest(), fleet.nextInstance(),
                           sentAt);
        fleet.advance(600ms);
        CHECK_FALSE(fleet.anyQuarantined());
        fleet.send(0, {"shared", "rare"});
    }
}

TEST_CASE("upstreams that crash whatever they run quarantine nothing")
{
    quarantine_fleet fleet(3);
    serveOthers(fleet, 5);
    fleet.advance(40s);
    for (unsigned i = 0; i < 40; ++i) {
        const time_point sentAt = fleet.now();
        fleet.advance(50ms);
        fleet.breakRun(i % 3, {"first-" + std::to_string(i % 4), "second-" + std::to_string(i % 7)},
                       fleet.nextRequest(), fleet.nextInstance(), sentAt);
    }
    fleet.advance(1s);
    CHECK_FALSE(fleet.anyQuarantined());
}

TEST_CASE("one upstream that breaks half of its runs off quarantines nothing")
{
    quarantine_fleet fleet(3);
    serveOthers(fleet, 30);
    const instance_hash faulty = fleet.nextInstance();
    for (unsigned i = 0; i < 30; ++i) {
        const time_point sentAt = fleet.now();
        fleet.advance(50ms);
        fleet.breakRun(i % 3, {"shared", "rare"}, fleet.nextRequest(), faulty, sentAt);
    }
    fleet.advance(1s);
    CHECK_FALSE(fleet.anyQuarantined());
}

TEST_CASE("upstreams that reset runs and go on serving quarantine nothing")
{
    quarantine_fleet fleet(3);
    serveOthers(fleet, 30);
    crash_evidence::instance_set listed;
    for (unsigned i = 0; i < 6; ++i)
        listed.insert(fleet.nextInstance());
    for (unsigned i = 0; i < fleet.size(); ++i)
        fleet.at(i).setListed(listed);
    unsigned gateway = 0;
    for (const instance_hash instance : listed) {
        const time_point sentAt = fleet.now();
        fleet.advance(30ms);
        fleet.breakRun(0, {"shared", "unlucky"}, fleet.nextRequest(), instance, sentAt);
    }
    SUBCASE("seen before the breaks are evaluated")
    {
        fleet.advance(100ms);
        for (const instance_hash instance : listed)
            fleet.at(gateway++ % 3).onServed({instance, fleet.now()});
        fleet.advance(2s);
        CHECK_FALSE(fleet.anyQuarantined());
    }
    SUBCASE("seen after the part was quarantined")
    {
        fleet.advance(1s);
        CHECK(fleet.anyQuarantined());
        for (const instance_hash instance : listed)
            fleet.at(gateway++ % 3).onServed({instance, fleet.now()});
        fleet.advance(500ms);
        CHECK_FALSE(fleet.anyQuarantined());
    }
    SUBCASE("runs that were sent before the breaks prove nothing")
    {
        for (const instance_hash instance : listed)
            fleet.at(gateway++ % 3).onServed({instance, fleet.now() - 300ms});
        fleet.advance(1s);
        CHECK(fleet.anyQuarantined());
    }
    SUBCASE("a run at the successor of an instance proves nothing")
    {
        for (unsigned i = 0; i < fleet.size(); ++i)
            fleet.at(i).setListed({});
        fleet.advance(100ms);
        for (const instance_hash instance : listed)
            fleet.at(gateway++ % 3).onServed({instance, fleet.now()});
        fleet.advance(1s);
        CHECK(fleet.anyQuarantined());
    }
}

TEST_CASE("a part is quarantined for one group of upstreams only")
{
    quarantine_fleet fleet(2);
    fleet.deadly = {"bad"};
    serveOthers(fleet, 30);
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.send(i % 2, {"bad"});
        fleet.advance(300ms);
        // A success in the other group doesn't release the part.
        fleet.at(0).onFirstEvent(OtherEngines, partsNamed({"bad"}), fleet.now());
    }
    CHECK(fleet.refuses(0, {"bad"}));
    CHECK_FALSE(fleet.at(0).check(OtherEngines, partsNamed({"bad"}), fleet.now()));
}

TEST_CASE("one batch item that crashes upstreams again and again is stopped")
{
    quarantine_fleet fleet(2);
    serveOthers(fleet, 30);
    const std::uint64_t item = fleet.nextRequest();
    unsigned runs = 0;
    while (!fleet.refuses(0, {"bad"}) && ++runs < 30) {
        const time_point sentAt = fleet.now();
        fleet.advance(30ms);
        fleet.breakRun(0, {"bad"}, item, fleet.nextInstance(), sentAt);
        fleet.advance(500ms);
        serveOthers(fleet, 3);
    }
    CHECK(runs == 5);
}

TEST_CASE("a gateway that starts again or was cut off adopts the quarantine")
{
    quarantine_fleet fleet(3);
    fleet.deadly = {"bad"};
    serveOthers(fleet, 30);
    fleet.setCutOff(2, true);
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.send(i % 2, {"shared", "bad"});
        fleet.advance(300ms);
    }
    CHECK(fleet.refuses(0, {"bad"}));
    CHECK_FALSE(fleet.refuses(2, {"bad"}));
    fleet.setCutOff(2, false);
    fleet.restart(1);
    fleet.advance(100ms);
    CHECK(fleet.refuses(1, {"bad"}));
    CHECK(fleet.refuses(2, {"bad"}));
}

TEST_CASE("a state from the store survives the loss of all gateways")
{
    quarantine_fleet fleet(2);
    fleet.deadly = {"bad"};
    serveOthers(fleet, 30);
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.send(i % 2, {"bad"});
        fleet.advance(300ms);
    }
    const auto stored = fleet.at(0).states();
    REQUIRE(stored.size() == 1);
    fleet.restart(0);
    fleet.restart(1);
    CHECK_FALSE(fleet.refuses(0, {"bad"}));
    fleet.at(0).adopt(stored[0], fleet.now());
    fleet.advance(100ms);
    CHECK(fleet.refuses(0, {"bad"}));
    CHECK(fleet.refuses(1, {"bad"}));
}

TEST_CASE("a trial request ends the quarantine of a part that does no more harm")
{
    quarantine_fleet fleet(3);
    fleet.deadly = {"bad"};
    serveOthers(fleet, 30);
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.send(i % 3, {"bad"});
        fleet.advance(300ms);
    }
    REQUIRE(fleet.refuses(0, {"bad"}));
    SUBCASE("harmless")
    {
        fleet.deadly.clear();
        fleet.advance(31s);
        fleet.refused = 0;
        for (std::size_t i = 0; i < 3; ++i)
            fleet.send(i, {"bad"});
        CHECK(fleet.refused < 3);
        fleet.advance(200ms);
        for (std::size_t i = 0; i < 3; ++i)
            CHECK_FALSE(fleet.refuses(i, {"bad"}));
    }
    SUBCASE("still deadly")
    {
        fleet.advance(31s);
        fleet.crashes = 0;
        for (std::size_t i = 0; i < 60; ++i) {
            fleet.send(i % 3, {"bad"});
            fleet.advance(1s);
        }
        CHECK(fleet.crashes == 1);
    }
    SUBCASE("no answer")
    {
        fleet.advance(31s);
        unsigned sent = 0;
        for (std::size_t i = 0; i < 60; ++i) {
            prompt_quarantine &gateway = fleet.at(i % 3);
            const auto parts = partsNamed({"bad"});
            if (!gateway.beginRun(Engines, parts, fleet.now())) {
                ++sent;
                gateway.endRun(Engines, parts, true, fleet.now());
            }
            fleet.advance(1s);
        }
        CHECK(sent == 1);
    }
    SUBCASE("not sent")
    {
        fleet.advance(31s);
        fleet.deadly.clear();
        for (std::size_t i = 0; i < 3; ++i) {
            if (!fleet.at(i).beginRun(Engines, partsNamed({"bad"}), fleet.now()))
                fleet.at(i).endRun(Engines, partsNamed({"bad"}), false, fleet.now());
        }
        for (std::size_t i = 0; i < 3; ++i)
            fleet.send(i, {"bad"});
        fleet.advance(200ms);
        CHECK_FALSE(fleet.refuses(0, {"bad"}));
    }
}

TEST_CASE("quarantined parts and their evidence are bounded")
{
    prompt_quarantine quarantine(vm_id("g"), incarnation_number(1), quarantine_options());
    for (unsigned i = 0; i < 10'000; ++i) {
        const auto parts = partsNamed({"part-" + std::to_string(i)});
        const time_point now = Start + i * 1ms;
        broken_run broken;
        broken.group = Engines;
        broken.parts = parts;
        broken.instance = instance_hash(i);
        broken.request = {0, i};
        broken.sentAt = now;
        broken.brokeAt = now;
        quarantine.onBreak(broken, now);
        quarantine.adopt({Engines, parts[0], 1, now, 30s, false}, now);
    }
    CHECK(quarantine.states().size() == quarantine_options().maxParts);
    CHECK(quarantine.ownBreaks(Start).size() <= quarantine_options().maxBreaks);
}

TEST_CASE("random days: the deadly part is stopped and no sound part is refused")
{
    const bool held = rc::check("random days", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto gateways = *rc::gen::inRange<std::size_t>(1, 6);
        const auto deadlyShare = *rc::gen::inRange(2, 30); // in 100
        std::mt19937 random(seed);
        const auto below = [&](unsigned limit) { return random() % limit; };
        quarantine_fleet fleet(gateways);
        fleet.deadly = {"bad"};
        unsigned soundRefused = 0;
        unsigned crashesAfterFifth = 0;
        std::optional<time_point> fifthAt;
        for (unsigned i = 0; i < 400; ++i) {
            const std::size_t gateway = below(static_cast<unsigned>(gateways));
            const std::string first = "first-" + std::to_string(below(4));
            const bool isDeadly = i > 50 && below(100) < static_cast<unsigned>(deadlyShare);
            const unsigned refusedBefore = fleet.refused;
            const unsigned crashesBefore = fleet.crashes;
            if (isDeadly)
                fleet.send(gateway, {"first-0", "bad"});
            else
                fleet.send(gateway, {first, "own-" + std::to_string(below(20))});
            if (!isDeadly)
                soundRefused += fleet.refused - refusedBefore;
            if (below(50) == 0)
                killUpstream(fleet, gateway, {first, "own-" + std::to_string(below(20))},
                             below(2) == 0);
            if (fifthAt && fleet.now() - *fifthAt > 3s)
                crashesAfterFifth += fleet.crashes - crashesBefore;
            if (!fifthAt && fleet.crashes >= 5)
                fifthAt = fleet.now();
        }
        RC_ASSERT(soundRefused == 0U);
        RC_ASSERT(crashesAfterFifth <= 3U);
    });
    CHECK(held);
}
