// Fencing and pacing of orders.
#include <tamarackglade/gate/by_value.hpp>
#include <tamarackglade/orders/order_desk.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::size_t MaxRememberedAnswers = 64;

bool readsWeights(const schema::upstream_order_message &order)
{
    return order.kind != schema::order_kind::ChangeRole;
}

} // namespace

order_desk::order_desk(weight_store_limiter limiter, std::size_t maxQueued, order_mutation mutation)
    : m_limiter(limiter), m_maxQueued(maxQueued), m_mutation(mutation)
{
}

order_actions order_desk::onFenceLearned(fence_number fence, instant /*now*/)
{
    raiseFence(fence);
    return takeActions();
}

order_actions order_desk::onOrder(const schema::upstream_order_message &order, connection_id from,
                                  instant now)
{
    const auto done = std::find_if(m_done.begin(), m_done.end(),
                                   [&](const auto &e) { return e.first == order.order_id; });
    if (done != m_done.end()) {
        m_actions.emplace_back(answer_order{from, done->second});
        return takeActions();
    }
    if (isHeld(order.order_id))
        return takeActions();
    if (!m_fence) {
        answer(from, order.order_id, false, "fence not known yet");
    } else if (isOld(order)) {
        answer(from, order.order_id, false, "old fencing number");
    } else {
        raiseFence(fence_number(order.fence));
        if (m_waiting.size() >= m_maxQueued) {
            answer(from, order.order_id, false, "too many orders");
        } else {
            m_waiting.push_back({order, from});
            beginNext(now);
        }
    }
    return takeActions();
}

order_actions order_desk::onDone(const std::string &orderId, bool accepted,
                                 const std::string &message, instant now)
{
    if (!m_underWay || m_underWay->order.order_id != orderId)
        return takeActions();
    answer(m_underWay->from, orderId, accepted, message);
    m_done.emplace_back(orderId, std::get<answer_order>(m_actions.back()).answer);
    if (m_done.size() > MaxRememberedAnswers)
        m_done.pop_front();
    m_underWay.reset();
    beginNext(now);
    return takeActions();
}

order_actions order_desk::tick(instant now)
{
    beginNext(now);
    return takeActions();
}

std::optional<instant> order_desk::nextDeadline(instant now) const
{
    if (m_underWay || m_waiting.empty())
        return std::nullopt;
    return m_limiter.nextLoad(now);
}

bool order_desk::isOld(const schema::upstream_order_message &order) const
{
    return order.fence < m_fence->value() && m_mutation != order_mutation::IgnoreFence;
}

bool order_desk::isHeld(const std::string &orderId) const
{
    if (m_underWay && m_underWay->order.order_id == orderId)
        return true;
    return std::any_of(m_waiting.begin(), m_waiting.end(),
                       [&](const auto &e) { return e.order.order_id == orderId; });
}

void order_desk::raiseFence(fence_number fence)
{
    m_fence = std::max(m_fence.value_or(fence), fence, by_value());
    if (m_mutation == order_mutation::IgnoreFence)
        return;
    while (!m_waiting.empty() && isOld(m_waiting.front().order)) {
        answer(m_waiting.front().from, m_waiting.front().order.order_id, false,
               "old fencing number");
        m_waiting.pop_front();
    }
}

void order_desk::beginNext(instant now)
{
    if (m_underWay || m_waiting.empty())
        return;
    if (readsWeights(m_waiting.front().order) && !m_limiter.tryLoad(now))
        return;
    m_underWay = std::move(m_waiting.front());
    m_waiting.pop_front();
    m_actions.emplace_back(give_order{m_underWay->order});
}

void order_desk::answer(connection_id to, const std::string &orderId, bool accepted,
                        const std::string &message)
{
    schema::order_answer_message reply;
    reply.order_id = orderId;
    reply.accepted = accepted;
    reply.message = message;
    m_actions.emplace_back(answer_order{to, std::move(reply)});
}

order_actions order_desk::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace tamarack
