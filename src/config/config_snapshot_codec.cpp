// Snapshots of the configuration.
#include <tamarackglade/config/config_snapshot_codec.hpp>
#include <tamarackglade/config/parse_manifest.hpp>
#include <tamarackglade/ini/text.hpp>

#include <algorithm>

namespace tamarack {

namespace {

std::unique_ptr<schema::key_issued_message> keyRecord(const key_id &id, const key_entry &entry)
{
    auto record = std::make_unique<schema::key_issued_message>();
    record->key_id = id.value();
    record->customer = entry.customer.value();
    record->hash.assign(entry.hash.begin(), entry.hash.end());
    return record;
}

std::unique_ptr<schema::vm_drained_message> drainRecord(const drained_vm &entry)
{
    auto record = std::make_unique<schema::vm_drained_message>();
    record->vm = entry.vm.value();
    record->incarnation = entry.upTo.value();
    return record;
}

bool addKeys(const schema::config_snapshot_record_message &record, key_table &keys)
{
    for (const auto &key : record.keys) {
        key_entry entry;
        if (key->hash.size() != entry.hash.size())
            return false;
        entry.customer = customer_id(key->customer);
        std::copy(key->hash.begin(), key->hash.end(), entry.hash.begin());
        keys.issue(key_id(key->key_id), std::move(entry));
    }
    for (const std::string &id : record.withdrawn)
        keys.withdraw(key_id(id));
    return true;
}

} // namespace

std::string encodeSnapshot(const config_state &state, std::uint64_t takenAtSeconds)
{
    schema::config_snapshot_record_message record;
    record.offset = state.offset.value();
    record.manifest_offset = state.manifestOffset.value();
    record.manifest_operator = state.manifestOperator;
    record.manifest_text = state.inForce ? state.inForce->text : std::string();
    record.taken_at_s = takenAtSeconds;
    for (const auto &[id, entry] : state.keys.entries())
        record.keys.push_back(keyRecord(id, entry));
    for (const key_id &id : state.keys.withdrawn())
        record.withdrawn.push_back(id.value());
    for (const drained_vm &entry : state.drained)
        record.drained.push_back(drainRecord(entry));
    schema::log_batch_message batch;
    batch.record_id = concat("config-snapshot-", state.offset.value());
    batch.reappended_from = state.offset.value();
    addRecord(batch, std::move(record));
    return encodeBatch(batch);
}

const schema::config_snapshot_record_message *findSnapshot(const schema::log_batch_message &batch)
{
    for (const auto &record : batch.records) {
        if (const auto *snapshot = record->body.Asconfig_snapshot_record())
            return snapshot;
    }
    return nullptr;
}

absl::StatusOr<config_state> stateOf(const schema::config_snapshot_record_message &record)
{
    config_state state;
    state.offset = log_offset(record.offset);
    state.manifestOffset = log_offset(record.manifest_offset);
    state.manifestOperator = record.manifest_operator;
    if (record.manifest_offset > record.offset)
        return absl::InvalidArgumentError("snapshot is older than its manifest");
    if (record.manifest_offset != 0) {
        state.inForce = parseManifest(record.manifest_text).parsed;
        if (!state.inForce)
            return absl::InvalidArgumentError("snapshot's manifest is faulty");
    }
    if (!addKeys(record, state.keys))
        return absl::InvalidArgumentError("snapshot's key hash is not a SHA-256");
    for (const auto &entry : record.drained)
        state.drained.push_back({vm_id(entry->vm), incarnation_number(entry->incarnation)});
    return state;
}

} // namespace tamarack
