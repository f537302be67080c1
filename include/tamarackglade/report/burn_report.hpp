// Computes the burn report from counts and batch jobs.
#pragma once

#include <tamarackglade/config/manifest.hpp>
#include <tamarackglade/jobs/batch_job.hpp>
#include <tamarackglade/report/burn_fold.hpp>
#include <tamarackglade/report/burn_summary.hpp>

#include <map>
#include <vector>

namespace tamarack {

/// @brief Collects counts and sums them over look-back windows.
class burn_report
{
public:
    /// @param manifest must outlive the report
    explicit burn_report(const manifest &manifest, burn_mutation mutation = burn_mutation::None);

    /// @brief Adds all intervals of the stream and the refusals within the customers' rates.
    /// Call it once: the rates are replayed over the whole stream.
    void addCounts(const burn_fold &fold);
    /// @brief Counts a job as good if it completed by its due time, otherwise as bad. An open job
    /// that is not yet due and a cancelled job are not counted.
    /// @param nowS seconds since the Unix epoch
    void addJob(const batch_job &job, std::uint64_t nowS);

    /// @brief Sums the windows that end at nowS. An interval belongs to the windows in which it
    /// ends. Complexity O(counts * windows).
    /// @param nowS seconds since the Unix epoch
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
    std::map<burn_key, std::vector<point>> m_points; // empty customer: all customers together
    std::uint64_t m_firstDataS = 0; // 0: no data
};

} // namespace tamarack
