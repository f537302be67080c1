// Appends records to one stream in order, several per append.
#pragma once

#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/schema/records.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>

namespace tamarack {

/// @brief Retries each append until the log confirms it. A batch whose append had an unknown
/// outcome may be in the log twice, with the same record id. Used on its thread only, by many
/// fibers; the references must outlive the thread.
class record_appender
{
public:
    /// @param seriesName the name of the stream in metrics
    record_appender(io_thread &thread, platform_client &platform, metric_registry &metrics,
                    std::string stream, const std::string &seriesName);

    /// @brief Adds a record to the queue.
    /// @return the record's number, for waitUntilStored
    template <class Message>
    std::uint64_t add(Message message)
    {
        auto record = std::make_unique<schema::log_record_message>();
        record->body.Set(std::move(message));
        return enqueue(std::move(record));
    }

    /// @brief Waits until the record is in the log.
    /// @return false if it is not within the timeout
    bool waitUntilStored(std::uint64_t number, std::chrono::milliseconds timeout);

    /// @return whether all records are in the log
    [[nodiscard]] bool isIdle() const { return m_stored == m_added; }

private:
    using record_pointer = std::unique_ptr<schema::log_record_message>;

    std::uint64_t enqueue(record_pointer record);
    void appendLoop();
    schema::log_batch_message takeBatch();
    void appendUntilStored(const std::string &payload);

    io_thread &m_thread;
    platform_client &m_platform;
    metric_registry &m_metrics;
    const std::string m_stream;
    const std::string m_series; // name of the metric that counts appends
    // Invariant: m_added - m_stored records are in m_pending or in the current append.
    std::deque<record_pointer> m_pending;
    std::uint64_t m_added = 0;
    std::uint64_t m_stored = 0;
    bool m_appending = false; // the fiber of appendLoop is running
    boost::fibers::mutex m_mutex; // used by m_changed only
    boost::fibers::condition_variable m_changed; // signals changes of m_stored
};

} // namespace tamarack
