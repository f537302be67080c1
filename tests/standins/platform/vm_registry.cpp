// Delayed application of changes.
#include "vm_registry.hpp"

namespace tamarack::standins {

void vm_registry::put(const std::string &vm, nlohmann::json entry, time_point now)
{
    entry["vm"] = vm;
    if (!entry.contains("state"))
        entry["state"] = "live";
    m_pending.push_back({now, vm, std::move(entry)});
}

void vm_registry::remove(const std::string &vm, time_point now)
{
    m_pending.push_back({now, vm, std::nullopt});
}

nlohmann::json vm_registry::list(time_point now)
{
    while (!m_pending.empty() && m_pending.front().when + m_lag <= now) {
        change &next = m_pending.front();
        if (next.entry)
            m_visible[next.vm] = std::move(*next.entry);
        else
            m_visible.erase(next.vm);
        m_pending.pop_front();
    }
    nlohmann::json shown = nlohmann::json::array();
    for (const auto &[vm, entry] : m_visible)
        shown.push_back(entry);
    return shown;
}

} // namespace tamarack::standins
