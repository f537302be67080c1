// Retry loop for idempotent appends.
#include <tamarackglade/gateway/batch/append_until.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <boost/fiber/operations.hpp>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds RetryPause{150};

} // namespace

append_reply appendUntil(record_store &store, const stream_partition &partition,
                         const std::vector<std::string> &records, time_point deadline)
{
    bool mayBeStored = false;
    for (;;) {
        append_reply reply = store.append(partition, records, std::nullopt);
        if (reply.result == append_result::Appended)
            return reply;
        mayBeStored = mayBeStored || reply.result == append_result::Unknown;
        if (bootNow() >= deadline) {
            reply.result = mayBeStored ? append_result::Unknown : reply.result;
            return reply;
        }
        boost::this_fiber::sleep_for(RetryPause);
    }
}

} // namespace tamarack
