// Folds the log's stream "config" into the configuration in force.
#pragma once

#include <tamarackglade/config/config_mutation.hpp>
#include <tamarackglade/config/config_state.hpp>
#include <tamarackglade/config/publish_verdict.hpp>
#include <tamarackglade/schema/records.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace tamarack {

/// Name of the configuration's stream in the log.
inline constexpr std::string_view ConfigStream = "config";

/// @brief Applies the stream's appends in order of offset; every process reaches the same state.
///
/// A manifest counts if its text is valid and its base is the offset of the manifest in force.
/// Every record is idempotent, so a repeated append changes nothing. Nothing depends on a clock.
class config_fold
{
public:
    explicit config_fold(config_mutation mutation = config_mutation::None)
        : m_mutation(mutation) { }

    /// @brief Takes one append. One at or below the folded offset is ignored; one beyond the next
    /// offset waits for a snapshot that covers the gap. A malformed payload folds to nothing.
    void apply(log_offset offset, std::string_view payload);

    /// @brief Takes a peer's snapshot if it is newer than the folded state.
    /// @return whether it was taken
    bool adopt(std::string_view payload);

    /// @return the folded state, shared with readers; never changes once returned
    [[nodiscard]] std::shared_ptr<const config_state> state() const;

    [[nodiscard]] log_offset offset() const { return m_state.offset; }
    [[nodiscard]] log_offset manifestOffset() const { return m_state.manifestOffset; }

    /// @return whether records below those that wait are lost from the log: a snapshot is needed
    [[nodiscard]] bool hasGap() const { return !m_waiting.empty(); }

    /// @return the next offset to read from the log
    [[nodiscard]] log_offset nextOffset() const;

    /// @return wall time in seconds of the latest snapshot in the log; 0 if none was seen
    [[nodiscard]] std::uint64_t lastSnapshotSeconds() const { return m_lastSnapshotSeconds; }

    /// @return what became of a recent publish, by its batch's record id; null if not known here
    [[nodiscard]] const publish_verdict *verdictOf(const std::string &recordId) const;

private:
    void applyNext(log_offset offset, std::string_view payload);
    void applyRecord(const schema::log_batch_message &batch,
                     const schema::log_record_message &record);
    void publish(const std::string &recordId, const schema::manifest_published_message &record);
    void issue(const schema::key_issued_message &record);
    void withdraw(const schema::key_withdrawn_message &record);
    void drain(const schema::vm_drained_message &record);
    bool adoptRecord(const schema::config_snapshot_record_message &record);
    void adoptFromWaiting(std::string_view payload);
    void applyWaiting();
    void remember(const std::string &recordId, publish_verdict verdict);

    config_mutation m_mutation;
    config_state m_state;
    mutable std::shared_ptr<const config_state> m_shared; // null if older than m_state
    // Appends past a gap. Invariant: all are beyond m_state.offset + 1.
    std::map<log_offset, std::string> m_waiting;
    std::uint64_t m_lastSnapshotSeconds = 0;
    std::deque<std::pair<std::string, publish_verdict>> m_verdicts; // oldest first
};

} // namespace tamarack
