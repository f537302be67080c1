// What runs on a listed VM.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief The kind of process on a listed VM.
enum class vm_role : std::uint8_t {
    Entry, // an entry of the system
    Side, // a side process before an upstream, a model engine or a plain service
    Service // a plain service itself; reached only through its side process
};

} // namespace tamarack
