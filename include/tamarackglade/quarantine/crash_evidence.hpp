// Broken runs and successes of runs, and what they say of prompt parts.
#pragma once

#include <tamarackglade/quarantine/broken_run.hpp>
#include <tamarackglade/quarantine/latest_times.hpp>
#include <tamarackglade/quarantine/part_hash.hpp>
#include <tamarackglade/quarantine/quarantine_options.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace tamarack {

/// @brief Crashes of a part since its last success.
struct crash_count
{
    unsigned crashes = 0; // successive ones, each of another upstream instance
    std::size_t requests = 0; // that they belong to
};

/// @brief A run that delivered an event.
struct served_run
{
    instance_hash instance;
    time_point sentAt{};
};

/// @brief A part that crashes the upstreams of a group, and the evidence.
struct crash_finding
{
    group_id group;
    prompt_part_id part;
    crash_count count;
};

/// @brief Collects the breaks of all gateways and finds the part that causes them.
///
/// Only successive crashes count: the run of each was sent after the crash before. Many upstreams
/// that are killed at once therefore count as one crash. A part's first event at any upstream
/// proves that it is harmless and discards its earlier crashes. A break at an instance that serves
/// a later run was no crash.
class crash_evidence
{
public:
    /// Whether the crashes of a part are known to be caused by it.
    using part_predicate = std::function<bool(part_hash)>;

    /// Whether another request than that of the run is known to have crashed its upstream.
    using fault_predicate = std::function<bool(const broken_run &)>;

    using instance_set = std::set<instance_hash>;

    explicit crash_evidence(quarantine_options options);

    /// @brief Adds a break; one that was added before is ignored.
    /// @return whether it is new
    bool add(const broken_run &broken, time_point now);
    /// @brief Records a first event of a run with the part.
    void addSuccess(part_hash part, time_point at) { m_successes.add(part, at); }
    [[nodiscard]] std::optional<time_point> lastSuccess(part_hash part) const
    {
        return m_successes.find(part);
    }
    /// @brief Records that a run delivered an event. If it was sent after a break at the same
    /// instance, that break was no crash.
    void addServed(instance_hash instance, time_point sentAt) { m_served.add(instance, sentAt); }
    /// @brief Sets how breaks are found that no part is to blame for.
    void setFaultOfAnother(fault_predicate isFaultOfAnother)
    {
        m_isFaultOfAnother = std::move(isFaultOfAnother);
    }
    /// @return whether the instance has served a run that was sent after the given time
    [[nodiscard]] bool livesOn(instance_hash instance, time_point since) const;
    /// @brief Replaces the instances that serve as far as is known. A run at one that is not among
    /// them may have been served by its successor.
    void setListed(instance_set listed) { m_listed = std::move(listed); }
    /// @return the instances with a recent break that have served a run since, and when it was sent
    [[nodiscard]] std::vector<served_run> servedSinceBreak(time_point now) const;
    /// @return the crashes of the part since its last success
    [[nodiscard]] crash_count crashesOf(part_hash part) const;
    /// @return whether there are breaks
    [[nodiscard]] bool empty() const { return m_entries.empty(); }
    /// @brief Evaluates the breaks that have settled, up to the first that shows a cause.
    /// @param isCause whether a part is already known to crash upstreams
    /// @param successes runs with a first event at all gateways, within about rateWindow
    /// @return the part to quarantine, or nullopt if no break is left to evaluate
    std::optional<crash_finding> evaluate(const part_predicate &isCause, double successes,
                                          time_point now);

    /// @return the parts with two breaks or more
    [[nodiscard]] std::vector<part_hash> suspects() const;
    /// @return whether there are breaks with the part, and all of them hold the other part too
    [[nodiscard]] bool onlyWith(part_hash part, part_hash other) const;
    /// @return the breaks that this reporter saw after the given time
    [[nodiscard]] std::vector<broken_run> breaksOf(const vm_id &reporter, time_point since) const;

private:
    struct entry
    {
        broken_run broken;
        std::vector<part_hash> parts; // of broken.parts, in the same order
        time_point addedAt{};
        bool evaluated = false;
    };

    void dropOld(time_point now);
    [[nodiscard]] instance_set instancesWith(const part_predicate &matches) const;
    /// @return the crashes of the part since its last success, without those of these instances
    [[nodiscard]] crash_count crashesOf(part_hash part, const instance_set &without,
                                        time_point addedUntil) const;
    [[nodiscard]] double requiredCrashes(part_hash part, double successes, time_point now) const;
    /// @return whether a part that comes later in the prompts explains nearly all of its crashes
    [[nodiscard]] bool causedByLaterPart(part_hash part) const;
    /// @return whether the break says nothing about the parts of its run
    [[nodiscard]] bool isRefuted(const broken_run &broken) const;
    [[nodiscard]] bool isBeforeSuccess(const entry &each, part_hash part) const;
    [[nodiscard]] std::optional<crash_finding> findCause(const entry &candidate,
                                                         const instance_set &explained,
                                                         double successes, time_point now) const;

    const quarantine_options m_options;
    std::deque<entry> m_entries; // in order of addition
    latest_times<part_hash> m_successes;
    latest_times<instance_hash> m_served; // sending times of runs that delivered an event
    instance_set m_listed; // instances that serve as far as is known
    fault_predicate m_isFaultOfAnother = [](const broken_run &) { return false; };
};

} // namespace tamarack
