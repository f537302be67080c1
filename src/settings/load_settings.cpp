// inih for the file, gflags for the command line, both checked against the same table.
#include <tamarackglade/ini/ini_document.hpp>
#include <tamarackglade/runtime/source_digest.hpp>
#include <tamarackglade/settings/load_settings.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <gflags/gflags.h>

#include <deque>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

DEFINE_string(settings, "", "INI file with the process's settings");
DEFINE_bool(check_settings, false, "check the settings, list every fault, and exit");

namespace tamarack {

namespace {

// Applies one entry of the file; seen holds the names that came before.
void applyEntry(const option_table &table, const std::string &source, const std::string &section,
                const ini_entry &entry, std::set<std::string> &seen, setting_values &values,
                std::vector<setting_fault> &faults)
{
    const std::string program(table.program);
    const int line = static_cast<int>(entry.line);
    if (section != program)
        faults.push_back({source, line, entry.key, absl::StrCat("[", section, "]"),
                          absl::StrCat("section [", program, "]")});
    else if (!seen.insert(entry.key).second)
        faults.push_back({source, line, entry.key, entry.value, "each setting once"});
    else
        values.set(entry.key, entry.value, source, line, faults);
}

// A gflags string flag for one option; registered once per process, also if settings are loaded
// again.
struct option_flag
{
    std::string name;
    std::string help;
    std::string current;
    std::string initial;
};

std::string flagName(std::string_view optionName)
{
    std::string name(optionName);
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

// gflags keeps pointers into the flags, so they live as long as the process.
std::deque<option_flag> &optionFlags()
{
    static auto *flags = new std::deque<option_flag>;
    return *flags;
}

void registerFlags(const option_table &table)
{
    for (const setting_option &option : table.options) {
        gflags::CommandLineFlagInfo known;
        if (gflags::GetCommandLineFlagInfo(flagName(option.name).c_str(), &known))
            continue;
        option_flag &flag = optionFlags().emplace_back();
        flag.name = flagName(option.name);
        flag.help = std::string(option.help);
        const gflags::FlagRegisterer registered(flag.name.c_str(), flag.help.c_str(), "settings",
                                                &flag.current, &flag.initial);
    }
}

void applyFlags(const option_table &table, setting_values &values,
                std::vector<setting_fault> &faults)
{
    for (const setting_option &option : table.options) {
        gflags::CommandLineFlagInfo info;
        gflags::GetCommandLineFlagInfo(flagName(option.name).c_str(), &info);
        if (!info.is_default)
            values.set(option.name, info.current_value, "command line", 0, faults);
    }
}

std::optional<std::string> fileText(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void readSettingsFile(const option_table &table, const std::string &path, setting_values &values,
                      std::vector<setting_fault> &faults)
{
    const auto text = fileText(path);
    if (!text) {
        faults.push_back({path, 0, "settings", path, "a readable file"});
        return;
    }
    readSettingsText(table, *text, path, values, faults);
}

absl::Status faultStatus(const std::vector<setting_fault> &faults)
{
    return absl::InvalidArgumentError(
        absl::StrJoin(faults, "\n", [](std::string *out, const setting_fault &fault) {
            out->append(fault.text());
        }));
}

// File, then command line, then what is missing.
absl::StatusOr<setting_values> checkedSettings(const option_table &table,
                                               std::vector<setting_fault> faults)
{
    setting_values values(table);
    if (!FLAGS_settings.empty())
        readSettingsFile(table, FLAGS_settings, values, faults);
    applyFlags(table, values, faults);
    const std::string place = FLAGS_settings.empty() ? "command line" : FLAGS_settings;
    values.checkRequired(place, faults);
    if (!faults.empty())
        return faultStatus(faults);
    return values;
}

} // namespace

void readSettingsText(const option_table &table, const std::string &text, const std::string &source,
                      setting_values &values, std::vector<setting_fault> &faults)
{
    const ini_document document = readIni(text);
    std::set<std::string> seen;
    for (const ini_section &section : document.sections) {
        for (const ini_entry &entry : section.entries)
            applyEntry(table, source, section.header, entry, seen, values, faults);
    }
    for (const manifest_fault &fault : document.faults)
        faults.push_back(
            {source, static_cast<int>(fault.line), "syntax", fault.found, fault.expected});
}

absl::StatusOr<loaded_settings> loadSettings(const option_table &table, int argc, char **argv)
{
    registerFlags(table);
    gflags::SetUsageMessage(std::string(table.summary));
    gflags::SetVersionString(std::string(sourceDigest()));
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<setting_fault> faults;
    if (argc > 1)
        faults.push_back({"command line", 0, argv[1], argv[1], "no arguments but flags"});
    auto values = checkedSettings(table, std::move(faults));
    if (!values.ok())
        return values.status();
    return loaded_settings{std::move(*values), FLAGS_check_settings};
}

absl::StatusOr<setting_values> reloadSettings(const option_table &table)
{
    return checkedSettings(table, {});
}

std::string settingsFileText()
{
    return fileText(FLAGS_settings).value_or("");
}

} // namespace tamarack
