// Decoding of order records.
#include <tamarackglade/orders/order_fold.hpp>
#include <tamarackglade/orders/order_kind_name.hpp>
#include <tamarackglade/schema/records.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::size_t MaxRecentIds = 1024;

bool isValid(const schema::upstream_ordered_message &record)
{
    return !record.order_id.empty() && !record.vm.empty() && !record.argument.empty()
           && !orderKindName(record.kind).empty();
}

} // namespace

std::optional<folded_order> order_fold::apply(const log_entry &entry)
{
    if (entry.offset < m_next)
        return std::nullopt;
    m_next = log_offset(entry.offset.value() + 1);
    const auto batch = decodeBatch(entry.payload);
    if (!batch.ok() || batch->records.size() != 1)
        return std::nullopt;
    const auto *record = batch->records[0]->body.Asupstream_ordered();
    if (record == nullptr || !isValid(*record) || isDuplicate(record->order_id))
        return std::nullopt;
    folded_order folded;
    folded.vm = vm_id(record->vm);
    folded.order.id = record->order_id;
    folded.order.fence = fence_number(entry.offset.value());
    folded.order.kind = record->kind;
    folded.order.argument = record->argument;
    folded.writtenAtSeconds = record->written_at_s;
    return folded;
}

bool order_fold::isDuplicate(const std::string &orderId)
{
    if (std::find(m_recentIds.begin(), m_recentIds.end(), orderId) != m_recentIds.end())
        return true;
    m_recentIds.push_back(orderId);
    if (m_recentIds.size() > MaxRecentIds)
        m_recentIds.pop_front();
    return false;
}

} // namespace tamarack
