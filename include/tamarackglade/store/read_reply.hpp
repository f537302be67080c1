// Results of reads of a stream.
#pragma once

#include <tamarackglade/store/store_stream.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief Outcome of a read.
enum class read_result {
    Read,
    Lost, // records at the position were removed; continue at first or with newest()
    Failed // the store didn't answer or refused the read
};

/// @brief Consecutive records from a position on, in order.
struct read_reply
{
    read_result result = read_result::Failed;
    stream_position end; // of the partition; valid if Read
    stream_position first; // position of the oldest kept record; valid if Read or Lost
    std::vector<std::string> records;
};

/// @brief A record of a keyed stream. An empty value deletes the key.
struct keyed_record
{
    std::string key;
    std::string value;
};

/// @brief The newest record of each key, and the position at which reads continue.
struct newest_reply
{
    bool read = false; // whether the read succeeded; the other members are valid only then
    std::vector<keyed_record> records;
    stream_position end;
};

} // namespace tamarack
