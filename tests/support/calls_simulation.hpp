// Simulates entries, sides, upstreams and a log in virtual time, with faults and an oracle.
#pragma once

#include "support/calls_command.hpp"
#include <tamarackglade/calls/call_tracker.hpp>
#include <tamarackglade/calls/keyed_call_tracker.hpp>
#include <tamarackglade/gate/side_gate.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tamarack::test {

struct simulation_options
{
    std::size_t entries = 2;
    std::size_t sides = 3;
    gate_mutation gateFault = gate_mutation::None;
    call_mutation callFault = call_mutation::None;
    keyed_mutation keyedFault = keyed_mutation::None;
    std::uint32_t seed = 1;
};

/// @brief Runs commands against real trackers and gates and records violations of the guarantees on
/// calls.
class calls_simulation
{
public:
    explicit calls_simulation(const simulation_options &options);
    ~calls_simulation();
    calls_simulation(const calls_simulation &) = delete;
    calls_simulation &operator=(const calls_simulation &) = delete;

    void run(const calls_command &command);
    /// Ends all faults, lets all calls end and checks all requests.
    void settle();

    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }
    [[nodiscard]] std::size_t completed() const { return m_completed; }
    [[nodiscard]] std::size_t failed() const { return m_failed; }
    [[nodiscard]] std::size_t requests() const { return m_requests.size(); }

private:
    class random_chooser;
    struct request_record
    {
        std::size_t entry = 0;
        bool repeatable = true;
        std::string key;
        std::string text; // the answer so far
        std::string expected;
        bool ended = false;
        bool lost = false; // its entry ended
        execution ran = execution::Unknown;
    };
    struct connection
    {
        connection_id id;
        std::size_t entry = 0;
        std::size_t side = 0;
        incarnation_number entryIncarnation;
        incarnation_number sideIncarnation;
        bool lossyToSide = false; // drops all further frames
        bool lossyToEntry = false;
        bool openAtEntry = true;
        bool openAtSide = true;
        time_point lastToSide{}; // frames of a direction keep their order
        time_point lastToEntry{};
    };
    struct pause_state
    {
        time_point until{};
        std::deque<std::function<void()>> deferred; // in the order of arrival
    };
    struct entry_node
    {
        incarnation_number incarnation{1};
        std::unique_ptr<random_chooser> chooser;
        std::unique_ptr<call_tracker> tracker;
        std::unique_ptr<idempotency_index> index;
        std::unique_ptr<keyed_call_tracker> keyedTracker;
        std::size_t folded = 0; // records of the log applied
        pause_state pause;
    };
    struct side_node
    {
        incarnation_number incarnation{1};
        std::unique_ptr<side_gate> gate;
        std::map<upstream_run, schema::start_call_message> runs; // at the upstream
        pause_state pause;
        time_point leftAt = time_point::max();
        time_point lastFault{}; // end of the last pause
        int refuseOpens = 0;
        bool draining = false;
    };
    using keyed_record = std::variant<schema::call_started_message, schema::call_finished_message>;

    void at(time_point when, std::function<void()> action);
    void advance(duration by);
    [[nodiscard]] bool isPaused(const pause_state &pause) const;
    void pauseFor(pause_state &pause, duration length);
    void resume(pause_state &pause);
    void onEntry(std::size_t entry, incarnation_number incarnation,
                 const std::function<void()> &action);
    void onSide(std::size_t side, incarnation_number incarnation,
                const std::function<void()> &action);

    void startEntry(std::size_t entry);
    void startSide(std::size_t side);
    void connect(std::size_t entry, std::size_t side);
    void cut(std::size_t entry, std::size_t side, bool toSide, bool toEntry);
    void stallToSide(std::size_t entry, std::size_t side, duration length);
    void closeAtEntry(connection_id id);
    void closeAtSide(connection_id id);
    void killEntry(std::size_t entry);
    void restartSide(std::size_t side);

    void send(std::size_t entry, schema::call_class callClass, bool repeatable,
              const std::string &key);
    void perform(std::size_t entry, const call_actions &actions);
    void perform(std::size_t entry, const keyed_actions &actions);
    void perform(std::size_t side, const gate_actions &actions);
    void toSide(std::size_t entry, const upstream_id &upstream,
                const std::function<gate_actions(side_gate &, connection_id)> &event);
    void toEntry(connection_id id, const side_frame &frame);
    void deliver(std::size_t entry, const side_frame &frame);
    void onAnswerEnd(const caller_end &end);
    void open(std::size_t side, const open_upstream &action);
    void emitToken(std::size_t side, const upstream_run &run, std::uint64_t index);
    void checkSide(std::size_t side);
    void appendKeyed(std::size_t entry, const keyed_record &record);
    void foldLog(std::size_t entry);
    void tickAll();
    void violation(const std::string &text);
    duration randomDelay();

    simulation_options m_options;
    std::mt19937_64 m_random;
    time_point m_now{std::chrono::seconds(1)};
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<entry_node> m_entries;
    std::vector<side_node> m_sides;
    std::map<connection_id, connection, less_by_value> m_connections;
    std::map<std::pair<std::size_t, std::size_t>, connection_id> m_current; // open at the entry
    std::map<std::string, request_record> m_requests;
    std::map<std::string, int> m_executions; // at the upstreams, by request
    std::vector<keyed_record> m_log;
    bool m_logDown = false;
    bool m_duplicating = false;
    bool m_slow = false;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_completed = 0;
    std::size_t m_failed = 0;
    std::vector<std::string> m_violations;
};

} // namespace tamarack::test
