// The rate limits of one entry process.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/core/overloaded.hpp>
#include <tamarackglade/core/partition.hpp>
#include <tamarackglade/limits/fleet_limiter.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

std::uint32_t toMilliseconds(duration d)
{
    return static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(std::max(d, duration::zero())).count());
}

} // namespace

fleet_limiter::fleet_limiter(const limit_options &options, vm_id self,
                             incarnation_number incarnation, std::mt19937_64 seed, time_point now)
    : m_options(options), m_membership({std::move(self), incarnation}, options.vmListLag),
      m_random(seed)
{
    for (std::uint32_t i = 0; i < m_options.partitions; ++i)
        m_partitions.emplace_back(m_options, partition_id(i), now);
    // A random shift, so that entries that start together don't poll together.
    const duration shift(m_random() % static_cast<std::uint64_t>(m_options.pollInterval.count()));
    m_timers.subscribeEvery(now + shift, m_options.pollInterval, [this](time_point t) { poll(t); });
}

void fleet_limiter::setRate(const customer_id &customer, customer_rate rate, time_point now)
{
    const auto [found, isNew] = m_customers.try_emplace(customer);
    auto &state = found->second;
    state.rate = rate;
    if (isNew) {
        state.partition = partitionOf(customer, m_options.partitions);
        state.nextRequestAt = now;
        if (limitPartitionOf(state).isHome()) {
            // The customer may have been removed and added again: wait until earlier loans have
            // expired.
            const time_point settled = std::max(now, limitPartitionOf(state).lendingStart())
                                       + m_options.stretched(m_options.loanLifetime);
            state.bucket.emplace(m_options, rate, settled, settled);
        }
    } else if (state.bucket) {
        state.bucket->setRate(rate, now);
    }
}

void fleet_limiter::removeCustomer(const customer_id &customer)
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return;
    while (!found->second.waiting.empty())
        refuseFront(customer, found->second, m_options.maxWait);
    m_timers.cancel(found->second.timer);
    m_customers.erase(found);
}

void fleet_limiter::admit(const customer_id &customer, std::uint64_t ticket, time_point now)
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end()) {
        m_actions.emplace_back(refuse_ticket{customer, ticket, m_options.maxWait});
        return;
    }
    auto &state = found->second;
    state.waiting.push_back({ticket, now + m_options.maxWait});
    // More requests than this can't get a token within maxWait, wherever the home is.
    const double maxServable =
        state.rate.burst + state.rate.perSecond * toSeconds(m_options.maxWait);
    if (static_cast<double>(state.waiting.size()) > maxServable + 1) {
        state.waiting.pop_back();
        m_actions.emplace_back(refuse_ticket{customer, ticket, m_options.maxWait});
        return;
    }
    serve(customer, state, now);
}

void fleet_limiter::cancelTicket(const customer_id &customer, std::uint64_t ticket)
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return;
    std::erase_if(found->second.waiting,
                  [&](const waiting_ticket &waiting) { return waiting.ticket == ticket; });
}

void fleet_limiter::onMessage(const vm_id &from, const limit_message &message, time_point now)
{
    std::visit(
        overloaded{
            [&](const schema::loan_request_message &request) { onLoanRequest(from, request, now); },
            [&](const schema::loan_grant_message &grant) { onLoanGrant(from, grant, now); },
            [&](const schema::lease_ping_message &ping) { onLeasePing(from, ping, now); },
            [&](const schema::lease_ack_message &ack) { onLeaseAck(from, ack, now); },
            [&](const schema::homes_request_message &request) { onHomesRequest(from, request); },
            [&](const schema::homes_snapshot_message &snapshot) {
                onHomesSnapshot(snapshot, now);
            }},
        message);
}

void fleet_limiter::onLoanRequest(const vm_id &from, const schema::loan_request_message &request,
                                  time_point now)
{
    schema::loan_grant_message grant;
    grant.customer = request.customer;
    grant.sequence = request.sequence;
    grant.incarnation = request.incarnation;
    grant.retry_after_ms = toMilliseconds(NoHomeRetryDelay);
    const auto found = m_customers.find(customer_id(request.customer));
    if (found != m_customers.end() && found->second.bucket
        && limitPartitionOf(found->second).mayLend(now)) {
        auto &bucket = *found->second.bucket;
        if (!bucket.applyReport(from, request, now))
            return;
        grant.epoch = limitPartitionOf(found->second).record()->epoch.value();
        grant.tokens = bucket.lend(from, request.tokens, now);
        grant.available = static_cast<std::uint32_t>(bucket.level(now));
        const bool isFullyGranted = grant.tokens == request.tokens;
        grant.retry_after_ms =
            isFullyGranted ? 0 : toMilliseconds(std::max(bucket.timeToToken(now), MinRetryAfter));
    }
    if (request.tokens > 0)
        send(from, std::move(grant));
}

void fleet_limiter::onLoanGrant(const vm_id & /*from*/, const schema::loan_grant_message &grant,
                                time_point now)
{
    const customer_id customer(grant.customer);
    const auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return;
    auto &state = found->second;
    if (!state.requestInFlight || grant.sequence != state.requestSequence
        || incarnation_number(grant.incarnation) != m_membership.self().incarnation)
        return;
    state.requestInFlight = false;
    state.receivedSequence = grant.sequence;
    const bool fromReceipt = m_options.mutation == limit_mutation::ExpiryFromReceipt;
    const time_point base = fromReceipt ? now : state.requestedAt;
    state.borrowed.add(grant.tokens, base + m_options.loanLifetime);
    if (grant.tokens > 0)
        state.returnAt = now + m_options.returnDelay;
    const duration retry = std::chrono::milliseconds(grant.retry_after_ms);
    state.nextRequestAt = now + retry;
    serve(customer, state, now);
    if (retry > duration::zero() && grant.epoch != 0) {
        refuseUnservable(customer, state, retry, grant.available, now);
        schedule(customer, state);
    }
}

void fleet_limiter::onLeasePing(const vm_id &from, const schema::lease_ping_message &ping,
                                time_point now)
{
    if (ping.partition >= m_partitions.size())
        return;
    const auto ack = m_partitions[ping.partition].onPing(from, ping, m_membership, now);
    if (ack)
        send(from, *ack);
}

void fleet_limiter::onLeaseAck(const vm_id &from, const schema::lease_ack_message &ack,
                               time_point /*now*/)
{
    if (ack.partition < m_partitions.size())
        m_partitions[ack.partition].onAck(from, ack);
}

void fleet_limiter::onHomesRequest(const vm_id &from, const schema::homes_request_message &request)
{
    if (request.digest == homesDigest())
        return;
    schema::homes_snapshot_message snapshot;
    for (std::uint32_t i = 0; i < m_partitions.size(); ++i) {
        if (const auto &record = m_partitions[i].record())
            snapshot.homes.push_back(
                std::make_unique<schema::known_home_message>(record->toPeer(partition_id(i))));
    }
    send(from, std::move(snapshot));
}

void fleet_limiter::onHomesSnapshot(const schema::homes_snapshot_message &snapshot, time_point now)
{
    for (const auto &known : snapshot.homes) {
        if (known->partition >= m_partitions.size())
            continue;
        auto &partition = m_partitions[known->partition];
        if (partition.onPeerRecord(home_record::fromPeer(*known), m_membership, now))
            onHomeChanged(partition_id(known->partition), now);
    }
}

void fleet_limiter::onHomeRecord(log_offset offset, const schema::home_claimed_message &claim,
                                 time_point now)
{
    if (offset.value() <= m_lastOffset.value())
        return;
    m_lastOffset = offset;
    if (claim.partition >= m_partitions.size())
        return;
    if (m_partitions[claim.partition].onClaim(claim, m_membership, now))
        onHomeChanged(partition_id(claim.partition), now);
}

void fleet_limiter::onHomeChanged(partition_id changed, time_point now)
{
    auto &partition = m_partitions[changed.value()];
    for (auto &[customer, state] : m_customers) {
        if (state.partition != changed)
            continue;
        if (!partition.isHome())
            state.bucket.reset();
        else if (partition.becameHome())
            state.bucket.emplace(m_options, state.rate, partition.lendingStart(),
                                 partition.settledAt());
        // Grants that the earlier home still sends are not accepted.
        state.requestInFlight = false;
        state.nextRequestAt = now;
        serve(customer, state, now);
    }
    partition.poll(m_membership, m_logReachable, now, m_actions);
}

void fleet_limiter::onAppendFailed(const schema::home_claimed_message &claim, time_point now)
{
    if (claim.partition < m_partitions.size())
        m_partitions[claim.partition].onAppendFailed(epoch_number(claim.epoch), now);
}

void fleet_limiter::onEntries(const std::vector<live_entry> &entries, time_point now)
{
    m_membership.update(entries, now);
}

void fleet_limiter::onPeers(const std::vector<vm_id> &peers)
{
    m_peers = peers;
    m_membership.setCandidates({peers.begin(), peers.end()});
}

bool fleet_limiter::mustHandOver() const
{
    return std::any_of(m_partitions.begin(), m_partitions.end(), [&](const auto &partition) {
        return partition.mustHandOver(m_membership, m_logReachable);
    });
}

void fleet_limiter::handOver(time_point now)
{
    for (auto &partition : m_partitions)
        partition.handOver(m_membership, now, m_actions);
}

std::vector<limit_action> fleet_limiter::takeActions()
{
    return std::exchange(m_actions, {});
}

bool fleet_limiter::isLending(const customer_id &customer, time_point now) const
{
    return m_partitions[partitionOf(customer, m_options.partitions).value()].mayLend(now);
}

const std::optional<home_record> &fleet_limiter::homeRecord(const customer_id &customer) const
{
    return m_partitions[partitionOf(customer, m_options.partitions).value()].record();
}

std::size_t fleet_limiter::stateBytes() const
{
    // A map's node adds about four pointers to its value.
    constexpr std::size_t NodeOverhead = 4 * sizeof(void *);
    std::size_t bytes = m_partitions.size() * sizeof(limit_partition);
    for (const auto &[customer, state] : m_customers) {
        bytes += sizeof(customer_id) + sizeof(customer_limit) + NodeOverhead;
        bytes += state.waiting.size() * sizeof(waiting_ticket);
        const std::size_t borrowers = state.bucket ? state.bucket->borrowers() : 0;
        bytes += borrowers * (sizeof(vm_id) + sizeof(borrower_account) + NodeOverhead);
    }
    return bytes;
}

void fleet_limiter::poll(time_point now)
{
    for (auto &partition : m_partitions)
        partition.poll(m_membership, m_logReachable, now, m_actions);
    if (!m_logReachable && now >= m_nextHomesRequestAt)
        requestHomes(now);
}

void fleet_limiter::requestHomes(time_point now)
{
    if (m_peers.empty())
        return;
    m_nextHomesRequestAt = now + m_options.homesRequestInterval;
    schema::homes_request_message request;
    request.digest = homesDigest();
    send(m_peers[m_random() % m_peers.size()], request);
}

std::uint64_t fleet_limiter::homesDigest() const
{
    std::string folded;
    for (const auto &partition : m_partitions) {
        const auto &record = partition.record();
        absl::StrAppend(&folded, record ? record->epoch.value() : 0, ",", record && record->chained,
                        ";");
    }
    return stableHash(folded);
}

} // namespace tamarack
