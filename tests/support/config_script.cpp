// Random scripts against a virtual fleet.
#include "support/config_script.hpp"

#include "support/config_records.hpp"
#include <tamarackglade/config/config_snapshot_codec.hpp>

#include <algorithm>

namespace tamarack::test {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t Nodes = 5;
constexpr duration Retention = 1600s; // as validManifest says
constexpr duration WithdrawalLimit = 5s;
// What was in force everywhere for this long is never undercut. Longer than answers may be old.
constexpr duration FloorAge = 2500ms;

config_fleet_options fleetOptions(std::uint64_t seed, config_mutation mutation)
{
    config_fleet_options options;
    options.nodes = Nodes;
    options.seed = seed;
    options.spread.mutation = mutation;
    options.logRetention = Retention;
    options.maxLogReadRecords = 3;
    options.logDelay = 100ms;
    options.spread.historyBytes = 1000; // so that whole snapshots are sent too
    return options;
}

} // namespace

config_script::config_script(std::uint64_t seed, config_mutation mutation)
    : m_fleet(fleetOptions(seed, mutation)), m_last(Nodes), m_served(Nodes), m_logCut(Nodes)
{
    m_fleet.setObserver([this](node_index node) { observe(node); });
}

std::set<std::string> config_script::run(const std::vector<config_step> &steps)
{
    for (node_index node = 0; node < Nodes; ++node)
        m_fleet.start(node);
    publish(0, true);
    advance(5s);
    for (const config_step &step : steps) {
        perform(step);
        advance(20ms);
    }
    m_fleet.setLogUp(m_logUp = true);
    m_fleet.healLinks();
    m_fleet.setLinkDelay(1ms);
    m_fleet.setDuplicates(false);
    m_cutLinks.clear();
    for (node_index node = 0; node < Nodes; ++node) {
        m_fleet.cutLog(node, m_logCut[node] = false);
        m_fleet.resume(node);
        if (!m_fleet.isRunning(node))
            m_fleet.start(node);
    }
    disturbed();
    advance(30s);
    m_settledEnd = m_fleet.log().size();
    advance(5s);
    checkAgreement();
    return m_violations;
}

void config_script::perform(const config_step &step)
{
    const auto [kind, first, second] = step;
    const auto node = static_cast<node_index>(first) % Nodes;
    const auto other = static_cast<node_index>(second) % Nodes;
    switch (kind) {
    case 0:
    case 1:
        return publish(node, true);
    case 2:
        return publish(node, false);
    case 3:
    case 22:
        return issue("key-" + std::to_string(++m_counter));
    case 4:
    case 23:
        return withdraw(static_cast<std::size_t>(first));
    case 5: // an answer that was lost, and its repeat, perhaps much later
        return repeat(static_cast<std::size_t>(second));
    case 6:
        return cutLog(node, true);
    case 7:
        return cutLog(node, false);
    case 8: // one way
        m_fleet.cutLink(node, other, true);
        m_cutLinks.emplace(node, other);
        return disturbed();
    case 9:
        m_fleet.cutLink(node, other, true);
        m_fleet.cutLink(other, node, true);
        m_cutLinks.emplace(node, other);
        m_cutLinks.emplace(other, node);
        return disturbed();
    case 10:
        if (m_cutLinks.empty())
            return;
        m_fleet.healLinks();
        m_cutLinks.clear();
        return disturbed();
    case 11:
        return kill(node);
    case 12:
        if (m_fleet.isRunning(node))
            return;
        m_fleet.start(node);
        return disturbed();
    case 13:
        m_fleet.pause(node);
        return disturbed();
    case 14:
        if (!m_fleet.isPaused(node))
            return;
        m_fleet.resume(node);
        return disturbed();
    case 15:
        return setLogUp(false);
    case 16:
        return setLogUp(true);
    case 17: // all VMs at once; with the log up they find the configuration there
        if (logSuffices()) {
            for (node_index each = 0; each < Nodes; ++each) {
                m_fleet.stop(each);
                m_fleet.start(each);
            }
        }
        return disturbed();
    case 18:
        m_fleet.setLinkDelay(std::chrono::milliseconds(first % 2 == 0 ? 1 : 200));
        return disturbed();
    case 19:
        return m_fleet.setDuplicates(first % 2 == 0);
    case 20:
        // Records may expire, but not while nobody is there to append them again.
        if (someServingReader())
            advance(std::chrono::seconds(first * 30));
        return;
    case 24: // long enough for what was withdrawn to be known
        return advance(WithdrawalLimit + 1s);
    default:
        return advance(std::chrono::milliseconds(first * 200));
    }
}

void config_script::cutLog(node_index node, bool cut)
{
    if (m_logCut[node] == cut)
        return;
    m_fleet.cutLog(node, m_logCut[node] = cut);
    disturbed();
}

void config_script::setLogUp(bool up)
{
    if (m_logUp == up)
        return;
    m_fleet.setLogUp(m_logUp = up);
    disturbed();
}

void config_script::publish(node_index operatorsNode, bool valid)
{
    const std::uint64_t base = m_fleet.isRunning(operatorsNode)
                                   ? m_fleet.spread(operatorsNode).fold().manifestOffset().value()
                                   : 0;
    const std::string name = "f" + std::to_string(++m_counter);
    const std::string text = valid ? validManifest(name) : "[fleet]\n";
    append(publishPayload("publish-" + name, base, text),
           [this, base, valid] { m_oracle.onPublish(base, valid); });
}

void config_script::issue(const std::string &key)
{
    if (!m_logUp)
        return;
    m_keys.push_back(key);
    append(issuePayload("issue-" + key, key), [this, key] { m_oracle.onIssue(key); });
}

void config_script::withdraw(std::size_t which)
{
    if (!m_logUp || m_keys.empty())
        return;
    const std::string key = m_keys[which % m_keys.size()];
    m_withdrawnAt.emplace(key, m_fleet.now());
    append(withdrawPayload("withdraw-" + key, key), [this, key] { m_oracle.onWithdraw(key); });
}

void config_script::repeat(std::size_t which)
{
    if (!m_logUp || m_appended.empty())
        return;
    const auto appended = m_appended[which % m_appended.size()];
    append(appended.first, appended.second);
}

// A VM may be lost unless it is the last to know what the log no longer holds.
void config_script::kill(node_index node)
{
    if (otherServes(node) || logSuffices())
        m_fleet.stop(node);
    disturbed();
}

void config_script::append(std::string payload, const std::function<void()> &tellOracle)
{
    if (!m_logUp)
        return;
    syncSnapshots();
    tellOracle();
    m_appended.emplace_back(payload, tellOracle);
    m_fleet.append(std::move(payload));
}

void config_script::advance(duration time)
{
    const time_point end = m_fleet.now() + time;
    while (m_fleet.now() < end) {
        m_fleet.advance(std::min<duration>(end - m_fleet.now(), 100ms));
        syncSnapshots();
        checkFloor();
        checkWithdrawn();
    }
}

// The fleet's own snapshots in the log change nothing.
void config_script::syncSnapshots()
{
    while (m_oracle.end() < m_fleet.log().size())
        m_oracle.onNeutral();
}

void config_script::observe(node_index node)
{
    syncSnapshots();
    const config_spread &spread = m_fleet.spread(node);
    auto &[incarnation, offset] = m_last[node];
    const std::uint64_t now = spread.fold().offset().value();
    if (incarnation == m_fleet.incarnation(node) && now < offset)
        m_violations.insert("offset went back");
    const bool changed = incarnation != m_fleet.incarnation(node) || now != offset;
    incarnation = m_fleet.incarnation(node);
    offset = now;
    if (changed)
        checkAgainstLog(node);
    if (spread.divergences() != 0)
        m_violations.insert("one offset, two digests");
}

void config_script::checkAgainstLog(node_index node)
{
    const auto state = m_fleet.spread(node).state();
    const config_oracle::expected_state &expected = m_oracle.at(state->offset.value());
    if (state->manifestOffset.value() != expected.manifestOffset)
        m_violations.insert("another manifest than the log's winner");
    std::set<std::string> keys;
    for (const auto &[id, entry] : state->keys.entries())
        keys.insert(id.value());
    for (const std::string &key : keys) {
        if (expected.withdrawn.contains(key))
            m_violations.insert("withdrawn key revived");
    }
    if (keys != expected.keys)
        m_violations.insert("other keys than the log's");
}

void config_script::checkFloor()
{
    std::optional<std::uint64_t> lowest;
    for (node_index node = 0; node < Nodes; ++node) {
        if (!m_fleet.isRunning(node))
            continue;
        if (m_fleet.spread(node).serving())
            m_served[node] = m_fleet.incarnation(node);
        if (m_served[node] != m_fleet.incarnation(node))
            continue; // holds nothing that was in force here
        const std::uint64_t offset = m_fleet.spread(node).fold().offset().value();
        lowest = std::min(lowest.value_or(offset), offset);
    }
    if (!lowest)
        return;
    if (*lowest < m_floor)
        m_violations.insert("served below what was in force everywhere");
    m_floors.emplace_back(m_fleet.now(), *lowest);
    const time_point old = m_fleet.now() - FloorAge;
    auto entry = m_floors.begin();
    for (; entry != m_floors.end() && entry->first <= old; ++entry)
        m_floor = std::max(m_floor, entry->second);
    m_floors.erase(m_floors.begin(), entry);
}

void config_script::checkWithdrawn()
{
    for (node_index node = 0; node < Nodes; ++node) {
        if (!m_fleet.isRunning(node) || m_fleet.isPaused(node) || !m_fleet.spread(node).serving())
            continue;
        if (!readsLog(node) && !hearsFromPeers(node))
            continue;
        const auto state = m_fleet.spread(node).state();
        for (const auto &[key, when] : m_withdrawnAt) {
            const bool late = m_fleet.now() - std::max(when, m_lastDisturbance) > WithdrawalLimit;
            if (late && state->keys.entries().contains(key_id(key)))
                m_violations.insert("withdrawn key accepted after 5 s");
        }
    }
}

void config_script::checkAgreement()
{
    for (node_index node = 0; node < Nodes; ++node) {
        const config_spread &spread = m_fleet.spread(node);
        if (!spread.serving())
            m_violations.insert("not serving after all healed");
        if (spread.fold().offset().value() < m_settledEnd)
            m_violations.insert("behind the log after all healed");
        const auto &first = m_fleet.spread(0);
        if (spread.fold().offset() == first.fold().offset()
            && spread.state()->digest != first.state()->digest)
            m_violations.insert("digests differ after all healed");
    }
}

bool config_script::readsLog(node_index node) const
{
    return m_logUp && !m_logCut[node] && m_fleet.isRunning(node) && !m_fleet.isPaused(node);
}

// Whether some peer reads the log, and all that do are linked both ways.
bool config_script::hearsFromPeers(node_index node) const
{
    bool any = false;
    for (node_index peer = 0; peer < Nodes; ++peer) {
        if (peer == node || !readsLog(peer) || !m_fleet.spread(peer).serving())
            continue;
        if (m_cutLinks.contains({node, peer}) || m_cutLinks.contains({peer, node}))
            return false;
        any = true;
    }
    return any;
}

// Whether a process could rebuild the configuration from what the log still holds, for a while.
bool config_script::logSuffices() const
{
    config_fold fold;
    const std::size_t first = m_fleet.firstRetainedAfter(400s);
    const std::vector<std::string> &log = m_fleet.log();
    for (std::size_t index = first; index < log.size(); ++index)
        fold.apply(log_offset(index + 1), log[index]);
    return m_logUp && fold.offset() == log_offset(log.size());
}

bool config_script::someServingReader() const
{
    for (node_index node = 0; node < Nodes; ++node) {
        if (readsLog(node) && m_fleet.spread(node).serving())
            return true;
    }
    return false;
}

bool config_script::otherServes(node_index node) const
{
    for (node_index other = 0; other < Nodes; ++other) {
        if (other != node && m_fleet.isRunning(other) && m_fleet.spread(other).serving())
            return true;
    }
    return false;
}

} // namespace tamarack::test
