// The log's records as native objects, and their bytes.
#pragma once

#include <tamarackglade/schema/log_generated.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace tamarack {

/// @brief Encodes a batch as the payload of one append.
std::string encodeBatch(const schema::log_batch_message &batch);

/// @brief Decodes and verifies the payload of one append.
/// @return the batch, or InvalidArgument if the bytes aren't one
absl::StatusOr<schema::log_batch_message> decodeBatch(std::string_view payload);

/// @brief Appends a record with the given body to a batch.
template <class Message>
void addRecord(schema::log_batch_message &batch, Message message)
{
    static_assert(schema::record_bodyUnionTraits<Message>::enum_value != schema::record_body::NONE);
    auto record = std::make_unique<schema::log_record_message>();
    record->body.Set(std::move(message));
    batch.records.push_back(std::move(record));
}

} // namespace tamarack
