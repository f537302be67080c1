// Collects a whole or streamed response in memory.
#include <tamarackglade/entry/buffered_exchange.hpp>

namespace tamarack {

void buffered_exchange::respond(const http_response &response)
{
    if (m_started)
        return;
    m_started = true;
    m_response = response;
}

void buffered_exchange::beginStream(const http_response &head)
{
    if (m_started)
        return;
    m_started = true;
    m_response = head;
    m_response.body.clear();
}

bool buffered_exchange::writeChunk(std::string_view data)
{
    m_response.body += data;
    return true;
}

} // namespace tamarack
