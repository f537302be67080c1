// What a part does with the records of a stream that it follows.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/store/read_reply.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief Gets a stream's records in order, each once, in a fiber of the gateway's thread.
class stream_listener
{
public:
    stream_listener() = default;
    stream_listener(const stream_listener &) = delete;
    stream_listener &operator=(const stream_listener &) = delete;
    virtual ~stream_listener() = default;

    /// @brief Takes the newest record of each key; replaces all that was known.
    virtual void onSnapshot(const std::vector<keyed_record> & /*records*/, time_point /*sentAt*/) {
    }
    /// @brief Takes the next record.
    virtual void onRecord(const std::string &record, time_point sentAt) = 0;
    /// @brief Tells that records up to this position are gone from the store.
    virtual void onSkipped(stream_position /*to*/) { }
    /// @brief Tells that all records of the time sentAt have been taken.
    virtual void onComplete(time_point sentAt) = 0;
    /// @brief Tells that a read failed.
    virtual void onFailure() { }
};

} // namespace tamarack
