// Encoding of the log's records with FlatBuffers.
#include <tamarackglade/core/flat_codec.hpp>
#include <tamarackglade/schema/records.hpp>

#include <utility>

namespace tamarack {

std::string encodeBatch(const schema::log_batch_message &batch)
{
    return encodeFlat<schema::log_batch>(batch);
}

absl::StatusOr<schema::log_batch_message> decodeBatch(std::string_view payload)
{
    auto batch = decodeFlat<schema::log_batch>(payload);
    if (!batch)
        return absl::InvalidArgumentError("log payload is not a log_batch");
    return std::move(*batch);
}

} // namespace tamarack
