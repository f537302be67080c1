// Reads the settings again when their file changes or SIGHUP arrives.
#pragma once

#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/settings/setting_values.hpp>

#include <functional>
#include <string>

namespace tamarack {

/// @brief Tells a process of changed settings. Faulty settings change nothing and are logged.
class settings_watch
{
public:
    /// Puts in force what may change while the process runs.
    using change_listener = std::function<void(const setting_values &values)>;

    /// @param thread on which the listener is called
    settings_watch(io_thread &thread, const option_table &table, change_listener onChange);

    /// @brief Starts to watch in fibers of the thread.
    void start();

private:
    void signalLoop();
    void fileLoop();
    void reload(const char *cause);

    io_thread &m_thread;
    const option_table &m_table;
    const change_listener m_onChange;
    std::string m_text; // of the file when it was read last
};

} // namespace tamarack
