// Matching of paths and methods to a route.
#include <tamarackglade/config/route_options.hpp>

#include <algorithm>

namespace tamarack {

bool route_options::covers(std::string_view path) const
{
    if (!path.starts_with(prefix))
        return false;
    if (path.size() == prefix.size() || prefix.back() == '/')
        return true;
    return path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

bool route_options::isRepeatable(std::string_view method) const
{
    return std::find(repeatableMethods.begin(), repeatableMethods.end(), method)
           != repeatableMethods.end();
}

} // namespace tamarack
