// Simulates in virtual time the processes that spread the configuration, their links and the log.
#pragma once

#include <tamarackglade/config/config_spread.hpp>
#include <tamarackglade/report/config_fleet_options.hpp>
#include <tamarackglade/report/config_node_traffic.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief Simulated fleet, deterministic for a seed. Not thread-safe.
class virtual_config_fleet
{
public:
    using node_index = std::size_t;
    /// Function that is called after each event at a node.
    using observer = std::function<void(node_index node)>;

    explicit virtual_config_fleet(config_fleet_options options);

    void setObserver(observer observe) { m_observe = std::move(observe); }

    /// @brief Starts a node as a new process without state.
    void start(node_index node);
    void stop(node_index node);
    /// @brief Defers the node's events until resume.
    void pause(node_index node);
    void resume(node_index node);

    void setLogUp(bool up) { m_logUp = up; }
    void cutLog(node_index node, bool cut);
    /// @brief Cuts or restores the link in one direction.
    void cutLink(node_index from, node_index to, bool cut);
    void healLinks() { m_cutLinks.clear(); }
    /// @brief Sets the mean delay of messages sent from now on. Messages may overtake each other.
    void setLinkDelay(duration mean) { m_options.linkDelay = mean; }
    /// @brief Delivers each message a second time, up to 3 seconds later.
    void setDuplicates(bool duplicate) { m_duplicate = duplicate; }

    /// @brief Appends a payload to the log.
    /// @return its offset
    log_offset append(std::string payload);

    /// @brief Runs all events of the next span of virtual time.
    void advance(duration time);

    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    [[nodiscard]] bool isRunning(node_index node) const;
    [[nodiscard]] bool isPaused(node_index node) const { return m_nodes[node].paused; }
    /// @return number of starts of the node
    [[nodiscard]] std::uint64_t incarnation(node_index node) const;
    /// @return the node's spread; the node must be running
    [[nodiscard]] const config_spread &spread(node_index node) const;
    [[nodiscard]] const config_node_traffic &traffic(node_index node) const;
    [[nodiscard]] const std::vector<std::string> &log() const { return m_log; }
    void resetTraffic();

    /// @return the index in log() of the first record that the log retains after the given time
    [[nodiscard]] std::size_t firstRetainedAfter(duration time) const;

private:
    struct virtual_node
    {
        std::unique_ptr<config_spread> spread; // null if the node is stopped
        std::uint64_t incarnation = 0;
        bool paused = false;
        bool logCut = false;
        std::vector<std::function<void()>> deferredEvents; // run on resume
        config_node_traffic traffic;
    };

    void schedule(duration delay, std::function<void()> event);
    void deliver(node_index node, std::uint64_t incarnation,
                 std::function<config_actions(config_spread &)> event);
    void perform(node_index node, config_actions actions);
    void send(node_index from, const vm_id &peer, std::size_t bytes,
              std::function<config_actions(config_spread &, const vm_id &)> receive);
    void tick(node_index node, std::uint64_t incarnation);
    void readLog(node_index node, std::uint64_t incarnation);
    void finishRead(node_index node, std::uint64_t incarnation, time_point requestedAt);
    [[nodiscard]] std::uint64_t wallSeconds() const;
    // Uniformly distributed from 0 to twice the mean.
    [[nodiscard]] duration randomDelay(duration mean);

    config_fleet_options m_options;
    std::mt19937_64 m_random;
    time_point m_now;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<virtual_node> m_nodes;
    std::vector<vm_id> m_names;
    std::map<vm_id, node_index> m_indexes;
    std::set<std::pair<node_index, node_index>> m_cutLinks;
    bool m_logUp = true;
    bool m_duplicate = false;
    std::vector<std::string> m_log; // index i holds offset i + 1
    std::vector<time_point> m_logTimes; // time of each append in m_log
    observer m_observe;
};

} // namespace tamarack
