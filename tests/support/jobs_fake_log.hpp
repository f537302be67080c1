// A fake of the platform's log in virtual time: one stream, with faults and limited retention.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/append_outcome.hpp>
#include <tamarackglade/schema/records.hpp>

#include <functional>
#include <random>
#include <vector>

namespace tamarack::test {

/// A log stream whose appends take time and may fail or lose their replies.
class jobs_fake_log
{
public:
    using reply = std::function<void(append_outcome)>;
    struct record
    {
        schema::log_batch_message batch;
        time_point writtenAt;
    };

    time_point downUntil{};
    time_point slowUntil{};
    time_point answersLostUntil{};
    duration retention = std::chrono::seconds(150);
    std::function<void(log_offset, const record &)> onWritten;

    explicit jobs_fake_log(std::uint64_t seed) : m_random(seed) { }

    [[nodiscard]] bool isUp(time_point now) const { return now >= downUntil; }
    [[nodiscard]] log_offset tail() const { return log_offset(m_records.size()); }
    [[nodiscard]] log_offset firstRetained() const { return m_firstRetained; }
    /// @return a batch, also one that is no longer retained; a reader may only read batches from
    /// firstRetained() on
    [[nodiscard]] const record &at(log_offset offset) const
    {
        return m_records.at(offset.value() - 1);
    }

    void append(time_point now, const schema::log_batch_message &batch, const reply &answer)
    {
        if (!isUp(now)) {
            const bool isKnown = m_random() % 2 == 0;
            const auto outcome = isKnown ? append_outcome::Failed : append_outcome::Unknown;
            m_answers.push_back({now + std::chrono::milliseconds(200), outcome, answer});
            return;
        }
        const bool isSlow = now < slowUntil;
        const auto delay = std::chrono::milliseconds(isSlow ? 1000 + m_random() % 6000 : 20);
        const bool isLost = now < answersLostUntil || isSlow;
        const auto outcome = isLost ? append_outcome::Unknown : append_outcome::Ok;
        m_pendingWrites.push_back({now + delay, batch});
        m_answers.push_back({now + std::chrono::milliseconds(isLost ? 1500 : 40), outcome, answer});
    }

    void advance(time_point now)
    {
        runDue(m_pendingWrites, now, [&](pending_write &due) { write(now, std::move(due.batch)); });
        runDue(m_answers, now, [](pending_answer &due) { due.answer(due.outcome); });
        while (m_firstRetained.value() <= m_records.size()
               && now - at(m_firstRetained).writtenAt > retention)
            m_firstRetained = log_offset(m_firstRetained.value() + 1);
    }

    void write(time_point now, schema::log_batch_message batch)
    {
        m_records.push_back({std::move(batch), now});
        if (onWritten)
            onWritten(tail(), m_records.back());
    }

private:
    struct pending_write
    {
        time_point at;
        schema::log_batch_message batch;
    };
    struct pending_answer
    {
        time_point at;
        append_outcome outcome;
        reply answer;
    };

    template <class Due, class Action>
    static void runDue(std::vector<Due> &waiting, time_point now, Action action)
    {
        std::vector<Due> due;
        std::vector<Due> rest;
        for (auto &entry : waiting)
            (entry.at <= now ? due : rest).push_back(std::move(entry));
        waiting = std::move(rest);
        for (auto &entry : due)
            action(entry);
    }

    std::mt19937_64 m_random;
    std::vector<record> m_records;
    log_offset m_firstRetained{1};
    std::vector<pending_write> m_pendingWrites;
    std::vector<pending_answer> m_answers;
};

} // namespace tamarack::test
