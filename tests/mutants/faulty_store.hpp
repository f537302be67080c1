// The platform's store with a planted fault.
#pragma once

#include "gateway_mutation.hpp"
#include <platform/platform_store.hpp>

namespace tamarack {

/// @brief Calls the real store, but for the mutation.
class faulty_store final : public platform::platform_store
{
public:
    faulty_store(io_thread &thread, std::string address, gateway_mutation mutation)
        : platform_store(thread, std::move(address)), m_mutation(mutation)
    {
    }

    append_reply append(const stream_partition &partition, const std::vector<std::string> &records,
                        std::optional<stream_position> expectedEnd) override;
    read_reply read(const stream_partition &partition, stream_position from,
                    std::chrono::milliseconds wait) override;

private:
    const gateway_mutation m_mutation;
};

} // namespace tamarack
