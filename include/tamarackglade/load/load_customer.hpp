// A customer on whose behalf the load tool sends requests.
#pragma once

#include <string>

namespace tamarack {

/// @brief The rate limit of the customer and the rate at which the tool sends.
struct load_customer
{
    std::string name;
    std::string key; // from the key file; never printed
    double rate = 0; // allowed requests per second; 0 for no limit
    double burst = 0; // allowed requests at once
    double load = 1; // requests per second that are sent
    double excess = 1; // multiplies load
};

} // namespace tamarack
