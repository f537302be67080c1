// The fold of the stream "config".
#include <tamarackglade/config/config_fold.hpp>
#include <tamarackglade/config/config_snapshot_codec.hpp>
#include <tamarackglade/config/parse_manifest.hpp>

#include <algorithm>

namespace tamarack {

namespace {

// Publishes whose outcome is kept for operators.
constexpr std::size_t MaxVerdicts = 256;
// Drained VMs that are kept; the oldest are dropped, whose VMs are long replaced.
constexpr std::size_t MaxDrained = 1024;

log_offset next(log_offset offset)
{
    return log_offset(offset.value() + 1);
}

} // namespace

void config_fold::apply(log_offset offset, std::string_view payload)
{
    if (offset <= m_state.offset)
        return;
    if (offset == next(m_state.offset)) {
        applyNext(offset, payload);
    } else {
        m_waiting.emplace(offset, payload);
        adoptFromWaiting(payload);
    }
    applyWaiting();
}

bool config_fold::adopt(std::string_view payload)
{
    const absl::StatusOr<schema::log_batch_message> batch = decodeBatch(payload);
    if (!batch.ok())
        return false;
    const schema::config_snapshot_record_message *record = findSnapshot(*batch);
    if (record == nullptr || !adoptRecord(*record))
        return false;
    applyWaiting();
    return true;
}

std::shared_ptr<const config_state> config_fold::state() const
{
    if (!m_shared) {
        auto copy = std::make_shared<config_state>(m_state);
        copy->digest = copy->computeDigest();
        m_shared = std::move(copy);
    }
    return m_shared;
}

log_offset config_fold::nextOffset() const
{
    return next(m_waiting.empty() ? m_state.offset : m_waiting.rbegin()->first);
}

const publish_verdict *config_fold::verdictOf(const std::string &recordId) const
{
    const auto found = std::find_if(m_verdicts.begin(), m_verdicts.end(),
                                    [&](const auto &verdict) { return verdict.first == recordId; });
    return found == m_verdicts.end() ? nullptr : &found->second;
}

void config_fold::applyNext(log_offset offset, std::string_view payload)
{
    m_state.offset = offset;
    m_shared.reset();
    const absl::StatusOr<schema::log_batch_message> batch = decodeBatch(payload);
    if (!batch.ok())
        return;
    for (const auto &record : batch->records)
        applyRecord(*batch, *record);
}

void config_fold::applyRecord(const schema::log_batch_message &batch,
                              const schema::log_record_message &record)
{
    if (const auto *published = record.body.Asmanifest_published())
        publish(batch.record_id, *published);
    else if (const auto *issued = record.body.Askey_issued())
        issue(*issued);
    else if (const auto *withdrawn = record.body.Askey_withdrawn())
        withdraw(*withdrawn);
    else if (const auto *drained = record.body.Asvm_drained())
        drain(*drained);
    else if (const auto *snapshot = record.body.Asconfig_snapshot_record())
        m_lastSnapshotSeconds = std::max(m_lastSnapshotSeconds, snapshot->taken_at_s);
}

void config_fold::publish(const std::string &recordId,
                          const schema::manifest_published_message &record)
{
    publish_verdict verdict;
    verdict.offset = m_state.offset;
    const bool baseInForce = record.base_offset == m_state.manifestOffset.value()
                             || m_mutation == config_mutation::IgnoreBase;
    if (!baseInForce) {
        verdict.outcome = publish_outcome::Lost;
    } else {
        manifest_result result = parseManifest(record.text);
        verdict.outcome = result.ok() ? publish_outcome::Accepted : publish_outcome::Invalid;
        verdict.faults = std::move(result.faults);
        if (result.ok()) {
            m_state.inForce = std::move(result.parsed);
            m_state.manifestOffset = m_state.offset;
            m_state.manifestOperator = record.operator_name;
        }
    }
    verdict.inForce = m_state.manifestOffset;
    verdict.inForceOperator = m_state.manifestOperator;
    remember(recordId, std::move(verdict));
}

void config_fold::issue(const schema::key_issued_message &record)
{
    key_entry entry;
    if (record.key_id.empty() || record.hash.size() != entry.hash.size())
        return;
    entry.customer = customer_id(record.customer);
    std::copy(record.hash.begin(), record.hash.end(), entry.hash.begin());
    if (m_mutation == config_mutation::ReviveWithdrawnKey)
        m_state.keys.removeWithdrawal(key_id(record.key_id));
    m_state.keys.issue(key_id(record.key_id), std::move(entry));
}

void config_fold::withdraw(const schema::key_withdrawn_message &record)
{
    m_state.keys.withdraw(key_id(record.key_id));
}

void config_fold::drain(const schema::vm_drained_message &record)
{
    const vm_id vm(record.vm);
    const incarnation_number upTo(record.incarnation);
    std::vector<drained_vm> &drained = m_state.drained;
    const auto same = std::find_if(drained.begin(), drained.end(),
                                   [&](const drained_vm &entry) { return entry.vm == vm; });
    if (same == drained.end()) {
        drained.push_back({vm, upTo});
    } else if (same->upTo != incarnation_number(0)) {
        same->upTo = upTo == incarnation_number(0) ? upTo : std::max(same->upTo, upTo);
    }
    if (drained.size() > MaxDrained)
        drained.erase(drained.begin());
}

bool config_fold::adoptRecord(const schema::config_snapshot_record_message &record)
{
    const bool newer = log_offset(record.offset) > m_state.offset
                       || m_mutation == config_mutation::AcceptOlderSnapshot;
    if (!newer)
        return false;
    absl::StatusOr<config_state> state = stateOf(record);
    if (!state.ok())
        return false;
    m_state = *std::move(state);
    m_shared.reset();
    m_lastSnapshotSeconds = std::max(m_lastSnapshotSeconds, record.taken_at_s);
    return true;
}

// A snapshot in the log closes the gap if it covers all that precedes the waiting appends.
void config_fold::adoptFromWaiting(std::string_view payload)
{
    const absl::StatusOr<schema::log_batch_message> batch = decodeBatch(payload);
    if (!batch.ok())
        return;
    const schema::config_snapshot_record_message *record = findSnapshot(*batch);
    if (record != nullptr && next(log_offset(record->offset)) >= m_waiting.begin()->first)
        adoptRecord(*record);
}

void config_fold::applyWaiting()
{
    while (!m_waiting.empty() && m_waiting.begin()->first <= next(m_state.offset)) {
        const auto node = m_waiting.extract(m_waiting.begin());
        if (node.key() > m_state.offset)
            applyNext(node.key(), node.mapped());
    }
}

// A repeated append has lost against itself: the first verdict is the one to tell.
void config_fold::remember(const std::string &recordId, publish_verdict verdict)
{
    if (verdictOf(recordId) != nullptr)
        return;
    m_verdicts.emplace_back(recordId, std::move(verdict));
    if (m_verdicts.size() > MaxVerdicts)
        m_verdicts.pop_front();
}

} // namespace tamarack
