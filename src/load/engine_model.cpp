// Implements iterations and admission of the engine model.
#include <tamarackglade/load/engine_model.hpp>
#include <tamarackglade/load/expected_answer.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

engine_model::engine_model(const engine_profile &profile)
    : m_profile(profile), m_cache(profile.cacheBlocks)
{
}

sequence_id engine_model::submit(time_point now, std::string_view prompt, std::uint32_t firstToken,
                                 std::uint32_t endToken)
{
    const sequence_id id(++m_lastId);
    sequence &entry = m_sequences[id];
    entry.blocks = promptBlocks(prompt, m_profile.blockTokens);
    entry.promptTokens = promptTokens(prompt) + firstToken;
    entry.nextToken = firstToken;
    entry.endToken = std::max(endToken, firstToken + 1);
    entry.kvTokens = std::min<std::uint64_t>(m_profile.kvTokens,
                                             entry.promptTokens + (entry.endToken - firstToken));
    m_waiting.push_back(id);
    if (!m_iterationEnd)
        startIteration(now);
    return id;
}

void engine_model::cancel(sequence_id id)
{
    if (!m_sequences.contains(id))
        return;
    std::erase(m_waiting, id);
    removeFromBatch(id);
}

std::vector<token_event> engine_model::advance(time_point now)
{
    std::vector<token_event> events;
    while (m_iterationEnd && *m_iterationEnd <= now) {
        const time_point end = *m_iterationEnd;
        endIteration(events);
        startIteration(end);
    }
    return events;
}

void engine_model::postpone(duration pause)
{
    if (m_iterationEnd)
        *m_iterationEnd += pause;
}

std::vector<cache_event> engine_model::takeCacheEvents()
{
    return std::exchange(m_cacheEvents, {});
}

engine_load engine_model::load() const
{
    return {m_batch.size(), m_waiting.size(), m_kvUsed};
}

void engine_model::admitWaiting()
{
    while (!m_waiting.empty() && m_batch.size() < m_profile.maxSequences) {
        const sequence_id id = m_waiting.front();
        sequence &entry = m_sequences.at(id);
        if (m_kvUsed + entry.kvTokens > m_profile.kvTokens)
            return;
        m_waiting.pop_front();
        m_batch.push_back(id);
        admit(entry);
    }
}

void engine_model::admit(sequence &entry)
{
    m_kvUsed += entry.kvTokens;
    const std::size_t found = m_cache.touchPrefix(entry.blocks);
    // The last prompt token is always computed, because it yields the first token of the answer.
    const auto cached = static_cast<std::uint32_t>(
        std::min<std::size_t>(found * m_profile.blockTokens, entry.promptTokens - 1));
    entry.remainingPromptTokens = entry.promptTokens - cached;
    m_cachedPromptTokens += cached;
    m_promptTokensAdmitted += entry.promptTokens;
}

void engine_model::startIteration(time_point start)
{
    m_iterationEnd.reset();
    admitWaiting();
    if (m_batch.empty())
        return;
    const duration time = m_profile.iterationTime(m_batch.size());
    m_iterationEnd =
        start
        + duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * m_slowFactor));
}

void engine_model::endIteration(std::vector<token_event> &events)
{
    ++m_iterations;
    std::uint32_t budget = m_profile.chunkTokens;
    std::vector<sequence_id> finished;
    for (const sequence_id id : m_batch) {
        sequence &entry = m_sequences.at(id);
        if (!processPrompt(entry, budget))
            continue;
        const std::uint32_t index = entry.nextToken++;
        const bool last = entry.nextToken == entry.endToken;
        events.push_back({id, *m_iterationEnd, index, last});
        if (last)
            finished.push_back(id);
    }
    for (const sequence_id id : finished)
        removeFromBatch(id);
}

bool engine_model::processPrompt(sequence &entry, std::uint32_t &budget)
{
    if (entry.remainingPromptTokens == 0)
        return true;
    const std::uint32_t processed = std::min(budget, entry.remainingPromptTokens);
    budget -= processed;
    entry.remainingPromptTokens -= processed;
    if (entry.remainingPromptTokens > 0)
        return false;
    m_cache.store(entry.blocks, m_cacheEvents);
    return true;
}

void engine_model::removeFromBatch(sequence_id id)
{
    const auto entry = m_sequences.find(id);
    if (std::erase(m_batch, id) > 0)
        m_kvUsed -= entry->second.kvTokens;
    m_sequences.erase(entry);
}

} // namespace tamarack
