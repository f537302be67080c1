// Payloads of the config stream, for tests.
#pragma once

#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/keys/key_hash.hpp>
#include <tamarackglade/schema/records.hpp>

#include <string>
#include <utility>

namespace tamarack::test {

template <class Message>
std::string payloadOf(const std::string &recordId, Message message)
{
    schema::log_batch_message batch;
    batch.record_id = recordId;
    addRecord(batch, std::move(message));
    return encodeBatch(batch);
}

inline std::string validManifest(const std::string &name)
{
    return "[fleet]\nname = " + name + "\nlog-retention = 1600s\n";
}

inline std::string publishPayload(const std::string &recordId, std::uint64_t base,
                                  const std::string &text, const std::string &operatorName = "op")
{
    schema::manifest_published_message message;
    message.base_offset = base;
    message.text = text;
    message.operator_name = operatorName;
    return payloadOf(recordId, message);
}

inline std::string issuePayload(const std::string &recordId, const std::string &key)
{
    schema::key_issued_message message;
    message.key_id = key;
    message.customer = "shire";
    const key_hash hash = hashKey(key);
    message.hash.assign(hash.begin(), hash.end());
    return payloadOf(recordId, message);
}

inline std::string withdrawPayload(const std::string &recordId, const std::string &key)
{
    schema::key_withdrawn_message message;
    message.key_id = key;
    return payloadOf(recordId, message);
}

inline std::string drainPayload(const std::string &recordId, const std::string &vm,
                                std::uint64_t incarnation)
{
    schema::vm_drained_message message;
    message.vm = vm;
    message.incarnation = incarnation;
    return payloadOf(recordId, message);
}

} // namespace tamarack::test
