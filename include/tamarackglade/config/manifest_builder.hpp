// Fills a manifest from sections by the option table.
#pragma once

#include <tamarackglade/config/manifest.hpp>
#include <tamarackglade/config/section_option.hpp>
#include <tamarackglade/ini/ini_section.hpp>
#include <tamarackglade/ini/manifest_fault.hpp>

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Takes sections one by one, then checks how they refer to each other.
class manifest_builder
{
public:
    /// @brief Adds one section; faults go to faults().
    void add(const ini_section &section);

    /// @brief Fills the defaults of sections that are absent, and checks references.
    void finish();

    [[nodiscard]] manifest &draft() { return m_draft; }
    [[nodiscard]] std::vector<manifest_fault> &faults() { return m_faults; }

private:
    void addNamed(const ini_section &section, std::string_view kind, const std::string &name);
    template <class Section>
    void fill(const ini_section &section, std::span<const section_option<Section>> table,
              Section &target);
    template <class Section>
    void fillAbsent(std::string_view header, std::span<const section_option<Section>> table,
                    Section &target);
    void checkBatch();
    void checkModels();
    void checkCustomers();
    void checkRoutes();
    void checkRoutePair(const route_options &left, const route_options &right);
    void checkObjectives();
    void checkGroup(const std::string &header, const group_id &group, group_kind kind);
    void addFault(const std::string &header, std::string key, std::string found,
                  std::string expected);

    manifest m_draft;
    std::vector<manifest_fault> m_faults;
    // Line of each section by header, and of each entry by header and key.
    std::map<std::string, unsigned> m_sectionLines;
    std::map<std::pair<std::string, std::string>, unsigned> m_entryLines;
    // Entries whose value is malformed: their references aren't checked.
    std::set<std::pair<std::string, std::string>> m_malformed;
};

} // namespace tamarack
