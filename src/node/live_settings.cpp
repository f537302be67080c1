// Applies the settings that a reload may change.
#include <tamarackglade/logging/init_logging.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/node/live_settings.hpp>

namespace tamarack {

void live_settings::apply(const setting_values &values)
{
    m_drainNotice = values.milliseconds("drain-notice");
    m_drainLimit = values.milliseconds("drain-limit");
    const absl::Status level = setLogLevel(values.text("log-level"));
    if (!level.ok())
        log_event(log_level::Error, "log level not changed")
            .with("reason", std::string(level.message()));
}

} // namespace tamarack
