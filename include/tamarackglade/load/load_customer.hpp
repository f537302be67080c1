// A customer whose callers the load tool plays.
#pragma once

#include <string>

namespace tamarack {

/// @brief What the customer may send, and what it sends.
struct load_customer
{
    std::string name;
    std::string key; // from the key file; never shown
    double rate = 0; // allowed requests per second; 0 for no limit
    double burst = 0; // allowed requests at once
    double load = 1; // requests per second that are sent
    double excess = 1; // multiplies load
};

} // namespace tamarack
