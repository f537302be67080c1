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
    void put(const std::string &vm, nlohmann::json entry, instant now);

    /// @brief Removes a VM.
    void remove(const std::string &vm, instant now);

    /// @brief Sets how late the list shows changes.
    void setLag(duration lag) { m_lag = lag; }
    [[nodiscard]] duration lag() const { return m_lag; }

    /// @return the list as seen at now, ordered by name
    nlohmann::json list(instant now);

private:
    struct change
    {
        instant when;
        std::string vm;
        std::optional<nlohmann::json> entry; // none: removed
    };

    std::deque<change> m_pending; // not yet visible, in order of time
    std::map<std::string, nlohmann::json> m_visible;
    duration m_lag{};
};

} // namespace tamarack::standins
