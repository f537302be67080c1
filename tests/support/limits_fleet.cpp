// Simulates a fleet of limiters in virtual time, with faults.
#include "support/limits_fleet.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::test {

namespace {

vm_id vmName(std::size_t index)
{
    return vm_id("entry-" + std::to_string(index));
}

std::size_t vmIndex(const vm_id &vm)
{
    return std::stoul(vm.value().substr(6));
}

/// How long loans of a higher burst may last after the burst was lowered.
constexpr true_time FormerBurstTime = 500ms;
/// Interval at which entries receive their connected peers.
constexpr true_time ConnectionPoll = 200ms;

} // namespace

limits_fleet::limits_fleet(std::size_t entries, const limit_options &options, std::uint64_t seed,
                           fleet_network network)
    : m_options(options), m_network(network), m_random(seed), m_nodes(entries)
{
    std::uniform_real_distribution<double> error(-options.clockError, options.clockError);
    for (std::size_t i = 0; i < entries; ++i) {
        // The first two clocks have the extreme errors of the range.
        const double ends = i == 0 ? options.clockError : -options.clockError;
        m_nodes[i].clockError = i < 2 ? ends : error(m_random);
        m_nodes[i].clockOffset = random(1s, 1000s);
        restart(i);
    }
    readLists();
    readConnections();
}

void limits_fleet::setRate(const customer_id &customer, customer_rate rate, true_time spread)
{
    m_rates[customer] = rate;
    auto &bound = m_bounds[customer];
    const auto perSecond = static_cast<std::int64_t>(rate.perSecond);
    bound.ideal.setBound(perSecond, rate.burst, m_now.count());
    bound.shares.resize(m_nodes.size());
    for (auto &share : bound.shares)
        share.setBound(perSecond, rate.burst, m_now.count());
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!alive(i))
            continue;
        if (spread == 0ns)
            applyRate(i, customer, rate);
        else
            atNode(m_now + random(0ns, spread), i, [=, this](fleet_limiter &, time_point) {
                const auto newest = m_rates.find(customer);
                if (newest != m_rates.end() && newest->second == rate)
                    applyRate(i, customer, rate);
            });
    }
}

void limits_fleet::removeCustomer(const customer_id &customer, true_time spread)
{
    m_rates.erase(customer);
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        atNode(m_now + random(0ns, spread), i, [=, this](fleet_limiter &limiter, time_point) {
            if (m_rates.contains(customer))
                return;
            limiter.removeCustomer(customer);
            m_nodes[i].rates.erase(customer);
            updateBound(customer);
        });
}

void limits_fleet::applyRate(std::size_t index, const customer_id &customer, customer_rate rate)
{
    m_nodes[index].rates[customer] = rate;
    updateBound(customer);
    call(index,
         [&](fleet_limiter &limiter, time_point now) { limiter.setRate(customer, rate, now); });
}

void limits_fleet::updateBound(const customer_id &customer)
{
    customer_rate largest;
    for (const auto &node : m_nodes) {
        const auto held = node.rates.find(customer);
        if (held == node.rates.end())
            continue;
        largest.perSecond = std::max(largest.perSecond, held->second.perSecond);
        largest.burst = std::max(largest.burst, held->second.burst);
    }
    auto &bound = m_bounds[customer];
    if (largest.burst < bound.heldBurst) {
        bound.formerBursts[bound.heldBurst] = m_now + FormerBurstTime;
        at(m_now + FormerBurstTime, [=, this] { updateBound(customer); });
    }
    bound.heldBurst = largest.burst;
    std::erase_if(bound.formerBursts, [&](const auto &former) { return former.second <= m_now; });
    for (const auto &[burst, until] : bound.formerBursts)
        largest.burst = std::max(largest.burst, burst);
    bound.oracle.setBound(static_cast<std::int64_t>(largest.perSecond), largest.burst,
                          m_now.count());
}

void limits_fleet::offer(const customer_id &customer, std::size_t entry)
{
    auto &counts = m_counts[customer];
    ++counts.offered;
    const bool within = m_bounds[customer].ideal.admit(m_now.count());
    counts.within += within ? 1 : 0;
    auto &share = m_bounds[customer].shares[entry];
    const bool inShare = share.admit(m_now.count(), static_cast<std::int64_t>(m_nodes.size()));
    counts.sharesRefused += within && !inShare ? 1 : 0;
    if (!alive(entry)) {
        ++counts.lost;
        counts.refusedWithin += within ? 1 : 0;
        return;
    }
    const auto ticket = ++m_ticket;
    m_openTickets[{entry, ticket}] = {customer, within};
    atNode(m_now, entry,
           [=](fleet_limiter &limiter, time_point now) { limiter.admit(customer, ticket, now); });
}

void limits_fleet::load(const customer_id &customer, double perSecond, std::vector<double> weights,
                        true_time end)
{
    scheduleArrival({customer, perSecond, std::move(weights), end, false});
}

void limits_fleet::loadWithin(const customer_id &customer, double perSecond,
                              std::vector<double> weights, true_time end)
{
    scheduleArrival({customer, perSecond, std::move(weights), end, true});
}

void limits_fleet::scheduleArrival(const arrival_stream &stream)
{
    std::exponential_distribution<double> gap(stream.perSecond);
    const std::chrono::duration<double> wait(gap(m_random));
    const auto next = m_now + std::chrono::duration_cast<true_time>(wait);
    if (next >= stream.end)
        return;
    at(next, [=, this] {
        auto open = stream.weights; // the load balancer sends nothing to an entry that is down
        for (std::size_t i = 0; i < open.size(); ++i)
            open[i] = alive(i) ? open[i] : 0;
        const bool any = std::any_of(open.begin(), open.end(), [](double w) { return w > 0; });
        auto &ideal = m_bounds[stream.customer].ideal;
        if (any && (!stream.onlyWithin || ideal.wouldAdmit(m_now.count()))) {
            std::discrete_distribution<std::size_t> choice(open.begin(), open.end());
            offer(stream.customer, choice(m_random));
        }
        scheduleArrival(stream);
    });
}

void limits_fleet::advance(true_time time)
{
    const auto end = m_now + time;
    while (!m_events.empty() && m_events.top().when <= end) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.when;
        next.run();
    }
    m_now = end;
}

void limits_fleet::kill(std::size_t entry)
{
    auto &node = m_nodes[entry];
    if (!node.limiter)
        return;
    node.limiter.reset();
    node.backlog.clear();
    ++node.runNumber;
    node.paused = false;
    const auto rates = std::exchange(node.rates, {});
    for (const auto &[customer, rate] : rates)
        updateBound(customer);
    for (auto open = m_openTickets.begin(); open != m_openTickets.end();) {
        if (open->first.first != entry) {
            ++open;
            continue;
        }
        auto &counts = m_counts[open->second.customer];
        ++counts.lost;
        counts.refusedWithin += open->second.within ? 1 : 0;
        open = m_openTickets.erase(open);
    }
    publishList();
}

void limits_fleet::restart(std::size_t entry)
{
    kill(entry);
    auto &node = m_nodes[entry];
    ++node.incarnation;
    ++node.runNumber;
    node.logRead = expiredRecords();
    node.logCut = false;
    node.handedOver = false;
    node.tickAt = true_time::max();
    node.clockOffset += random(1s, 10s);
    node.limiter = std::make_unique<fleet_limiter>(m_options, vmName(entry),
                                                   incarnation_number(node.incarnation),
                                                   std::mt19937_64(m_random()), local(node));
    for (const auto &[customer, rate] : m_rates)
        applyRate(entry, customer, rate);
    scheduleTick(entry);
    at(m_now + m_network.logDelay, [=, this] { readLog(entry); });
    publishList();
    reportLogState(entry);
}

void limits_fleet::pause(std::size_t entry, true_time time)
{
    auto &node = m_nodes[entry];
    if (!node.limiter || node.paused)
        return;
    node.paused = true;
    const auto runNumber = node.runNumber;
    at(m_now + time, [=, this] {
        auto &resumed = m_nodes[entry];
        if (resumed.runNumber != runNumber)
            return;
        resumed.paused = false;
        for (const auto &run : std::exchange(resumed.backlog, {}))
            run();
        scheduleTick(entry);
    });
}

void limits_fleet::handOver(std::size_t entry)
{
    m_nodes[entry].handedOver = alive(entry);
    if (alive(entry))
        atNode(m_now, entry, [](fleet_limiter &limiter, time_point now) { limiter.handOver(now); });
}

void limits_fleet::healAll()
{
    m_cuts.clear();
    for (auto &node : m_nodes)
        node.logCut = false;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        readLog(i);
        reportLogState(i);
    }
}

void limits_fleet::cutLog(std::size_t entry)
{
    m_nodes[entry].logCut = true;
    reportLogState(entry);
}

// Reports to an entry, with a delay, whether it reaches the log.
void limits_fleet::reportLogState(std::size_t index)
{
    atNode(m_now + random(0ms, 2 * ConnectionPoll), index,
           [=, this](fleet_limiter &limiter, time_point) {
               limiter.onLogReachable(m_logUp && !m_nodes[index].logCut);
           });
}

void limits_fleet::setLog(bool up)
{
    m_logUp = up;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        reportLogState(i);
    if (!up)
        return;
    for (const auto &append : std::exchange(m_hungAppends, {}))
        append();
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        readLog(i);
}

std::size_t limits_fleet::homeOf(const customer_id &customer)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (alive(i) && m_nodes[i].limiter->isLending(customer, local(m_nodes[i])))
            return i;
    }
    return m_nodes.size();
}

std::size_t limits_fleet::successorOf(const customer_id &customer)
{
    const std::size_t home = homeOf(customer);
    if (home == m_nodes.size())
        return home;
    const auto &record = m_nodes[home].limiter->homeRecord(customer);
    return record && record->hasSuccessor() ? vmIndex(record->successor.vm) : m_nodes.size();
}

std::uint64_t limits_fleet::overAdmitted() const
{
    std::uint64_t sum = 0;
    for (const auto &[customer, counts] : m_counts)
        sum += counts.overAdmitted;
    return sum;
}

void limits_fleet::at(true_time when, std::function<void()> run)
{
    m_events.push({when, ++m_order, std::move(run)});
}

void limits_fleet::atNode(true_time when, std::size_t index,
                          const std::function<void(fleet_limiter &, time_point)> &run)
{
    const auto runNumber = m_nodes[index].runNumber;
    at(when, [=, this] {
        auto &node = m_nodes[index];
        if (node.runNumber != runNumber || !node.limiter)
            return;
        if (node.paused)
            node.backlog.push_back([=, this] { call(index, run); });
        else
            call(index, run);
    });
}

void limits_fleet::call(std::size_t index,
                        const std::function<void(fleet_limiter &, time_point)> &run)
{
    run(*m_nodes[index].limiter, local(m_nodes[index]));
    carryOut(index);
    scheduleTick(index);
}

void limits_fleet::carryOut(std::size_t index)
{
    for (const auto &action : m_nodes[index].limiter->takeActions())
        std::visit([&](const auto &body) { carryOut(index, body); }, action);
}

void limits_fleet::carryOut(std::size_t index, const admit_ticket &action)
{
    auto &counts = m_counts[action.customer];
    ++counts.admitted;
    m_openTickets.erase({index, action.ticket});
    if (!m_bounds[action.customer].oracle.admit(m_now.count()))
        ++counts.overAdmitted;
}

void limits_fleet::carryOut(std::size_t index, const refuse_ticket &action)
{
    auto &counts = m_counts[action.customer];
    ++counts.refused;
    const auto open = m_openTickets.find({index, action.ticket});
    if (open == m_openTickets.end())
        return;
    counts.refusedWithin += open->second.within ? 1 : 0;
    m_openTickets.erase(open);
}

void limits_fleet::carryOut(std::size_t index, const send_limit_message &action)
{
    ++m_messages;
    const auto to = vmIndex(action.to);
    if (m_cuts.contains({index, to}) || !alive(to))
        return;
    const auto from = vmName(index);
    const auto deliver = [from, body = action.body](fleet_limiter &limiter, time_point now) {
        limiter.onMessage(from, body, now);
    };
    const auto extra = extraDelay ? extraDelay(action.body) : 0ns;
    atNode(m_now + random(m_network.minDelay, m_network.maxDelay) + extra, to, deliver);
    if (std::bernoulli_distribution(m_network.duplicates)(m_random))
        atNode(m_now + random(m_network.minDelay, 20 * m_network.maxDelay), to, deliver);
}

void limits_fleet::carryOut(std::size_t index, const append_claim &action)
{
    ++m_appends;
    const auto claim = action.claim;
    const auto effect = [=, this] {
        m_log.push_back(claim);
        m_logTimes.push_back(m_now);
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            at(m_now + random(m_network.logDelay / 2, m_network.logDelay),
               [=, this] { readLog(i); });
    };
    if (m_logUp && !m_nodes[index].logCut) {
        at(m_now + random(m_network.logDelay / 2, m_network.logDelay), effect);
        return;
    }
    // Without the log, an append either certainly fails or takes effect late without an answer.
    if (std::bernoulli_distribution(0.5)(m_random))
        m_hungAppends.push_back(effect);
    else
        atNode(m_now + m_network.logDelay, index,
               [=](fleet_limiter &limiter, time_point now) { limiter.onAppendFailed(claim, now); });
}

void limits_fleet::scheduleTick(std::size_t index)
{
    auto &node = m_nodes[index];
    const auto deadline = node.limiter->nextDeadline();
    if (!deadline)
        return;
    const double ahead = static_cast<double>((*deadline - local(node)).count());
    const auto when =
        m_now
        + true_time(std::max<std::int64_t>(
            0, static_cast<std::int64_t>(std::ceil(ahead / (1 + node.clockError))) + 1));
    if (when >= node.tickAt && node.tickAt > m_now)
        return;
    node.tickAt = when;
    const auto runNumber = node.runNumber;
    at(when, [=, this] {
        auto &due = m_nodes[index];
        if (due.runNumber != runNumber || due.paused || due.tickAt != when)
            return;
        due.tickAt = true_time::max();
        call(index, [](fleet_limiter &limiter, time_point now) { limiter.tick(now); });
    });
}

void limits_fleet::readLog(std::size_t index)
{
    if (!m_logUp || !alive(index) || m_nodes[index].logCut)
        return;
    auto &node = m_nodes[index];
    while (node.logRead < m_log.size()) {
        const auto offset = ++node.logRead;
        atNode(m_now, index, [=, this](fleet_limiter &limiter, time_point now) {
            limiter.onHomeRecord(log_offset(offset), m_log[offset - 1], now);
        });
    }
}

std::size_t limits_fleet::expiredRecords() const
{
    const auto isExpired = [this](true_time appended) {
        return m_now - appended >= m_network.logRetention;
    };
    return static_cast<std::size_t>(std::count_if(m_logTimes.begin(), m_logTimes.end(), isExpired));
}

void limits_fleet::publishList()
{
    std::vector<live_entry> live;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (alive(i))
            live.push_back({vmName(i), incarnation_number(m_nodes[i].incarnation)});
    }
    m_lists.emplace_back(m_now, live);
}

void limits_fleet::readLists()
{
    const auto since = std::max(m_now - m_network.listLag, true_time{});
    const auto shown = std::find_if(m_lists.rbegin(), m_lists.rend(),
                                    [&](const auto &list) { return list.first <= since; });
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!alive(i))
            continue;
        atNode(m_now, i, [list = shown->second](fleet_limiter &limiter, time_point now) {
            limiter.onEntries(list, now);
        });
    }
    at(m_now + 500ms, [this] { readLists(); });
}

void limits_fleet::readConnections()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!alive(i))
            continue;
        std::vector<vm_id> connected;
        for (std::size_t j = 0; j < m_nodes.size(); ++j) {
            const bool isCut = m_cuts.contains({i, j}) || m_cuts.contains({j, i});
            if (j != i && alive(j) && !isCut)
                connected.push_back(vmName(j));
        }
        atNode(m_now, i, [=](fleet_limiter &limiter, time_point) { limiter.onPeers(connected); });
    }
    at(m_now + ConnectionPoll, [this] { readConnections(); });
}

time_point limits_fleet::local(const sim_entry &entry) const
{
    const auto elapsed = static_cast<double>(m_now.count()) * (1 + entry.clockError);
    return time_point(duration(static_cast<std::int64_t>(elapsed)) + entry.clockOffset);
}

true_time limits_fleet::random(true_time from, true_time to)
{
    return true_time(
        std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(m_random));
}

} // namespace tamarack::test
