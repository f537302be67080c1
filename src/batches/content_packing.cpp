// Splits contents by the store's limits.
#include <tamarackglade/batches/content_packing.hpp>

#include <algorithm>
#include <string_view>

namespace tamarack {

std::optional<std::vector<content_append>> packContents(const std::vector<std::string> &contents,
                                                        const store_limits &limits)
{
    std::vector<content_append> appends;
    std::size_t free = 0; // bytes left in the last append
    for (const std::string &content : contents) {
        if (content.size() > limits.maxAppendBytes)
            return std::nullopt;
        if (appends.empty() || content.size() > free) {
            appends.emplace_back();
            free = limits.maxAppendBytes;
        }
        free -= content.size();
        content_append &append = appends.back();
        content_place place;
        place.position = stream_position(append.records.size());
        place.size = content.size();
        for (std::size_t from = 0; from < content.size(); from += limits.maxRecordBytes)
            append.records.push_back(content.substr(from, limits.maxRecordBytes));
        place.records = static_cast<std::uint32_t>(append.records.size() - place.position.value());
        append.places.push_back(place);
    }
    return appends;
}

std::optional<std::string> joinContent(const content_place &place,
                                       const std::vector<std::string> &records)
{
    if (records.size() < place.records)
        return std::nullopt;
    std::string content;
    content.reserve(place.size);
    for (std::uint32_t i = 0; i < place.records; ++i)
        content += records[i];
    if (content.size() != place.size)
        return std::nullopt;
    return content;
}

} // namespace tamarack
