// Interface of the platform's store: partitioned streams of records.
#pragma once

#include <tamarackglade/store/append_reply.hpp>
#include <tamarackglade/store/read_reply.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Appends to and reads from streams. Calls suspend the calling fiber and have their own
/// timeout; errors are returned in the reply.
class record_store
{
public:
    record_store() = default;
    record_store(const record_store &) = delete;
    record_store &operator=(const record_store &) = delete;
    virtual ~record_store() = default;

    /// @brief Appends either all records or none.
    /// @param expectedEnd if set, the append succeeds only if the partition ends at this position
    virtual append_reply append(const stream_partition &partition,
                                const std::vector<std::string> &records,
                                std::optional<stream_position> expectedEnd) = 0;

    /// @brief Reads records from a position on.
    /// @param wait how long the store may wait for a first record; zero for an immediate answer
    virtual read_reply read(const stream_partition &partition, stream_position from,
                            std::chrono::milliseconds wait) = 0;

    /// @brief Reads records that are known to exist.
    /// @param bytes total size of the requested records; the reply may contain more records
    virtual read_reply readRange(const stream_partition &partition, stream_position from,
                                 std::uint64_t bytes) = 0;

    /// @brief Reads the newest record of each key of a keyed stream, over all pages.
    virtual newest_reply newest(const stream_partition &partition) = 0;

    /// @return the record in the encoding of a keyed stream, to be passed to append()
    [[nodiscard]] virtual std::string encodeKeyed(const keyed_record &record) const = 0;
    /// @return the keyed record, or nullopt if the content is malformed
    [[nodiscard]] virtual std::optional<keyed_record>
    decodeKeyed(const std::string &content) const = 0;
};

} // namespace tamarack
