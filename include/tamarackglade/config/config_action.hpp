// What the configuration's spread asks its process to do.
#pragma once

#include <tamarackglade/config/append_config_snapshot.hpp>
#include <tamarackglade/config/config_changed.hpp>
#include <tamarackglade/config/send_config_fetch.hpp>
#include <tamarackglade/config/send_config_offer.hpp>
#include <tamarackglade/config/send_config_snapshot.hpp>

#include <variant>
#include <vector>

namespace tamarack {

using config_action = std::variant<send_config_offer, send_config_fetch, send_config_snapshot,
                                   append_config_snapshot, config_changed>;
using config_actions = std::vector<config_action>;

} // namespace tamarack
