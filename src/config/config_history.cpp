// Recent appends by offset.
#include <tamarackglade/config/config_history.hpp>

namespace tamarack {

void config_history::add(log_offset offset, std::string_view payload)
{
    if (!m_entries.empty() && offset.value() != m_entries.back().offset.value() + 1)
        clear();
    m_entries.push_back({offset, std::string(payload)});
    m_bytes += payload.size();
    while (m_bytes > m_maxBytes) {
        m_bytes -= m_entries.front().payload.size();
        m_entries.pop_front();
    }
}

void config_history::clear()
{
    m_entries.clear();
    m_bytes = 0;
}

std::vector<log_entry> config_history::after(log_offset offset) const
{
    const std::size_t index = indexAfter(offset);
    return {m_entries.begin() + static_cast<std::ptrdiff_t>(index), m_entries.end()};
}

std::size_t config_history::bytesAfter(log_offset offset) const
{
    std::size_t bytes = 0;
    for (std::size_t index = indexAfter(offset); index < m_entries.size(); ++index)
        bytes += m_entries[index].payload.size();
    return bytes;
}

std::size_t config_history::indexAfter(log_offset offset) const
{
    if (m_entries.empty() || offset.value() + 1 < m_entries.front().offset.value()
        || offset >= m_entries.back().offset)
        return m_entries.size();
    return static_cast<std::size_t>(offset.value() + 1 - m_entries.front().offset.value());
}

} // namespace tamarack
