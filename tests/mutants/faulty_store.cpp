// What each mutation changes of the store's answers.
#include "faulty_store.hpp"

#include <tamarackglade/batches/batch_codec.hpp>

namespace tamarack {

namespace {

bool endsJob(const std::vector<std::string> &records)
{
    const auto record = decodeBatchRecord(records.front());
    return record && record->body.type == schema::batch_record_body::batch_ended;
}

} // namespace

append_reply faulty_store::append(const stream_partition &partition,
                                  const std::vector<std::string> &records,
                                  std::optional<stream_position> expectedEnd)
{
    using enum gateway_mutation;
    if (m_mutation == ForgetEnds && partition.stream.value() == "batches" && endsJob(records))
        return {append_result::Appended, {}, {}};
    if (m_mutation == IgnoreCondition)
        expectedEnd.reset();
    append_reply reply = platform_store::append(partition, records, expectedEnd);
    if (reply.result == append_result::Unknown && m_mutation == AcknowledgeUnstored)
        reply.result = append_result::Appended;
    if (reply.result == append_result::Unknown && m_mutation == RefuseUnknown)
        reply.result = append_result::Refused;
    return reply;
}

read_reply faulty_store::read(const stream_partition &partition, stream_position from,
                              std::chrono::milliseconds wait)
{
    read_reply reply = platform_store::read(partition, from, wait);
    if (reply.result == read_result::Failed && m_mutation == gateway_mutation::AlwaysCurrent) {
        reply.result = read_result::Read;
        reply.end = from;
    }
    return reply;
}

} // namespace tamarack
