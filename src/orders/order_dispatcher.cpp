// Fencing and pacing of orders.
#include <tamarackglade/orders/order_dispatcher.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>

namespace tamarack {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxKept = 32; // orders
constexpr duration MaxAge = 2s; // of what is known of log and upstream when an order is given
constexpr duration StatePeriod = 2s; // between two questions to the upstream
constexpr duration RetryPause = 500ms;

bool isIn(const std::vector<std::string> &ids, const std::string &id)
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
            take(*folded, seenAt(*folded, read, now), now);
    }
    refuseOvertaken();
    if (!read.atEnd)
        return;
    m_caughtUp = true;
    m_readAt = std::max(m_readAt, read.requestedAt);
}

void order_dispatcher::onReadFailed(time_point now)
{
    m_pauseUntil = now + RetryPause;
}

void order_dispatcher::onUpstreamState(const upstream_state_report &report, time_point requestedAt,
                                       time_point now)
{
    m_stateAt = requestedAt;
    m_highestSeen = report.highestFence;
    m_inForce = report.inForce;
    compareWithUpstream(now);
    refuseOvertaken();
}

void order_dispatcher::onUpstreamSilent(const std::string &why, time_point now)
{
    m_stateAt.reset();
    m_pauseUntil = now + RetryPause;
    if (tracked_order *entry = firstWaiting())
        entry->message = why;
}

void order_dispatcher::onAnswer(const order_answer &answer, time_point now)
{
    tracked_order *entry = underWay();
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
        tryAgain(*entry, answer, now);
        return;
    }
}

std::optional<order_action> order_dispatcher::next(time_point now)
{
    if (!m_takesOrders || !m_caughtUp || now < m_pauseUntil || underWay() != nullptr)
        return std::nullopt;
    if (!m_stateAt || now - *m_stateAt >= StatePeriod)
        return ask_upstream{};
    tracked_order *entry = firstWaiting();
    if (entry == nullptr || entry->notBefore > now)
        return std::nullopt;
    // Looked at anew for each order: the answers at hand may be from before a pause.
    if (*m_stateAt < entry->notBefore || now - *m_stateAt > MaxAge / 2)
        return ask_upstream{};
    // The upstream may hold orders that only a later read shows.
    if (m_readAt < *m_stateAt)
        return reread_orders{m_fold.next()};
    entry->state = order_state::UnderWay;
    entry->message.clear();
    m_highestSeen = std::max(m_highestSeen, entry->order.fence);
    return give_order{entry->order, std::min(*m_stateAt, m_readAt) + MaxAge};
}

void order_dispatcher::take(const folded_order &folded, time_point seenAt, time_point now)
{
    tracked_order entry;
    entry.order = folded.order;
    if (isIn(m_inForce, entry.order.id))
        entry.state = order_state::Done;
    entry.notBefore = now;
    if (folded.order.readsWeights())
        entry.notBefore = std::max(now, m_limiter.reserve(seenAt));
    if (folded.vm != m_self)
        return;
    supersede(folded.order.kind);
    if (!m_takesOrders) {
        entry.state = order_state::Refused;
        entry.message = "the upstream takes no orders";
    }
    m_orders.push_back(std::move(entry));
    trim();
}

void order_dispatcher::supersede(schema::order_kind kind)
{
    for (tracked_order &entry : m_orders) {
        if (entry.order.kind == kind && entry.state == order_state::Waiting)
            entry.state = order_state::Superseded;
    }
}

// The newest order of each kind stays, since it is compared with what the upstream says.
void order_dispatcher::trim()
{
    if (m_orders.size() <= MaxKept)
        return;
    const auto old = std::find_if(m_orders.begin(), m_orders.end(), [&](const auto &entry) {
        return entry.state != order_state::UnderWay && !isNewest(entry);
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

// Sides that follow the log see a record at nearly the same time, whatever the operator's clock
// says. One that reads the past has only the operator's clock.
time_point order_dispatcher::seenAt(const folded_order &folded, const orders_read &read,
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
        if (isIn(m_inForce, entry.order.id)) {
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

void order_dispatcher::refuseOvertaken()
{
    for (const tracked_order &entry : m_orders) {
        if (isIn(m_inForce, entry.order.id))
            m_highestSeen = std::max(m_highestSeen, entry.order.fence);
    }
    if (m_mutation == order_mutation::IgnoreFence)
        return;
    for (tracked_order &entry : m_orders) {
        if (entry.state != order_state::Waiting || entry.order.fence >= m_highestSeen)
            continue;
        entry.state = order_state::Refused;
        entry.message = absl::StrCat("the upstream has seen fence ", m_highestSeen.value());
    }
}

tracked_order *order_dispatcher::firstWaiting()
{
    const auto found = std::find_if(m_orders.begin(), m_orders.end(), [](const auto &entry) {
        return entry.state == order_state::Waiting;
    });
    return found == m_orders.end() ? nullptr : &*found;
}

tracked_order *order_dispatcher::underWay()
{
    const auto found = std::find_if(m_orders.begin(), m_orders.end(), [](const auto &entry) {
        return entry.state == order_state::UnderWay;
    });
    return found == m_orders.end() ? nullptr : &*found;
}

// What the upstream says decides whether the order is given again.
void order_dispatcher::tryAgain(tracked_order &entry, const order_answer &answer, time_point now)
{
    m_stateAt.reset();
    entry.state = isNewest(entry) ? order_state::Waiting : order_state::Superseded;
    if (answer.outcome == order_outcome::NotSent)
        return;
    m_pauseUntil = now + RetryPause;
    if (entry.order.readsWeights())
        entry.notBefore = m_limiter.reserve(now);
}

} // namespace tamarack
