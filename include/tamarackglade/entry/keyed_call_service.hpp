// Calls with an Idempotency-Key in an entry: their partitions, and what becomes of each.
#pragma once

#include <tamarackglade/calls/keyed_request.hpp>
#include <tamarackglade/entry/keyed_partition.hpp>

#include <memory>
#include <vector>

namespace tamarack {

/// @brief Thread-safe; works on the control thread, which the references must outlive.
class keyed_call_service
{
public:
    keyed_call_service(io_thread &control, platform_client &platform, metric_registry &metrics);

    /// @brief Claims the request's key. The calling fiber waits until the log is known to say who
    /// holds the key, or until it is given up.
    keyed_verdict claim(const keyed_request &request);

    /// @brief Stores the end of a call that claim let run, so that a resend gets its answer. The
    /// calling fiber waits for the log, but not for long.
    void finish(const keyed_request &request, const keyed_answer &answer);

    /// @return whether everything that the log is to know is there; on the control thread only
    [[nodiscard]] bool isIdle() const;

private:
    keyed_partition &partitionFor(const keyed_request &request);
    void count(const keyed_verdict &verdict);

    io_thread &m_control;
    metric_registry &m_metrics;
    std::vector<std::unique_ptr<keyed_partition>> m_partitions; // by partition id
};

} // namespace tamarack
