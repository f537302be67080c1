// Reference to a record in a partition's stream, packed into eight bytes.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>

namespace tamarack {

/// @brief The offset of a batch, the index of a record in it and one flag (an item's outcome).
/// The default value refers to nothing.
class record_reference
{
public:
    static constexpr unsigned IndexBits = 19;
    static constexpr std::uint32_t MaxIndex = (1U << IndexBits) - 1;

    record_reference() = default;
    record_reference(log_offset offset, std::uint32_t index, bool flag = false)
        : m_packed((offset.value() << (IndexBits + 1)) | (std::uint64_t{index} << 1)
                   | (flag ? 1U : 0U))
    {
    }

    /// @return the reference whose packed() equals value
    static record_reference fromPacked(std::uint64_t value)
    {
        record_reference result;
        result.m_packed = value;
        return result;
    }

    [[nodiscard]] bool isSet() const { return m_packed != 0; }
    [[nodiscard]] log_offset offset() const { return log_offset(m_packed >> (IndexBits + 1)); }
    [[nodiscard]] std::uint32_t index() const
    {
        return static_cast<std::uint32_t>(m_packed >> 1) & MaxIndex;
    }
    [[nodiscard]] bool flag() const { return (m_packed & 1U) != 0; }
    [[nodiscard]] std::uint64_t packed() const { return m_packed; }

    friend bool operator==(const record_reference &, const record_reference &) = default;

private:
    // Invariant: 44 bits of offset (never 0 when set), then IndexBits of index, then the flag.
    std::uint64_t m_packed = 0;
};

} // namespace tamarack
