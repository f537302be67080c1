// Fencing and rate limiting of orders.
#include <tamarackglade/orders/order_dispatcher.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>

namespace tamarack {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxTrackedOrders = 32;
constexpr duration MaxStateAge = 2s; // of the log read and the upstream state on sending
constexpr duration StateInterval = 2s; // between two queries of the upstream
constexpr duration RetryInterval = 500ms;

bool contains(const std::vector<std::string> &ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

order_dispatcher::order_dispatcher(vm_id self, weight_store_limiter limiter,
                                   order_mutation mutation)
    : m_self(std::move(self)), m_limiter(limiter), m_mutation(mutation)
{
}

void order_dispatcher::setLoadRate(duration interval, int burst)
{
    m_limiter.setRate(interval, burst);
}

void order_dispatcher::onRead(const orders_read &read, time_point now)
{
    for (const log_entry &entry : read.entries) {
        if (const auto folded = m_fold.apply(entry))
            trackOrder(*folded, estimateAppendTime(*folded, read, now), now);
    }
    refuseStaleOrders();
    if (!read.atEnd)
        return;
    m_caughtUp = true;
    m_readRequestedAt = std::max(m_readRequestedAt, read.requestedAt);
}

void order_dispatcher::onReadFailed(time_point now)
{
    m_retryAt = now + RetryInterval;
}

void order_dispatcher::onUpstreamState(const upstream_state_report &report, time_point requestedAt,
                                       time_point now)
{
    m_stateRequestedAt = requestedAt;
    m_highestFence = report.highestFence;
    m_inForce = report.inForce;
    compareWithUpstream(now);
    refuseStaleOrders();
}

void order_dispatcher::onUpstreamStateFailed(const std::string &why, time_point now)
{
    m_stateRequestedAt.reset();
    m_retryAt = now + RetryInterval;
    if (tracked_order *entry = firstWaiting())
        entry->message = why;
}

void order_dispatcher::onAnswer(const order_answer &answer, time_point now)
{
    tracked_order *entry = orderInProgress();
    if (entry == nullptr)
        return;
    entry->message = answer.message;
    switch (answer.outcome) {
    case order_outcome::Done:
        entry->state = order_state::Done;
        return;
    case order_outcome::Refused:
        entry->state = order_state::Refused;
        return;
    case order_outcome::Busy:
    case order_outcome::NotSent:
    case order_outcome::Unknown:
        scheduleRetry(*entry, answer, now);
        return;
    }
}

std::optional<order_action> order_dispatcher::next(time_point now)
{
    if (!m_acceptsOrders || !m_caughtUp || now < m_retryAt || orderInProgress() != nullptr)
        return std::nullopt;
    if (!m_stateRequestedAt || now - *m_stateRequestedAt >= StateInterval)
        return query_upstream_state{};
    tracked_order *entry = firstWaiting();
    if (entry == nullptr || entry->notBefore > now)
        return std::nullopt;
    // Each order needs a recent state: the last one may be from before a pause of this process.
    if (*m_stateRequestedAt < entry->notBefore || now - *m_stateRequestedAt > MaxStateAge / 2)
        return query_upstream_state{};
    // The upstream may have orders that are newer than the last read of the log.
    if (m_readRequestedAt < *m_stateRequestedAt)
        return reread_orders{m_fold.next()};
    entry->state = order_state::InProgress;
    entry->message.clear();
    m_highestFence = std::max(m_highestFence, entry->order.fence);
    return send_order{entry->order, std::min(*m_stateRequestedAt, m_readRequestedAt) + MaxStateAge};
}

void order_dispatcher::trackOrder(const folded_order &folded, time_point appendedAt, time_point now)
{
    tracked_order entry;
    entry.order = folded.order;
    if (contains(m_inForce, entry.order.id))
        entry.state = order_state::Done;
    entry.notBefore = now;
    if (folded.order.readsWeights())
        entry.notBefore = std::max(now, m_limiter.reserve(appendedAt));
    if (folded.vm != m_self)
        return;
    supersedeWaiting(folded.order.kind);
    if (!m_acceptsOrders) {
        entry.state = order_state::Refused;
        entry.message = "the upstream takes no orders";
    }
    m_orders.push_back(std::move(entry));
    trimOrders();
}

void order_dispatcher::supersedeWaiting(schema::order_kind kind)
{
    for (tracked_order &entry : m_orders) {
        if (entry.order.kind == kind && entry.state == order_state::Waiting)
            entry.state = order_state::Superseded;
    }
}

// The newest order of each kind is kept for the comparison with the orders in force.
void order_dispatcher::trimOrders()
{
    if (m_orders.size() <= MaxTrackedOrders)
        return;
    const auto old = std::find_if(m_orders.begin(), m_orders.end(), [&](const auto &entry) {
        return entry.state != order_state::InProgress && !isNewest(entry);
    });
    if (old != m_orders.end())
        m_orders.erase(old);
}

bool order_dispatcher::isNewest(const tracked_order &entry) const
{
    return std::none_of(m_orders.begin(), m_orders.end(), [&](const tracked_order &other) {
        return other.order.kind == entry.order.kind && other.order.fence > entry.order.fence;
    });
}

// Sides that follow the log read a new record at nearly the same time, so the time of the read is
// used, even if the operator's clock is wrong. For records from before the first complete read,
// only the operator's clock gives the time.
time_point order_dispatcher::estimateAppendTime(const folded_order &folded, const orders_read &read,
                                                time_point now) const
{
    if (m_caughtUp || folded.writtenAtSeconds >= read.wallSeconds)
        return now;
    const auto age = std::min<std::uint64_t>(read.wallSeconds - folded.writtenAtSeconds,
                                             std::chrono::seconds(24h).count());
    return now - std::chrono::seconds(age);
}

void order_dispatcher::compareWithUpstream(time_point now)
{
    for (tracked_order &entry : m_orders) {
        if (!isNewest(entry) || entry.state == order_state::Refused)
            continue;
        if (contains(m_inForce, entry.order.id)) {
            entry.state = order_state::Done;
            entry.message.clear();
        } else if (entry.state == order_state::Done) {
            entry.state = order_state::Waiting;
            entry.notBefore = now;
            if (entry.order.readsWeights())
                entry.notBefore = m_limiter.reserve(now);
        }
    }
}

void order_dispatcher::refuseStaleOrders()
{
    for (const tracked_order &entry : m_orders) {
        if (contains(m_inForce, entry.order.id))
            m_highestFence = std::max(m_highestFence, entry.order.fence);
    }
    if (m_mutation == order_mutation::IgnoreFence)
        return;
    for (tracked_order &entry : m_orders) {
        if (entry.state != order_state::Waiting || entry.order.fence >= m_highestFence)
            continue;
        entry.state = order_state::Refused;
        entry.message =
            absl::StrCat("the upstream has already received fence ", m_highestFence.value());
    }
}

tracked_order *order_dispatcher::firstWaiting()
{
    const auto found = std::find_if(m_orders.begin(), m_orders.end(), [](const auto &entry) {
        return entry.state == order_state::Waiting;
    });
    return found == m_orders.end() ? nullptr : &*found;
}

tracked_order *order_dispatcher::orderInProgress()
{
    const auto found = std::find_if(m_orders.begin(), m_orders.end(), [](const auto &entry) {
        return entry.state == order_state::InProgress;
    });
    return found == m_orders.end() ? nullptr : &*found;
}

// The next state report of the upstream determines whether the order is sent again.
void order_dispatcher::scheduleRetry(tracked_order &entry, const order_answer &answer,
                                     time_point now)
{
    m_stateRequestedAt.reset();
    entry.state = isNewest(entry) ? order_state::Waiting : order_state::Superseded;
    if (answer.outcome == order_outcome::NotSent)
        return;
    m_retryAt = now + RetryInterval;
    if (entry.order.readsWeights())
        entry.notBefore = m_limiter.reserve(now);
}

} // namespace tamarack
