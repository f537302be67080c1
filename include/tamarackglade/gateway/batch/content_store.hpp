// Request bodies and outputs of batch items, stored in the store and read on demand.
#pragma once

#include <tamarackglade/batches/content_packing.hpp>
#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/store/record_store.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Appends contents, which must be stored before the records that refer to them, and reads
/// them back. Caches the most recently used ones. All calls on the gateway's thread.
class content_store
{
public:
    /// @param partitions number of partitions of the contents' stream; a customer's contents are in
    /// one
    content_store(record_store &store, std::uint32_t partitions)
        : m_store(store), m_partitions(partitions)
    {
    }

    /// @brief Stores contents. Repeats until the store confirms them or the deadline passes.
    /// @return their places in the same order, or nullopt if some may not be stored
    std::optional<std::vector<content_place>> append(const customer_id &customer,
                                                     const std::vector<std::string> &contents,
                                                     time_point deadline);

    /// @return the content, or nullopt if it could not be read
    std::optional<std::string> read(const content_place &place);

    /// @brief Reads several contents, some of them concurrently.
    /// @return the contents, or nullopt if any could not be read
    std::optional<std::vector<std::string>> readAll(const std::vector<content_place> &places);

private:
    struct cached_content
    {
        content_place place;
        std::string bytes;
    };
    using cached_list = std::list<cached_content>;

    /// @return the content in the cache, which counts as used now; null if it isn't there
    const std::string *findCached(const content_place &place);
    void addToCache(const content_place &place, const std::string &bytes);

    record_store &m_store;
    const std::uint32_t m_partitions;
    cached_list m_cached; // most recently used first; none is empty
    std::map<content_place, cached_list::iterator> m_cachedByPlace; // of all in m_cached
    std::size_t m_cachedBytes = 0; // of all in m_cached
    std::size_t m_readers = 0; // fibers that read beside those of the calls
};

} // namespace tamarack
