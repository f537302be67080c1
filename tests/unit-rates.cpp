// Tests of the rates that gateways share by reports, without a network.
#include <tamarackglade/rates/shared_rates.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{};
const customer_id North("north");

gateway_member memberNamed(const std::string &name, std::uint64_t incarnation)
{
    return {vm_id(name), incarnation_number(incarnation), "10.0.0.1:1", zone_id("a")};
}

/// @return the largest number of times in any window of this length
std::size_t mostWithin(const std::vector<time_point> &times, duration window)
{
    std::size_t maxCount = 0;
    for (std::size_t from = 0, to = 0; to < times.size(); ++to) {
        while (times[to] - times[from] > window)
            ++from;
        maxCount = std::max(maxCount, to - from + 1);
    }
    return maxCount;
}

/// @return the requests that the deployment tolerates in a window, with its excess of the limit
double allowedWithin(duration window, double rate, double burst)
{
    return (rate * toSeconds(window) + burst) * 1.1 + 20;
}

/// Gateways that report to each other every 100 ms of virtual time, unless they are partitioned.
class rate_fleet
{
public:
    rate_fleet(std::size_t size, double rate, double burst) : m_rate(rate), m_burst(burst)
    {
        for (std::size_t i = 0; i < size; ++i)
            m_gateways.emplace_back("g" + std::to_string(i), 1);
        for (auto &gateway : m_gateways)
            registerMembers(gateway);
    }

    void setPartitioned(std::size_t gateway, bool isPartitioned)
    {
        m_gateways[gateway].isPartitioned = isPartitioned;
    }

    void restart(std::size_t index)
    {
        const std::string name = m_gateways[index].member.vm.value();
        const std::uint64_t incarnation = m_gateways[index].member.incarnation.value() + 1;
        m_gateways[index].reset(name, incarnation);
        registerMembers(m_gateways[index]);
    }

    /// Offers requests to the gateways in turn and records the admitted ones.
    /// @param demand requests per second over all gateways
    void run(duration length, double demand)
    {
        const time_point end = m_now + length;
        while (m_now < end) {
            m_now += 10ms;
            m_pendingRequests += demand * 0.01;
            for (; m_pendingRequests >= 1; m_pendingRequests -= 1)
                offer(m_gateways[m_nextGateway++ % m_gateways.size()]);
            if ((m_now - Start) % 100ms == 0ms)
                report();
            if ((m_now - Start) % 2s == 0ms)
                renew();
        }
    }

    [[nodiscard]] std::size_t admittedIn(duration window) const
    {
        return mostWithin(m_admitted, window);
    }
    [[nodiscard]] std::size_t admitted() const { return m_admitted.size(); }
    [[nodiscard]] double allowedIn(duration window) const
    {
        return allowedWithin(window, m_rate, m_burst);
    }

private:
    struct fleet_member
    {
        fleet_member(const std::string &name, std::uint64_t incarnation)
        {
            reset(name, incarnation);
        }
        void reset(const std::string &name, std::uint64_t incarnation)
        {
            member = memberNamed(name, incarnation);
            peerTable = std::make_unique<peer_table>(member, shared_rate_options());
            rates = std::make_unique<shared_rates<customer_id>>(*peerTable);
        }
        gateway_member member;
        std::unique_ptr<peer_table> peerTable;
        std::unique_ptr<shared_rates<customer_id>> rates;
        bool isPartitioned = false;
        std::uint64_t renewal = 1;
    };

    void registerMembers(fleet_member &self)
    {
        self.peerTable->onOwnMembership(m_now);
        for (auto &other : m_gateways)
            self.peerTable->onMember(other.member, other.renewal, m_now);
        self.rates->setLimit(North, m_rate, m_burst, m_now);
    }

    void offer(fleet_member &self)
    {
        if (!self.rates->admit(North, m_now))
            m_admitted.push_back(m_now);
    }

    void report()
    {
        for (auto &from : m_gateways) {
            for (auto &to : m_gateways) {
                if (&to == &from || to.isPartitioned || from.isPartitioned)
                    continue;
                const bool receivesOurs =
                    from.peerTable->recentIncarnation(to.member.vm, m_now) == to.member.incarnation;
                const bool wasReachable = to.peerTable->onReport(from.member, receivesOurs, m_now);
                to.rates->onPeerCounts(from.member.vm, from.member.incarnation,
                                       from.rates->ownCounts(), wasReachable, m_now);
            }
        }
    }

    void renew()
    {
        for (auto &self : m_gateways) {
            if (self.isPartitioned)
                continue;
            ++self.renewal;
            self.peerTable->onOwnMembership(m_now);
            for (auto &other : m_gateways)
                other.peerTable->onMember(self.member, self.renewal, m_now);
            self.peerTable->tick(m_now);
        }
    }

    const double m_rate;
    const double m_burst;
    std::deque<fleet_member> m_gateways;
    std::vector<time_point> m_admitted;
    time_point m_now = Start;
    double m_pendingRequests = 0;
    std::size_t m_nextGateway = 0;
};

} // namespace

TEST_CASE("all requests of a customer within its rate are admitted, at any gateway")
{
    rate_fleet fleet(7, 46, 46);
    fleet.run(3s, 0);
    fleet.run(10s, 40);
    CHECK(fleet.admitted() >= 395);
}

TEST_CASE("a customer that sends eight times its usual rate is held to its rate limit")
{
    rate_fleet fleet(7, 46, 46);
    fleet.run(3s, 0);
    fleet.run(15s, 230);
    CHECK(static_cast<double>(fleet.admittedIn(5s)) <= fleet.allowedIn(5s));
    CHECK(fleet.admitted() >= 46 * 14);
}

TEST_CASE("partitioned gateways stay within the rate together")
{
    rate_fleet fleet(6, 46, 46);
    fleet.run(3s, 0);
    fleet.run(6s, 230);
    fleet.setPartitioned(0, true);
    fleet.setPartitioned(1, true);
    fleet.run(12s, 230);
    fleet.setPartitioned(0, false);
    fleet.setPartitioned(1, false);
    fleet.run(6s, 230);
    CHECK(static_cast<double>(fleet.admittedIn(5s)) <= fleet.allowedIn(5s));
}

TEST_CASE("restarted gateways start without the burst")
{
    rate_fleet fleet(3, 46, 46);
    fleet.run(3s, 0);
    fleet.run(4s, 230);
    for (std::size_t i = 0; i < 3; ++i)
        fleet.restart(i);
    fleet.run(6s, 230);
    CHECK(static_cast<double>(fleet.admittedIn(5s)) <= fleet.allowedIn(5s));
}

TEST_CASE("a gateway that starts beside others adopts their level")
{
    rate_fleet fleet(3, 46, 46);
    fleet.run(3s, 0);
    fleet.run(4s, 30);
    fleet.restart(0);
    fleet.run(1s, 0);
    // A burst within the limit is admitted up to the level that the other gateways reported.
    const std::size_t before = fleet.admitted();
    fleet.run(200ms, 200);
    CHECK(fleet.admitted() - before >= 40);
}

TEST_CASE("a gateway without a reachable peer and without membership has no share")
{
    peer_table peerTable(memberNamed("g0", 1), shared_rate_options());
    CHECK(peerTable.share(Start) == 0);
    peerTable.onOwnMembership(Start);
    CHECK(peerTable.share(Start + 1s) == 1);
    peerTable.onMember(memberNamed("g1", 1), 1, Start);
    CHECK(peerTable.share(Start + 1s) == 0.5);
    CHECK(peerTable.share(Start + 6s) == 0);
}

TEST_CASE("a member that neither reports nor renews is removed")
{
    peer_table peerTable(memberNamed("g0", 1), shared_rate_options());
    peerTable.onMember(memberNamed("g1", 1), 1, Start);
    peerTable.onMember(memberNamed("g1", 1), 1, Start + 7s);
    peerTable.tick(Start + 8s + 1ms);
    CHECK(peerTable.others().empty());
}

TEST_CASE("a peer is reachable only if reports arrive in both directions")
{
    peer_table peerTable(memberNamed("g0", 5), shared_rate_options());
    peerTable.onReport(memberNamed("g1", 1), false, Start);
    CHECK_FALSE(peerTable.isReachable(vm_id("g1"), Start));
    peerTable.onReport(memberNamed("g1", 1), true, Start);
    CHECK(peerTable.isReachable(vm_id("g1"), Start + 500ms));
    CHECK_FALSE(peerTable.isReachable(vm_id("g1"), Start + 1'200ms));
}

namespace {

const customer_id Hot("hot");

/// Gateways of a large fleet. Those of a zone report to each other every 150 ms, and one of each
/// zone passes on to the other zones every 100 ms what it was told.
class zoned_fleet
{
public:
    static constexpr std::size_t Gateways = 133;
    static constexpr std::size_t Zones = 5;

    zoned_fleet(double rate, double burst) : m_rate(rate), m_burst(burst)
    {
        for (std::size_t i = 0; i < Gateways; ++i) {
            auto &self = m_gateways.emplace_back();
            self.member = memberNamed("g" + std::to_string(i), 1);
            self.member.zone = zone_id("zone" + std::to_string(i % Zones));
            self.peerTable = std::make_unique<peer_table>(self.member, shared_rate_options());
            self.rates = std::make_unique<shared_rates<customer_id>>(*self.peerTable);
        }
        renew();
        for (auto &self : m_gateways)
            self.rates->setLimit(Hot, m_rate, m_burst, m_now);
    }

    void setPartitioned(std::size_t gateway, bool isPartitioned)
    {
        m_gateways[gateway].isPartitioned = isPartitioned;
    }
    /// The other gateways receive nothing of it, while it receives theirs.
    void setMute(std::size_t gateway, bool isMute) { m_gateways[gateway].isMute = isMute; }
    void setZonePartitioned(std::size_t zone, bool isPartitioned)
    {
        m_partitionedZones[zone] = isPartitioned;
    }

    /// @param gateways only the first ones get requests
    void run(duration length, double demand, std::size_t gateways = Gateways)
    {
        const time_point end = m_now + length;
        while (m_now < end) {
            m_now += 10ms;
            ++m_step;
            m_pendingRequests += demand * 0.01;
            for (; m_pendingRequests >= 1; m_pendingRequests -= 1)
                offer(m_gateways[m_random() % gateways]);
            for (std::size_t i = 0; i < Gateways; ++i) {
                if ((m_step + i) % 15 == 0)
                    reportToZone(i);
            }
            if (m_step % 10 == 0)
                reportZones();
            if (m_step % 200 == 0)
                renew();
        }
    }

    [[nodiscard]] std::size_t offered() const { return m_offered; }
    [[nodiscard]] std::size_t admitted() const { return m_admitted.size(); }
    [[nodiscard]] std::size_t admittedIn(duration window) const
    {
        return mostWithin(m_admitted, window);
    }
    [[nodiscard]] double allowedIn(duration window) const
    {
        return allowedWithin(window, m_rate, m_burst);
    }
    [[nodiscard]] double share(std::size_t gateway) const
    {
        return m_gateways[gateway].peerTable->share(m_now);
    }

private:
    struct told_count
    {
        incarnation_number incarnation;
        time_point at{};
        std::vector<admitted_count<customer_id>> counts;
    };
    struct fleet_member
    {
        gateway_member member;
        std::unique_ptr<peer_table> peerTable;
        std::unique_ptr<shared_rates<customer_id>> rates;
        std::map<std::size_t, told_count> told; // what the gateways of its zone reported
        bool isPartitioned = false;
        bool isMute = false;
        std::uint64_t renewal = 0;
    };

    void offer(fleet_member &self)
    {
        ++m_offered;
        if (!self.rates->admit(Hot, m_now))
            m_admitted.push_back(m_now);
    }

    void reportToZone(std::size_t number)
    {
        fleet_member &from = m_gateways[number];
        const told_count told{from.member.incarnation, m_now, from.rates->ownCounts()};
        from.told[number] = told;
        for (std::size_t i = number % Zones; i < Gateways; i += Zones) {
            fleet_member &to = m_gateways[i];
            if (i == number || from.isPartitioned || to.isPartitioned || from.isMute)
                continue;
            const bool receivesOurs =
                from.peerTable->recentIncarnation(to.member.vm, m_now) == to.member.incarnation;
            const bool wasReachable = to.peerTable->onReport(from.member, receivesOurs, m_now);
            to.rates->onPeerCounts(from.member.vm, from.member.incarnation, told.counts,
                                   wasReachable, m_now);
            to.told[number] = told;
        }
    }

    void reportZones()
    {
        for (std::size_t zone = 0; zone < Zones; ++zone) {
            const fleet_member &relay = m_gateways[Zones + zone];
            for (fleet_member &to : m_gateways) {
                if (to.member.zone == relay.member.zone || to.isPartitioned
                    || m_partitionedZones[zone] || m_partitionedZones[zoneOf(to)])
                    continue;
                for (const auto &[number, told] : relay.told) {
                    const vm_id &vm = m_gateways[number].member.vm;
                    const bool wasReachable =
                        to.peerTable->onRelayed(vm, told.incarnation, told.at, m_now);
                    to.rates->onPeerCounts(vm, told.incarnation, told.counts, wasReachable, m_now);
                }
            }
        }
    }

    static std::size_t zoneOf(const fleet_member &gateway)
    {
        return std::stoul(gateway.member.zone.value().substr(4));
    }

    void renew()
    {
        for (auto &self : m_gateways) {
            ++self.renewal;
            self.peerTable->onOwnMembership(m_now);
            for (auto &other : m_gateways)
                other.peerTable->onMember(self.member, self.renewal, m_now);
        }
    }

    const double m_rate;
    const double m_burst;
    std::deque<fleet_member> m_gateways;
    std::array<bool, Zones> m_partitionedZones{};
    std::vector<time_point> m_admitted;
    std::mt19937_64 m_random{7};
    time_point m_now = Start;
    std::size_t m_step = 0;
    std::size_t m_offered = 0;
    double m_pendingRequests = 0;
};

} // namespace

TEST_CASE("in a large fleet, a customer within its rate is admitted at any gateway")
{
    zoned_fleet fleet(157, 157);
    fleet.run(3s, 0);
    CHECK(fleet.share(0) == 1);
    fleet.run(5s, 98);
    fleet.run(2200ms, 181);
    fleet.run(3s, 40);
    CHECK(fleet.admitted() == fleet.offered());
}

TEST_CASE("in a large fleet, a customer that sends eight times its usual rate is held to its limit")
{
    for (const std::size_t gateways : {std::size_t(133), std::size_t(4)}) {
        zoned_fleet fleet(157, 157);
        fleet.run(3s, 0);
        fleet.run(8s, 98, gateways);
        fleet.run(8s, 736, gateways);
        CHECK(static_cast<double>(fleet.admittedIn(5s)) <= fleet.allowedIn(5s));
        CHECK(static_cast<double>(fleet.admitted()) >= 0.9 * (8 * 98 + 8 * 157));
    }
}

TEST_CASE("in a large fleet, zones and gateways that are cut off stay within the rate together")
{
    zoned_fleet fleet(157, 157);
    fleet.run(3s, 0);
    fleet.run(4s, 736);
    fleet.setZonePartitioned(1, true);
    for (std::size_t gateway = 0; gateway < 30; gateway += 2)
        fleet.setPartitioned(gateway, true);
    fleet.run(8s, 736);
    fleet.setZonePartitioned(1, false);
    for (std::size_t gateway = 0; gateway < 30; gateway += 2)
        fleet.setPartitioned(gateway, false);
    fleet.run(6s, 736);
    CHECK(static_cast<double>(fleet.admittedIn(5s)) <= fleet.allowedIn(5s));
}

TEST_CASE("a gateway that nobody receives uses its own share only")
{
    zoned_fleet fleet(157, 157);
    fleet.run(3s, 0);
    fleet.setMute(3, true);
    fleet.run(4s, 736);
    CHECK(fleet.share(3) < 0.01);
    CHECK(fleet.share(4) > 0.98);
    CHECK(static_cast<double>(fleet.admittedIn(5s)) <= fleet.allowedIn(5s));
}

TEST_CASE("a gateway that is alone in its zone counts the others if it is heard elsewhere")
{
    peer_table peerTable(memberNamed("g0", 1), shared_rate_options());
    peerTable.onOwnMembership(Start);
    for (int i = 1; i < 60; ++i) {
        gateway_member far = memberNamed("g" + std::to_string(i), 1);
        far.zone = zone_id("b");
        peerTable.onMember(far, 1, Start);
        peerTable.onRelayed(far.vm, far.incarnation, Start, Start);
    }
    CHECK(peerTable.share(Start) == doctest::Approx(1.0 / 60));
    peerTable.onReceivedElsewhere(Start);
    CHECK(peerTable.share(Start) == 1);
    CHECK(peerTable.share(Start + 2s) == doctest::Approx(1.0 / 60));
}

TEST_CASE("a gateway that starts isn't charged with what older ones admitted before")
{
    constexpr std::uint64_t Micros = 1'000'000;
    peer_table peerTable(memberNamed("g0", 100 * Micros), shared_rate_options());
    shared_rates<customer_id> rates(peerTable);
    rates.setLimit(North, 46, 46, Start);
    const auto report = [&](const std::string &name, std::uint64_t incarnation,
                            std::uint64_t admitted, time_point now) {
        const gateway_member peer = memberNamed(name, incarnation);
        const bool wasReachable = peerTable.onReport(peer, true, now);
        std::vector<admitted_count<customer_id>> counts;
        if (admitted > 0)
            counts.push_back({North, admitted, 40});
        rates.onPeerCounts(peer.vm, peer.incarnation, counts, wasReachable, now);
    };
    // Reports name a customer only now and then while its count doesn't change.
    report("old1", 10 * Micros, 0, Start);
    report("old2", 10 * Micros, 0, Start);
    report("old1", 10 * Micros, 500, Start + 100ms);
    report("old2", 10 * Micros, 500, Start + 100ms);
    CHECK(rates.tokens(North, Start + 100ms) == doctest::Approx(40));
    report("old2", 10 * Micros, 510, Start + 200ms);
    CHECK(rates.tokens(North, Start + 200ms) < 40);
    // All that a gateway admitted counts if it started later.
    report("new", 101 * Micros, 0, Start + 200ms);
    const double before = rates.tokens(North, Start + 200ms);
    report("new", 101 * Micros, 7, Start + 200ms);
    CHECK(rates.tokens(North, Start + 200ms) == doctest::Approx(before - 7));
}
