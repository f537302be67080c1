// Tests of the splitting of event streams and of their order over several upstreams.
#include <tamarackglade/events/event_splitter.hpp>
#include <tamarackglade/events/stream_progress.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace tamarack;

namespace {

std::vector<std::string> eventsOf(event_splitter &splitter, std::string_view bytes)
{
    splitter.feed(bytes);
    std::vector<std::string> events;
    while (const auto event = splitter.next())
        events.emplace_back(event->text);
    return events;
}

stream_event eventWithId(std::uint64_t id)
{
    return {"", id};
}

} // namespace

TEST_CASE("only complete events are returned")
{
    event_splitter splitter;
    CHECK(eventsOf(splitter, "id: 1\ndata: a\n").empty());
    CHECK(splitter.hasPartial());
    CHECK(eventsOf(splitter, "\nid: 2\nda") == std::vector<std::string>{"id: 1\ndata: a\n\n"});
    CHECK(eventsOf(splitter, "ta: b\n\n") == std::vector<std::string>{"id: 2\ndata: b\n\n"});
    CHECK_FALSE(splitter.hasPartial());
}

TEST_CASE("ids and data of events are parsed")
{
    event_splitter splitter;
    splitter.feed("weights-versions: 3\nid: 17\r\ndata: a\r\ndata:b\n\n");
    const auto event = splitter.next();
    REQUIRE(event);
    CHECK(event->id == 17);
    CHECK(eventData(event->text) == "a\nb");
    splitter.feed("id: x1\ndata\n\ndata: only\n\n");
    CHECK_FALSE(splitter.next()->id);
    CHECK_FALSE(splitter.next()->id);
}

TEST_CASE("the events are the same for any split of the bytes")
{
    const bool held = rc::check("the events are the same for any split of the bytes", [] {
        const std::string text = "id: 0\ndata: a b\n\nid: 1\r\ndata: c\r\n\r\n\nid: 2\ndata: d\n\n";
        event_splitter whole;
        const auto expected = eventsOf(whole, text);
        event_splitter cut;
        std::vector<std::string> events;
        std::size_t at = 0;
        while (at < text.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 9);
            for (auto &event : eventsOf(cut, std::string_view(text).substr(at, size)))
                events.push_back(std::move(event));
            at += size;
        }
        RC_ASSERT(events == expected);
    });
    CHECK(held);
}

TEST_CASE("each event passes once and in order")
{
    stream_progress progress;
    CHECK(progress.advance(eventWithId(1)) == event_check::Pass);
    CHECK(progress.advance(eventWithId(2)) == event_check::Pass);
    CHECK(progress.advance(eventWithId(2)) == event_check::Duplicate);
    CHECK(progress.advance(eventWithId(4)) == event_check::Gap);
    CHECK(progress.advance(eventWithId(3)) == event_check::Pass);
    CHECK(progress.last() == 3);
}

TEST_CASE("a resumed stream continues after the given event")
{
    stream_progress progress(12);
    CHECK(progress.advance(eventWithId(14)) == event_check::Gap);
    CHECK(progress.advance(eventWithId(12)) == event_check::Duplicate);
    CHECK(progress.advance(eventWithId(13)) == event_check::Pass);
}
