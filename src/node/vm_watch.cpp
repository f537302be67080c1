// Links follow the list: new addresses are connected to, vanished ones closed.
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/node/vm_watch.hpp>

#include <absl/strings/str_cat.h>
#include <boost/fiber/operations.hpp>
#include <nlohmann/json.hpp>

#include <set>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds PollPeriod{500};

absl::StatusOr<std::vector<vm_record>> parseList(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_array())
        return absl::InvalidArgumentError("the VM list is not a JSON array");
    std::vector<vm_record> list;
    for (const auto &entry : json) {
        if (!entry.is_object())
            continue;
        vm_record record;
        record.vm = vm_id(entry.value("vm", ""));
        record.role = entry.value("role", "");
        record.group = group_id(entry.value("group", ""));
        record.address = entry.value("address", "");
        record.leaving = entry.value("state", "") == "leaving";
        record.generation = incarnation(entry.value("incarnation", std::uint64_t{0}));
        list.push_back(std::move(record));
    }
    return list;
}

} // namespace

vm_watch::vm_watch(io_thread &thread, platform_client &platform, const wire_settings &settings,
                   wire_handler &handler, list_listener listener)
    : m_thread(thread), m_platform(platform), m_settings(settings), m_handler(handler),
      m_listener(std::move(listener))
{
}

void vm_watch::start()
{
    m_thread.spawn([this] { pollLoop(); });
}

void vm_watch::pollLoop()
{
    for (;;) {
        const auto text = m_platform.vmListText();
        const auto list = text.ok() ? parseList(*text) : text.status();
        if (list.ok())
            apply(*list);
        else
            log_event(log_level::Warning, "VM list not read")
                .with("reason", std::string(list.status().message()));
        boost::this_fiber::sleep_for(PollPeriod);
    }
}

void vm_watch::apply(const std::vector<vm_record> &list)
{
    std::set<std::string> wanted;
    for (const vm_record &record : list) {
        if (record.vm != m_settings.self.vm)
            wanted.insert(record.address);
    }
    std::erase_if(m_links, [&](const auto &link) { return !wanted.contains(link.first); });
    for (const std::string &address : wanted) {
        if (!m_links.contains(address))
            m_links[address] =
                std::make_unique<wire_link>(m_thread, m_settings, m_handler, address);
    }
    m_listener(list);
}

} // namespace tamarack
