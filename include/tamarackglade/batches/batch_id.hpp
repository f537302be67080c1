// Identity of a batch job: its customer and the id that the customer chose.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <tuple>

namespace tamarack {

/// @brief Names one batch job of the fleet. Customers choose job ids without knowing each other's.
struct batch_id
{
    customer_id customer;
    job_id job;

    friend bool operator==(const batch_id &, const batch_id &) = default;
    friend bool operator<(const batch_id &a, const batch_id &b)
    {
        return std::tie(a.job, a.customer) < std::tie(b.job, b.customer);
    }
};

/// @brief Names one item by its batch job and its index in the job.
struct batch_item_key
{
    batch_id batch;
    item_index item;

    friend bool operator==(const batch_item_key &, const batch_item_key &) = default;
    friend bool operator<(const batch_item_key &a, const batch_item_key &b)
    {
        return std::tie(a.batch, a.item) < std::tie(b.batch, b.item);
    }
};

} // namespace tamarack

template <>
struct std::hash<tamarack::batch_id>
{
    std::size_t operator()(const tamarack::batch_id &id) const noexcept
    {
        return std::hash<tamarack::job_id>{}(id.job) * 31
               + std::hash<tamarack::customer_id>{}(id.customer);
    }
};
