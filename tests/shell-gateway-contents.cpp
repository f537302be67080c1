// Tests of contents that are read back from the store or from the cache.
#include "support/null_store.hpp"
#include <tamarackglade/gateway/batch/content_store.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <utility>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Partitions = 1;

/// Keeps the records of each partition of one stream; all calls succeed at once.
class memory_store final : public test::null_store
{
public:
    append_reply append(const stream_partition &partition, const std::vector<std::string> &appended,
                        std::optional<stream_position> /*expectedEnd*/) override
    {
        auto &records = m_records[partition.partition];
        const stream_position position(records.size());
        records.insert(records.end(), appended.begin(), appended.end());
        return {append_result::Appended, position, stream_position(records.size())};
    }
    read_reply read(const stream_partition &partition, stream_position from,
                    std::chrono::milliseconds /*wait*/) override
    {
        return readRange(partition, from, 0);
    }
    read_reply readRange(const stream_partition &partition, stream_position from,
                         std::uint64_t /*bytes*/) override
    {
        const auto &records = m_records[partition.partition];
        const auto first = records.begin() + static_cast<std::ptrdiff_t>(from.value());
        return {read_result::Read, stream_position(records.size()), stream_position(0),
                std::vector<std::string>(first, records.end())};
    }

private:
    std::map<std::uint32_t, std::vector<std::string>> m_records;
};

/// Contents of a writer, and of a reader whose cache is empty at first.
struct two_gateways
{
    std::vector<content_place> append(const std::vector<std::string> &contents)
    {
        return writer.append(customer_id("east"), contents, bootNow() + 1s).value();
    }

    memory_store store;
    content_store writer{store, Partitions};
    content_store reader{store, Partitions};
};

} // namespace

TEST_CASE("a result without text never shows the first content of a partition")
{
    io_thread thread;
    thread.run([&] {
        two_gateways gateways;
        const content_place body = gateways.append({"the body of another customer's item"}).front();
        const std::vector<content_place> results{content_place{}, body};
        const std::vector<std::string> expected{"", "the body of another customer's item"};
        CHECK(gateways.writer.readAll(results) == expected);
        CHECK(gateways.reader.readAll(results) == expected);
        CHECK(gateways.reader.readAll(results) == expected);
    });
}

TEST_CASE("an empty content never shows the content that was stored behind it")
{
    io_thread thread;
    thread.run([&] {
        two_gateways gateways;
        const std::vector<std::string> contents{"", "text"};
        const auto places = gateways.append(contents);
        CHECK(gateways.writer.readAll(places) == contents);
        CHECK(gateways.reader.readAll(places) == contents);
        CHECK(gateways.reader.readAll(places) == contents);
    });
}

TEST_CASE("contents are the same from the store and from any cache")
{
    io_thread thread;
    thread.run([&] {
        CHECK(rc::check([] {
            two_gateways gateways;
            std::vector<std::string> contents{""};
            std::vector<content_place> places{content_place{}};
            const auto jobs = *rc::gen::arbitrary<std::vector<std::vector<std::string>>>();
            for (const auto &job : jobs) {
                const auto added = gateways.append(job);
                places.insert(places.end(), added.begin(), added.end());
                contents.insert(contents.end(), job.begin(), job.end());
            }
            RC_ASSERT(gateways.reader.readAll(places) == contents);
            RC_ASSERT(gateways.reader.readAll(places) == contents);
            RC_ASSERT(gateways.writer.readAll(places) == contents);
            for (std::size_t i = 0; i < places.size(); ++i)
                RC_ASSERT(gateways.writer.read(places[i]) == contents[i]);
        }));
    });
}
