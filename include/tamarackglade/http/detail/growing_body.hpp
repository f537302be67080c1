// A message body whose memory grows with the bytes that have come.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <string>

namespace tamarack::detail {

/// @brief A Beast body for requests that are read. Beast's string_body allocates the announced
/// length at once, whether the bytes come or not.
struct growing_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*header*/, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> & /*length*/,
                  boost::system::error_code &error)
        {
            error = {};
        }

        template <class ConstBuffers>
        std::size_t put(const ConstBuffers &buffers, boost::system::error_code &error)
        {
            std::size_t size = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            error = {};
            return size;
        }

        void finish(boost::system::error_code &error) { error = {}; }

    private:
        value_type &m_body;
    };
};

} // namespace tamarack::detail
