// The fold of the stream "burn": every entry's intervals.
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

/// Name of the burn counts' stream in the log.
inline constexpr std::string_view BurnStream = "burn";

/// @brief Takes each record once, whatever the number of its copies in the log.
class burn_fold
{
public:
    /// @brief One VM's interval.
    struct interval_record
    {
        std::uint64_t startS = 0; // seconds since the Unix epoch
        std::uint64_t endS = 0;
        burn_interval interval;
    };

    explicit burn_fold(burn_mutation mutation = burn_mutation::None) : m_mutation(mutation) { }

    /// @brief Takes one append. Malformed records are skipped and counted.
    void apply(const schema::log_batch_message &batch);

    [[nodiscard]] const std::vector<interval_record> &records() const { return m_records; }
    [[nodiscard]] std::uint64_t malformedCount() const { return m_malformedCount; }

private:
    using record_key = std::tuple<std::string, std::uint64_t, std::uint64_t>;

    burn_mutation m_mutation;
    std::set<record_key> m_appliedKeys; // VM, incarnation, sequence
    std::vector<interval_record> m_records; // in the order of the log
    std::uint64_t m_malformedCount = 0;
};

} // namespace tamarack
