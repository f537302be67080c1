// A fake side process with its engine: runs attempts, crashes on poison items, and can lose, repeat
// or delay results.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/attempt_outcome.hpp>
#include <tamarackglade/jobs/owner_actions.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace tamarack::test {

class jobs_fake_side
{
public:
    static constexpr std::size_t Slots = 3;
    struct attempt_run
    {
        start_item start;
        std::string line;
        std::size_t entry = 0; // index of the entry that started it
        time_point endsAt;
    };
    using deliver =
        std::function<void(const attempt_run &, attempt_outcome, const std::string &data)>;

    upstream_id id;
    time_point downUntil{};
    time_point loseUntil{};
    time_point repeatUntil{};
    time_point delayUntil{};
    time_point failUntil{};
    std::vector<attempt_run> running;

    jobs_fake_side(std::string name, std::uint64_t seed) : id(std::move(name)), m_random(seed) { }

    [[nodiscard]] std::uint32_t credits(time_point now) const
    {
        const bool isFree = now >= downUntil && running.size() < Slots;
        return isFree ? static_cast<std::uint32_t>(Slots - running.size()) : 0;
    }

    void start(time_point now, attempt_run run)
    {
        auto time = std::chrono::milliseconds(200 + m_random() % 1500);
        if (now < delayUntil)
            time += std::chrono::seconds(9);
        run.endsAt = now + time;
        running.push_back(std::move(run));
    }

    void cancel(const attempt_id &attempt)
    {
        std::erase_if(running,
                      [&](const attempt_run &run) { return run.start.attempt == attempt; });
    }

    void crash(time_point now, const deliver &answer)
    {
        downUntil = now + std::chrono::seconds(2);
        const auto lost = std::move(running);
        running.clear();
        for (const auto &run : lost)
            answer(run, attempt_outcome::WorkerLost, {});
    }

    void advance(time_point now, const deliver &answer)
    {
        for (std::size_t index = 0; index < running.size();) {
            if (running[index].endsAt > now) {
                ++index;
                continue;
            }
            if (running[index].line.find("poison") != std::string::npos) {
                crash(now, answer);
                return;
            }
            const auto run = running[index];
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
            finish(now, run, answer);
        }
    }

private:
    void finish(time_point now, const attempt_run &run, const deliver &answer) const
    {
        if (now < loseUntil)
            return;
        auto outcome = attempt_outcome::Succeeded;
        if (run.line.find("rejected") != std::string::npos)
            outcome = attempt_outcome::Rejected;
        else if (now < failUntil)
            outcome = attempt_outcome::Transient;
        const auto data = "answer of " + run.start.attempt.value();
        answer(run, outcome, data);
        if (now < repeatUntil)
            answer(run, outcome, data + " again");
    }

    std::mt19937_64 m_random;
};

} // namespace tamarack::test
