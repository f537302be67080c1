// The config stream as one read after another.
#include <tamarackglade/ctl/config_reader.hpp>

#include <absl/strings/numbers.h>

namespace tamarack {

namespace {

constexpr std::size_t ReadLimit = 500; // records of one read
constexpr int AppendTries = 3;

} // namespace

absl::StatusOr<config_fold> readConfig(platform_client &platform)
{
    config_fold fold;
    log_offset next(1);
    for (;;) {
        const auto read =
            platform.read(std::string(ConfigStream), next, ReadLimit, std::chrono::milliseconds(0));
        std::uint64_t firstRetained = 0;
        if (absl::IsOutOfRange(read.status())
            && absl::SimpleAtoi(read.status().message(), &firstRetained)) {
            next = log_offset(firstRetained);
            continue;
        }
        if (!read.ok())
            return read.status();
        for (const log_entry &entry : read->entries)
            fold.apply(entry.offset, entry.payload);
        if (!read->entries.empty())
            next = log_offset(read->entries.back().offset.value() + 1);
        if (next >= read->next)
            return fold;
    }
}

absl::StatusOr<log_offset> appendConfig(platform_client &platform,
                                        const schema::log_batch_message &batch)
{
    const std::string payload = encodeBatch(batch);
    absl::StatusOr<log_offset> stored;
    bool mayBeStored = false;
    for (int tries = 0; tries < AppendTries; ++tries) {
        stored = platform.append(std::string(ConfigStream), payload);
        if (stored.ok())
            return stored;
        mayBeStored = mayBeStored || absl::IsUnknown(stored.status());
        if (!mayBeStored)
            return stored;
    }
    return absl::UnknownError(stored.status().message());
}

} // namespace tamarack
