// Runs claims and results on the control thread.
#include <tamarackglade/core/partition.hpp>
#include <tamarackglade/entry/keyed_call_service.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace tamarack {

namespace {

// Must be the same in all entries of a fleet: with another count, a key maps to another partition,
// where an existing claim of it is not found.
constexpr std::uint32_t PartitionCount = 4;

std::string resultOf(const keyed_verdict &verdict)
{
    if (std::holds_alternative<run_keyed>(verdict))
        return "claimed";
    if (std::holds_alternative<replay_answer>(verdict))
        return "replayed";
    return std::get<call_error>(verdict).code;
}

} // namespace

keyed_call_service::keyed_call_service(io_thread &control, platform_client &platform,
                                       metric_registry &metrics)
    : m_control(control), m_metrics(metrics)
{
    for (std::uint32_t id = 0; id < PartitionCount; ++id)
        m_partitions.push_back(
            std::make_unique<keyed_partition>(control, platform, metrics, partition_id(id)));
}

keyed_verdict keyed_call_service::claim(const keyed_request &request)
{
    keyed_verdict verdict;
    m_control.run([&] { verdict = partitionFor(request).claim(request); });
    count(verdict);
    return verdict;
}

void keyed_call_service::finish(const keyed_request &request, const keyed_answer &answer)
{
    m_control.run([&] { partitionFor(request).finish(request.id, answer); });
}

bool keyed_call_service::isIdle() const
{
    return std::all_of(m_partitions.begin(), m_partitions.end(),
                       [](const auto &partition) { return partition->isIdle(); });
}

keyed_partition &keyed_call_service::partitionFor(const keyed_request &request)
{
    const auto partition = partitionOfKey(request.customer, request.key, PartitionCount);
    return *m_partitions[partition.value()];
}

void keyed_call_service::count(const keyed_verdict &verdict)
{
    m_metrics.add(absl::StrCat("tamarack_keyed_calls_total{result=\"", resultOf(verdict), "\"}"));
}

} // namespace tamarack
