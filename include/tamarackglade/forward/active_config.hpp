// Active forwarding configuration of this process, and when it was last confirmed.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/forward/forward_config.hpp>

#include <memory>
#include <optional>

namespace tamarack {

/// @brief Holds the newest configuration; an older version never replaces it.
///
/// A read up to the end of the log confirms the configuration that is the newest then. The age of
/// the confirmation is counted from when the read was sent, by a clock that continues while the VM
/// is suspended. A published version that can't be read may have replaced the configuration, and
/// one that was removed holds no more, so that nothing confirms it from then on, until a version
/// that can be read follows.
class active_config
{
public:
    /// @brief Activates a configuration if it is newer than the current one. Doesn't confirm it, as
    /// the same read may return one that follows it.
    /// @return whether it was activated
    bool accept(std::shared_ptr<const forward_config> config);

    /// @brief Records that the newest published version can't be read or was removed.
    void onUnreadable() { m_newestIsUnreadable = true; }

    /// @brief Records a read up to the end of the log, after all that it returned was accepted;
    /// ignored without a configuration.
    /// @param sentAt when the read was sent
    void confirm(time_point sentAt);

    /// @return the active configuration, or null before the first
    [[nodiscard]] const std::shared_ptr<const forward_config> &current() const { return m_config; }
    /// @return when the newest confirming read was sent; nullopt without a configuration
    [[nodiscard]] std::optional<time_point> confirmedAt() const { return m_confirmedAt; }
    /// @return whether the newest confirming read was sent less than bound ago
    [[nodiscard]] bool freshWithin(duration bound, time_point now) const;
    /// @return whether the active version was removed, or one that can't be read published after it
    [[nodiscard]] bool newestIsUnreadable() const { return m_newestIsUnreadable; }

private:
    std::shared_ptr<const forward_config> m_config;
    std::optional<time_point> m_confirmedAt; // set if m_config is set; never decreases
    bool m_newestIsUnreadable = false;
};

} // namespace tamarack
