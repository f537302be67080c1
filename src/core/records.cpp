// Encoding of the log's records with FlatBuffers.
#include <tamarackglade/schema/records.hpp>

namespace tamarack {

std::string encodeBatch(const schema::log_batch_message &batch)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::log_batch::Pack(builder, &batch));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

absl::StatusOr<schema::log_batch_message> decodeBatch(std::string_view payload)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size());
    if (!verifier.VerifyBuffer<schema::log_batch>())
        return absl::InvalidArgumentError("log payload is not a log_batch");
    schema::log_batch_message batch;
    flatbuffers::GetRoot<schema::log_batch>(bytes)->UnPackTo(&batch);
    return batch;
}

} // namespace tamarack
