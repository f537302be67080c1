// Runs a random script of faults and changes against a virtual fleet, and checks every step.
#pragma once

#include "support/config_oracle.hpp"
#include <tamarackglade/report/virtual_config_fleet.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace tamarack::test {

/// One step: what, and two numbers that it takes modulo what it needs.
using config_step = std::tuple<int, int, int>;

constexpr int ConfigStepKinds = 26;

class config_script
{
public:
    config_script(std::uint64_t seed, config_mutation mutation);

    /// @brief Runs the steps, heals everything, and waits for all to agree.
    /// @return what was violated; empty if nothing
    std::set<std::string> run(const std::vector<config_step> &steps);

private:
    using node_index = virtual_config_fleet::node_index;

    void perform(const config_step &step);
    void cutLog(node_index node, bool cut);
    void setLogUp(bool up);
    void publish(node_index operatorsNode, bool valid);
    void issue(const std::string &key);
    void withdraw(std::size_t which);
    void repeat(std::size_t which);
    void kill(node_index node);
    void advance(duration time);
    void disturbed() { m_lastDisturbance = m_fleet.now(); }
    void syncSnapshots();
    void append(std::string payload, const std::function<void()> &tellOracle);
    void observe(node_index node);
    void checkAgainstLog(node_index node);
    void checkFloor();
    void checkWithdrawn();
    void checkAgreement();
    [[nodiscard]] bool hearsFromPeers(node_index node) const;
    [[nodiscard]] bool readsLog(node_index node) const;
    [[nodiscard]] bool logSuffices() const;
    [[nodiscard]] bool someServingReader() const;
    [[nodiscard]] bool otherServes(node_index node) const;

    virtual_config_fleet m_fleet;
    config_oracle m_oracle;
    std::set<std::string> m_violations;
    std::vector<std::pair<std::string, std::function<void()>>> m_appended; // for repeats
    std::map<std::string, time_point> m_withdrawnAt;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> m_last; // incarnation and offset by node
    std::vector<std::uint64_t> m_served; // by node: the incarnation that served last
    std::vector<std::pair<time_point, std::uint64_t>> m_floors; // lowest offset in force, over time
    std::uint64_t m_floor = 0;
    time_point m_lastDisturbance;
    std::vector<bool> m_logCut;
    std::set<std::pair<node_index, node_index>> m_cutLinks;
    bool m_logUp = true;
    std::uint64_t m_settledEnd = 0; // of the log, some time before the end of the run
    std::vector<std::string> m_keys; // all that were issued
    int m_counter = 0;
};

} // namespace tamarack::test
