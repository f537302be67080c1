// What each mutation changes of the messages.
#include "faulty_protocol.hpp"

#include <algorithm>

namespace tamarack {

absl::StatusOr<live_upstream> faulty_protocol::decodeUpstream(const std::string &id,
                                                              const std::string &text) const
{
    auto upstream = http_protocol::decodeUpstream(id, text);
    if (upstream.ok() && m_mutation == gateway_mutation::IgnoreLeaving)
        upstream->leaving = false;
    if (upstream.ok() && m_mutation == gateway_mutation::IgnoreWarmUps)
        upstream->warmUp = duration::zero();
    return upstream;
}

std::string faulty_protocol::encodeResults(const customer_batch &job, std::size_t from,
                                           const std::vector<std::string> &outputs) const
{
    std::vector<std::string> changed = outputs;
    if (m_mutation == gateway_mutation::AnyText)
        std::replace(changed.begin(), changed.end(), std::string(), job.items.front().id);
    return http_protocol::encodeResults(job, from, changed);
}

std::optional<zone_id> faulty_protocol::evacuatedZone(const std::string &key) const
{
    return m_mutation == gateway_mutation::IgnoreEvacuations ? std::nullopt
                                                             : http_protocol::evacuatedZone(key);
}

http_client_request faulty_protocol::encodeCall(const forward_call &call,
                                                const upstream_attempt &attempt) const
{
    upstream_attempt changed = attempt;
    if (m_mutation == gateway_mutation::KeepCustomerHeader)
        changed.customer.reset();
    http_client_request request = http_protocol::encodeCall(call, changed);
    if (m_mutation == gateway_mutation::ForwardKey && call.key)
        request.headers.emplace_back("Authorization", "Bearer " + *call.key);
    if (m_mutation == gateway_mutation::AnyInstance)
        std::erase_if(request.headers,
                      [](const auto &header) { return header.first == "Expect-Instance"; });
    return request;
}

response_metadata faulty_protocol::decodeResponseHead(const http_response &head) const
{
    response_metadata metadata = http_protocol::decodeResponseHead(head);
    if (m_mutation == gateway_mutation::ClaimNotRun && head.status >= 500)
        metadata.notRun = true;
    if (m_mutation == gateway_mutation::IgnoreLeavingHeader)
        metadata.leaving = false;
    if (m_mutation == gateway_mutation::AnyAnswer) {
        metadata.answeredRequest.reset();
        metadata.isSigned = true;
    }
    return metadata;
}

} // namespace tamarack
