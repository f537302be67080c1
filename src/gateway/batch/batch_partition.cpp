// Applies followed records to the fold and appends new ones.
#include <tamarackglade/gateway/batch/append_until.hpp>
#include <tamarackglade/gateway/batch/batch_partition.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds PollWait{700};

const stream_name BatchStream("batches");

} // namespace

batch_partition::batch_partition(record_store &store, std::uint32_t number, duration keepTime)
    : m_store(store), m_partition{BatchStream, number}, m_fold(keepTime),
      m_follower(store, m_partition, {false, PollWait, PollPause}, *this)
{
}

durable_result batch_partition::append(const std::vector<std::string> &records, time_point deadline)
{
    switch (appendUntil(m_store, m_partition, records, deadline).result) {
    case append_result::Appended:
        return durable_result::Stored;
    case append_result::Unknown:
        return durable_result::Unknown;
    default:
        return durable_result::NotStored;
    }
}

append_reply batch_partition::appendAtEnd(const std::string &record)
{
    return m_store.append(m_partition, {record}, m_fold.end());
}

void batch_partition::onRecord(const std::string &record, time_point)
{
    if (!m_fold.apply(record, bootNow()))
        log_event(log_level::Warning, "malformed record of a batch job")
            .with("partition", m_partition.partition)
            .with("end", m_fold.end().value());
}

} // namespace tamarack
