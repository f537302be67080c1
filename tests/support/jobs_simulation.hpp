// Simulation of one partition in virtual time: entries, sides and a log, compared with an oracle.
#pragma once

#include "support/jobs_fake_side.hpp"
#include "support/jobs_oracle.hpp"
#include "support/jobs_simulation_entry.hpp"

#include <set>
#include <string>

namespace tamarack::test {

class jobs_simulation
{
public:
    static constexpr duration Step = std::chrono::milliseconds(100);

    explicit jobs_simulation(std::uint64_t seed, std::size_t entryCount = 3,
                             jobs_mutation mutation = jobs_mutation::None);

    jobs_fake_log log;
    jobs_oracle oracle;
    std::vector<simulation_entry> entries;
    std::vector<jobs_fake_side> sides;
    std::vector<std::string> violations; // differences from the oracle and broken rules
    std::map<std::string, std::set<std::string>> acknowledged; // job ids by "customer/digest"
    std::map<std::string, std::uint32_t> crashesOfItem; // "job:item"
    std::map<std::string, time_point> cancelFoldedAt; // when the first entry folded it, by job id
    std::uint64_t startedAttempts = 0;

    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] std::uint64_t wallS() const
    {
        return 1'800'000'000 + static_cast<std::uint64_t>(toSeconds(m_now.time_since_epoch()));
    }

    /// @return the content of an input file; flags mark items as "poison" or "rejected"
    static std::string content(std::size_t items, const std::string &tag,
                               const std::map<std::size_t, std::string> &flags = {});
    void submit(std::size_t entry, const std::string &customer, const std::string &content,
                const std::string &key = {}, bool killAfterwards = false);
    void cancel(const std::string &job);
    /// @brief Writes a result that no simulated owner wrote, of the current or the previous epoch.
    void appendStrayResult(std::uint64_t choice);
    /// @brief Writes an earlier batch again, as a delayed duplicate of its append would.
    void repeatBatch(std::uint64_t choice);
    /// @brief Ends an entry for some time, unless no other entry is running.
    void kill(std::size_t entry, duration downtime);
    void pause(std::size_t entry, duration time);
    void crashSide(std::size_t side);
    void run(duration time);
    /// @brief Ends all faults, runs until every job has ended, and checks the final state.
    void recover();
    /// @brief Compares every running entry that has folded the whole log with the oracle.
    void check();
    [[nodiscard]] std::size_t ownerIndex() const;
    [[nodiscard]] std::vector<std::string> openJobs() const;

private:
    void step();
    void stepEntry(std::size_t index);
    void readLog(std::size_t index);
    bool bootstrap(simulation_entry &entry);
    void updateOwnership(std::size_t index);
    void stepOwner(std::size_t index);
    void stepPlanner(std::size_t index);
    void stepSubmissions(std::size_t index);
    void finishSubmission(std::size_t index, simulation_submission &submission);
    void perform(std::size_t index, const owner_actions &actions);
    void startItem(std::size_t index, const start_item &start);
    void cancelAttempt(const cancel_attempt &cancel);
    void offerCredits();
    void deliver(const jobs_fake_side::attempt_run &run, attempt_outcome outcome,
                 const std::string &data);
    void checkEntry(const simulation_entry &entry);
    void checkJob(const partition_fold &fold, const std::string &id,
                  const jobs_oracle::expected_job &expected);
    void checkLateReader();
    [[nodiscard]] std::string payload(const record_reference &reference);
    void addViolation(const std::string &text);
    [[nodiscard]] std::vector<live_vm> liveVms() const;
    [[nodiscard]] bool isFoldedFurthest(const simulation_entry &entry) const;
    [[nodiscard]] bool isAnotherRunning(std::size_t entry) const;

    jobs_mutation m_mutation;
    time_point m_now{std::chrono::seconds(1000)};
    partition_id m_partition{0};
    std::uint64_t m_lastId = 0;
    std::vector<std::string> m_notWritten; // record ids that were reported as NotWritten
};

} // namespace tamarack::test
