// Runs items of batch jobs in slots that online requests leave free.
#pragma once

#include <tamarackglade/batches/batch_schedule.hpp>
#include <tamarackglade/batches/item_owners.hpp>
#include <tamarackglade/gateway/batch/batch_store.hpp>
#include <tamarackglade/gateway/batch/item_run.hpp>
#include <tamarackglade/gateway/process/gateway_context.hpp>
#include <tamarackglade/gateway/upstream/run_observer.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace tamarack {

/// @brief Runs the items that this gateway owns. An item that yields its slot keeps its output and
/// resumes from there later. All calls on the gateway's thread.
class batch_runner
{
public:
    /// @return the gateways that run items now, including this one; called on each scheduling round
    using gateway_list = std::function<const std::vector<vm_id> &()>;

    /// @param onYielded called when an item has yielded its slot
    batch_runner(gateway_context &context, batch_store &store, gateway_list gateways,
                 std::function<void()> onYielded);

    /// @brief Starts the items that may run now; call many times a second.
    void schedule();
    /// @brief Makes one item yield its slot to online requests.
    /// @param version of the upstream whose slot is needed; nullopt for any
    /// @return false if no item holds such a slot
    bool yieldOne(const std::optional<software_version> &version = {});
    /// @brief Makes one item yield its slot at the upstream to an online request of another
    /// gateway.
    /// @return false if no item holds such a slot
    bool yieldAt(const upstream_id &upstream);
    /// @brief Starts no items for a moment, as online requests wait at another gateway.
    void onPeerWaiting() { m_peersWaitUntil = bootNow() + PeerWaitTime; }
    /// @brief Stops starting items; running items go on.
    void stop() { m_stopped = true; }

    /// @return the bytes of the texts of unfinished items
    [[nodiscard]] std::size_t textBytes() const { return m_textBytes.used(); }
    [[nodiscard]] std::size_t running() const { return m_runs.size(); }

private:
    class output_sink;

    // About the time between two reports of a gateway at which requests wait.
    static constexpr std::chrono::milliseconds PeerWaitTime{100};

    bool yield(item_run *run);
    /// @return whether the item's content is loaded; otherwise starts to read it
    bool contentReady(const batch_item_key &key, const customer_batch &job);
    void readContent(const batch_item_key &key, const content_place &place,
                     const customer_id &customer);
    /// @return an upstream with a slot that can begin the item or go on with its text
    std::optional<upstream_id> pickUpstream(const item_work &work, const group_id &group,
                                            std::set<upstream_id> failedAt);
    [[nodiscard]] item_groups groupsIn(const forward_config &config) const;
    /// @return the group whose upstreams are to run the item
    [[nodiscard]] group_id groupOf(const forward_route &route, const batch_item_key &key,
                                   const batch_job_item &item) const;
    /// @return whether the group has upstreams that can go on with a text of the origin
    /// @param other group that would run the item from its first event if this one can't go on
    [[nodiscard]] bool canGoOn(const stream_origin &origin, const group_id &group,
                               const group_id &other) const;
    /// @brief Discards the text of an item, so that its next run writes it anew.
    void startOver(const item_work &work, const std::string &reason);
    void start(const item_work &work, const upstream_id &upstream);
    void runItem(const item_work &work, const live_upstream &upstream,
                 const std::shared_ptr<item_run> &run);
    void logRunEnd(const item_work &work, const live_upstream &upstream, const item_run &run,
                   const attempt_result &result, duration time);
    attempt_result runAttempt(const item_work &work, const live_upstream &upstream, item_run &run);
    /// @return whether another upstream has a free slot for an item whose run is silent
    [[nodiscard]] bool hasOtherSlot(const item_work &work, const live_upstream &upstream);
    /// @brief Makes a run fail whose text exceeds the memory for texts, and discards the text.
    void discardLongText(const item_work &work, attempt_result &result);
    void pauseAfterEarlyFailure(const item_work &work, const attempt_result &result,
                                std::size_t events);
    void handleResult(const item_work &work, const upstream_id &upstream,
                      const attempt_result &result);
    void recordFinish(const item_work &work, bool abandoned, const std::string &reason);
    void recordFailure(const item_work &work, const upstream_id &upstream, unsigned status);
    void appendAsync(const item_work &work, const std::string &failedRun,
                     std::function<durable_result(time_point deadline)> append);
    /// @brief Stores an item's output, then the record that refers to it.
    durable_result storeFinishedItem(const item_work &work, schema::item_finished_message record,
                                     const std::string &output, time_point deadline);
    void removeFinished();
    [[nodiscard]] std::set<batch_item_key> occupiedItems() const;
    /// @return the items of which a part of the text is here
    [[nodiscard]] std::set<batch_item_key> begunItems() const;
    /// @return the items that wait because their prompt holds a quarantined part
    [[nodiscard]] std::set<batch_item_key> quarantinedItems(const forward_config &config) const;

    gateway_context &m_context;
    batch_store &m_store;
    const gateway_list m_gateways;
    const std::function<void()> m_onYielded;
    std::map<batch_item_key, std::shared_ptr<item_run>> m_runs;
    byte_quota m_textBytes; // of the items below
    std::map<batch_item_key, item_progress> m_progress; // of started, unfinished items
    // Items whose record of an end or a failed run is not in the fold yet; the value is the name of
    // the failed run, empty for an end.
    std::map<batch_item_key, std::string> m_pendingRecords;
    item_owners m_owners;
    time_point m_peersWaitUntil{};
    bool m_stopped = false;
};

} // namespace tamarack
