// What became of one published manifest.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/ini/manifest_fault.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

enum class publish_outcome : std::uint8_t {
    Accepted,
    Lost, // its base was no longer in force
    Invalid // its text is faulty
};

struct publish_verdict
{
    publish_outcome outcome = publish_outcome::Invalid;
    log_offset offset; // of the publish
    log_offset inForce; // of the manifest in force right after it
    std::string inForceOperator; // who published that one
    std::vector<manifest_fault> faults; // of an invalid one
};

} // namespace tamarack
