// Encodes and decodes the records of batch jobs.
#pragma once

#include <tamarackglade/batches/content_place.hpp>
#include <tamarackglade/core/flat_codec.hpp>
#include <tamarackglade/schema/batches_generated.h>

#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief Encodes one record.
/// @tparam Message the message type of the record's body
template <class Message>
std::string encodeBatchRecord(Message message)
{
    schema::batch_record_message record;
    record.body.Set(std::move(message));
    return encodeFlat<schema::batch_record>(record);
}

/// @return the record, or nullopt if the bytes are malformed
std::optional<schema::batch_record_message> decodeBatchRecord(std::string_view bytes);

/// @brief Encodes an item's content: the request that its runs send to an upstream.
std::string encodeBatchItem(const schema::batch_item_message &item);
/// @return the item, or nullopt if the bytes are malformed
std::optional<schema::batch_item_message> decodeBatchItem(std::string_view bytes);

/// @brief Converts a place to and from its representation in records.
std::unique_ptr<schema::content_place> encodePlace(const content_place &place);
content_place decodePlace(const schema::content_place &place);

} // namespace tamarack
