// tamarack-capacity: runs the measurements of the capacity page on this machine.
#include <tamarackglade/report/capacity_measurements.hpp>

#include <absl/strings/match.h>
#include <gflags/gflags.h>
#include <malloc.h>

#include <ctime>
#include <iostream>

DEFINE_string(part, "", "measures only tables whose name begins with this text; empty: all");
DEFINE_string(output, "text", "output format: text or json");

using namespace tamarack;

namespace {

constexpr int StatusUsage = 2;

duration processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures the cost of each mechanism by size, with linear fits. Exit "
                            "status: 0 success, 2 usage error");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const bool json = FLAGS_output == "json";
    if (!json && FLAGS_output != "text") {
        std::cerr << "--output: expected text or json, found '" << FLAGS_output << "'\n";
        return StatusUsage;
    }
    const measurement_hooks hooks{processorTime, heapBytes};
    nlohmann::json tables = nlohmann::json::array();
    bool found = false;
    for (const auto &measurement : capacityMeasurements()) {
        if (!absl::StartsWith(measurement.name, FLAGS_part))
            continue;
        found = true;
        const capacity_table table = measurement.measure(hooks);
        if (json)
            tables.push_back(table.json());
        else
            std::cout << table.text() << std::flush;
    }
    if (!found) {
        std::cerr << "--part: no table's name begins with '" << FLAGS_part << "'\n";
        return StatusUsage;
    }
    if (json)
        std::cout << tables.dump(2) << "\n";
    return 0;
}
