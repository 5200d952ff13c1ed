// Runs a scenario, which is described in a TOML file, with real processes:
//   scenario-runner --bin BUILD [--seed N] FILE.toml

#include "scenario_steps.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <toml++/toml.h>

using namespace hickory::scenario;

namespace {

/// Reads a scenario. Its keys override those of the file that its key "include" names, recursively.
Json readScenario(const std::filesystem::path& path)
{
    std::stringstream text;
    const toml::table parsed = toml::parse_file(path.string());
    text << toml::json_formatter { parsed };
    Json file = Json::parse(text.str());
    if (!file.contains("include"))
        return file;
    Json base = readScenario(path.parent_path() / file["include"].get<std::string>());
    base.merge_patch(file);
    return base;
}

/// @return a metric as one line of the file given by --metrics
Json metricLine(Scenario& scenario, const Json& spec)
{
    return { { "name", spec.at("bench") }, { "metric", spec.at("metric") }, { "value", measure(scenario, spec) },
        { "unit", spec.at("unit") },
        { "baseline", spec.contains("baseline") ? Json(measure(scenario, spec["baseline"])) : Json() },
        { "target", spec.value("target", Json()) }, { "better", spec.at("better") } };
}

/// Runs the steps [[prologue]] and [[step]], checks the invariants of all scenarios, and writes the metrics.
/// @return a message for each failure; a failed step ends the scenario
std::vector<std::string> runScenario(Scenario& scenario, const Json& file, std::ostream& metrics)
{
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::string> failures;
    std::size_t number = 0;
    std::string currentStep = "start";
    try {
        scenario.fleet.start();
        Json steps = file.value("prologue", Json::array());
        for (const Json& step : file.value("step", Json::array()))
            steps.push_back(step);
        for (const Json& step : steps) {
            const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
            currentStep = "step " + std::to_string(++number) + " " + step.at("do").get<std::string>() + " "
                + step.value("why", "");
            std::cout << std::fixed << std::setprecision(2) << elapsed.count() << " s: " << currentStep << std::endl;
            runStep(scenario, step);
        }
        currentStep = "end of loads";
        stopLoads(scenario);
        currentStep = "invariants";
        for (const std::string& violation : checkInvariants(scenario))
            failures.push_back("invariant: " + violation);
        currentStep = "metrics";
        for (const Json& spec : file.value("metric", Json::array()))
            metrics << metricLine(scenario, spec).dump() << std::endl;
    } catch (const std::exception& error) {
        failures.push_back(currentStep + ": " + error.what());
    }
    for (auto& [name, load] : scenario.loads)
        load.signal(SIGKILL);
    for (const std::string& problem : scenario.fleet.stop())
        failures.push_back("stop: " + problem);
    return failures;
}

} // namespace

int main(int argc, char** argv)
try {
    cxxopts::Options options("scenario-runner", "Runs a scenario with real processes");
    options.add_options()("bin", "build directory", cxxopts::value<std::string>()->default_value("build"))("seed",
        "seed of all processes, 0 to choose one at random",
        cxxopts::value<std::uint64_t>()->default_value("0"))("keep", "keep the directory also if the scenario passes")(
        "metrics", "file to which metrics are appended, one JSON object per line",
        cxxopts::value<std::string>()->default_value(""))(
        "file", "scenario, a TOML file", cxxopts::value<std::string>())("help", "");
    options.parse_positional({ "file" });
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    const Json file = readScenario(flags["file"].as<std::string>());
    std::uint64_t seed = flags["seed"].as<std::uint64_t>();
    constexpr std::uint64_t maxSeed = 1'000'000;
    seed = seed == 0 ? std::random_device {}() % maxSeed + 1 : seed;
    std::string directory = std::filesystem::temp_directory_path() / "hickory-scenario-XXXXXX";
    if (mkdtemp(directory.data()) == nullptr)
        throw std::runtime_error("cannot create directory " + directory);
    std::cout << "seed=" << seed << " directory=" << directory << std::endl;

    Fleet fleet(std::filesystem::absolute(flags["bin"].as<std::string>()), directory, seed, file.at("fleet"));
    Scenario scenario { .fleet = fleet, .configTexts = file.value("texts", Json::object()) };
    std::ofstream metrics(flags["metrics"].as<std::string>(), std::ios::app);
    const std::vector<std::string> failures = runScenario(scenario, file, metrics);
    for (const std::string& failure : failures)
        std::cout << "FAILED " << failure << std::endl;
    if (failures.empty()) {
        std::cout << "passed seed=" << seed << std::endl;
        if (flags.count("keep") == 0)
            std::filesystem::remove_all(directory);
    }
    return failures.empty() ? 0 : 1;
} catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << std::endl;
    return 2;
}
