// A caller's request as the handlers see it.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

namespace tamarack {

/// @brief A parsed HTTP request.
struct http_request
{
    std::string method; // upper case
    std::string target; // as sent, path and query
    std::string path; // without the query
    std::string query; // without the '?'
    boost::beast::http::fields headers;
    std::string body;
    std::string peer; // "ip:port"

    /// @return the header's value, or an empty view
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// @return the value of a query parameter, undecoded, or an empty string
    [[nodiscard]] std::string queryParameter(std::string_view name) const;
};

} // namespace tamarack
