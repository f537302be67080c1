// Section [customer NAME] of the manifest.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarack {

struct customer_options
{
    customer_id id;
    double ratePerSecond = 0; // requests a second over the whole fleet
    std::uint32_t burst = 0; // requests
    std::uint32_t weight = 1; // share at every queue, relative to other customers
    std::optional<std::vector<model_id>> models; // that it may call; nullopt: all
    bool batchAllowed = false;
    std::uint32_t maxOpenJobs = 0;
    region_id region; // empty: any

    /// @return whether the customer may call a model
    [[nodiscard]] bool mayUse(const model_id &model) const;
};

} // namespace tamarack
