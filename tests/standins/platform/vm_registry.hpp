// The stand-in's VM list, whose readers see changes late.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace tamarack::standins {

/// @brief VMs by name. What the list shows trails the changes by a lag and never goes back.
class vm_registry
{
public:
    /// @brief Registers or replaces a VM.
    void put(const std::string &vm, nlohmann::json entry, time_point now);

    /// @brief Removes a VM.
    void remove(const std::string &vm, time_point now);

    /// @brief Sets how late the list shows changes.
    void setLag(duration lag) { m_lag = lag; }
    [[nodiscard]] duration lag() const { return m_lag; }

    /// @return the list as seen at now, ordered by name
    nlohmann::json list(time_point now);

private:
    struct change
    {
        time_point when;
        std::string vm;
        std::optional<nlohmann::json> entry; // none: removed
    };

    std::deque<change> m_pending; // not yet visible, in order of time
    std::map<std::string, nlohmann::json> m_visible;
    duration m_lag{};
};

} // namespace tamarack::standins
