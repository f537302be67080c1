// Limits of submitted files and jobs.
#pragma once

#include <cstddef>
#include <cstdint>

namespace tamarack {

struct submission_limits
{
    std::size_t maxFileBytes = 200 * 1024 * 1024;
    std::size_t maxLineBytes = 256 * 1024;
    std::uint32_t maxItems = 150'000;
    std::size_t maxCustomIdBytes = 256;
    std::size_t chunkBytes = 512 * 1024; // must be at least maxLineBytes
    std::size_t maxReportedErrors = 20;
};

} // namespace tamarack
