// Results of a run by customer and class.
#pragma once

#include <tamarackglade/load/load_row.hpp>
#include <tamarackglade/load/planned_request.hpp>
#include <tamarackglade/load/request_outcome.hpp>

#include <cstdint>
#include <map>
#include <utility>

namespace tamarack {

/// @brief Rows by (customer, class), as indexes into the profile. Not thread-safe: one for each
/// thread, merged at the end.
class load_statistics
{
public:
    using row_key = std::pair<std::uint32_t, std::uint32_t>;

    void record(const planned_request &request, const request_outcome &outcome);
    void merge(const load_statistics &other);

    [[nodiscard]] const std::map<row_key, load_row> &rows() const { return m_rows; }
    /// @return all rows together
    [[nodiscard]] load_row total() const;

private:
    std::map<row_key, load_row> m_rows;
};

} // namespace tamarack
