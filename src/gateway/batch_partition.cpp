// The fold behind a follower, and appends with their known outcomes.
#include <tamarackglade/gateway/batch_partition.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <boost/fiber/operations.hpp>

#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds PollWait{700};
// Records come several times a second; reading them together saves calls.
constexpr std::chrono::milliseconds PollPause{150};
constexpr std::chrono::milliseconds AppendRetryPause{150};

const stream_name BatchStream("batches");

} // namespace

batch_partition::batch_partition(record_store &store, std::uint32_t number, duration keepTime,
                                 std::function<void()> onChange)
    : m_store(store), m_partition{BatchStream, number}, m_onChange(std::move(onChange)),
      m_fold(keepTime), m_follower(store, m_partition, {false, PollWait, PollPause}, *this)
{
}

durable_result batch_partition::append(const std::vector<std::string> &records, instant deadline)
{
    bool mayBeStored = false;
    for (;;) {
        const append_reply reply = m_store.append(m_partition, records, std::nullopt);
        if (reply.result == append_result::Appended)
            return durable_result::Stored;
        mayBeStored = mayBeStored || reply.result == append_result::Unknown;
        if (bootNow() >= deadline)
            return mayBeStored ? durable_result::Unknown : durable_result::NotStored;
        boost::this_fiber::sleep_for(AppendRetryPause);
    }
}

append_reply batch_partition::appendAtEnd(const std::string &record)
{
    return m_store.append(m_partition, {record}, m_fold.end());
}

void batch_partition::onRecord(const std::string &record, instant)
{
    if (!m_fold.apply(record, bootNow()))
        log_event(log_level::Warning, "malformed record of a batch job")
            .with("partition", m_partition.partition)
            .with("end", m_fold.end().value());
    m_onChange();
}

} // namespace tamarack
