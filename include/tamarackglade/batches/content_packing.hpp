// Contents as records: how they are cut for appends, and put together again.
#pragma once

#include <tamarackglade/batches/content_place.hpp>
#include <tamarackglade/store/store_limits.hpp>

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief The records of one append, and the places of the contents in it.
struct content_append
{
    std::vector<std::string> records;
    std::vector<content_place> places; // positions count from the append's first record
};

/// @brief Cuts contents into as few appends as the limits allow; each content is in one append.
/// @return the appends, whose places follow the order of the contents, or nullopt if a content is
/// longer than an append
std::optional<std::vector<content_append>> packContents(const std::vector<std::string> &contents,
                                                        const store_limits &limits);

/// @brief Puts a content together from records that begin at its place; more may follow.
/// @return the content, or nullopt if records are missing or of another size
std::optional<std::string> joinContent(const content_place &place,
                                       const std::vector<std::string> &records);

} // namespace tamarack
