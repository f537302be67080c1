// Extracts the text of events. For speed, the common form of an event is searched for its text;
// other forms are parsed as JSON.
#include <tamarackglade/load/answer_checker.hpp>

#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

constexpr std::string_view DataPrefix = "data:";
constexpr std::string_view EventEnd = "\n\n";

std::string parsedText(const nlohmann::json &event, bool chat)
{
    if (!event.contains("choices") || !event["choices"].is_array() || event["choices"].empty())
        return {};
    const auto &choice = event["choices"][0];
    const auto &holder = chat && choice.contains("delta") ? choice["delta"] : choice;
    const auto text = holder.find(chat ? "content" : "text");
    return text != holder.end() && text->is_string() ? text->get<std::string>() : std::string();
}

} // namespace

answer_checker::answer_checker(std::string expected, bool chat)
    : m_expected(std::move(expected)), m_chat(chat)
{
}

std::uint32_t answer_checker::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::string_view rest = m_buffer;
    std::uint32_t tokens = 0;
    for (std::size_t end = rest.find(EventEnd); end != std::string_view::npos;
         end = rest.find(EventEnd)) {
        const std::string_view event = rest.substr(0, end);
        rest.remove_prefix(end + EventEnd.size());
        if (event.starts_with(DataPrefix) && processEvent(event.substr(DataPrefix.size())))
            ++tokens;
    }
    m_buffer.erase(0, m_buffer.size() - rest.size());
    return tokens;
}

bool answer_checker::isWhole() const
{
    return m_done && !m_failed && !m_differs && m_matched == m_expected.size();
}

bool answer_checker::processEvent(std::string_view data)
{
    if (data.ends_with("[DONE]")) {
        m_done = true;
        return false;
    }
    const std::string_view field = m_chat ? R"("content":")" : R"("text":")";
    const std::size_t start = data.find(field);
    if (start != std::string_view::npos) {
        const std::string_view text = data.substr(start + field.size());
        const std::string_view content = text.substr(0, text.find('"'));
        if (content.find('\\') == std::string_view::npos)
            return compareText(content);
    }
    const auto event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || event.contains("error")) {
        m_failed = true;
        return false;
    }
    return compareText(parsedText(event, m_chat));
}

bool answer_checker::compareText(std::string_view text)
{
    if (text.empty())
        return false;
    if (m_expected.compare(m_matched, text.size(), text) != 0)
        m_differs = true;
    m_matched += text.size();
    return true;
}

} // namespace tamarack
