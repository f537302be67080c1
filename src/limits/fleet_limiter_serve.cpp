// Serves waiting requests from the home's bucket or from borrowed tokens, and requests loans.
#include <tamarackglade/limits/fleet_limiter.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

namespace {

/// At most the burst divided by this is borrowed ahead of need.
constexpr std::uint32_t PrefetchDivisor = 8;

} // namespace

void fleet_limiter::serve(const customer_id &customer, customer_limit &state, time_point now)
{
    while (!state.waiting.empty() && state.waiting.front().deadline <= now)
        refuseFront(customer, state, std::max(state.nextRequestAt - now, m_options.maxWait));
    if (limitPartitionOf(state).isHome())
        serveFromBucket(customer, state, now);
    else
        serveFromBorrowed(customer, state, now);
    schedule(customer, state);
}

void fleet_limiter::serveFromBucket(const customer_id &customer, customer_limit &state,
                                    time_point now)
{
    state.returnAt.reset();
    if (state.waiting.empty())
        return;
    if (!limitPartitionOf(state).mayLend(now)) {
        state.nextRequestAt = now + NoHomeRetryDelay;
        return;
    }
    while (!state.waiting.empty() && state.bucket->take(now))
        admitFront(customer, state, now);
    if (state.waiting.empty())
        return;
    const duration wait = std::max(state.bucket->timeToToken(now), MinRetryAfter);
    state.nextRequestAt = now + wait;
    refuseUnservable(customer, state, wait, 0, now);
}

void fleet_limiter::serveFromBorrowed(const customer_id &customer, customer_limit &state,
                                      time_point now)
{
    while (!state.waiting.empty() && state.borrowed.spend(now)) {
        admitFront(customer, state, now);
        state.returnAt = now + m_options.returnDelay;
    }
    if (state.requestInFlight && now >= state.requestedAt + m_options.loanRequestTimeout) {
        state.requestInFlight = false;
        state.returnAt = now + m_options.returnDelay;
    }
    if (state.requestInFlight)
        return;
    if (!state.waiting.empty() && now >= state.nextRequestAt)
        requestTokens(customer, state, now);
    else if (state.returnAt && now >= *state.returnAt)
        returnTokens(customer, state, now);
}

void fleet_limiter::admitFront(const customer_id &customer, customer_limit &state, time_point now)
{
    m_actions.emplace_back(admit_ticket{customer, state.waiting.front().ticket});
    state.waiting.pop_front();
    const double elapsed = toSeconds(now - state.recentUseAt);
    state.recentUse *= std::exp(-elapsed / toSeconds(m_options.prefetchHorizon));
    state.recentUse += 1;
    state.recentUseAt = now;
}

void fleet_limiter::refuseFront(const customer_id &customer, customer_limit &state,
                                duration retryAfter)
{
    m_actions.emplace_back(refuse_ticket{customer, state.waiting.front().ticket, retryAfter});
    state.waiting.pop_front();
}

void fleet_limiter::refuseUnservable(const customer_id &customer, customer_limit &state,
                                     duration wait, std::size_t available, time_point now)
{
    while (state.waiting.size() > available) {
        const auto ahead = static_cast<double>(state.waiting.size() - available - 1);
        const double perSecond = std::max(state.rate.perSecond, 1e-6);
        const duration expected = wait + fromSeconds(ahead / perSecond);
        const auto &last = state.waiting.back();
        if (now + expected <= last.deadline)
            return;
        m_actions.emplace_back(refuse_ticket{customer, last.ticket, expected});
        state.waiting.pop_back();
    }
}

void fleet_limiter::requestTokens(const customer_id &customer, customer_limit &state,
                                  time_point now)
{
    if (!limitPartitionOf(state).record()) {
        state.nextRequestAt = now + NoHomeRetryDelay;
        return;
    }
    const auto wanted = static_cast<std::uint32_t>(state.waiting.size()) + prefetch(state, now);
    sendRequest(customer, state, wanted, 0, now);
    state.requestInFlight = true;
    state.requestedAt = now;
}

void fleet_limiter::returnTokens(const customer_id &customer, customer_limit &state, time_point now)
{
    if (!limitPartitionOf(state).record()) {
        state.returnAt.reset();
        return;
    }
    const std::uint32_t returned = state.borrowed.held(now);
    state.borrowed.clear();
    sendRequest(customer, state, 0, returned, now);
}

void fleet_limiter::sendRequest(const customer_id &customer, customer_limit &state,
                                std::uint32_t tokens, std::uint32_t returned, time_point now)
{
    schema::loan_request_message request;
    request.customer = customer.value();
    state.requestSequence = ++m_lastRequestSequence;
    request.sequence = state.requestSequence;
    request.tokens = tokens;
    request.incarnation = m_membership.self().incarnation.value();
    request.held = state.borrowed.held(now);
    request.returned = returned;
    request.received_sequence = state.receivedSequence;
    state.returnAt.reset();
    send(limitPartitionOf(state).record()->home.vm, std::move(request));
}

void fleet_limiter::onTimer(const customer_id &customer, time_point now)
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return;
    found->second.timer = 0;
    serve(customer, found->second, now);
}

void fleet_limiter::schedule(const customer_id &customer, customer_limit &state)
{
    m_timers.cancel(std::exchange(state.timer, 0));
    std::optional<time_point> due = state.returnAt;
    const auto atLatest = [&due](time_point when) { due = std::min(due.value_or(when), when); };
    if (state.requestInFlight)
        due = state.requestedAt + m_options.loanRequestTimeout;
    else if (!state.waiting.empty())
        atLatest(state.nextRequestAt);
    if (!state.waiting.empty())
        atLatest(state.waiting.front().deadline);
    if (due)
        state.timer =
            m_timers.subscribe(*due, [this, customer](time_point t) { onTimer(customer, t); });
}

std::uint32_t fleet_limiter::prefetch(customer_limit &state, time_point now) const
{
    const double elapsed = toSeconds(now - state.recentUseAt);
    const double expected =
        state.recentUse * std::exp(-elapsed / toSeconds(m_options.prefetchHorizon));
    return std::min(static_cast<std::uint32_t>(expected), state.rate.burst / PrefetchDivisor);
}

const limit_partition &fleet_limiter::limitPartitionOf(const customer_limit &state) const
{
    return m_partitions[state.partition.value()];
}

void fleet_limiter::send(const vm_id &to, limit_message message)
{
    m_actions.emplace_back(send_limit_message{to, std::move(message)});
}

} // namespace tamarack
