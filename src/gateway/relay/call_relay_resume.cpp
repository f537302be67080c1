// Keeps a stream at the software version that began it, over the gateway's and the caller's tries.
#include <tamarackglade/gateway/relay/call_relay.hpp>
#include <tamarackglade/gateway/relay/gateway_refusal.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <absl/strings/str_join.h>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds SilentKeeperRetryAfter{250};

} // namespace

bool call_relay::findOrigin()
{
    origin_lookup lookup;
    if (!m_call.firstAttempt.value().empty())
        lookup = m_context.origins.find(
            streamKey(m_call.firstAttempt, m_customer.value_or(customer_id())));
    log_event(log_level::Info, "stream taken up")
        .request(m_call.id.value())
        .with("first_attempt", m_call.firstAttempt.value())
        .with("version", lookup.origin ? lookup.origin->version.value() : "")
        .with("source", lookup.source)
        .with("asked", lookup.asked)
        .with("silent", lookup.silent);
    if (!lookup.origin) {
        // A gateway that was silent, or isn't known here yet, may answer the next time.
        const bool hasName = !m_call.firstAttempt.value().empty();
        const bool mayBeKnown = hasName && (lookup.silent > 0 || lookup.asked == 0);
        refuseResume("the version that began it is unknown",
                     mayBeKnown ? duration(SilentKeeperRetryAfter) : duration::zero());
        return false;
    }
    setOrigin(*lookup.origin);
    const bool inRoute =
        std::any_of(m_route.groups.begin(), m_route.groups.end(),
                    [&](const weighted_group &each) { return each.group == m_origin->group; });
    if (!inRoute)
        refuseResume("the route has no longer the group that began it");
    return inRoute;
}

void call_relay::beginStream()
{
    m_runVersion = versionOfRun();
    const stream_origin origin{m_placement.group, m_runVersion, *m_firstEventAt};
    setOrigin(origin);
    if (m_route.resumable && !origin.version.value().empty())
        m_context.origins.share(streamKey(m_call.id, m_customer.value_or(customer_id())), origin);
}

void call_relay::setOrigin(const stream_origin &origin)
{
    m_origin = origin;
    m_placement.group = origin.group;
    m_placement.version = origin.version;
}

std::string call_relay::notResumableReason() const
{
    if (!m_origin)
        return "";
    if (m_origin->version.value().empty())
        return "the version that began it is unknown";
    if (!m_context.directory.versionsOf(m_origin->group).contains(m_origin->version))
        return "no upstream of its version";
    return "";
}

void call_relay::refuseResume(const std::string &reason, duration retryAfter)
{
    const auto versions = m_context.directory.versionsOf(m_placement.group);
    std::vector<std::string> available;
    available.reserve(versions.size());
    for (const software_version &version : versions)
        available.push_back(version.value());
    log_event line(log_level::Warning, "stream not resumed");
    line.request(m_call.id.value())
        .with("reason", reason)
        .with("first_attempt", m_call.firstAttempt.value())
        .with("available", absl::StrJoin(available, ","));
    if (m_origin)
        line.with("version", m_origin->version.value())
            .with("begun_ms_ago", toSeconds(bootNow() - m_origin->begunAt) * 1000);
    m_outcome = "version unavailable";
    if (m_exchange.started()) {
        breakOff();
        return;
    }
    m_status = m_mayHaveRun ? 502 : 503;
    m_exchange.respond(refusal(m_status, "stream_version_unavailable", retryAfter));
}

} // namespace tamarack
