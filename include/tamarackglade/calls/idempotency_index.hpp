// Folds the streams "calls-<partition>": which call holds each Idempotency-Key.
#pragma once

#include <tamarackglade/calls/keyed_call_state.hpp>
#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/log_generated.h>

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace tamarack {

/// @brief The first call_started of a key in offset order holds it; all processes agree on it.
/// Records are applied in offset order, each offset once. All operations cost O(log keys).
class idempotency_index
{
public:
    void apply(const schema::call_started_message &record, log_offset offset);
    void apply(const schema::call_finished_message &record, log_offset offset);

    /// @brief Forgets what was started before an offset that the log no longer keeps; linear.
    void trim(log_offset firstKept);

    /// @return the state of a customer's key, or null if it is free
    [[nodiscard]] const keyed_call_state *find(const customer_id &customer,
                                               const std::string &key) const;

    [[nodiscard]] std::size_t size() const { return m_keys.size(); }

private:
    using customer_key = std::pair<std::string, std::string>;

    std::map<customer_key, keyed_call_state> m_keys;
    // Calls that were released before their call_started came, with the release's offset.
    std::unordered_map<std::string, log_offset> m_released;
};

} // namespace tamarack
