// Finds the blank lines between events, and the id and data fields of an event.
#include <tamarackglade/events/event_splitter.hpp>

#include <charconv>

namespace tamarack {

namespace {

// Calls use for each line of text, without its line ending, until use returns false.
template <class Use>
void forEachLine(std::string_view text, Use use)
{
    while (!text.empty()) {
        const auto end = text.find('\n');
        std::string_view line = text.substr(0, end);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (!use(line) || end == std::string_view::npos)
            return;
        text.remove_prefix(end + 1);
    }
}

// Returns the value of the field, or nullopt if the line contains another field.
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view field)
{
    if (line.substr(0, field.size()) != field || line.size() <= field.size()
        || line[field.size()] != ':')
        return std::nullopt;
    line.remove_prefix(field.size() + 1);
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    return line;
}

std::optional<std::uint64_t> idOf(std::string_view text)
{
    std::optional<std::uint64_t> id;
    forEachLine(text, [&](std::string_view line) {
        const auto value = fieldValue(line, "id");
        if (!value)
            return true;
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(value->data(), value->data() + value->size(), number);
        if (parsed.ec == std::errc() && parsed.ptr == value->data() + value->size())
            id = number;
        return false;
    });
    return id;
}

} // namespace

std::string eventData(std::string_view text)
{
    std::string data;
    bool first = true;
    forEachLine(text, [&](std::string_view line) {
        if (const auto value = fieldValue(line, "data")) {
            if (!first)
                data.push_back('\n');
            data.append(*value);
            first = false;
        }
        return true;
    });
    return data;
}

bool hasContent(const stream_event &event)
{
    return event.id || !eventData(event.text).empty();
}

void event_splitter::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_begin);
    m_scanned -= m_begin;
    m_begin = 0;
    m_buffer.append(bytes);
}

std::optional<stream_event> event_splitter::next()
{
    const std::string_view all = m_buffer;
    while (m_scanned < all.size()) {
        const auto end = all.find('\n', m_scanned);
        if (end == std::string_view::npos) {
            m_scanned = all.size();
            break;
        }
        // A line feed ends an event if the line before it is empty.
        std::size_t lineEnd = end;
        if (lineEnd > m_begin && all[lineEnd - 1] == '\r')
            --lineEnd;
        const bool blank = lineEnd == m_begin || all[lineEnd - 1] == '\n';
        m_scanned = end + 1;
        if (!blank)
            continue;
        const std::string_view text = all.substr(m_begin, m_scanned - m_begin);
        m_begin = m_scanned;
        return stream_event{text, idOf(text)};
    }
    return std::nullopt;
}

} // namespace tamarack
