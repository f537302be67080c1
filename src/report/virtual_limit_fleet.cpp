// Event queue, links and log of home claims of the simulated limiters.
#include <tamarackglade/core/overloaded.hpp>
#include <tamarackglade/report/frame_size.hpp>
#include <tamarackglade/report/virtual_limit_fleet.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace tamarack {

namespace {

constexpr duration LinkDelay = std::chrono::milliseconds(1);
constexpr duration LogDelay = std::chrono::milliseconds(20);
constexpr duration TickInterval = std::chrono::milliseconds(10); // as in the entry process

} // namespace

virtual_limit_fleet::virtual_limit_fleet(std::size_t entries, std::uint32_t partitions,
                                         std::function<duration()> clock)
    : m_clock(std::move(clock))
{
    limit_options options;
    options.partitions = partitions;
    std::vector<live_entry> list;
    for (std::size_t i = 0; i < entries; ++i) {
        m_names.emplace_back("entry-" + std::to_string(i));
        m_indexes[m_names.back()] = i;
        list.push_back({m_names.back(), incarnation_number(1)});
        m_limiters.push_back(std::make_unique<fleet_limiter>(
            options, m_names.back(), incarnation_number(1), std::mt19937_64(i), m_now));
    }
    for (const auto &limiter : m_limiters)
        limiter->onEntries(list, m_now);
}

void virtual_limit_fleet::addCustomers(std::size_t customers, customer_rate rate)
{
    for (std::size_t i = 0; i < customers; ++i) {
        m_customers.emplace_back("customer-" + std::to_string(m_customers.size()));
        for (const auto &limiter : m_limiters)
            limiter->setRate(m_customers.back(), rate, m_now);
    }
}

void virtual_limit_fleet::advance(duration time, double requestsPerSecond)
{
    const duration start = m_clock();
    runUntil(m_now + time, requestsPerSecond);
    m_cost.processorTime += m_clock() - start;
}

void virtual_limit_fleet::runUntil(time_point end, double requestsPerSecond)
{
    std::exponential_distribution<double> gap(std::max(requestsPerSecond, 1e-9));
    const double maxGap = 2 * toSeconds(end - m_now);
    time_point arrival = m_now + fromSeconds(std::min(gap(m_random), maxGap));
    for (;;) {
        const time_point event = m_events.empty() ? time_point::max() : m_events.begin()->first;
        m_now = std::min({event, m_nextTick, arrival, end});
        if (m_now == end)
            return;
        if (m_now == event) {
            const auto next = m_events.extract(m_events.begin());
            next.mapped()();
        } else if (m_now == m_nextTick) {
            tickAll();
        } else {
            submitRequest();
            arrival = m_now + fromSeconds(gap(m_random));
        }
    }
}

void virtual_limit_fleet::tickAll()
{
    m_nextTick = m_now + TickInterval;
    for (std::size_t entry = 0; entry < m_limiters.size(); ++entry)
        run(entry, [this](fleet_limiter &limiter) { limiter.tick(m_now); });
}

void virtual_limit_fleet::submitRequest()
{
    const auto &customer = m_customers[m_random() % m_customers.size()];
    const std::uint64_t ticket = ++m_lastTicket;
    run(m_random() % m_limiters.size(),
        [&](fleet_limiter &limiter) { limiter.admit(customer, ticket, m_now); });
}

void virtual_limit_fleet::run(std::size_t entry, const limiter_call &call)
{
    call(*m_limiters[entry]);
    for (const auto &action : m_limiters[entry]->takeActions())
        perform(entry, action);
}

void virtual_limit_fleet::perform(std::size_t entry, const limit_action &action)
{
    std::visit(overloaded{[](const admit_ticket &) {},
                          [this](const refuse_ticket &) { ++m_cost.refused; },
                          [&](const send_limit_message &message) { deliver(entry, message); },
                          [this](const append_claim &claim) { append(claim.claim); }},
               action);
}

void virtual_limit_fleet::deliver(std::size_t from, const send_limit_message &message)
{
    ++m_cost.messages;
    m_cost.bytes += std::visit([](const auto &body) { return frameSize(body); }, message.body);
    m_events.emplace(m_now + LinkDelay, [this, from, message] {
        const vm_id &sender = m_names[from];
        run(m_indexes.at(message.to),
            [&](fleet_limiter &limiter) { limiter.onMessage(sender, message.body, m_now); });
    });
}

void virtual_limit_fleet::append(const schema::home_claimed_message &claim)
{
    ++m_cost.appends;
    const log_offset offset(++m_lastOffset);
    m_events.emplace(m_now + LogDelay, [this, offset, claim] {
        for (std::size_t entry = 0; entry < m_limiters.size(); ++entry)
            run(entry, [&](fleet_limiter &limiter) { limiter.onHomeRecord(offset, claim, m_now); });
    });
}

} // namespace tamarack
