// Reads and decodes one batch.
#include <tamarackglade/entry/read_batch.hpp>

namespace tamarack {

absl::StatusOr<schema::log_batch_message> readBatch(platform_client &platform,
                                                    const std::string &stream, log_offset offset)
{
    const auto read = platform.read(stream, offset, 1, std::chrono::milliseconds(0));
    if (absl::IsOutOfRange(read.status()))
        return absl::NotFoundError("the record is no longer in the log");
    if (!read.ok())
        return read.status();
    if (read->entries.empty() || read->entries.front().offset != offset)
        return absl::NotFoundError("the log has no record at the offset");
    auto batch = decodeBatch(read->entries.front().payload);
    if (!batch.ok())
        return absl::NotFoundError("the record at the offset is malformed");
    return batch;
}

} // namespace tamarack
