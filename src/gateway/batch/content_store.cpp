// Appends and reads of batch contents, with a cache of the most recently used ones.
#include <tamarackglade/core/partition.hpp>
#include <tamarackglade/gateway/batch/append_until.hpp>
#include <tamarackglade/gateway/batch/content_store.hpp>
#include <tamarackglade/logging/log_event.hpp>

#include <boost/fiber/fiber.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::size_t MaxCachedBytes = 4 * 1024 * 1024;
constexpr std::size_t MaxReadersOfCall = 8; // that read the contents of one call at the same time
// Fibers beside those of the calls, in all calls together. Each has a stack.
constexpr std::size_t MaxReaders = 32;

const stream_name ContentStream("batch-contents");

} // namespace

std::optional<std::vector<content_place>>
content_store::append(const customer_id &customer, const std::vector<std::string> &contents,
                      time_point deadline)
{
    const auto appends = packContents(contents, store_limits());
    if (!appends)
        return std::nullopt;
    const stream_partition partition{ContentStream, partitionOf(customer, m_partitions).value()};
    std::vector<content_place> places;
    for (const content_append &each : *appends) {
        // Content that is stored twice after a lost response is harmless: only one of its places
        // is referred to.
        const append_reply stored = each.records.empty()
                                        ? append_reply{append_result::Appended, {}, {}}
                                        : appendUntil(m_store, partition, each.records, deadline);
        if (stored.result != append_result::Appended)
            return std::nullopt;
        for (content_place place : each.places) {
            place.partition = partition.partition;
            place.position = stream_position(stored.position.value() + place.position.value());
            addToCache(place, contents[places.size()]);
            places.push_back(place);
        }
    }
    return places;
}

std::optional<std::string> content_store::read(const content_place &place)
{
    if (place.isEmpty())
        return std::string();
    if (const std::string *known = findCached(place))
        return *known;
    std::vector<std::string> records;
    while (records.size() < place.records) {
        const stream_position from(place.position.value() + records.size());
        const read_reply reply =
            m_store.readRange({ContentStream, place.partition}, from, place.size);
        if (reply.result != read_result::Read || reply.records.empty())
            return std::nullopt;
        records.insert(records.end(), reply.records.begin(), reply.records.end());
    }
    auto content = joinContent(place, records);
    if (content)
        addToCache(place, *content);
    else
        log_event(log_level::Error, "content of a batch item is malformed")
            .with("partition", place.partition)
            .with("position", place.position.value());
    return content;
}

std::optional<std::vector<std::string>>
content_store::readAll(const std::vector<content_place> &places)
{
    std::vector<std::string> contents(places.size());
    std::vector<std::size_t> missing;
    for (std::size_t i = 0; i < places.size(); ++i) {
        if (places[i].isEmpty())
            continue;
        if (const std::string *known = findCached(places[i]))
            contents[i] = *known;
        else
            missing.push_back(i);
    }
    bool all = true;
    std::size_t next = 0;
    const auto readNext = [&] {
        while (next < missing.size()) {
            const std::size_t i = missing[next++];
            auto content = read(places[i]);
            all = all && content.has_value();
            if (content)
                contents[i] = std::move(*content);
        }
    };
    std::vector<boost::fibers::fiber> readers;
    while (readers.size() + 1 < std::min(MaxReadersOfCall, missing.size())
           && m_readers < MaxReaders) {
        ++m_readers;
        readers.emplace_back(readNext);
    }
    readNext();
    for (boost::fibers::fiber &reader : readers)
        reader.join();
    m_readers -= readers.size();
    if (!all)
        return std::nullopt;
    return contents;
}

const std::string *content_store::findCached(const content_place &place)
{
    const auto known = m_cachedByPlace.find(place);
    if (known == m_cachedByPlace.end())
        return nullptr;
    m_cached.splice(m_cached.begin(), m_cached, known->second);
    return &known->second->bytes;
}

void content_store::addToCache(const content_place &place, const std::string &bytes)
{
    if (place.isEmpty() || m_cachedByPlace.contains(place))
        return;
    m_cached.push_front({place, bytes});
    m_cachedByPlace.emplace(place, m_cached.begin());
    m_cachedBytes += bytes.size();
    while (m_cachedBytes > MaxCachedBytes) {
        const cached_content &oldest = m_cached.back();
        m_cachedBytes -= oldest.bytes.size();
        m_cachedByPlace.erase(oldest.place);
        m_cached.pop_back();
    }
}

} // namespace tamarack
