// Writes lines to a file descriptor without ever holding up the threads that log.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace tamarack {

/// @brief A bounded buffer that a thread of its own writes out. Lines that don't fit are dropped
/// and counted; a line with their number follows when there is room again. So are lines that
/// the descriptor doesn't accept, as that of a pipe whose reader has gone. Thread-safe.
class line_writer
{
public:
    /// @param descriptor stays open and is not owned
    /// @param capacity bytes that wait at most
    line_writer(int descriptor, std::size_t capacity);
    line_writer(const line_writer &) = delete;
    line_writer &operator=(const line_writer &) = delete;
    /// Ends the thread; what a blocked descriptor doesn't take within FlushTime is lost.
    ~line_writer();

    /// @brief Takes a line without its line feed. Never blocks on the descriptor.
    void write(std::string_view line);
    /// @brief Waits until all lines are written, for a bounded time.
    /// @return whether they are
    bool flush(std::chrono::milliseconds most);

    /// @return lines dropped so far
    [[nodiscard]] std::uint64_t dropped() const;

    static constexpr std::chrono::milliseconds FlushTime{300};

private:
    void writeLoop();
    /// @return the number of lines that the descriptor did not accept
    std::uint64_t writeOut(std::string_view text);

    const int m_descriptor;
    const std::size_t m_capacity;
    mutable std::mutex m_mutex; // guards the members below, but for m_thread
    std::condition_variable m_changed;
    std::string m_waiting;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_told = 0; // of m_dropped
    bool m_writing = false;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace tamarack
