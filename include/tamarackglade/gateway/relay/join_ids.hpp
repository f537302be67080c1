// Lists of ids as one field of a log line.
#pragma once

#include <string>
#include <vector>

namespace tamarack {

/// @return the ids separated by commas
template <class Id>
std::string joinIds(const std::vector<Id> &ids)
{
    std::string text;
    for (const Id &id : ids) {
        if (!text.empty())
            text += ',';
        text += id.value();
    }
    return text;
}

} // namespace tamarack
