// Kinds of requests that a route serves.
#pragma once

namespace tamarack {

/// @brief Kind of a route's requests; determines whether a request may be repeated.
enum class route_kind {
    Repeatable, // idempotent: may run more than once
    Once, // each request runs at most once
    Stream, // server-sent events; each request runs at most once unless the route is resumable
    Batch // jobs of many items that run asynchronously
};

} // namespace tamarack
