// Polls the VM list, opens links to new VMs and closes links to VMs that left the list.
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/membership/select_sides.hpp>
#include <tamarackglade/node/vm_watch.hpp>
#include <tamarackglade/runtime/steady_now.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <boost/fiber/operations.hpp>

#include <set>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds PollInterval{500};

} // namespace

vm_watch::vm_watch(io_thread &thread, platform_client &platform, peer_directory &peers,
                   const wire_settings &settings, region_id region, wire_handler &handler,
                   list_listener listener)
    : m_thread(thread), m_platform(platform), m_peers(peers), m_settings(settings),
      m_region(std::move(region)), m_handler(handler), m_listener(std::move(listener))
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
    std::vector<listed_vm> found = m_view.acceptingWork(vm_role::Entry);
    for (listed_vm &entry : found)
        entry.incarnation = m_view.newestIncarnation(entry.vm);
    return found;
}

std::vector<listed_vm> vm_watch::workingSides()
{
    const std::lock_guard lock(m_mutex);
    return m_view.acceptingWork(vm_role::Side);
}

bool vm_watch::isLeaving(const vm_id &vm)
{
    const std::lock_guard lock(m_mutex);
    return m_view.isLeaving(vm);
}

std::vector<vm_id> vm_watch::processes()
{
    const std::lock_guard lock(m_mutex);
    return m_view.processes();
}

void vm_watch::pollLoop()
{
    for (;;) {
        const time_point requestedAt = steadyNow();
        const auto text = m_platform.vmListText();
        const absl::Status applied = text.ok() ? applyText(*text, requestedAt) : text.status();
        if (!applied.ok()) {
            log_event(log_level::Warning, "VM list not read")
                .with("reason", std::string(applied.message()));
            requestListFromPeer();
        }
        boost::this_fiber::sleep_for(PollInterval);
    }
}

void vm_watch::requestListFromPeer()
{
    const auto peers = m_peers.withRole(schema::vm_role::Entry);
    if (peers.empty())
        return;
    m_peerRequestedAt = steadyNow();
    schema::vm_list_request_message request;
    request.sequence = ++m_lastRequestSequence;
    peers[m_random() % peers.size()]->send(frameBody(request));
}

bool vm_watch::onFrame(const vm_id &from, const schema::frame_message &frame)
{
    if (const auto *request = frame.body.Asvm_list_request())
        sendAnswer(from, *request);
    else if (const auto *received = frame.body.Asvm_list_answer())
        onAnswer(*received);
    else
        return false;
    return true;
}

void vm_watch::sendAnswer(const vm_id &from, const schema::vm_list_request_message &request)
{
    if (m_listText.empty())
        return;
    schema::vm_list_answer_message answer;
    answer.sequence = request.sequence;
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(steadyNow() - m_listRequestedAt);
    answer.age_ms = static_cast<std::uint64_t>(age.count());
    answer.text = m_listText;
    m_peers.send(from, frameBody(answer));
}

// The peer computed the list's age after this request was sent, so the request's time minus the age
// is a lower bound of the time at which the list was requested from the platform.
void vm_watch::onAnswer(const schema::vm_list_answer_message &answer)
{
    if (answer.sequence != m_lastRequestSequence)
        return;
    const time_point requestedAt = m_peerRequestedAt - std::chrono::milliseconds(answer.age_ms);
    if (!m_listText.empty() && requestedAt <= m_listRequestedAt)
        return;
    const absl::Status applied = applyText(answer.text, requestedAt);
    if (!applied.ok())
        log_event(log_level::Warning, "VM list of a peer not read")
            .with("reason", std::string(applied.message()));
}

absl::Status vm_watch::applyText(const std::string &text, time_point requestedAt)
{
    const auto list = parseVmList(text);
    if (!list.ok())
        return list.status();
    m_listText = text;
    m_listRequestedAt = requestedAt;
    apply(*list);
    return absl::OkStatus();
}

void vm_watch::apply(const vm_list &list)
{
    std::vector<listed_vm> targets;
    {
        const std::lock_guard lock(m_mutex);
        m_view.onList(list);
        targets = selectLinkTargets(list);
    }
    std::set<std::string> addresses;
    for (const listed_vm &vm : targets)
        addresses.insert(vm.address);
    std::erase_if(m_links, [&](const auto &link) { return !addresses.contains(link.first); });
    for (const std::string &address : addresses) {
        if (!m_links.contains(address))
            m_links[address] =
                std::make_unique<wire_link>(m_thread, m_settings, m_handler, address);
    }
    m_listener(list, m_listRequestedAt);
}

// Entries connect to a subset of the sides of their region and to all other entries; sides open no
// links. The link to a leaving side stays open until the side is removed from the list, so that its
// streams can complete.
std::vector<listed_vm> vm_watch::selectLinkTargets(const vm_list &list)
{
    std::vector<listed_vm> sides;
    for (const listed_vm &vm : m_view.acceptingWork(vm_role::Side)) {
        if (vm.region == m_region)
            sides.push_back(vm);
    }
    std::vector<listed_vm> targets =
        selectSides(m_settings.self.vm, m_settings.self.zone, sides, subset_options{});
    for (const listed_vm &vm : list) {
        const bool isPeer = vm.role == vm_role::Entry && vm.vm != m_settings.self.vm;
        const bool isLinked =
            vm.role == vm_role::Side && m_links.contains(vm.address) && !m_view.acceptsWork(vm.vm);
        if (isPeer || isLinked)
            targets.push_back(vm);
    }
    return targets;
}

} // namespace tamarack
