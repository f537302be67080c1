// Classes of work that share the slots of upstreams.
#pragma once

namespace tamarack {

/// @brief Online requests, for which callers wait, and batch items, which yield to them.
enum class work_class { Online, Batch };

} // namespace tamarack
