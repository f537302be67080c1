// Settings of entries and sides that may change while the process runs.
#pragma once

#include <tamarackglade/settings/setting_values.hpp>

#include <chrono>

namespace tamarack {

/// @brief Durations of a planned stop, and the log level. Used on one thread.
class live_settings
{
public:
    explicit live_settings(const setting_values &values) { apply(values); }

    /// @brief Applies the values. An unknown log level is logged and leaves the level unchanged.
    void apply(const setting_values &values);

    /// @return how long a stopping process waits after it has announced that it is leaving
    [[nodiscard]] std::chrono::milliseconds drainNotice() const { return m_drainNotice; }
    /// @return the maximum time that a planned stop waits for requests in progress
    [[nodiscard]] std::chrono::milliseconds drainLimit() const { return m_drainLimit; }

private:
    std::chrono::milliseconds m_drainNotice{};
    std::chrono::milliseconds m_drainLimit{};
};

} // namespace tamarack
