// Admission by deadline and by weighted fair share.
#include <tamarackglade/gate/admission_queue.hpp>

#include <algorithm>
#include <cassert>

namespace tamarack {

namespace {

constexpr int ServiceAverageSpan = 8; // time constant of the moving average, in pops

} // namespace

admission_queue::admission_queue(admission_limits limits)
    : m_limits(limits), m_serviceInterval(limits.initialServiceInterval)
{
}

std::optional<admission_refusal> admission_queue::enqueue(const admission_request &request,
                                                          time_point now)
{
    assert(!m_requests.contains(request.id));
    const auto wait = estimatedWait(request.customer, request.weight);
    if (now + wait > request.deadline)
        return admission_refusal{request.id, retryAfter(wait)};
    m_queue.push(request.customer, request.weight, request.id);
    m_requests.emplace(request.id, request);
    m_deadlines.emplace(request.deadline, request.id);
    if (m_queue.size() <= m_limits.maxQueued)
        return std::nullopt;
    const auto refusedId = m_queue.popNewest(m_queue.mostBacklogged());
    eraseRequest(*refusedId);
    return admission_refusal{*refusedId, retryAfter(wait)};
}

std::optional<std::string> admission_queue::pop(time_point now)
{
    auto id = m_queue.pop();
    if (!id)
        return std::nullopt;
    eraseRequest(*id);
    observeService(now);
    return id;
}

bool admission_queue::remove(const std::string &id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return false;
    m_queue.remove(found->second.customer, id);
    eraseRequest(id);
    return true;
}

std::vector<admission_refusal> admission_queue::expire(time_point now)
{
    std::vector<admission_refusal> refused;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        const auto &request = m_requests.at(id);
        refused.push_back({id, retryAfter(estimatedWait(request.customer, request.weight))});
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
    if (m_lastServiceAt)
        m_serviceInterval += (now - *m_lastServiceAt - m_serviceInterval) / ServiceAverageSpan;
    m_lastServiceAt = m_queue.empty() ? std::nullopt : std::optional(now);
}

duration admission_queue::retryAfter(duration wait) const
{
    return std::clamp(wait, m_limits.minRetryAfter, m_limits.maxRetryAfter);
}

void admission_queue::eraseRequest(const std::string &id)
{
    const auto found = m_requests.find(id);
    m_deadlines.erase({found->second.deadline, id});
    m_requests.erase(found);
}

} // namespace tamarack
