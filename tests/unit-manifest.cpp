// Tests of the manifest: values, faults, references, the reference page and the examples.
#include <tamarackglade/config/manifest_options.hpp>
#include <tamarackglade/config/parse_manifest.hpp>

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    REQUIRE(file.good());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

const std::string Fleet = "[fleet]\nname = f\n"; // two lines, valid alone

// The only fault of the text.
manifest_fault onlyFault(const std::string &text)
{
    const manifest_result result = parseManifest(text);
    CHECK_FALSE(result.ok());
    for (const manifest_fault &fault : result.faults)
        INFO(fault.toString());
    REQUIRE(result.faults.size() == 1);
    return result.faults[0];
}

} // namespace

TEST_CASE("a small manifest")
{
    const manifest_result result = parseManifest(Fleet);
    REQUIRE(result.ok());
    CHECK(result.parsed->fleet.partitions == 16);
    CHECK(result.parsed->batch.resultExpiry == 30 * 24h);
    CHECK(result.parsed->digest != parseManifest(Fleet + "\n").parsed->digest);
}

// Guards against a customer that may call every model once its list has lost the last one.
TEST_CASE("a customer with an empty list of models may call none")
{
    const auto customerWith = [](const std::string &models) {
        const manifest_result result =
            parseManifest(Fleet + "[group e]\nkind = engine\n[model m]\ngroup = e\nversion = 1\n"
                          + "[customer c]\nrate-per-second = 1\nburst = 1\n" + models);
        REQUIRE(result.ok());
        return *result.parsed->customer(customer_id("c"));
    };
    CHECK(customerWith("").mayUse(model_id("m")));
    CHECK(customerWith("models = *\n").mayUse(model_id("m")));
    CHECK(customerWith("models = m\n").mayUse(model_id("m")));
    CHECK_FALSE(customerWith("models =\n").mayUse(model_id("m")));
    CHECK_FALSE(customerWith("models = ; none\n").mayUse(model_id("m")));
}

TEST_CASE("the examples")
{
    const manifest_result permits = parseManifest(readFile("examples/permit-assistant.ini"));
    REQUIRE(permits.ok());
    CHECK(permits.parsed->customers.size() == 8);
    CHECK(permits.parsed->models.size() == 1);
    const route_options *route = permits.parsed->routeOf("/records/heritage/7?x=1");
    REQUIRE(route != nullptr);
    CHECK(route->isRepeatable("GET"));
    CHECK_FALSE(route->isRepeatable("POST"));
    CHECK(permits.parsed->routeOf("/records/heritage-else") == nullptr);

    const manifest_result passes = parseManifest(readFile("examples/closure-advisories.ini"));
    REQUIRE(passes.ok());
    CHECK(passes.parsed->customers.size() == 8);
    CHECK(passes.parsed->models.size() == 2);
    CHECK(passes.parsed->routeOf("/passes")->open);
    const customer_options *drivers = passes.parsed->customer(customer_id("driver-app"));
    CHECK(drivers->mayUse(model_id("advisory-short")));
    CHECK_FALSE(drivers->mayUse(model_id("notice-writer")));
    CHECK(passes.parsed->objectives.at("first-token").threshold == 360ms);
}

TEST_CASE("each kind of fault names line, section, key, found and expected")
{
    SUBCASE("unknown section")
    {
        CHECK(onlyFault(Fleet + "[flot]\n").line == 3);
        CHECK(onlyFault(Fleet + "[customer]\n").found == "no name");
        CHECK(onlyFault(Fleet + "[group A b]\nkind=engine\n").found == "name A b");
    }
    SUBCASE("unknown key")
    {
        const manifest_fault fault = onlyFault(Fleet + "partitons = 4\n");
        CHECK(
            fault
            == manifest_fault{3, "fleet", "partitons", "an unknown key",
                              "one of name, partitions, log-retention, load-interval, load-burst"});
    }
    SUBCASE("duplicates")
    {
        CHECK(onlyFault(Fleet + "name = g\n").expected == "it once; it stands on line 2");
        CHECK(onlyFault(Fleet + "[fleet]\n").line == 3);
    }
    SUBCASE("values out of type, unit or range")
    {
        for (const char *value : {"0", "4097", "-1", "x", "1.5", "16 partitions", ""}) {
            const manifest_fault fault = onlyFault(Fleet + "partitions = " + value + "\n");
            CHECK(fault.line == 3);
            CHECK(fault.expected == "an integer from 1 to 4096");
        }
        for (const char *value : {"7", "7w", "d", "1s", "500d", "nan d", "-1d", "1e99d"})
            CHECK(onlyFault(Fleet + "log-retention = " + value + "\n").key == "log-retention");
        CHECK(onlyFault(Fleet + "[group g]\nkind = motor\n").expected == "one of engine, service");
        CHECK(onlyFault(Fleet + "[group g]\nkind = engine\norder-check = true\n").line == 5);
        for (const char *value : {"nan", "inf", "0", "1e9"}) {
            CHECK(
                onlyFault(Fleet + "[customer c]\nburst = 1\nrate-per-second = " + value + "\n").key
                == "rate-per-second");
        }
    }
    SUBCASE("absent")
    {
        CHECK(onlyFault("").key == "name");
        CHECK(onlyFault(Fleet + "[group g]\n").found == "nothing");
    }
    SUBCASE("syntax")
    {
        CHECK(onlyFault(Fleet + "just words\n").expected == "key = value");
        CHECK(onlyFault(Fleet + "[open\n").line == 3);
        CHECK(onlyFault(Fleet + "[batch] more\n").found == "[batch] more");
        CHECK(onlyFault("a = 1\n" + Fleet).line == 1);
        CHECK(onlyFault(Fleet + "; ok\n" + std::string(300, 'x') + "=1\n").line == 4);
        CHECK(onlyFault(Fleet + std::string("a\0b = 1\n", 8)).line == 3);
        CHECK(parseManifest(Fleet + "  partitions = 3 ; few\r\n").ok());
    }
    SUBCASE("references")
    {
        CHECK(onlyFault(Fleet + "[model m]\ngroup = no\nversion = 1\n").key == "group");
        const std::string groups = "[group e]\nkind = engine\n[group s]\nkind = service\n";
        CHECK(onlyFault(Fleet + groups + "[model m]\ngroup = s\nversion = 1\n").line == 8);
        CHECK(onlyFault(Fleet + groups + "[route r]\ngroup = e\nprefix = /r\n").found == "e");
        const std::string customer = "[customer c]\nrate-per-second = 1\nburst = 1\n";
        CHECK(onlyFault(Fleet + customer + "models = m\n").found == "m");
        CHECK(onlyFault(Fleet + "[objective o]\nkind = refusals\ntarget = 99\ncustomer = x\n").line
              == 6);
    }
    SUBCASE("routes")
    {
        const std::string base = Fleet + "[group s]\nkind = service\n";
        const auto route = [](const std::string &name, const std::string &prefix) {
            return "[route " + name + "]\ngroup = s\nprefix = " + prefix + "\n";
        };
        CHECK(parseManifest(base + route("a", "/a") + route("b", "/ab")).ok());
        for (const char *prefix : {"/a", "/a/", "/a/b"})
            CHECK(onlyFault(base + route("a", "/a") + route("b", prefix)).line == 10);
        for (const char *prefix : {"/v1", "/v1/x", "/", "x", "/a//b", "/../b", "/a b"})
            CHECK(onlyFault(base + route("a", prefix)).key == "prefix");
        CHECK(onlyFault(base + route("a", "/a") + "repeatable-methods = get\n").found == "get");
    }
    SUBCASE("objectives")
    {
        const std::string start = Fleet + "[objective o]\ntarget = 95\nkind = ";
        CHECK(onlyFault(start + "ttft\n").expected == "a duration above zero for this kind");
        CHECK(onlyFault(start + "refusals\nthreshold = 1s\n").line == 6);
        CHECK(parseManifest(start + "token-gap\nthreshold = 76ms\n").ok());
    }
    SUBCASE("windows")
    {
        CHECK(onlyFault(Fleet + "[batch]\nmin-window = 2h\nmax-window = 1h\n").key == "min-window");
    }
}

TEST_CASE("all faults come at once, in order of line")
{
    const manifest_result result = parseManifest("[fleet]\nname = F F\nwhat = 1\n[group g]\n"
                                                 "kind = x\nwords\n[model m]\n");
    std::vector<unsigned> lines;
    for (const manifest_fault &fault : result.faults)
        lines.push_back(fault.line);
    CHECK(lines == std::vector<unsigned>{2, 3, 5, 6, 7, 7});
    CHECK(result.faults[0].toString().starts_with("line 2: [fleet] name: found F F, expected"));
}

TEST_CASE("docs/manifest.md has the table of the code")
{
    CHECK(readFile("docs/manifest.md").find(manifestOptionsMarkdown()) != std::string::npos);
}
