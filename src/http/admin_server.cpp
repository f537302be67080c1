// Routing of the operators' pages.
#include <tamarackglade/http/admin_server.hpp>

#include <utility>

namespace tamarack {

namespace {

http_response plainText(unsigned status, std::string text)
{
    http_response response;
    response.status = status;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::move(text);
    return response;
}

http_server_options optionsWith(std::shared_ptr<connection_budget> budget)
{
    http_server_options options;
    options.budget = std::move(budget);
    return options;
}

} // namespace

admin_server::admin_server(io_thread &thread, metric_registry &registry,
                           std::shared_ptr<connection_budget> budget)
    : m_registry(registry), m_server(thread, optionsWith(std::move(budget)),
                                     [this](http_exchange &exchange) { answer(exchange); })
{
}

void admin_server::addPage(const std::string &path, page answer)
{
    m_pages[path] = std::move(answer);
}

absl::StatusOr<std::uint16_t> admin_server::listen(const std::string &address)
{
    return m_server.listen(address);
}

void admin_server::setReady(bool ready, const std::string &reason)
{
    const std::lock_guard lock(m_mutex);
    m_ready = ready;
    m_reason = reason;
}

void admin_server::answer(http_exchange &exchange)
{
    const std::string &path = exchange.request().path;
    if (path == "/healthz") {
        exchange.respond(plainText(200, "ok\n"));
    } else if (path == "/readyz") {
        exchange.respond(readiness());
    } else if (path == "/metrics") {
        exchange.respond(plainText(200, m_registry.prometheusText()));
    } else {
        const auto found = m_pages.find(path);
        if (found == m_pages.end())
            exchange.respond(plainText(404, "no such page\n"));
        else
            exchange.respond(found->second(exchange.request()));
    }
}

http_response admin_server::readiness()
{
    const std::lock_guard lock(m_mutex);
    if (m_ready)
        return plainText(200, "ready\n");
    return plainText(503, "not ready: " + m_reason + "\n");
}

} // namespace tamarack
