// Looks up routes, keys, customers and groups.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/forward/forward_config.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + prefix.size() + 1);
    key.append(host);
    key.push_back('\n');
    key.append(prefix);
    return key;
}

} // namespace

forward_config::forward_config(config_version version, std::vector<forward_route> routes,
                               std::optional<customer_list> customers,
                               std::vector<forward_group> groups, caller_limits limits)
    : m_version(version), m_routes(std::move(routes)), m_needsKeys(customers.has_value()),
      m_customers(customers ? std::move(customers->customers) : std::vector<forward_customer>()),
      m_customerFaults(customers ? std::move(customers->faults) : std::vector<std::string>()),
      m_groups(std::move(groups)), m_limits(limits)
{
    for (const forward_route &route : m_routes)
        m_routeByHostAndPrefix.emplace(routeKey(route.host, route.prefix), &route);
    for (const forward_customer &customer : m_customers) {
        m_customerById.emplace(customer.id.value(), &customer);
        m_customerByHash.emplace(stableHash(customer.id.value()), &customer);
        for (const std::string &key : customer.keys)
            m_customerByKey.emplace(key, &customer);
    }
}

const forward_route *forward_config::findRoute(std::string_view host, std::string_view path) const
{
    // Prefixes end with a slash, so only the parts of the path up to a slash can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = path.rfind('/', end - 1)) {
        const auto found = m_routeByHostAndPrefix.find(routeKey(host, path.substr(0, end + 1)));
        if (found != m_routeByHostAndPrefix.end())
            return found->second;
        if (end == 0)
            break;
    }
    return nullptr;
}

const forward_customer *forward_config::findByKey(std::string_view key) const
{
    const auto found = m_customerByKey.find(key);
    return found == m_customerByKey.end() ? nullptr : found->second;
}

const forward_customer *forward_config::findCustomer(const customer_id &id) const
{
    const auto found = m_customerById.find(id.value());
    return found == m_customerById.end() ? nullptr : found->second;
}

const forward_customer *forward_config::findByHash(std::uint64_t hash) const
{
    const auto found = m_customerByHash.find(hash);
    return found == m_customerByHash.end() ? nullptr : found->second;
}

const forward_group *forward_config::findGroup(const group_id &id) const
{
    const auto found = std::find_if(m_groups.begin(), m_groups.end(),
                                    [&](const forward_group &group) { return group.id == id; });
    return found == m_groups.end() ? nullptr : &*found;
}

const forward_route *forward_config::findRouteByName(std::string_view name) const
{
    const auto found = std::find_if(m_routes.begin(), m_routes.end(),
                                    [&](const forward_route &route) { return route.name == name; });
    return found == m_routes.end() ? nullptr : &*found;
}

} // namespace tamarack
