// Stores a job's contents and its acceptance record, and determines the outcome of the append.
#include <tamarackglade/batches/batch_codec.hpp>
#include <tamarackglade/gateway/batch/batch_submission.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <boost/fiber/future/async.hpp>
#include <boost/fiber/operations.hpp>

#include <memory>
#include <string>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds RetryPause{60};

std::vector<std::string> contentsOf(const std::vector<schema::batch_item_message> &items)
{
    std::vector<std::string> contents;
    contents.reserve(items.size());
    for (const auto &item : items)
        contents.push_back(encodeBatchItem(item));
    return contents;
}

} // namespace

batch_submission::batch_submission(batch_partition &partition, content_store &contents,
                                   schema::batch_accepted_message record,
                                   std::vector<schema::batch_item_message> items,
                                   std::uint64_t waitingTokenLimit)
    : m_partition(partition), m_contents(contents), m_record(std::move(record)),
      m_items(std::move(items)), m_waitingTokenLimit(waitingTokenLimit)
{
    for (const auto &item : m_items) {
        m_tokens += item.tokens;
        auto accepted = std::make_unique<schema::accepted_item_message>();
        accepted->id = item.id;
        accepted->tokens = item.tokens;
        m_record.items.push_back(std::move(accepted));
    }
}

submission_outcome batch_submission::store(time_point deadline)
{
    const auto notStored = [&] {
        return m_appendUnknown ? submission_outcome::Unknown : submission_outcome::NotStored;
    };
    time_point requestedAt = bootNow();
    for (;;) {
        if (!m_contentsStored && !m_upload.valid() && !accepted() && !exceedsLimit())
            startUpload(deadline);
        const bool fresh = m_partition.refresh(requestedAt);
        if (fresh && accepted())
            return submission_outcome::Accepted;
        // The fold now ends after the position at which the unanswered append was conditional, and
        // it does not contain the job. So that append failed and can no longer succeed.
        if (fresh && m_appendUnknown && m_unknownAppendEnd < m_partition.fold().end())
            m_appendUnknown = false;
        if (fresh && exceedsLimit() && !m_appendUnknown)
            return submission_outcome::OverLimit;
        if (fresh && !m_contentsStored && m_upload.valid() && !addContentPlaces())
            return notStored();
        requestedAt = bootNow();
        if (fresh && m_contentsStored && !exceedsLimit())
            appendRecord();
        if (m_accepted)
            return submission_outcome::Accepted;
        if (bootNow() >= deadline)
            return notStored();
        if (!fresh || m_appendUnknown)
            boost::this_fiber::sleep_for(RetryPause);
    }
}

bool batch_submission::accepted() const
{
    return m_partition.fold().find({customer_id(m_record.customer), job_id(m_record.job)})
           != nullptr;
}

bool batch_submission::exceedsLimit() const
{
    const std::uint64_t waiting =
        m_partition.fold().waitingTokens(customer_id(m_record.customer), m_record.route);
    return m_waitingTokenLimit > 0 && waiting + m_tokens > m_waitingTokenLimit;
}

// The fiber may outlive this submission, so it captures copies of the job's data.
void batch_submission::startUpload(time_point deadline)
{
    m_upload = boost::fibers::async(
        [&contents = m_contents, deadline, customer = customer_id(m_record.customer),
         bytes = contentsOf(m_items)] { return contents.append(customer, bytes, deadline); });
}

bool batch_submission::addContentPlaces()
{
    const auto places = m_upload.get();
    if (!places)
        return false;
    for (std::size_t i = 0; i < places->size(); ++i)
        m_record.items[i]->content = encodePlace((*places)[i]);
    m_contentsStored = true;
    return true;
}

void batch_submission::appendRecord()
{
    const append_reply reply = m_partition.appendAtEnd(encodeBatchRecord(m_record));
    m_accepted = reply.result == append_result::Appended;
    if (reply.result != append_result::Unknown || m_appendUnknown)
        return;
    m_appendUnknown = true;
    m_unknownAppendEnd = m_partition.fold().end();
}

} // namespace tamarack
