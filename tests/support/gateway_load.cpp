// Discrete simulation of a load in steps of 10 ms.
#include "support/gateway_load.hpp"

#include <tamarackglade/placement/yield_planner.hpp>
#include <tamarackglade/rates/shared_rate_options.hpp>
#include <tamarackglade/reports/report_schedule.hpp>
#include <tamarackglade/reports/zone_cells.hpp>
#include <tamarackglade/reports/zone_relays.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>

namespace tamarack::testing {

namespace {

constexpr std::chrono::milliseconds Step{10};
constexpr std::chrono::milliseconds ReportInterval{100}; // between gateways of different zones
// Of EveryoneYields, at any number of gateways.
constexpr std::chrono::milliseconds SameZoneReportInterval{20};
const group_id Engines("engines");

struct work_item
{
    work_class work = work_class::Online;
    bool noisy = false;
    time_point arrivedAt{};
    duration remaining{}; // time for which it still occupies a slot
    std::size_t gateway = 0;
    bool counted = false; // its first event has been counted
};

struct running_item
{
    work_item item;
    std::size_t engine;
    time_point endsAt;
};

class simulation
{
public:
    simulation(const gateway_load &load, std::uint64_t seed) : m_load(load), m_random(seed) { }
    virtual ~simulation() = default;

    load_result simulate()
    {
        const time_point end = time_point{} + m_load.length;
        for (; m_now < end; m_now += Step) {
            arrive();
            finish();
            admit();
            advance();
        }
        return m_result;
    }

protected:
    virtual void submit(work_item item) = 0;
    virtual void onEnd(const running_item &ended) = 0;
    virtual void advance() = 0;

    // Engines admit requests in order of arrival, without regard to their class.
    void send(const work_item &item, std::size_t engine)
    {
        m_queues[engine].push_back(item);
        admit(engine);
    }

    void admit()
    {
        for (std::size_t engine = 0; engine < m_load.engines; ++engine)
            admit(engine);
    }

    void admit(std::size_t engine)
    {
        auto &queue = m_queues[engine];
        while (!queue.empty() && runningAt(engine) < m_load.slots) {
            run(queue.front(), engine);
            queue.pop_front();
        }
    }

    void run(work_item item, std::size_t engine)
    {
        const duration untilFirst = m_now + m_load.firstEvent - item.arrivedAt;
        const bool isCounted = item.work == work_class::Online && !item.noisy && !item.counted;
        if (isCounted && untilFirst <= m_load.objective)
            ++m_result.inTime;
        item.counted = true;
        m_running.push_back({item, engine, m_now + item.remaining});
    }

    [[nodiscard]] std::size_t runningAt(std::size_t engine) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_running.begin(), m_running.end(),
                          [&](const running_item &each) { return each.engine == engine; }));
    }

    const gateway_load m_load;
    std::mt19937_64 m_random;
    time_point m_now{};
    std::vector<running_item> m_running;
    std::map<std::size_t, std::deque<work_item>> m_queues; // requests that wait at each engine
    load_result m_result;

private:
    void arrive()
    {
        const duration cycle = m_load.calm + m_load.burst;
        const bool calm = (m_now - time_point{}) % cycle < m_load.calm;
        const double rate = calm ? m_load.calmRate : m_load.burstRate;
        offer(m_pendingOnline, rate, work_class::Online, false);
        offer(m_pendingNoisy, rate * m_load.noisyShare, work_class::Online, true);
        offer(m_pendingBatch, m_load.batchRate, work_class::Batch, false);
    }

    void offer(double &pending, double rate, work_class work, bool noisy)
    {
        pending += rate * toSeconds(Step);
        for (; pending >= 1; pending -= 1) {
            work_item item;
            item.work = work;
            item.noisy = noisy;
            item.arrivedAt = m_now;
            item.remaining = work == work_class::Online ? m_load.onlineTime : m_load.batchTime;
            item.gateway = chooseGateway();
            if (work == work_class::Online)
                m_result.offered += noisy ? 0 : 1;
            else if (m_now + m_load.batchObjective < time_point{} + m_load.length)
                ++m_result.batchOffered;
            submit(item);
        }
    }

    // Callers are spread evenly over the zones, and over the gateways of their zone.
    std::size_t chooseGateway()
    {
        const std::size_t zone = m_random() % m_load.zones;
        const std::size_t inZone = (m_load.gateways - zone + m_load.zones - 1) / m_load.zones;
        return zone + m_load.zones * (m_random() % inZone);
    }

    void finish()
    {
        for (std::size_t i = 0; i < m_running.size();) {
            if (m_running[i].endsAt > m_now) {
                ++i;
                continue;
            }
            const running_item ended = m_running[i];
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(i));
            const bool inTime =
                m_now - ended.item.arrivedAt <= m_load.batchObjective
                && ended.item.arrivedAt + m_load.batchObjective < time_point{} + m_load.length;
            if (ended.item.work == work_class::Batch && inTime)
                ++m_result.batchInTime;
            onEnd(ended);
        }
    }

    double m_pendingOnline = 0;
    double m_pendingNoisy = 0;
    double m_pendingBatch = 0;
};

class baseline_simulation final : public simulation
{
public:
    using simulation::simulation;

private:
    void submit(work_item item) override { send(item, m_random() % m_load.engines); }
    void onEnd(const running_item &) override { }
    void advance() override { }
};

class project_simulation final : public simulation
{
public:
    project_simulation(const gateway_load &load, load_policy policy, std::uint64_t seed)
        : simulation(load, seed), m_policy(policy),
          m_byZone(policy == load_policy::Project
                   && load.gateways > shared_rate_options().maxDirectFleet)
    {
        for (std::size_t i = 0; i < load.engines; ++i)
            m_directory.put(engineNamed(i));
        for (std::size_t i = 0; i < load.gateways; ++i)
            m_members.push_back({vm_id(std::to_string(i)), incarnation_number(1), "",
                                 zone_id(std::to_string(i % load.zones))});
        for (std::size_t i = 0; i < load.gateways; ++i) {
            placement_options options;
            options.zone = zone_id(std::to_string(i % m_load.zones));
            m_gateways.push_back(std::make_unique<gateway>(m_directory, options, seed + i));
            formCell(i);
        }
    }

private:
    struct gateway
    {
        gateway(const upstream_directory &directory, const placement_options &options,
                std::uint64_t seed)
            : peers(gateway_member(), shared_rate_options()), rates(vm_id("g"), peers),
              allocator(directory, rates, options, seed), queue(allocator), yields(seed)
        {
        }
        peer_table peers;
        upstream_rates rates;
        slot_allocator allocator;
        slot_queue queue;
        yield_planner yields;
        std::map<waiter_id, work_item> waiting;
        std::vector<std::size_t> cellPeers; // gateways that prefer the same engines
        std::vector<std::size_t> otherCellPeers; // of the zone
        std::unordered_map<upstream_id, slot_use> reportedUse; // to the cell
        time_point reportedAt{};
        time_point peersWaitUntil{}; // no batch item starts before
        std::deque<work_item> batch; // items that wait to run
    };

    live_upstream engineNamed(std::size_t number) const
    {
        live_upstream upstream;
        upstream.id = upstream_id(std::to_string(number));
        upstream.group = Engines;
        upstream.zone = zone_id(std::to_string(number % m_load.zones));
        upstream.slots = m_load.slots;
        return upstream;
    }

    static std::size_t numberOf(const upstream_id &id) { return std::stoul(id.value()); }

    void submit(work_item item) override
    {
        gateway &self = *m_gateways[item.gateway];
        if (item.work == work_class::Batch) {
            self.batch.push_back(item);
            return;
        }
        placement_request placement;
        placement.group = Engines;
        if (const auto upstream = self.queue.tryAcquire(placement, m_now)) {
            send(item, numberOf(*upstream));
            return;
        }
        const slot_request request{placement, customer_id(item.noisy ? "loud" : customerOf()), 0,
                                   m_now + m_load.objective - 2 * m_load.firstEvent};
        const bool preempted = preemptBatchItem(item.gateway);
        const auto waiter = preempted ? std::optional(self.queue.enqueueUnchecked(request))
                                      : self.queue.enqueue(request, m_now);
        if (waiter)
            self.waiting.emplace(*waiter, item);
        else
            m_result.refusedImmediately += item.noisy ? 0 : 1;
    }

    std::string customerOf()
    {
        constexpr std::size_t Customers = 7;
        return "customer" + std::to_string(m_random() % Customers);
    }

    void onEnd(const running_item &ended) override
    {
        gateway &self = *m_gateways[ended.item.gateway];
        self.allocator.release(upstream_id(std::to_string(ended.engine)), ended.item.work);
        self.queue.onFinished(m_now);
    }

    bool preemptBatchItem(std::size_t number, std::optional<std::size_t> engine = {})
    {
        const auto found = std::find_if(m_running.begin(), m_running.end(), [&](const auto &each) {
            return each.item.work == work_class::Batch && each.item.gateway == number
                   && (!engine || each.engine == *engine);
        });
        if (found == m_running.end())
            return false;
        running_item preemptedItem = *found;
        m_running.erase(found);
        ++m_result.yields;
        preemptedItem.item.remaining = preemptedItem.endsAt - m_now;
        m_gateways[number]->allocator.release(upstream_id(std::to_string(preemptedItem.engine)),
                                              work_class::Batch);
        m_gateways[number]->batch.push_front(preemptedItem.item);
        return true;
    }

    void advance() override
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i)
            reportToZone(i);
        if (m_byZone)
            reportZones();
        else if ((m_now - time_point{}) % reportIntervals(m_load.gateways - 1).unchanged < Step)
            reportToOtherZones();
        if (m_policy == load_policy::EveryoneYields)
            yieldEverywhere();
        else
            yieldWhereAsked();
        for (std::size_t i = 0; i < m_gateways.size(); ++i)
            startWork(i);
    }

    void formCell(std::size_t number)
    {
        gateway &self = *m_gateways[number];
        std::vector<gateway_member> zonePeers;
        for (std::size_t i = number % m_load.zones; i < m_load.gateways; i += m_load.zones) {
            if (i != number)
                zonePeers.push_back(m_members[i]);
        }
        const zone_cell cell = cellOf(m_members[number], zonePeers, m_directory);
        for (const gateway_member &peer : zonePeers) {
            const bool isInCell =
                !m_byZone
                || std::find(cell.peers.begin(), cell.peers.end(), peer) != cell.peers.end();
            (isInCell ? self.cellPeers : self.otherCellPeers)
                .push_back(std::stoul(peer.vm.value()));
        }
        if (m_byZone)
            self.allocator.setCell(cell.upstreams);
    }

    // Gateways report at different times, as they start at different times.
    [[nodiscard]] bool isTurnOf(std::size_t number, duration interval) const
    {
        const duration phase = static_cast<std::int64_t>(number) * duration(Step);
        return (m_now - time_point{} + phase) % std::max<duration>(interval, Step) < Step;
    }

    void reportToZone(std::size_t number)
    {
        gateway &self = *m_gateways[number];
        const report_intervals intervals = reportIntervals(self.cellPeers.size());
        const bool changed = self.allocator.ownUse() != self.reportedUse;
        const duration interval = m_policy == load_policy::EveryoneYields
                                      ? SameZoneReportInterval
                                      : std::max<duration>(intervals.changed, 2 * Step);
        if (isTurnOf(number, interval)
            && (changed || m_now - self.reportedAt >= intervals.unchanged)) {
            self.reportedUse = self.allocator.ownUse();
            self.reportedAt = m_now;
            report(number, self.cellPeers);
        }
        if (isTurnOf(number, otherCellIntervals(self.otherCellPeers.size()).changed))
            report(number, self.otherCellPeers);
    }

    void report(std::size_t number, const std::vector<std::size_t> &receivers)
    {
        const gateway &self = *m_gateways[number];
        for (const std::size_t to : receivers) {
            m_gateways[to]->allocator.onPeerUse(vm_id(std::to_string(number)),
                                                self.allocator.ownUse(), {}, m_now);
            if (!self.waiting.empty())
                m_gateways[to]->peersWaitUntil = m_now + ReportInterval;
        }
        m_result.datagrams += receivers.size();
    }

    void reportToOtherZones()
    {
        for (std::size_t from = 0; from < m_gateways.size(); ++from) {
            for (std::size_t to = 0; to < m_gateways.size(); ++to) {
                if (from % m_load.zones == to % m_load.zones)
                    continue;
                m_gateways[to]->allocator.onPeerUse(
                    vm_id(std::to_string(from)), m_gateways[from]->allocator.ownUse(), {}, m_now);
                ++m_result.datagrams;
                if (!m_gateways[from]->waiting.empty())
                    m_gateways[to]->peersWaitUntil = m_now + ReportInterval;
            }
        }
    }

    // Sums what the gateways of each zone last told each other.
    void reportZones()
    {
        if ((m_now - time_point{}) % zoneReportInterval(m_load.zones - 1) >= Step)
            return;
        for (std::size_t zone = 0; zone < m_load.zones; ++zone) {
            std::unordered_map<upstream_id, slot_use> sum;
            for (std::size_t i = zone; i < m_gateways.size(); i += m_load.zones) {
                for (const auto &[id, use] : m_gateways[i]->reportedUse)
                    sum[id].online += use.total();
            }
            for (std::size_t to = 0; to < m_gateways.size(); ++to) {
                if (to % m_load.zones != zone)
                    m_gateways[to]->allocator.onPeerUse(vm_id("zone " + std::to_string(zone)), sum,
                                                        {}, m_now);
            }
            m_result.datagrams += RelaysPerZone * m_gateways.size();
        }
    }

    void yieldEverywhere()
    {
        if ((m_now - time_point{}) % ReportInterval != duration::zero())
            return;
        for (const auto &reporter : m_gateways) {
            const std::size_t waiting = reporter->waiting.size();
            const std::size_t each = (waiting + m_gateways.size() - 1) / m_gateways.size();
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                if (waiting > 0)
                    m_gateways[i]->peersWaitUntil = m_now + ReportInterval;
                for (std::size_t n = 0; n < each && preemptBatchItem(i); ++n) { }
            }
        }
    }

    void yieldWhereAsked()
    {
        for (const auto &self : m_gateways) {
            if (self->waiting.empty())
                continue;
            for (const yield_target &target :
                 self->yields.plan(self->allocator, self->queue.waitingWork(), m_now)) {
                m_result.datagrams += 2;
                const std::size_t asked = std::stoul(target.gateway.value());
                gateway &other = *m_gateways[asked];
                other.peersWaitUntil = m_now + ReportInterval;
                if (!preemptBatchItem(asked, numberOf(target.upstream)))
                    continue;
                self->yields.onReport(target.gateway, other.allocator.ownUse());
                self->allocator.onPeerUse(target.gateway, other.allocator.ownUse(), {}, m_now);
            }
        }
    }

    void startWork(std::size_t number)
    {
        gateway &self = *m_gateways[number];
        for (const granted_slot &granted : self.queue.grant(m_now)) {
            send(self.waiting.at(granted.waiter), numberOf(granted.upstream));
            self.waiting.erase(granted.waiter);
        }
        for (const waiter_id late : self.queue.expire(m_now))
            self.waiting.erase(late);
        placement_request placement;
        placement.group = Engines;
        placement.work = work_class::Batch;
        while (m_now >= self.peersWaitUntil && self.waiting.empty() && !self.batch.empty()) {
            const auto upstream = self.allocator.pick(placement, m_now);
            if (!upstream)
                return;
            self.allocator.acquire(*upstream, work_class::Batch, m_now);
            send(self.batch.front(), numberOf(*upstream));
            ++m_result.batchRuns;
            self.batch.pop_front();
        }
    }

    upstream_directory m_directory{directory_options()};
    const load_policy m_policy;
    const bool m_byZone; // whether the zones report to each other
    std::vector<gateway_member> m_members;
    std::vector<std::unique_ptr<gateway>> m_gateways;
};

} // namespace

load_result simulateLoad(const gateway_load &load, load_policy policy, std::uint64_t seed)
{
    if (policy == load_policy::Baseline)
        return baseline_simulation(load, seed).simulate();
    return project_simulation(load, policy, seed).simulate();
}

} // namespace tamarack::testing
