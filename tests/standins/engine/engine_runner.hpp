// Runs the engine model by the real clock and wakes the fibers that wait for tokens.
#pragma once

#include <tamarackglade/load/engine_model.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <unordered_map>

namespace tamarack::standins {

/// @brief The tokens of one sequence so far.
struct sequence_progress
{
    sequence_id id;
    std::uint32_t endOfReady = 0; // one past the last token made
    bool done = false;
    boost::fibers::condition_variable changed;
};

/// @brief Owns the model. Used on one thread, by many fibers.
class engine_runner
{
public:
    engine_runner(io_thread &thread, const engine_profile &profile);

    /// @brief Submits a sequence of the tokens firstToken .. endToken - 1.
    std::shared_ptr<sequence_progress> submit(const std::string &prompt, std::uint32_t firstToken,
                                              std::uint32_t endToken);

    /// @brief Waits until there are tokens beyond seen, the sequence is done or time is over.
    void waitForTokens(sequence_progress &progress, std::uint32_t seen,
                       std::chrono::milliseconds time);

    /// @brief Ends a sequence that nobody waits for any more.
    void cancel(const sequence_progress &progress);

    /// @brief Stops all progress for a time.
    void pauseFor(std::chrono::milliseconds time);

    /// @brief Stops or resumes all progress.
    void setHanging(bool hanging);
    [[nodiscard]] bool hanging() const { return m_hangingSince.has_value(); }

    engine_model &model() { return m_model; }

private:
    void loop();
    void advance();

    engine_model m_model;
    std::optional<time_point> m_hangingSince;
    boost::fibers::mutex m_mutex; // for the condition variables only
    boost::fibers::condition_variable m_wake; // the loop has a new deadline
    std::unordered_map<sequence_id, std::shared_ptr<sequence_progress>> m_running;
};

} // namespace tamarack::standins
