// Handler of POST /v1/chat/completions and /v1/completions.
#pragma once

#include <tamarackglade/entry/caller_request.hpp>
#include <tamarackglade/entry/entry_context.hpp>

namespace tamarack {

/// @brief Checks a completion request and relays the upstream's answer.
class completions_api
{
public:
    explicit completions_api(entry_context &context) : m_context(context) { }

    /// @brief Answers the request with one response or a stream.
    void serve(const caller_request &request);

private:
    entry_context &m_context;
};

} // namespace tamarack
