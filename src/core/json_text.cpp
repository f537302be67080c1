// The parser's callback sees each level before its value is kept.
#include <tamarackglade/core/json_text.hpp>

namespace tamarack {

using json = nlohmann::json;

json parseJson(std::string_view text)
{
    bool tooDeep = false;
    const auto keep = [&tooDeep](int depth, json::parse_event_t event, const json &) {
        const bool opens =
            event == json::parse_event_t::object_start || event == json::parse_event_t::array_start;
        tooDeep = tooDeep || (opens && depth >= MaxJsonDepth);
        return !tooDeep;
    };
    json value = json::parse(text, keep, false);
    return tooDeep ? json(json::value_t::discarded) : value;
}

} // namespace tamarack
