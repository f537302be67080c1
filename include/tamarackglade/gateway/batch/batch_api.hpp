// Handlers of the callers' requests about batch jobs: submit, read results, read bodies, end.
#pragma once

#include <tamarackglade/gateway/batch/batch_call.hpp>
#include <tamarackglade/gateway/batch/batch_store.hpp>
#include <tamarackglade/gateway/batch/batch_submission.hpp>
#include <tamarackglade/gateway/process/gateway_context.hpp>
#include <tamarackglade/http/http_exchange.hpp>

namespace tamarack {

/// @brief Answers from the folded job partitions, whose age the setting batch-freshness limits.
class batch_api
{
public:
    batch_api(gateway_context &context, batch_store &store) : m_context(context), m_store(store) { }

    /// @brief Submits a job. Repeating the request of an accepted job is accepted again.
    ///
    /// Responds with 202 once the job is in the store, with 429 or 503 only if it is not and never
    /// will be, and with 504 if that is unknown.
    void submit(http_exchange &exchange, const forward_call &call, const forward_route &route,
                const customer_id &customer, time_point arrivedAt);

    /// @brief Answers a request about an existing job.
    void answer(http_exchange &exchange, const batch_call &call, const customer_id &customer,
                time_point arrivedAt);

private:
    /// @brief Finds a job, reading newer records if the fold is too old or lacks it.
    /// @param known set to false if the store gave no answer
    /// @return the customer's job, or nullptr
    const customer_batch *findJob(batch_partition &partition, const batch_id &id,
                                  time_point arrivedAt, bool &known);
    void answerCall(http_exchange &exchange, const read_results_call &call, batch_partition &jobs,
                    const customer_batch &job);
    void answerCall(http_exchange &exchange, const read_item_call &call, batch_partition &jobs,
                    const customer_batch &job);
    void answerCall(http_exchange &exchange, const end_batch_call &call, batch_partition &jobs,
                    const customer_batch &job);

    gateway_context &m_context;
    batch_store &m_store;
};

} // namespace tamarack
