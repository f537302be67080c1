// Tests of the writer of log lines.
#include <tamarackglade/logging/line_writer.hpp>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <string>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

struct pipe_pair
{
    pipe_pair()
    {
        int ends[2] = {-1, -1};
        REQUIRE(::pipe(ends) == 0);
        reader = ends[0];
        writer = ends[1];
    }
    ~pipe_pair()
    {
        closeReader();
        ::close(writer);
    }
    void closeReader()
    {
        if (reader >= 0)
            ::close(reader);
        reader = -1;
    }
    std::string readAvailable() const
    {
        ::fcntl(reader, F_SETFL, O_NONBLOCK);
        std::string text;
        char bytes[65536];
        for (ssize_t size = 0; (size = ::read(reader, bytes, sizeof bytes)) > 0;)
            text.append(bytes, static_cast<std::size_t>(size));
        return text;
    }
    int reader = -1;
    int writer = -1;
};

} // namespace

TEST_CASE("logging: lines arrive in order")
{
    const pipe_pair pipe;
    line_writer writer(pipe.writer, 1024);
    writer.write("one");
    writer.write("two");
    CHECK(writer.flush(20s));
    CHECK(pipe.readAvailable() == "one\ntwo\n");
}

TEST_CASE("logging: a reader that takes nothing holds nobody up, and the loss is told")
{
    const pipe_pair pipe;
    constexpr std::size_t Capacity = 64 * 1024;
    line_writer writer(pipe.writer, Capacity);
    const std::string line(1'000, 'x');
    // More than the pipe and the buffer hold; a write that blocked would never return.
    for (int i = 0; i < 1'000; ++i)
        writer.write(line);
    CHECK(writer.dropped() > 0);
    CHECK_FALSE(writer.flush(1ms));
    std::string text = pipe.readAvailable();
    while (!writer.flush(10ms))
        text += pipe.readAvailable();
    text += pipe.readAvailable();
    writer.write("after");
    CHECK(writer.flush(20s));
    text += pipe.readAvailable();
    CHECK(text.find("log lines dropped") != std::string::npos);
    CHECK(text.size() < 1'000 * line.size());
    CHECK(text.substr(text.size() - 6) == "after\n");
}

TEST_CASE("logging: a blocked output doesn't hold up the end of the process")
{
    const pipe_pair pipe;
    {
        line_writer writer(pipe.writer, 256 * 1024);
        for (int i = 0; i < 200; ++i)
            writer.write(std::string(1'000, 'x'));
    }
    CHECK(true); // the writer's destructor has returned
}

TEST_CASE("logging: a reader that has gone doesn't end the process, and the lines count as lost")
{
    pipe_pair pipe;
    line_writer writer(pipe.writer, 1024);
    writer.write("read");
    CHECK(writer.flush(20s));
    CHECK(pipe.readAvailable() == "read\n");
    pipe.closeReader();
    writer.write("one");
    writer.write("two");
    CHECK(writer.flush(20s));
    CHECK(writer.dropped() == 2);
}
