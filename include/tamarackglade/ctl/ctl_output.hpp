// What tamarackctl prints: text for people, or JSON.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief Prints a command's result once; progress and errors go to the error stream.
class ctl_output
{
public:
    explicit ctl_output(bool json) : m_json(json) { }

    [[nodiscard]] bool isJson() const { return m_json; }

    /// @brief Prints the result: the object if JSON was asked for, else the text.
    void result(const nlohmann::ordered_json &object, const std::string &text);
    /// @brief Prints rows as a table, or as a JSON array of objects with the columns as names.
    void table(const std::vector<std::string> &columns,
               const std::vector<std::vector<std::string>> &rows);
    /// @brief Prints a line about what is being waited for; nothing if JSON was asked for.
    void progress(const std::string &line);
    void error(const std::string &message);

private:
    bool m_json;
};

} // namespace tamarack
