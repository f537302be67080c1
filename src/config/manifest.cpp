// Look-ups in a manifest.
#include <tamarackglade/config/manifest.hpp>

namespace tamarack {

namespace {

template <class Map>
const typename Map::mapped_type *find(const Map &map, const typename Map::key_type &id)
{
    const auto found = map.find(id);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

const route_options *manifest::routeOf(std::string_view path) const
{
    for (const auto &[name, route] : routes) {
        if (route.covers(path))
            return &route;
    }
    return nullptr;
}

const customer_options *manifest::customer(const customer_id &id) const
{
    return find(customers, id);
}

const model_options *manifest::model(const model_id &id) const
{
    return find(models, id);
}

const group_options *manifest::group(const group_id &id) const
{
    return find(groups, id);
}

} // namespace tamarack
