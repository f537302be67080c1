// A store that does nothing, as the base of stores that tests play.
#pragma once

#include <tamarackglade/store/record_store.hpp>

namespace tamarack::test {

/// @brief Answers each call with a reply without a result. Tests override the calls that they need.
class null_store : public record_store
{
public:
    append_reply append(const stream_partition & /*partition*/,
                        const std::vector<std::string> & /*records*/,
                        std::optional<stream_position> /*expectedEnd*/) override
    {
        return {};
    }
    read_reply read(const stream_partition & /*partition*/, stream_position /*from*/,
                    std::chrono::milliseconds /*wait*/) override
    {
        return {};
    }
    read_reply readRange(const stream_partition & /*partition*/, stream_position /*from*/,
                         std::uint64_t /*bytes*/) override
    {
        return {};
    }
    newest_reply newest(const stream_partition & /*partition*/) override { return {}; }
    [[nodiscard]] std::string encodeKeyed(const keyed_record & /*record*/) const override
    {
        return {};
    }
    [[nodiscard]] std::optional<keyed_record>
    decodeKeyed(const std::string & /*content*/) const override
    {
        return std::nullopt;
    }
};

} // namespace tamarack::test
