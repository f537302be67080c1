// Output of tamarackctl as text or JSON.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief Writes a command's result to standard output, and progress and errors to the error
/// stream.
class ctl_output
{
public:
    explicit ctl_output(bool json) : m_json(json) { }

    [[nodiscard]] bool isJson() const { return m_json; }

    /// @brief Prints the object with --output=json, else the text.
    void result(const nlohmann::ordered_json &object, const std::string &text);
    /// @brief Prints rows as an aligned table, or as a JSON array of objects keyed by column.
    /// Precondition: each row has as many cells as there are columns.
    void table(const std::vector<std::string> &columns,
               const std::vector<std::vector<std::string>> &rows);
    /// @brief Prints a line about the progress of a wait; prints nothing with --output=json.
    void progress(const std::string &line);
    void error(const std::string &message);

private:
    bool m_json;
};

} // namespace tamarack
