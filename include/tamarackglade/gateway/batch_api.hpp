// Callers' batch jobs: submission, results, bodies, ends.
#pragma once

#include <tamarackglade/gateway/batch_call.hpp>
#include <tamarackglade/gateway/batch_store.hpp>
#include <tamarackglade/gateway/batch_submission.hpp>
#include <tamarackglade/gateway/gateway_context.hpp>
#include <tamarackglade/http/http_exchange.hpp>

namespace tamarack {

/// @brief Answers from the folds, which are no older than the settings allow.
class batch_api
{
public:
    batch_api(gateway_context &context, batch_store &store) : m_context(context), m_store(store) { }

    /// @brief Accepts a job, or answers again for one that is accepted.
    ///
    /// 202 once the job is in the store; 429 and 503 only if it is not and never will be; 504 if
    /// that isn't known.
    void submit(http_exchange &exchange, const forward_call &call, const forward_route &route,
                const customer_id &customer, time_point arrivedAt);

    /// @brief Answers a call about a job.
    void answer(http_exchange &exchange, const batch_call &call, const customer_id &customer,
                time_point arrivedAt);

private:
    const customer_batch *findJob(batch_partition &partition, const job_id &job,
                                  const customer_id &customer, time_point arrivedAt, bool &known);
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
