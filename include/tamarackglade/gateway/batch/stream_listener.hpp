// Interface that receives the records of a followed stream.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/store/read_reply.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief Receives a stream's records in order, each once, in a fiber of the gateway's thread.
class stream_listener
{
public:
    stream_listener() = default;
    stream_listener(const stream_listener &) = delete;
    stream_listener &operator=(const stream_listener &) = delete;
    virtual ~stream_listener() = default;

    /// @brief Called with the newest record of each key, which replace all earlier records.
    virtual void onSnapshot(const std::vector<keyed_record> & /*records*/, time_point /*sentAt*/) {
    }
    /// @brief Called with the next record.
    /// @param sentAt when the read that returned it was sent
    virtual void onRecord(const std::string &record, time_point sentAt) = 0;
    /// @brief Called when the store no longer has the records before this position.
    virtual void onSkipped(stream_position /*to*/) { }
    /// @brief Called when all records that were stored before sentAt have been delivered.
    virtual void onComplete(time_point sentAt) = 0;
    /// @brief Called when a read failed.
    virtual void onFailure() { }
};

} // namespace tamarack
