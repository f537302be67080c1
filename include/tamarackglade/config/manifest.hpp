// What operators declare: the fleet, its upstream groups, models, customers, routes, objectives.
#pragma once

#include <tamarackglade/config/batch_options.hpp>
#include <tamarackglade/config/customer_options.hpp>
#include <tamarackglade/config/fleet_options.hpp>
#include <tamarackglade/config/group_options.hpp>
#include <tamarackglade/config/model_options.hpp>
#include <tamarackglade/config/objective_options.hpp>
#include <tamarackglade/config/route_options.hpp>

#include <map>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief A checked manifest; parseManifest is the only maker.
struct manifest
{
    std::string text; // as published
    std::uint64_t digest = 0; // stable hash of text
    fleet_options fleet;
    batch_options batch;
    // Invariant: every group, model and customer that an entry names is declared.
    std::map<group_id, group_options> groups;
    std::map<model_id, model_options> models;
    std::map<customer_id, customer_options> customers;
    std::map<std::string, route_options> routes;
    std::map<std::string, objective_options> objectives;

    /// @return the route that covers a path; null if none does. Complexity O(routes).
    [[nodiscard]] const route_options *routeOf(std::string_view path) const;
    /// @return the customer's section; null if there is none
    [[nodiscard]] const customer_options *customer(const customer_id &id) const;
    /// @return the model's section; null if there is none
    [[nodiscard]] const model_options *model(const model_id &id) const;
    /// @return the group's section; null if there is none
    [[nodiscard]] const group_options *group(const group_id &id) const;
};

} // namespace tamarack
