// An entry VM as the platform's VM list shows it.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

/// @brief One process generation of an entry VM.
struct live_entry
{
    vm_id vm;
    incarnation generation;

    friend bool operator==(const live_entry &, const live_entry &) = default;
};

} // namespace tamarack
