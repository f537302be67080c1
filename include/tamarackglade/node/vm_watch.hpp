// Polls the platform's VM list and keeps wire links to the VMs in it.
#pragma once

#include <tamarackglade/node/vm_record.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/wire/wire_link.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Runs on one thread; all references must outlive it.
class vm_watch
{
public:
    using list_listener = std::function<void(const std::vector<vm_record> &)>;

    vm_watch(io_thread &thread, platform_client &platform, const wire_settings &settings,
             wire_handler &handler, list_listener listener);

    /// @brief Begins to poll.
    void start();

private:
    void pollLoop();
    void apply(const std::vector<vm_record> &list);

    io_thread &m_thread;
    platform_client &m_platform;
    const wire_settings &m_settings;
    wire_handler &m_handler;
    list_listener m_listener;
    std::map<std::string, std::unique_ptr<wire_link>> m_links; // by address
};

} // namespace tamarack
