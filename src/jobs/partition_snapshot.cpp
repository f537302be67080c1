// Encoding of snapshots and their split into batches.
#include <tamarackglade/jobs/partition_snapshot.hpp>

#include <algorithm>

namespace tamarack {

namespace {

// The vectors of a state take eight bytes per item; FlatBuffers limits a buffer to 2 GiB.
constexpr flatbuffers::uoffset_t MaxTables = 16'000'000;

} // namespace

std::string encodeState(const schema::partition_state_message &state)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::partition_state::Pack(builder, &state));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

absl::StatusOr<schema::partition_state_message> decodeState(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), 64, MaxTables);
    if (!verifier.VerifyBuffer<schema::partition_state>())
        return absl::InvalidArgumentError("snapshot is not a partition_state");
    schema::partition_state_message state;
    flatbuffers::GetRoot<schema::partition_state>(data)->UnPackTo(&state);
    return state;
}

std::vector<schema::log_batch_message> snapshotBatches(const schema::partition_state_message &state,
                                                       log_offset asOf, epoch_number writer,
                                                       std::size_t partBytes)
{
    const auto bytes = encodeState(state);
    const auto count = (bytes.size() + partBytes - 1) / partBytes;
    const auto id =
        "snapshot:" + std::to_string(writer.value()) + ":" + std::to_string(asOf.value());
    std::vector<schema::log_batch_message> batches;
    for (std::size_t index = 0; index < count; ++index) {
        const auto slice = std::string_view(bytes).substr(index * partBytes, partBytes);
        schema::snapshot_part_message part;
        part.snapshot_id = id;
        part.as_of = asOf.value();
        part.part = static_cast<std::uint32_t>(index);
        part.part_count = static_cast<std::uint32_t>(count);
        part.data.assign(slice.begin(), slice.end());
        schema::log_batch_message batch;
        batch.record_id = id + ":" + std::to_string(index);
        addRecord(batch, std::move(part));
        batches.push_back(std::move(batch));
    }
    return batches;
}

} // namespace tamarack
