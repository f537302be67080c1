// Folds burn_counts records; VM, incarnation and sequence identify a record.
#include <tamarackglade/report/burn_fold.hpp>

#include <utility>

namespace tamarack {

void burn_fold::apply(const schema::log_batch_message &batch)
{
    for (const auto &record : batch.records) {
        const auto *counts = record->body.Asburn_counts();
        if (counts == nullptr)
            continue;
        auto interval = burn_interval::fromJson(counts->counts_json);
        if (!interval.ok()) {
            ++m_malformedCount;
            continue;
        }
        const bool isNew =
            m_appliedKeys.emplace(counts->vm, counts->incarnation, counts->sequence).second;
        if (!isNew && m_mutation != burn_mutation::CountRepeats)
            continue;
        m_records.push_back({counts->interval_start_s,
                             counts->interval_start_s + counts->interval_s, std::move(*interval)});
    }
}

} // namespace tamarack
