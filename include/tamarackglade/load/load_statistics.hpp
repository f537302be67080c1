// Results of a load run by customer and class, and by time and target.
#pragma once

#include <tamarackglade/load/load_row.hpp>
#include <tamarackglade/load/load_slice.hpp>
#include <tamarackglade/load/planned_request.hpp>
#include <tamarackglade/load/request_outcome.hpp>

#include <cstdint>
#include <map>
#include <utility>

namespace tamarack {

/// @brief Collects rows by customer and class and slices by time and target. Not thread-safe: each
/// thread has its own object, and they are merged at the end.
class load_statistics
{
public:
    /// Customer and class, as indexes into the profile.
    using row_key = std::pair<std::uint32_t, std::uint32_t>;
    /// Number of the slice in the run, and target as an index into the profile.
    using slice_key = std::pair<std::uint64_t, std::uint32_t>;

    static constexpr std::chrono::milliseconds SliceLength{100};

    void record(const planned_request &request, const request_outcome &outcome);
    void merge(const load_statistics &other);

    [[nodiscard]] const std::map<row_key, load_row> &rows() const { return m_rows; }
    /// @return slices of length SliceLength, by planned arrival
    [[nodiscard]] const std::map<slice_key, load_slice> &slices() const { return m_slices; }
    /// @return the sum of all rows
    [[nodiscard]] load_row total() const;

private:
    void countInSlice(const planned_request &request, const request_outcome &outcome);

    std::map<row_key, load_row> m_rows;
    std::map<slice_key, load_slice> m_slices;
};

} // namespace tamarack
