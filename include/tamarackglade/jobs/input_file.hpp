// An input file as the fold knows it: where its chunks lie, not their bytes.
#pragma once

#include <tamarackglade/jobs/input_reference.hpp>

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A file that is being built from its chunks, or is complete.
class input_file
{
public:
    struct chunk_entry
    {
        record_reference reference; // unset until the chunk is folded
        std::uint32_t lineCount = 0;
        std::uint32_t firstLine = 0; // valid once the file is complete
        std::uint64_t digest = 0;
    };

    input_file(file_id id, customer_id customer, std::string name, std::uint32_t chunkCount);

    /// @brief Sets a chunk that is not there yet. @return true if the file became complete
    bool addChunk(std::uint32_t chunk, const record_reference &reference, std::uint32_t lineCount,
                  std::uint64_t digest);

    /// @brief Points a chunk at a copy, if it still lies at from.
    void moveChunk(std::uint32_t chunk, log_offset from, const record_reference &copy);

    [[nodiscard]] const file_id &id() const { return m_id; }
    [[nodiscard]] const customer_id &customer() const { return m_customer; }
    [[nodiscard]] const std::string &name() const { return m_name; }
    [[nodiscard]] const std::vector<chunk_entry> &chunks() const { return m_chunks; }
    [[nodiscard]] bool isComplete() const { return m_missing == 0; }
    [[nodiscard]] std::uint32_t lineCount() const { return m_lineCount; }
    /// @return a digest of the content; equal for equal content cut into equal chunks
    [[nodiscard]] std::uint64_t contentDigest() const;
    /// @return where a line lies; complexity O(log chunks); the file must be complete
    [[nodiscard]] std::optional<input_reference> line(std::uint32_t index) const;

private:
    void countLines();

    file_id m_id;
    customer_id m_customer;
    std::string m_name;
    std::vector<chunk_entry> m_chunks;
    // Invariant: the number of chunks whose reference is unset.
    std::uint32_t m_missing;
    std::uint32_t m_lineCount = 0;
};

} // namespace tamarack
