// tamarack-load: sends planned load to entries, checks every answer and reports the results.
#include <tamarackglade/load/batch_run.hpp>
#include <tamarackglade/load/calibration.hpp>
#include <tamarackglade/load/load_plan.hpp>
#include <tamarackglade/load/load_report.hpp>
#include <tamarackglade/load/load_run.hpp>
#include <tamarackglade/load/profile_parser.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

DEFINE_string(profile, "", "INI file of the load; without it, one customer with one class");
DEFINE_string(targets, "", "addresses ip:port separated by commas, in place of the profile's");
DEFINE_string(keys, "", "file with a line 'CUSTOMER KEY' for each customer");
DEFINE_string(mode, "open",
              "open: by planned arrivals; closed: by connections; calibrate: compare an engine "
              "with its formula");
DEFINE_string(
    set, "", "settings that override those of [run] in the profile: key=value separated by commas");
DEFINE_double(seconds, 0, "length of the run in seconds, over the profile's; 0 keeps it");
DEFINE_double(rate, 0, "requests a second of each customer, over the profile's; 0 keeps it");
DEFINE_uint32(seed, 0, "seed of the plan, over the profile's; 0 keeps it");
DEFINE_uint32(connections, 50, "concurrent requests in closed mode, 1 to 100000");
DEFINE_uint32(threads, 1, "threads, 1 to 64");
DEFINE_string(model, "", "model of every class, over the profile's");
DEFINE_uint32(max_tokens, 0, "tokens of every class's answers, over the profile's; 0 keeps it");
DEFINE_double(streamed, -1, "share of streamed requests, over the profile's; -1 keeps it");
DEFINE_string(json, "", "file for the report as JSON; - for standard output");
DEFINE_string(csv, "", "file for the report as CSV");
DEFINE_string(svg, "", "file for the plot of the time to the first token as SVG");
DEFINE_uint64(w_us, 8000, "calibrate: the engine's W in microseconds");
DEFINE_uint64(h_us, 650, "calibrate: the engine's H in microseconds");
DEFINE_double(speedup, 1, "calibrate: the engine's speedup, above 0");

using namespace tamarack;

namespace {

// A wrong or cut answer, or a batch item with a wrong, missing or duplicate result.
constexpr int StatusWrongAnswer = 1;
constexpr int StatusUsage = 2;
constexpr int StatusOutput = 3; // a report could not be written

std::optional<std::string> readFile(const std::string &name)
{
    std::ifstream file(name);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool writeFile(const std::string &name, const std::string &text)
{
    if (name.empty())
        return true;
    if (name == "-") {
        std::cout << text;
        return true;
    }
    std::ofstream file(name);
    file << text;
    file.flush();
    if (!file)
        std::cerr << "can't write " << name << "\n";
    return static_cast<bool>(file);
}

void addFault(std::vector<std::string> &faults, const absl::Status &status)
{
    if (!status.ok())
        faults.emplace_back(status.message());
}

void applyTargets(load_profile &profile)
{
    if (FLAGS_targets.empty())
        return;
    profile.targets.clear();
    for (const absl::string_view address : absl::StrSplit(FLAGS_targets, ','))
        profile.targets.push_back({std::string(address), std::string(address), 1});
}

void applyFlags(load_profile &profile, std::vector<std::string> &faults)
{
    applyTargets(profile);
    if (FLAGS_profile.empty()) {
        profile.customers.emplace_back().name = "customer";
        profile.classes.emplace_back().name = "class";
    }
    for (const absl::string_view pair : absl::StrSplit(FLAGS_set, ',', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> parts =
            absl::StrSplit(pair, absl::MaxSplits('=', 1));
        addFault(faults, setRunOption(profile, parts.first, parts.second));
    }
    if (FLAGS_seconds > 0)
        profile.seconds = FLAGS_seconds;
    if (FLAGS_seed > 0)
        profile.seed = FLAGS_seed;
    for (load_customer &customer : profile.customers)
        customer.load = FLAGS_rate > 0 ? FLAGS_rate : customer.load;
    for (load_class &kind : profile.classes) {
        kind.model = FLAGS_model.empty() ? kind.model : FLAGS_model;
        kind.maxTokens = FLAGS_max_tokens > 0 ? FLAGS_max_tokens : kind.maxTokens;
        kind.streamed = FLAGS_streamed >= 0 ? std::min(1.0, FLAGS_streamed) : kind.streamed;
    }
}

load_profile loadProfile(std::vector<std::string> &faults)
{
    load_profile profile;
    if (!FLAGS_profile.empty()) {
        const auto text = readFile(FLAGS_profile);
        if (!text) {
            faults.push_back("can't read " + FLAGS_profile);
            return profile;
        }
        parsed_profile parsed = parseLoadProfile(*text);
        for (const std::string &fault : parsed.faults)
            faults.push_back(absl::StrCat(FLAGS_profile, ": ", fault));
        profile = std::move(parsed.profile);
    }
    applyFlags(profile, faults);
    if (!FLAGS_keys.empty()) {
        const auto keys = readFile(FLAGS_keys);
        if (keys)
            addFault(faults, setCustomerKeys(profile, *keys));
        else
            faults.push_back("can't read " + FLAGS_keys);
    }
    for (std::string &fault : checkLoadProfile(profile))
        faults.push_back(std::move(fault));
    return profile;
}

bool allAnswersCorrect(const load_report &report)
{
    const load_row total = report.result.statistics.total();
    bool correct = total.wrong == 0 && total.cut == 0;
    for (const batch_result &batch : report.batches)
        correct = correct && batch.missing == 0 && batch.duplicates == 0 && batch.wrong == 0;
    return correct;
}

int writeReport(const load_report &report)
{
    if (FLAGS_json != "-")
        std::cout << reportText(report);
    const bool jsonWritten = writeFile(FLAGS_json, reportJson(report).dump(2) + "\n");
    const bool csvWritten = writeFile(FLAGS_csv, reportCsv(report));
    const bool svgWritten = writeFile(FLAGS_svg, reportSvg(report));
    if (!jsonWritten || !csvWritten || !svgWritten)
        return StatusOutput;
    return allAnswersCorrect(report) ? 0 : StatusWrongAnswer;
}

int runLoad(const load_profile &profile)
{
    load_report report{profile, {}, {}};
    if (FLAGS_mode == "closed") {
        report.result = runClosedLoop(profile, FLAGS_connections, FLAGS_threads);
        return writeReport(report);
    }
    const auto plan = planRequests(profile);
    if (!plan.ok()) {
        std::cerr << plan.status().message() << "\n";
        return StatusUsage;
    }
    std::thread batches([&] { report.batches = runBatches(profile); });
    report.result = runOpenLoop(profile, *plan, FLAGS_threads);
    batches.join();
    return writeReport(report);
}

int runCalibration()
{
    if (FLAGS_targets.empty() || FLAGS_speedup <= 0) {
        std::cerr << "calibrate needs --targets=ip:port of an engine and --speedup above 0\n";
        return StatusUsage;
    }
    engine_profile engine;
    engine.iterationBase = std::chrono::microseconds(FLAGS_w_us);
    engine.iterationPerSequence = std::chrono::microseconds(FLAGS_h_us);
    engine.speedup = FLAGS_speedup;
    const std::string model = FLAGS_model.empty() ? "model" : FLAGS_model;
    std::cout << calibrationText(calibrate(FLAGS_targets, model, engine));
    return 0;
}

bool checkFlags()
{
    const bool isModeValid =
        FLAGS_mode == "open" || FLAGS_mode == "closed" || FLAGS_mode == "calibrate";
    if (!isModeValid)
        std::cerr << "--mode: expected open, closed or calibrate, found '" << FLAGS_mode << "'\n";
    const bool areCountsValid = FLAGS_threads >= 1 && FLAGS_threads <= 64 && FLAGS_connections >= 1
                                && FLAGS_connections <= 100'000;
    if (!areCountsValid)
        std::cerr << "--threads must be 1 to 64 and --connections 1 to 100000\n";
    return isModeValid && areCountsValid;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("sends load to entries and reports the results. Exit status: 0 all "
                            "answers correct, 1 a wrong or cut answer, 2 usage, 3 output");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!checkFlags())
        return StatusUsage;
    if (FLAGS_mode == "calibrate")
        return runCalibration();
    std::vector<std::string> faults;
    const load_profile profile = loadProfile(faults);
    for (const std::string &fault : faults)
        std::cerr << fault << "\n";
    return faults.empty() ? runLoad(profile) : StatusUsage;
}
