// Implements the append with retries.
#include <tamarackglade/ctl/append_batch.hpp>

namespace tamarack {

namespace {

constexpr int MaxAppendAttempts = 3;

} // namespace

absl::StatusOr<log_offset> appendBatch(platform_client &platform, const std::string &stream,
                                       const schema::log_batch_message &batch)
{
    const std::string payload = encodeBatch(batch);
    absl::StatusOr<log_offset> stored;
    bool mayBeStored = false;
    for (int attempts = 0; attempts < MaxAppendAttempts; ++attempts) {
        stored = platform.append(stream, payload);
        if (stored.ok())
            return stored;
        mayBeStored = mayBeStored || absl::IsUnknown(stored.status());
        if (!mayBeStored)
            return stored;
    }
    return absl::UnknownError(stored.status().message());
}

} // namespace tamarack
