#include "ctl_call_io.h"
#include "ctl_options_func.h"
#include "ctl_text_func.h"
#include "program_func.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>

using namespace hickory;

namespace {

std::optional<CtlOptions> parse(std::vector<std::string> words, int& exitCode)
{
    words.insert(words.begin(), "hickoryctl");
    std::vector<char*> values;
    for (std::string& word : words)
        values.push_back(word.data());
    return parseCtlOptions(static_cast<int>(values.size()), values.data(), exitCode);
}

} // namespace

// Guards against exit codes by which a script cannot tell a conflict or an outage from other failures.
TEST_CASE("hickoryctl maps HTTP statuses to the documented exit codes")
{
    REQUIRE(exitCodeFor({ .status = 200 }) == exitSuccess);
    REQUIRE(exitCodeFor({ .status = 400 }) == exitFailure);
    REQUIRE(exitCodeFor({ .status = 404 }) == exitFailure);
    REQUIRE(exitCodeFor({ .status = 409 }) == exitConflict);
    REQUIRE(exitCodeFor({ .status = 429 }) == exitUnavailable);
    REQUIRE(exitCodeFor({ .status = 503 }) == exitUnavailable);
    REQUIRE(exitCodeFor({ .status = 504 }) == exitUnavailable);
    REQUIRE(unreachableResult({}).exitCode == exitUnavailable);
}

// Guards against confusing --version of the program with that of a model, and --base 0 with no base.
TEST_CASE("hickoryctl parses its command line")
{
    int exitCode = -1;
    const std::optional<CtlOptions> publish = parse({ "publish", "--platform", "http://127.0.0.1:1", "--model", "m",
                                                        "--version", "v2", "file", "--entries", "a:1,https://b:2" },
        exitCode);
    REQUIRE(publish->version == "v2");
    REQUIRE(publish->arguments == std::vector<std::string> { "file" });
    REQUIRE(publish->entries == std::vector<std::string> { "http://a:1", "https://b:2" });
    REQUIRE_FALSE(publish->hasBase);
    const std::optional<CtlOptions> apply = parse({ "apply", "f", "--base", "0", "--timeout", "5" }, exitCode);
    REQUIRE(apply->hasBase);
    REQUIRE(apply->timeout.value == 5000);
    REQUIRE_FALSE(parse({ "--version" }, exitCode));
    REQUIRE(exitCode == exitSuccess);
    REQUIRE_FALSE(parse({ "status", "--colour" }, exitCode));
    REQUIRE(exitCode == exitUsage);
    REQUIRE_FALSE(parse({ "status", "--settings", "absent.toml" }, exitCode));
    REQUIRE(exitCode == exitUsage);
}

// Guards against a status that does not tell which hosts lack the newest generation.
TEST_CASE("hickoryctl status lists unreachable and outdated hosts")
{
    const nlohmann::json status = nlohmann::json::parse(
        R"({"generation":7,"in_force":false,"waiting_for":["a9"],"entries":[{"host":"e1","generation":7,"reachable":true,)"
        R"("leaving":false,"agents":[{"host":"a1","ready":false,"generation":6,"wanted_version":"v2","chunks_have":3,)"
        R"("chunks_total":9,"detail":"loading"}]},{"host":"e2","reachable":false,"generation":0,"agents":[]}]})");
    const std::string text = formatStatus(status);
    REQUIRE_THAT(text, Catch::Contains("e2    entry         unreachable"));
    REQUIRE_THAT(text, Catch::Contains("v2 3/9") && Catch::Contains("not-ready") && Catch::Contains("loading"));
    REQUIRE_THAT(text, Catch::Contains("generation 7 is not in force everywhere; waiting for a9"));
    REQUIRE(formatRows(nlohmann::json::array()) == "nothing to show\n");
}
