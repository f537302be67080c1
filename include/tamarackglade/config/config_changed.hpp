// Action: a newer configuration is in force, or whether the process may serve has changed.
#pragma once

#include <tamarackglade/config/config_state.hpp>

#include <memory>

namespace tamarack {

struct config_changed
{
    std::shared_ptr<const config_state> state;
    bool serving = false; // whether this process may serve with it
};

} // namespace tamarack
