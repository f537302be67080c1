// Links follow the view: new VMs are connected to, links to vanished ones are closed.
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/membership/select_sides.hpp>
#include <tamarackglade/node/vm_watch.hpp>

#include <boost/fiber/operations.hpp>

#include <set>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds PollPeriod{500};

} // namespace

vm_watch::vm_watch(io_thread &thread, platform_client &platform, const wire_settings &settings,
                   region_id region, wire_handler &handler, list_listener listener)
    : m_thread(thread), m_platform(platform), m_settings(settings), m_region(std::move(region)),
      m_handler(handler), m_listener(std::move(listener))
{
}

void vm_watch::start()
{
    m_thread.spawn([this] { pollLoop(); });
}

bool vm_watch::onHello(const peer_identity &peer)
{
    const std::lock_guard lock(m_mutex);
    return m_view.onHello(peer.vm, peer.incarnation);
}

void vm_watch::onLeaving(const peer_identity &peer)
{
    const std::lock_guard lock(m_mutex);
    m_view.onLeaving(peer.vm, peer.incarnation);
}

void vm_watch::onConfig(const config_state &state)
{
    const std::lock_guard lock(m_mutex);
    m_view.onDrained(state.drained);
}

std::vector<listed_vm> vm_watch::entries()
{
    const std::lock_guard lock(m_mutex);
    std::vector<listed_vm> found = m_view.takingWork(vm_role::Entry);
    for (listed_vm &entry : found)
        entry.process = m_view.newest(entry.vm);
    return found;
}

std::vector<listed_vm> vm_watch::workingSides()
{
    const std::lock_guard lock(m_mutex);
    return m_view.takingWork(vm_role::Side);
}

std::vector<vm_id> vm_watch::processes()
{
    const std::lock_guard lock(m_mutex);
    return m_view.processes();
}

void vm_watch::pollLoop()
{
    for (;;) {
        const auto text = m_platform.vmListText();
        const auto list = text.ok() ? parseVmList(*text) : text.status();
        if (list.ok())
            apply(*list);
        else
            log_event(log_level::Warning, "VM list not read")
                .with("reason", std::string(list.status().message()));
        boost::this_fiber::sleep_for(PollPeriod);
    }
}

void vm_watch::apply(const vm_list &list)
{
    std::vector<listed_vm> wanted;
    {
        const std::lock_guard lock(m_mutex);
        m_view.onList(list);
        wanted = wantedLinks(list);
    }
    std::set<std::string> addresses;
    for (const listed_vm &vm : wanted)
        addresses.insert(vm.address);
    std::erase_if(m_links, [&](const auto &link) { return !addresses.contains(link.first); });
    for (const std::string &address : addresses) {
        if (!m_links.contains(address))
            m_links[address] =
                std::make_unique<wire_link>(m_thread, m_settings, m_handler, address);
    }
    m_listener(list);
}

// Entries connect to a choice of sides of their region and to all entries; sides to none.
// A leaving side keeps its link until it is off the list, so that its streams end whole.
std::vector<listed_vm> vm_watch::wantedLinks(const vm_list &list)
{
    std::vector<listed_vm> sides;
    for (const listed_vm &vm : m_view.takingWork(vm_role::Side)) {
        if (vm.region == m_region)
            sides.push_back(vm);
    }
    std::vector<listed_vm> wanted =
        selectSides(m_settings.self.vm, m_settings.self.zone, sides, subset_options{});
    for (const listed_vm &vm : list) {
        const bool isPeer = vm.role == vm_role::Entry && vm.vm != m_settings.self.vm;
        const bool isLinked =
            vm.role == vm_role::Side && m_links.contains(vm.address) && !m_view.takesWork(vm.vm);
        if (isPeer || isLinked)
            wanted.push_back(vm);
    }
    return wanted;
}

} // namespace tamarack
