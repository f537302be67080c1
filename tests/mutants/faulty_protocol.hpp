// The platform's protocol with a planted fault.
#pragma once

#include "gateway_mutation.hpp"
#include <platform/http_protocol.hpp>

namespace tamarack {

/// @brief Translates as the real one does, but for the mutation.
class faulty_protocol final : public platform::http_protocol
{
public:
    explicit faulty_protocol(gateway_mutation mutation) : m_mutation(mutation) { }

    [[nodiscard]] absl::StatusOr<live_upstream>
    decodeUpstream(const std::string &id, const std::string &text) const override;
    [[nodiscard]] std::string encodeResults(const customer_batch &job, std::size_t from,
                                            const std::vector<std::string> &outputs) const override;
    [[nodiscard]] std::optional<zone_id> evacuatedZone(const std::string &key) const override;
    [[nodiscard]] http_client_request encodeCall(const forward_call &call,
                                                 const upstream_attempt &attempt) const override;
    [[nodiscard]] response_metadata decodeResponseHead(const http_response &head) const override;

private:
    const gateway_mutation m_mutation;
};

} // namespace tamarack
