// Folds the log stream "burn", to which every entry appends its intervals.
#pragma once

#include <tamarackglade/report/burn_interval.hpp>
#include <tamarackglade/report/burn_mutation.hpp>
#include <tamarackglade/schema/records.hpp>

#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace tamarack {

/// Log stream of the burn counts.
inline constexpr std::string_view BurnStream = "burn";

/// @brief Collects the intervals of all entries. A record that stands in the log several times
/// counts once.
class burn_fold
{
public:
    /// @brief The counts of one VM in one interval.
    struct interval_record
    {
        std::uint64_t startS = 0; // seconds since the Unix epoch
        std::uint64_t endS = 0;
        burn_interval interval;
    };

    explicit burn_fold(burn_mutation mutation = burn_mutation::None) : m_mutation(mutation) { }

    /// @brief Applies the records of one append. Malformed records are skipped and counted.
    void apply(const schema::log_batch_message &batch);

    [[nodiscard]] const std::vector<interval_record> &records() const { return m_records; }
    [[nodiscard]] std::uint64_t malformedCount() const { return m_malformedCount; }

private:
    using record_key = std::tuple<std::string, std::uint64_t, std::uint64_t>;

    burn_mutation m_mutation;
    std::set<record_key> m_appliedKeys; // VM, incarnation, sequence
    std::vector<interval_record> m_records; // in log order
    std::uint64_t m_malformedCount = 0;
};

} // namespace tamarack
