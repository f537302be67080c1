// Callers' batch jobs: submission, results, bodies, ends.
#pragma once

#include <tamarackglade/gateway/batch_call.hpp>
#include <tamarackglade/gateway/batch_store.hpp>
#include <tamarackglade/gateway/gateway_context.hpp>
#include <tamarackglade/http/http_exchange.hpp>

#include <boost/fiber/future/future.hpp>

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
                const customer_id &customer, instant arrivedAt);

    /// @brief Answers a call about a job.
    void answer(http_exchange &exchange, const batch_call &call, const customer_id &customer,
                instant arrivedAt);

private:
    enum class submission_end { Accepted, OverLimit, NotStored, Unknown };
    using content_upload = boost::fibers::future<std::optional<std::vector<content_place>>>;

    submission_end store(batch_partition &partition, schema::batch_accepted_message record,
                         const std::vector<schema::batch_item_message> &items,
                         const forward_route &route, instant deadline);
    /// @brief Begins to store the items' contents.
    content_upload startUpload(const customer_id &customer,
                               const std::vector<schema::batch_item_message> &items,
                               instant deadline);
    /// @return whether the contents are stored, and their places are in the record
    static bool nameContents(schema::batch_accepted_message &record,
                             const std::optional<std::vector<content_place>> &places);
    const customer_batch *findJob(batch_partition &partition, const job_id &job,
                                  const customer_id &customer, instant arrivedAt, bool &known);
    void answerOne(http_exchange &exchange, const read_results_call &call, batch_partition &jobs,
                   const customer_batch &job);
    void answerOne(http_exchange &exchange, const read_item_call &call, batch_partition &jobs,
                   const customer_batch &job);
    void answerOne(http_exchange &exchange, const end_batch_call &call, batch_partition &jobs,
                   const customer_batch &job);

    gateway_context &m_context;
    batch_store &m_store;
};

} // namespace tamarack
