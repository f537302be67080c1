// Implements the calibration with concurrent streams of the load client.
#include <tamarackglade/load/calibration.hpp>
#include <tamarackglade/load/load_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/str_format.h>
#include <boost/fiber/fiber.hpp>

#include <algorithm>
#include <numeric>

namespace tamarack {

namespace {

constexpr std::uint32_t MaxSequences = 32; // sequences
constexpr std::uint32_t TokensPerAnswer = 64;

load_profile calibrationProfile(const std::string &address, const std::string &model)
{
    load_profile profile;
    profile.targets.push_back({"engine", address, 1});
    profile.customers.emplace_back().name = "calibration";
    load_class kind;
    kind.name = "calibration";
    kind.model = model;
    kind.maxTokens = TokensPerAnswer;
    profile.classes.push_back(kind);
    return profile;
}

// Returns the mean seconds between tokens of one stream, or 0 if its answer was not as expected.
double tokenTime(const request_outcome &outcome)
{
    if (outcome.kind != outcome_kind::Whole || outcome.gaps.empty())
        return 0;
    const duration sum = std::accumulate(outcome.gaps.begin(), outcome.gaps.end(), duration{});
    return toSeconds(sum) / static_cast<double>(outcome.gaps.size());
}

double measure(load_client &client, std::uint32_t sequences)
{
    std::vector<double> times(sequences);
    std::vector<boost::fibers::fiber> streams;
    streams.reserve(sequences);
    for (std::uint32_t i = 0; i < sequences; ++i) {
        streams.emplace_back([&, i] {
            planned_request request;
            request.streamed = true;
            request.promptSeed = sequences * 1000 + i;
            times[i] = tokenTime(client.execute(request, steadyNow()));
        });
    }
    for (boost::fibers::fiber &stream : streams)
        stream.join();
    std::ranges::sort(times);
    return times[sequences / 2];
}

} // namespace

std::vector<calibration_point> calibrate(const std::string &address, const std::string &model,
                                         const engine_profile &profile)
{
    const load_profile load = calibrationProfile(address, model);
    std::vector<calibration_point> points;
    io_thread thread;
    thread.run([&] {
        load_client client(thread.io(), load);
        for (std::uint32_t sequences = 1; sequences <= MaxSequences; sequences *= 2)
            points.push_back({sequences, measure(client, sequences),
                              toSeconds(profile.iterationTime(sequences))});
    });
    return points;
}

std::string calibrationText(const std::vector<calibration_point> &points)
{
    std::string text =
        absl::StrFormat("%9s %12s %12s %8s\n", "sequences", "measured ms", "formula ms", "error");
    for (const calibration_point &point : points)
        text +=
            absl::StrFormat("%9u %12.3f %12.3f %7.2f%%\n", point.sequences, point.measured * 1e3,
                            point.formula * 1e3, (point.measured / point.formula - 1) * 100);
    return text;
}

} // namespace tamarack
