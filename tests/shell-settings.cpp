// Tests of process settings: every fault at once, ranges, flags over the file, the reference page.
#include <tamarackglade/settings/load_settings.hpp>

#include <doctest/doctest.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const std::string Required = "[tamarack-entry]\n"
                             "vm = entry-1\n"
                             "zone = wa-south-1\n"
                             "region = wa-south\n"
                             "platform = 127.0.0.1:7000, 127.0.0.1:7001\n"
                             "fleet-secret-file = secret\n"; // six lines, valid alone

// What reading a text gives, with all its faults as text.
struct read_result
{
    setting_values values{entryOptions()};
    std::vector<std::string> faults;
};

read_result readText(const std::string &text)
{
    read_result result;
    std::vector<setting_fault> faults;
    readSettingsText(entryOptions(), text, "entry.ini", result.values, faults);
    result.values.checkRequired("entry.ini", faults);
    for (const setting_fault &fault : faults)
        result.faults.push_back(fault.text());
    return result;
}

// The only fault of the required settings with one line more.
std::string faultOf(const std::string &line)
{
    const read_result result = readText(Required + line + "\n");
    REQUIRE(result.faults.size() == 1);
    return result.faults[0];
}

bool isAccepted(const std::string &line)
{
    return readText(Required + line + "\n").faults.empty();
}

// A file that is removed at the end of the scope.
class scratch_file
{
public:
    explicit scratch_file(const std::string &text)
    {
        char name[] = "/tmp/tamarack-settings-XXXXXX";
        const int handle = ::mkstemp(name);
        REQUIRE(handle >= 0);
        ::close(handle);
        m_path = name;
        std::ofstream(m_path) << text;
    }
    scratch_file(const scratch_file &) = delete;
    scratch_file &operator=(const scratch_file &) = delete;
    ~scratch_file() { std::remove(m_path.c_str()); }

    [[nodiscard]] const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

// Runs loadSettings on a command line; gflags keeps its values, so they are put back after it.
absl::StatusOr<loaded_settings> load(std::vector<std::string> arguments)
{
    const gflags::FlagSaver saver;
    arguments.insert(arguments.begin(), "tamarack-entry");
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string &argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    return loadSettings(entryOptions(), static_cast<int>(arguments.size()), pointers.data());
}

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    REQUIRE(file.good());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("settings: values, defaults and lists")
{
    const read_result result = readText(Required + "threads = 4\nbody-timeout = 250\n");
    CHECK(result.faults.empty());
    CHECK(result.values.text("vm") == "entry-1");
    CHECK(result.values.integer("threads") == 4);
    CHECK(result.values.milliseconds("body-timeout") == 250ms);
    CHECK(result.values.integer("header-limit") == 16384);
    CHECK(result.values.list("platform")
          == std::vector<std::string>{"127.0.0.1:7000", "127.0.0.1:7001"});
}

TEST_CASE("settings: every fault of a file is listed at once, with its line")
{
    const read_result result = readText("[tamarack-entry]\n"
                                        "vm = entry-1\n"
                                        "threads = none\n"
                                        "colour = red\n"
                                        "header-limit = 5\n"
                                        "platform = localhost\n"
                                        "vm = entry-2\n"
                                        "[other]\n"
                                        "zone = a\n");
    const std::string headerLimitFault = "entry.ini:5: header-limit: expected a whole number from "
                                         "1024 to 1048576 bytes, found '5'";
    CHECK(result.faults
          == std::vector<std::string>{
              "entry.ini:3: threads: expected a whole number from 1 to 64 threads, found 'none'",
              "entry.ini:4: colour: expected a known setting, found 'red'", headerLimitFault,
              "entry.ini:6: platform: expected ip:port, separated by commas, found 'localhost'",
              "entry.ini:7: vm: expected each setting once, found 'entry-2'",
              "entry.ini:9: zone: expected section [tamarack-entry], found '[other]'",
              "entry.ini: zone: expected text, found nothing",
              "entry.ini: region: expected text, found nothing",
              "entry.ini: platform: expected ip:port, separated by commas, found nothing",
              "entry.ini: fleet-secret-file: expected text, found nothing"});
    CHECK(result.values.text("vm") == "entry-1");
    CHECK(result.values.integer("threads") == 1);
}

TEST_CASE("settings: a line that is no INI is a fault")
{
    CHECK(faultOf("no equals sign here")
          == "entry.ini:7: syntax: expected key = value, found 'no equals sign here'");
}

TEST_CASE("settings: ranges include their ends")
{
    CHECK(isAccepted("threads = 1"));
    CHECK(isAccepted("threads = 64"));
    for (const char *value : {"0", "65", "-1", "1.5", "4 threads", "99999999999999999999"})
        CHECK(faultOf(std::string("threads = ") + value).find("from 1 to 64 threads")
              != std::string::npos);
    CHECK(isAccepted("drain-limit = 0"));
    CHECK(isAccepted("drain-limit = 3600000"));
    CHECK_FALSE(isAccepted("drain-limit = 3600001"));
}

TEST_CASE("settings: addresses are ip:port")
{
    CHECK(isAccepted("listen = 0.0.0.0:80"));
    for (const char *value : {"localhost:80", "127.0.0.1", "127.0.0.1:70000", ":80", "127.0.0.1:"})
        CHECK(faultOf(std::string("listen = ") + value).find("listen: expected ip:port")
              != std::string::npos);
}

// Guards against a listener without TLS whose operator has set up one half of it.
TEST_CASE("settings: a certificate and its key are needed together")
{
    CHECK(isAccepted("tls-certificate = c.pem\ntls-key = k.pem"));
    CHECK(isAccepted("tls-certificate =\ntls-key ="));
    CHECK(faultOf("tls-key = k.pem")
          == "entry.ini: tls-certificate: expected a value, as tls-key has one, found nothing");
    CHECK(faultOf("tls-key = k.pem\ntls-certificate =")
          == "entry.ini: tls-certificate: expected a value, as tls-key has one, found nothing");
    CHECK(faultOf("tls-certificate = c.pem")
          == "entry.ini: tls-key: expected a value, as tls-certificate has one, found nothing");
}

// Guards against a side that treats a plain service as an engine after a typing error.
TEST_CASE("settings: a choice is one of its words")
{
    const auto faultsOf = [](const std::string &kind) {
        setting_values values(sideOptions());
        std::vector<setting_fault> faults;
        values.set("kind", kind, "side.ini", 7, faults);
        return faults;
    };
    CHECK(faultsOf("engine").empty());
    CHECK(faultsOf("service").empty());
    for (const char *kind : {"", "Service", "services", "engine|service", "|", "plain"}) {
        CAPTURE(kind);
        REQUIRE(faultsOf(kind).size() == 1);
        CHECK(faultsOf(kind)[0].expected == "one of engine|service");
    }
}

TEST_CASE("settings: every option's default passes its own check")
{
    for (const option_table *table : {&entryOptions(), &sideOptions()}) {
        for (const setting_option &option : table->options) {
            if (option.required || option.defaultValue.empty())
                continue;
            setting_values values(*table);
            std::vector<setting_fault> faults;
            values.set(option.name, std::string(option.defaultValue), "default", 0, faults);
            INFO(option.name);
            CHECK(faults.empty());
        }
    }
}

TEST_CASE("settings: flags go before the file, and faults of both are listed")
{
    const scratch_file file(Required + "threads = 2\nbody-limit = 2048\n");
    const std::string settings = "--settings=" + file.path();

    const auto fromFile = load({settings});
    REQUIRE(fromFile.ok());
    CHECK(fromFile->values.integer("threads") == 2);
    CHECK_FALSE(fromFile->checkOnly);

    const auto both = load({settings, "--threads=8", "--check-settings", "--drain_limit=77"});
    REQUIRE(both.ok());
    CHECK(both->values.integer("threads") == 8);
    CHECK(both->values.integer("body-limit") == 2048);
    CHECK(both->values.milliseconds("drain-limit") == 77ms);
    CHECK(both->checkOnly);

    const scratch_file faulty(Required + "colour = red\n");
    const auto bad = load({"--settings=" + faulty.path(), "--threads=99", "stray"});
    REQUIRE_FALSE(bad.ok());
    const std::string message(bad.status().message());
    CHECK(absl::IsInvalidArgument(bad.status()));
    CHECK(message.find("command line: stray: expected no arguments but flags")
          != std::string::npos);
    CHECK(message.find(":7: colour: expected a known setting") != std::string::npos);
    CHECK(message.find("command line: threads: expected a whole number from 1 to 64")
          != std::string::npos);
}

TEST_CASE("settings: a missing file and missing settings are faults")
{
    const auto missing = load({"--settings=/nonexistent.ini"});
    REQUIRE_FALSE(missing.ok());
    CHECK(missing.status().message().find("expected a readable file") != std::string::npos);
    CHECK(missing.status().message().find("fleet-secret-file") != std::string::npos);
}

TEST_CASE("the settings page equals the option table")
{
    const std::string page = "docs/settings.md";
    if (std::getenv("TAMARACK_WRITE_SETTINGS_PAGE") != nullptr)
        std::ofstream(page) << settingsReference();
    CHECK(readFile(page) == settingsReference());
}
