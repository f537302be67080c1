// Splits contents into records for appends and joins them again.
#pragma once

#include <tamarackglade/batches/content_place.hpp>
#include <tamarackglade/store/store_limits.hpp>

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Records of one append and the places of the contents in it.
struct content_append
{
    std::vector<std::string> records;
    std::vector<content_place> places; // positions are relative to the append's first record
};

/// @brief Splits contents into records, and groups these in order into as few appends as the limits
/// allow. All records of a content are in the same append.
/// @return the appends, whose places are in the order of the contents, or nullopt if a content is
/// larger than maxAppendBytes
std::optional<std::vector<content_append>> packContents(const std::vector<std::string> &contents,
                                                        const store_limits &limits);

/// @brief Joins a content from its records.
/// @param records begin with the first record of the content; records after its last are ignored
/// @return the content, or nullopt if records are missing or their total size is wrong
std::optional<std::string> joinContent(const content_place &place,
                                       const std::vector<std::string> &records);

} // namespace tamarack
