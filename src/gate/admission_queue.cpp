// Admission by deadline and fair share.
#include <tamarackglade/gate/admission_queue.hpp>

#include <algorithm>
#include <cassert>

namespace tamarack {

namespace {

constexpr int ServiceAverageSpan = 8; // services that the moving average looks back

} // namespace

admission_queue::admission_queue(admission_limits limits)
    : m_limits(limits), m_serviceInterval(limits.initialServiceInterval)
{
}

std::optional<admission_refusal> admission_queue::offer(const admission_offer &offer,
                                                        time_point now)
{
    assert(!m_offers.contains(offer.id));
    const auto wait = estimatedWait(offer.customer, offer.weight);
    if (now + wait > offer.deadline)
        return admission_refusal{offer.id, retryAfter(wait)};
    m_queue.push(offer.customer, offer.weight, offer.id);
    m_offers.emplace(offer.id, offer);
    m_deadlines.emplace(offer.deadline, offer.id);
    if (m_queue.size() <= m_limits.maxQueued)
        return std::nullopt;
    const auto turnedAway = m_queue.popNewest(m_queue.mostBacklogged());
    forget(*turnedAway);
    return admission_refusal{*turnedAway, retryAfter(wait)};
}

std::optional<std::string> admission_queue::pop(time_point now)
{
    auto id = m_queue.pop();
    if (!id)
        return std::nullopt;
    forget(*id);
    observeService(now);
    return id;
}

bool admission_queue::remove(const std::string &id)
{
    const auto found = m_offers.find(id);
    if (found == m_offers.end())
        return false;
    m_queue.remove(found->second.customer, id);
    forget(id);
    return true;
}

std::vector<admission_refusal> admission_queue::expire(time_point now)
{
    std::vector<admission_refusal> refused;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        const auto &offer = m_offers.at(id);
        refused.push_back({id, retryAfter(estimatedWait(offer.customer, offer.weight))});
        remove(id);
    }
    return refused;
}

std::vector<std::string> admission_queue::clear()
{
    std::vector<std::string> ids;
    while (!m_deadlines.empty()) {
        ids.push_back(m_deadlines.begin()->second);
        remove(ids.back());
    }
    return ids;
}

duration admission_queue::estimatedWait(const customer_id &customer, std::uint32_t weight) const
{
    if (m_queue.empty())
        return duration::zero();
    const double own = static_cast<double>(m_queue.backlog(customer));
    const double share = std::max<std::uint32_t>(weight, 1);
    const double rounds = (own + 1) / share;
    const double others = rounds * static_cast<double>(m_queue.weightOfOthers(customer));
    const double ahead = std::min(own + others, static_cast<double>(m_queue.size()));
    return duration(static_cast<duration::rep>(ahead * m_serviceInterval.count()));
}

std::optional<time_point> admission_queue::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

void admission_queue::observeService(time_point now)
{
    if (m_lastService)
        m_serviceInterval += (now - *m_lastService - m_serviceInterval) / ServiceAverageSpan;
    m_lastService = m_queue.empty() ? std::nullopt : std::optional(now);
}

duration admission_queue::retryAfter(duration wait) const
{
    return std::clamp(wait, m_limits.minRetryAfter, m_limits.maxRetryAfter);
}

void admission_queue::forget(const std::string &id)
{
    const auto found = m_offers.find(id);
    m_deadlines.erase({found->second.deadline, id});
    m_offers.erase(found);
}

} // namespace tamarack
