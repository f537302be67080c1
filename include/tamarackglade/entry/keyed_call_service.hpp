// Claims and results of an entry's calls with an Idempotency-Key, divided into partitions.
#pragma once

#include <tamarackglade/calls/keyed_request.hpp>
#include <tamarackglade/entry/keyed_partition.hpp>

#include <memory>
#include <vector>

namespace tamarack {

/// @brief Claims idempotency keys and stores the answers of their calls. Thread-safe; the work is
/// done on the control thread. The references must outlive that thread.
class keyed_call_service
{
public:
    keyed_call_service(io_thread &control, platform_client &platform, metric_registry &metrics);

    /// @brief Claims the request's key. The calling fiber waits until the log shows which request
    /// holds the key, or until the claim times out.
    /// @return whether to run the request, its stored answer, or an error
    keyed_verdict claim(const keyed_request &request);

    /// @brief Stores the result of a call that claim allowed to run, so that a resend gets its
    /// answer. The calling fiber waits for the log for at most 1 s.
    void finish(const keyed_request &request, const keyed_answer &answer);

    /// @return whether all records are in the log; called on the control thread only
    [[nodiscard]] bool isIdle() const;

private:
    keyed_partition &partitionFor(const keyed_request &request);
    void count(const keyed_verdict &verdict);

    io_thread &m_control;
    metric_registry &m_metrics;
    std::vector<std::unique_ptr<keyed_partition>> m_partitions; // by partition id
};

} // namespace tamarack
