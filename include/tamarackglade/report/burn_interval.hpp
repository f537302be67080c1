// Counts of one VM in one interval.
#pragma once

#include <tamarackglade/report/admission_counts.hpp>
#include <tamarackglade/report/burn_count.hpp>
#include <tamarackglade/report/burn_key.hpp>

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief The content of a burn_counts log record.
struct burn_interval
{
    std::map<burn_key, burn_count> counts;
    // By customer and second since the Unix epoch. Holds only customers with a refusal by the rate
    // limit in this interval, and for these every second with a request.
    std::map<customer_id, std::map<std::uint64_t, admission_counts>> seconds;

    [[nodiscard]] bool isEmpty() const { return counts.empty() && seconds.empty(); }

    /// @brief Adds the counts of another interval.
    void merge(const burn_interval &other);

    /// @return the record's JSON text
    [[nodiscard]] std::string toJson() const;
    /// @return the interval, or InvalidArgument if the text is no such JSON or lacks a member
    static absl::StatusOr<burn_interval> fromJson(std::string_view text);

    friend bool operator==(const burn_interval &, const burn_interval &) = default;
};

} // namespace tamarack
