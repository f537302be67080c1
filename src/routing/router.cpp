// Selection and load of candidates.
#include <tamarackglade/routing/router.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

router::router(const routing_options &options, std::mt19937_64 random, routing_mutation mutation)
    : m_options(options), m_random(random), m_mutation(mutation),
      m_strategy(makeRoutingStrategy(options))
{
}

void router::setUpstreams(const std::vector<upstream_info> &upstreams)
{
    std::map<std::string, upstream_state> next;
    for (const auto &info : upstreams) {
        auto node = m_upstreams.extract(info.id.value());
        if (node.empty())
            next.emplace(info.id.value(), upstream_state(m_options.health));
        else
            next.insert(std::move(node));
        next.at(info.id.value()).info = info;
    }
    m_upstreams = std::move(next);
}

void router::onConnected(const upstream_id &upstream, time_point now)
{
    auto *state = find(upstream);
    if (!state)
        return;
    state->connected = true;
    state->returnedAt = now;
    state->reported = schema::upstream_state::Serving;
}

void router::onDisconnected(const upstream_id &upstream)
{
    auto *state = find(upstream);
    if (!state)
        return;
    state->connected = false;
    state->reportedLoad = 0;
    state->inFlightAtReport = 0;
}

void router::onReport(const upstream_id &upstream, const schema::load_report_message &report)
{
    auto *state = find(upstream);
    if (!state)
        return;
    state->reported = report.state;
    state->reportedLoad = report.online_active + report.queued;
    state->inFlightAtReport = state->inFlight;
}

void router::onLeaving(const upstream_id &upstream, bool leaving, time_point now)
{
    auto *state = find(upstream);
    if (!state || state->leaving == leaving)
        return;
    state->leaving = leaving;
    if (!leaving)
        state->returnedAt = now;
}

std::optional<upstream_id> router::choose(const route_query &query, time_point now)
{
    const auto states = usableUpstreams(query, now);
    if (states.empty())
        return std::nullopt;
    std::vector<route_candidate> candidates;
    candidates.reserve(states.size());
    for (const auto *state : states)
        candidates.push_back(candidateOf(*state, now));
    return candidates[m_strategy->choose(candidates, query.prefixHash, m_random)].id;
}

void router::onAttemptStarted(const upstream_id &upstream, time_point now)
{
    if (auto *state = find(upstream)) {
        state->inFlight += 1;
        state->health.onAttemptStarted(now);
    }
}

void router::onAttemptEnded(const upstream_id &upstream, attempt_result result, time_point now)
{
    if (auto *state = find(upstream)) {
        state->inFlight = std::max(state->inFlight - 1, 0.0);
        state->health.onAttemptEnded(result, now);
    }
}

bool router::isEjected(const upstream_id &upstream, time_point now) const
{
    const auto found = m_upstreams.find(upstream.value());
    return found != m_upstreams.end() && !found->second.health.mayUse(now);
}

double router::loadOf(const upstream_id &upstream) const
{
    const auto found = m_upstreams.find(upstream.value());
    return found == m_upstreams.end() ? 0 : loadOf(found->second);
}

bool router::isEligible(const upstream_state &state, const route_query &query) const
{
    const auto &models = state.info.models;
    const bool servesModel = models.empty() || models.contains(query.model.value());
    const bool isLeaving = state.leaving || state.reported != schema::upstream_state::Serving;
    const bool isAllowed = !isLeaving || m_mutation == routing_mutation::IgnoreLeaving;
    return state.info.group == query.group && servesModel && state.connected && isAllowed;
}

std::vector<const router::upstream_state *> router::usableUpstreams(const route_query &query,
                                                                    time_point now) const
{
    std::vector<const upstream_state *> healthy;
    std::vector<const upstream_state *> ejected;
    for (const auto &[id, state] : m_upstreams) {
        if (isEligible(state, query))
            (state.health.mayUse(now) ? healthy : ejected).push_back(&state);
    }
    // If more than half would be ejected, those whose ejection ends first are used nevertheless.
    std::stable_sort(ejected.begin(), ejected.end(), [](const auto *a, const auto *b) {
        return a->health.ejectedUntil() < b->health.ejectedUntil();
    });
    const auto total = healthy.size() + ejected.size();
    const auto limited = m_mutation != routing_mutation::EjectAll;
    for (const auto *state : ejected) {
        if (limited && 2 * healthy.size() < total)
            healthy.push_back(state);
    }
    std::erase_if(healthy, [&](const auto *state) {
        const auto &excluded = query.excluded;
        return std::find(excluded.begin(), excluded.end(), state->info.id) != excluded.end();
    });
    std::sort(healthy.begin(), healthy.end(),
              [](const auto *a, const auto *b) { return a->info.id.value() < b->info.id.value(); });
    return healthy;
}

route_candidate router::candidateOf(const upstream_state &state, time_point now) const
{
    route_candidate candidate;
    candidate.id = state.info.id;
    candidate.load = loadOf(state);
    candidate.reportedLoad = state.reportedLoad;
    const auto zoneCost = state.info.zone == m_options.zone ? 1 : m_options.otherZoneCost;
    candidate.cost = (candidate.load + 1) / slowStartShareOf(state, now) * zoneCost;
    return candidate;
}

double router::slowStartShareOf(const upstream_state &state, time_point now) const
{
    const auto returned = std::max(state.returnedAt, state.health.returnedAt());
    if (!returned || now >= *returned + m_options.slowStart)
        return 1;
    const auto passed = toSeconds(now - *returned) / toSeconds(m_options.slowStart);
    return m_options.slowStartShare + (1 - m_options.slowStartShare) * passed;
}

double router::loadOf(const upstream_state &state)
{
    const auto startedSinceReport = state.inFlight - state.inFlightAtReport;
    return std::max(state.inFlight, state.reportedLoad + startedSinceReport);
}

router::upstream_state *router::find(const upstream_id &upstream)
{
    const auto found = m_upstreams.find(upstream.value());
    return found == m_upstreams.end() ? nullptr : &found->second;
}

} // namespace tamarack
