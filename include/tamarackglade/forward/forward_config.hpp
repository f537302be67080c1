// One immutable version of the forwarding configuration, with its indexes.
#pragma once

#include <tamarackglade/forward/caller_limits.hpp>
#include <tamarackglade/forward/forward_customer.hpp>
#include <tamarackglade/forward/forward_group.hpp>
#include <tamarackglade/forward/forward_route.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace tamarack {

/// Version of a forwarding configuration; increases, with gaps.
using config_version = strong_id<struct config_version_tag, std::uint64_t>;

/// @brief Routes, customers, groups and limits as published by operators. Built once, then shared
/// by the requests that started while it was active.
class forward_config
{
public:
    /// @param customers nullopt if the configuration has no list of customers, so that callers need
    /// no key; with an empty list they do, and no key is known
    forward_config(config_version version, std::vector<forward_route> routes,
                   std::optional<customer_list> customers, std::vector<forward_group> groups,
                   caller_limits limits);
    forward_config(const forward_config &) = delete;
    forward_config &operator=(const forward_config &) = delete;

    /// @return the route of the host with the longest prefix of the path, or null; O(path length)
    [[nodiscard]] const forward_route *findRoute(std::string_view host,
                                                 std::string_view path) const;
    /// @return the customer that owns the API key, or null; O(1)
    [[nodiscard]] const forward_customer *findByKey(std::string_view key) const;
    /// @return the customer, or null
    [[nodiscard]] const forward_customer *findCustomer(const customer_id &id) const;
    /// @return the customer whose id has this stable hash, or null
    [[nodiscard]] const forward_customer *findByHash(std::uint64_t hash) const;
    /// @return the group, or null
    [[nodiscard]] const forward_group *findGroup(const group_id &id) const;
    /// @return the first route with this name, or null
    [[nodiscard]] const forward_route *findRouteByName(std::string_view name) const;

    /// @return whether callers need a key on routes that aren't open: if there is a list of
    /// customers, an empty one too
    [[nodiscard]] bool needsKeys() const { return m_needsKeys; }
    /// @return what can't be read of the list of customers; if anything, a key that isn't found may
    /// be among what is left out
    [[nodiscard]] const std::vector<std::string> &customerFaults() const
    {
        return m_customerFaults;
    }
    [[nodiscard]] config_version version() const { return m_version; }
    /// @return the number of customers whose entries can be read
    [[nodiscard]] std::size_t customerCount() const { return m_customers.size(); }
    [[nodiscard]] std::size_t routeCount() const { return m_routes.size(); }
    [[nodiscard]] const caller_limits &limits() const { return m_limits; }
    [[nodiscard]] const std::vector<forward_customer> &customers() const { return m_customers; }
    [[nodiscard]] const std::vector<forward_group> &groups() const { return m_groups; }

private:
    const config_version m_version;
    const std::vector<forward_route> m_routes;
    const bool m_needsKeys;
    const std::vector<forward_customer> m_customers; // empty if no keys are needed
    const std::vector<std::string> m_customerFaults;
    const std::vector<forward_group> m_groups;
    const caller_limits m_limits;
    // The indexes point into the vectors above. Key of m_routeByHostAndPrefix: host, '\n', prefix.
    std::unordered_map<std::string, const forward_route *> m_routeByHostAndPrefix;
    std::unordered_map<std::string_view, const forward_customer *> m_customerByKey;
    std::unordered_map<std::string_view, const forward_customer *> m_customerById;
    std::unordered_map<std::uint64_t, const forward_customer *> m_customerByHash;
};

} // namespace tamarack
