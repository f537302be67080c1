// Interface to the message formats and names of the users' platform, implemented in platform/.
#pragma once

#include <tamarackglade/batches/customer_batch.hpp>
#include <tamarackglade/forward/forward_config.hpp>
#include <tamarackglade/gateway/batch/batch_call.hpp>
#include <tamarackglade/gateway/relay/forward_call.hpp>
#include <tamarackglade/gateway/upstream/response_metadata.hpp>
#include <tamarackglade/gateway/upstream/upstream_attempt.hpp>
#include <tamarackglade/http/http_client.hpp>
#include <tamarackglade/http/http_request.hpp>
#include <tamarackglade/http/http_response.hpp>
#include <tamarackglade/placement/live_upstream.hpp>
#include <tamarackglade/schema/batches_generated.h>
#include <tamarackglade/store/store_stream.hpp>

#include <absl/status/statusor.h>

#include <memory>
#include <optional>
#include <vector>

namespace tamarack {

/// @brief Converts between the platform's messages and the gateway's types. Makes no decisions.
class platform_protocol
{
public:
    platform_protocol() = default;
    platform_protocol(const platform_protocol &) = delete;
    platform_protocol &operator=(const platform_protocol &) = delete;
    virtual ~platform_protocol() = default;

    /// @return the partition in which operators publish the configuration
    [[nodiscard]] virtual stream_partition configStream() const = 0;
    /// @return the key of the configuration's record
    [[nodiscard]] virtual std::string configKey() const = 0;
    /// @return the zone that operators evacuate while their record with this key exists, or nullopt
    /// if the record is about something else
    [[nodiscard]] virtual std::optional<zone_id> evacuatedZone(const std::string &key) const = 0;
    /// @return the partition in which upstreams write their records, keyed by their id
    [[nodiscard]] virtual stream_partition upstreamStream() const = 0;

    /// @return the configuration, or InvalidArgument
    [[nodiscard]] virtual absl::StatusOr<std::shared_ptr<const forward_config>>
    decodeConfig(const std::string &text) const = 0;
    /// @return the upstream, or InvalidArgument if the record is not a valid upstream
    [[nodiscard]] virtual absl::StatusOr<live_upstream>
    decodeUpstream(const std::string &id, const std::string &text) const = 0;

    /// @return whether the path is that of the load balancer's readiness check
    [[nodiscard]] virtual bool isReadinessPath(std::string_view path) const = 0;
    /// @return the call, including a copy of the request's body
    [[nodiscard]] virtual forward_call decodeCall(const http_request &request) const = 0;
    /// @return the request about an existing job, or nullopt if it is another request
    [[nodiscard]] virtual std::optional<batch_call>
    decodeBatchCall(const http_request &request) const = 0;
    /// @return the job's items, or InvalidArgument
    [[nodiscard]] virtual absl::StatusOr<std::vector<schema::batch_item_message>>
    decodeBatchItems(const std::string &body) const = 0;
    /// @brief Encodes the results at the positions from, from + 1 and so on.
    /// @param outputs texts of the results, one for each result to encode
    [[nodiscard]] virtual std::string
    encodeResults(const customer_batch &job, std::size_t from,
                  const std::vector<std::string> &outputs) const = 0;

    /// @return the request for an upstream
    [[nodiscard]] virtual http_client_request encodeCall(const forward_call &call,
                                                         const upstream_attempt &attempt) const = 0;
    /// @param host Host header of the job's request
    /// @return the request of a batch item for an upstream
    [[nodiscard]] virtual http_client_request encodeItem(const std::string &host,
                                                         const schema::batch_item_message &item,
                                                         const upstream_attempt &attempt) const = 0;
    /// @return the parts of the item's prompt that other requests may share, in order
    [[nodiscard]] virtual std::vector<prompt_part_id>
    sharedPartsOf(const schema::batch_item_message &item) const = 0;
    /// @return the request for what an upstream states about itself; it needs no slot
    [[nodiscard]] virtual http_client_request encodeStateQuery() const = 0;
    /// @return the start that the answer to a state query names, or nullopt if it names none
    [[nodiscard]] virtual std::optional<incarnation_number>
    decodeStart(const http_response &answer) const = 0;
    /// @return the metadata in the headers of an upstream's response
    [[nodiscard]] virtual response_metadata decodeResponseHead(const http_response &head) const = 0;
};

} // namespace tamarack
