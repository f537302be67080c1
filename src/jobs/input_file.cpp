// Input files assembled from chunks.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/jobs/input_file.hpp>

#include <algorithm>

namespace tamarack {

input_file::input_file(file_id id, customer_id customer, std::string name, std::uint32_t chunkCount)
    : m_id(std::move(id)), m_customer(std::move(customer)), m_name(std::move(name)),
      m_chunks(chunkCount), m_missing(chunkCount)
{
}

bool input_file::addChunk(std::uint32_t chunk, const record_reference &reference,
                          std::uint32_t lineCount, std::uint64_t digest)
{
    auto &entry = m_chunks[chunk];
    if (entry.reference.isSet() || !reference.isSet())
        return false;
    entry.reference = reference;
    entry.lineCount = lineCount;
    entry.digest = digest;
    --m_missing;
    if (m_missing > 0)
        return false;
    countLines();
    return true;
}

void input_file::countLines()
{
    m_lineCount = 0;
    for (auto &entry : m_chunks) {
        entry.firstLine = m_lineCount;
        m_lineCount += entry.lineCount;
    }
}

void input_file::moveChunk(std::uint32_t chunk, log_offset from, const record_reference &copy)
{
    if (chunk >= m_chunks.size())
        return;
    auto &reference = m_chunks[chunk].reference;
    if (reference.isSet() && reference.offset() == from)
        reference = copy;
}

std::uint64_t input_file::contentDigest() const
{
    std::uint64_t digest = 0;
    for (const auto &entry : m_chunks)
        digest = stableHash(std::to_string(entry.digest), digest);
    return digest;
}

std::optional<input_reference> input_file::line(std::uint32_t index) const
{
    if (!isComplete() || index >= m_lineCount)
        return std::nullopt;
    const auto after = std::upper_bound(
        m_chunks.begin(), m_chunks.end(), index,
        [](std::uint32_t value, const chunk_entry &entry) { return value < entry.firstLine; });
    const auto &entry = *std::prev(after);
    return input_reference{entry.reference, index - entry.firstLine};
}

} // namespace tamarack
