// SIGHUP, and a look at the file now and then.
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/fiber_token.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>
#include <tamarackglade/settings/load_settings.hpp>
#include <tamarackglade/settings/settings_watch.hpp>

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/operations.hpp>

#include <csignal>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::seconds FilePeriod{2};

} // namespace

settings_watch::settings_watch(io_thread &thread, const option_table &table,
                               change_listener onChange)
    : m_thread(thread), m_table(table), m_onChange(std::move(onChange))
{
}

void settings_watch::start()
{
    m_text = settingsFileText();
    m_thread.spawn([this] { signalLoop(); });
    m_thread.spawn([this] { fileLoop(); });
}

void settings_watch::signalLoop()
{
    boost::asio::signal_set signals(m_thread.io(), SIGHUP);
    releaseSignal(SIGHUP);
    for (;;) {
        const auto received = signals.async_wait(FiberToken);
        if (received.error)
            return;
        reload("signal");
    }
}

void settings_watch::fileLoop()
{
    for (;;) {
        boost::this_fiber::sleep_for(FilePeriod);
        if (settingsFileText() != m_text)
            reload("file changed");
    }
}

void settings_watch::reload(const char *cause)
{
    m_text = settingsFileText();
    const auto values = reloadSettings(m_table);
    if (!values.ok()) {
        log_event(log_level::Error, "settings not reloaded")
            .with("cause", cause)
            .with("reason", std::string(values.status().message()));
        return;
    }
    m_onChange(*values);
    log_event(log_level::Info, "settings reloaded").with("cause", cause);
}

} // namespace tamarack
