// Action: appends the folded configuration to the log's stream "config".
#pragma once

#include <string>

namespace tamarack {

struct append_config_snapshot
{
    std::string payload;
};

} // namespace tamarack
