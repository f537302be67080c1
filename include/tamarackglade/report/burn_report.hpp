// Computes the burn report from the counts.
#pragma once

#include <tamarackglade/config/manifest.hpp>
#include <tamarackglade/jobs/batch_job.hpp>
#include <tamarackglade/report/burn_fold.hpp>
#include <tamarackglade/report/burn_summary.hpp>

#include <map>
#include <vector>

namespace tamarack {

/// @brief Gathers counts and sums them over windows.
class burn_report
{
public:
    /// manifest must outlive the report.
    explicit burn_report(const manifest &manifest, burn_mutation mutation = burn_mutation::None);

    /// @brief Takes all intervals of the stream; call once.
    void addCounts(const burn_fold &fold);
    /// @brief Takes a job: good if it completed by its due time, bad if it didn't. A job that is
    /// open and not yet due, and a cancelled one, count for nothing.
    void addJob(const batch_job &job, std::uint64_t nowS);

    /// @brief Sums the windows that end now. An interval belongs to a window if it ends in it.
    /// Complexity O(counts * windows).
    [[nodiscard]] burn_summary summarize(std::uint64_t nowS) const;

private:
    struct point
    {
        std::uint64_t atS = 0;
        burn_count count;
    };

    void addPoint(const burn_key &key, std::uint64_t atS, const burn_count &count);
    void addRefusals(const burn_fold &fold);
    [[nodiscard]] burn_row makeRow(const burn_key &key, const std::vector<point> &points,
                                   const burn_summary &summary) const;

    const manifest &m_manifest;
    burn_mutation m_mutation;
    std::map<burn_key, std::vector<point>> m_points; // an empty customer stands for all
    std::uint64_t m_firstDataS = 0; // 0: none
};

} // namespace tamarack
