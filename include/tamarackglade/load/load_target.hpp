// An address that the load tool sends requests to.
#pragma once

#include <string>

namespace tamarack {

/// @brief The address of an entry and its share of the requests.
struct load_target
{
    std::string name;
    std::string address; // ip:port
    double weight = 1; // relative to the other targets
};

} // namespace tamarack
