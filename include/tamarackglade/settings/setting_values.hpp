// The checked settings of a process.
#pragma once

#include <tamarackglade/settings/option_table.hpp>
#include <tamarackglade/settings/setting_fault.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Values by name. Every option of the table has one; all have passed their checks.
class setting_values
{
public:
    explicit setting_values(const option_table &table);

    /// @brief Sets a value after checking it; a fault leaves the old one.
    void set(std::string_view name, const std::string &text, const std::string &source, int line,
             std::vector<setting_fault> &faults);
    /// @brief Adds a fault for each setting that has no value, though it is required or needed by
    /// another one.
    void checkRequired(const std::string &source, std::vector<setting_fault> &faults) const;

    [[nodiscard]] const std::string &text(std::string_view name) const;
    [[nodiscard]] std::int64_t integer(std::string_view name) const;
    [[nodiscard]] std::chrono::milliseconds milliseconds(std::string_view name) const;
    [[nodiscard]] std::chrono::milliseconds seconds(std::string_view name) const;
    [[nodiscard]] bool flag(std::string_view name) const;
    [[nodiscard]] std::vector<std::string> list(std::string_view name) const;

private:
    const option_table &m_table;
    std::map<std::string, std::string, std::less<>> m_values;
};

} // namespace tamarack
