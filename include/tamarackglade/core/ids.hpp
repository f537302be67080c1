// The ids of the system, each a type of its own.
#pragma once

#include <tamarackglade/core/strong_id.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

using vm_id = strong_id<struct vm_tag, std::string>;
using zone_id = strong_id<struct zone_tag, std::string>;
using region_id = strong_id<struct region_tag, std::string>;
using customer_id = strong_id<struct customer_tag, std::string>;
using upstream_id = strong_id<struct upstream_tag, std::string>;
/// Version of an upstream's software, not of its weights; empty if unknown. Versions have no order.
using software_version = strong_id<struct software_version_tag, std::string>;
using group_id = strong_id<struct group_tag, std::string>;
using model_id = strong_id<struct model_tag, std::string>;
using key_id = strong_id<struct key_tag, std::string>;
using request_id = strong_id<struct request_tag, std::string>;
using attempt_id = strong_id<struct attempt_tag, std::string>;
using job_id = strong_id<struct job_tag, std::string>;
using file_id = strong_id<struct file_tag, std::string>;
/// A part of a prompt; requests whose prompts share text have parts in common.
using prompt_part_id = strong_id<struct prompt_part_tag, std::string>;

/// A VM's process incarnation: grows with every start of the process.
using incarnation_number = strong_id<struct incarnation_tag, std::uint64_t>;
/// A position in one stream of the platform's log; the first record has offset 1.
using log_offset = strong_id<struct log_offset_tag, std::uint64_t>;
/// The epoch of an owner; grows with every valid claim.
using epoch_number = strong_id<struct epoch_tag, std::uint64_t>;
/// A partition of customers.
using partition_id = strong_id<struct partition_tag, std::uint32_t>;
/// An item's index in its job, from 0.
using item_index = strong_id<struct item_tag, std::uint32_t>;
/// A fencing number of orders to upstreams.
using fence_number = strong_id<struct fence_tag, std::uint64_t>;

} // namespace tamarack
