// The configuration in force at this process, and how fresh the evidence for it is.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/forward/forward_config.hpp>

#include <memory>
#include <optional>

namespace tamarack {

/// @brief Holds the newest configuration. It never goes back to an older version.
///
/// Evidence is a read of the log that showed no newer version. Its age counts from when the read
/// was sent, in time that goes on while the VM is suspended.
class active_config
{
public:
    /// @brief Takes a version that was read.
    /// @param sentAt when the read that showed it was sent
    /// @return whether it is newer and now in force
    bool accept(std::shared_ptr<const forward_config> config, time_point sentAt);

    /// @brief Takes a read that showed nothing newer.
    void confirm(time_point sentAt);

    /// @return the configuration, or null before the first
    [[nodiscard]] const std::shared_ptr<const forward_config> &current() const { return m_config; }
    /// @return when the newest evidence was asked for; nullopt without any
    [[nodiscard]] std::optional<time_point> confirmedAt() const { return m_confirmedAt; }
    /// @return whether the evidence is younger than the bound
    [[nodiscard]] bool freshWithin(duration bound, time_point now) const;

private:
    std::shared_ptr<const forward_config> m_config;
    std::optional<time_point> m_confirmedAt; // set if m_config is; never decreases
};

} // namespace tamarack
