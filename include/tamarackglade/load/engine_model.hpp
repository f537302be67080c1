// Model of an inference engine with continuous batching, in virtual time.
#pragma once

#include <tamarackglade/core/strong_id.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/load/engine_profile.hpp>
#include <tamarackglade/load/prefix_cache.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// Identifies a sequence in an engine; ids are not reused.
using sequence_id = strong_id<struct sequence_tag, std::uint64_t>;

/// @brief One token made for a sequence.
struct token_event
{
    sequence_id sequence;
    time_point when; // end of the iteration that made the token
    std::uint32_t index; // of the token in the whole answer
    bool last; // whether this token finishes the sequence
};

/// @brief Current load of an engine.
struct engine_load
{
    std::size_t active = 0; // sequences in the batch
    std::size_t waiting = 0; // sequences not yet admitted
    std::uint64_t kvUsed = 0; // tokens reserved by the batch
};

/// @brief Admits sequences in order of arrival while slots and KV tokens are free, and runs
/// iterations without pause while any sequence is in the batch. There are no priorities. An
/// iteration processes up to a chunk of prompt tokens, in order of admission. The iteration that
/// completes a prompt makes the first token of the sequence, and each later iteration makes one
/// more.
class engine_model
{
public:
    explicit engine_model(const engine_profile &profile);

    /// @brief Queues a sequence; it can join the batch at the next start of an iteration.
    /// Precondition: advance(now) was called.
    /// @param firstToken index of the first token to make; above 0 if the answer is resumed
    /// @param endToken one past the index of the answer's last token, above firstToken
    sequence_id submit(time_point now, std::string_view prompt, std::uint32_t firstToken,
                       std::uint32_t endToken);

    /// @brief Removes a sequence; does nothing if it is unknown or finished. The current iteration
    /// keeps its length.
    void cancel(sequence_id id);

    /// @brief Ends all iterations that are due at now.
    /// @return the tokens made by them, in order of time, then of admission
    std::vector<token_event> advance(time_point now);

    /// @return the end of the current iteration, if there is one
    [[nodiscard]] std::optional<time_point> nextDeadline() const { return m_iterationEnd; }

    /// @brief Delays the end of the current iteration by a pause of the whole engine.
    void postpone(duration pause);

    /// @brief Sets the factor that multiplies the time of later iterations; 1 is the speed of the
    /// profile.
    void setSlowFactor(double factor) { m_slowFactor = factor; }

    /// @return changes of the prefix cache since the last call
    std::vector<cache_event> takeCacheEvents();

    [[nodiscard]] engine_load load() const;
    [[nodiscard]] std::size_t cachedBlocks() const { return m_cache.size(); }
    /// @return prompt tokens found in the cache, over all admitted sequences
    [[nodiscard]] std::uint64_t cachedPromptTokens() const { return m_cachedPromptTokens; }
    /// @return prompt tokens of all admitted sequences
    [[nodiscard]] std::uint64_t promptTokensAdmitted() const { return m_promptTokensAdmitted; }
    /// @return the number of ended iterations
    [[nodiscard]] std::uint64_t iterations() const { return m_iterations; }

private:
    struct sequence
    {
        std::vector<std::uint64_t> blocks; // of the prompt
        std::uint32_t remainingPromptTokens = 0; // not yet processed
        std::uint32_t promptTokens = 0;
        std::uint32_t nextToken = 0;
        std::uint32_t endToken = 0;
        std::uint64_t kvTokens = 0; // reserved while in the batch
    };

    void admitWaiting();
    void admit(sequence &entry);
    void startIteration(time_point start);
    void endIteration(std::vector<token_event> &events);
    bool processPrompt(sequence &entry, std::uint32_t &budget);
    void removeFromBatch(sequence_id id);

    engine_profile m_profile;
    prefix_cache m_cache;
    double m_slowFactor = 1;
    std::uint64_t m_lastId = 0;
    // Invariant: each sequence of m_sequences is in m_waiting or in m_batch, never in both.
    std::unordered_map<sequence_id, sequence> m_sequences;
    std::deque<sequence_id> m_waiting; // in order of arrival
    std::vector<sequence_id> m_batch; // in order of admission; grows at starts of iterations only
    std::uint64_t m_kvUsed = 0; // sum of kvTokens over m_batch
    // Invariant: set if and only if an iteration is running.
    std::optional<time_point> m_iterationEnd;
    std::vector<cache_event> m_cacheEvents;
    std::uint64_t m_cachedPromptTokens = 0;
    std::uint64_t m_promptTokensAdmitted = 0;
    std::uint64_t m_iterations = 0;
};

} // namespace tamarack
