// An input file in the folded state: references to its chunks in the log, without their bytes.
#pragma once

#include <tamarackglade/jobs/input_reference.hpp>

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief An input file, complete or with chunks still missing.
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

    /// @brief Adds a chunk; ignored if the chunk is already set.
    /// @return true if this chunk completed the file
    bool addChunk(std::uint32_t chunk, const record_reference &reference, std::uint32_t lineCount,
                  std::uint64_t digest);

    /// @brief Replaces the reference of a chunk by copy if it points into the batch at offset from.
    void moveChunk(std::uint32_t chunk, log_offset from, const record_reference &copy);

    [[nodiscard]] const file_id &id() const { return m_id; }
    [[nodiscard]] const customer_id &customer() const { return m_customer; }
    [[nodiscard]] const std::string &name() const { return m_name; }
    [[nodiscard]] const std::vector<chunk_entry> &chunks() const { return m_chunks; }
    [[nodiscard]] bool isComplete() const { return m_missing == 0; }
    [[nodiscard]] std::uint32_t lineCount() const { return m_lineCount; }
    /// @return a digest of the content; equal for equal content cut into equal chunks
    [[nodiscard]] std::uint64_t contentDigest() const;
    /// @return the reference of a line, or nothing if the file is incomplete or has no such line;
    /// complexity O(log chunks)
    [[nodiscard]] std::optional<input_reference> line(std::uint32_t index) const;

private:
    void countLines();

    file_id m_id;
    customer_id m_customer;
    std::string m_name;
    std::vector<chunk_entry> m_chunks;
    // Number of chunks whose reference is unset.
    std::uint32_t m_missing;
    std::uint32_t m_lineCount = 0;
};

} // namespace tamarack
