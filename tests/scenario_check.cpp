#include "digest_func.h"
#include "scenario_steps.h"

#include <fnmatch.h>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace hickory::scenario {

namespace {

    /// @param observed observed value
    /// @param condition "value" is the expected value (default true), "op" the comparison (default "==")
    /// @return empty if the comparison holds, otherwise a message
    std::string compare(const Json& observed, const Json& condition)
    {
        const Json value = condition.value("value", Json(true));
        const std::string op = condition.value("op", "==");
        const bool holds = op == "==" ? observed == value
            : op == "!="              ? observed != value
            : op == ">="              ? observed >= value
            : op == "<="              ? observed <= value
            : op == ">"               ? observed > value
            : op == "<"               ? observed < value
                                      : throw std::runtime_error("unknown op " + op);
        return holds ? "" : observed.dump() + " is not " + op + " " + value.dump();
    }

    /// @return the value at a JSON pointer, null if there is none
    Json valueAt(const Json& json, const std::string& pointer)
    {
        const Json::json_pointer path(pointer);
        return json.contains(path) ? json.at(path) : Json();
    }

    /// @return body of GET /v1/status of the first running entry that answers with 200, null if none does
    Json fleetStatus(Scenario& scenario)
    {
        for (const std::string& name : scenario.fleet.matchProcesses("entry-*")) {
            if (!scenario.fleet.processes.at(name).running())
                continue;
            const Json response = scenario.fleet.call(name, "GET", "/v1/status");
            if (response.at("status") == 200)
                return Json::parse(response.at("body").get<std::string>());
        }
        return {};
    }

    /// Counts distinct hosts that are ready.
    /// @param condition "ready" names the service, "version" the model version if only that counts
    std::size_t countReady(Scenario& scenario, const Json& condition)
    {
        std::set<std::string> ready;
        const Json status = fleetStatus(scenario);
        for (const Json& entry : status.value("entries", Json::array()))
            for (const Json& agent : entry.value("agents", Json::array()))
                if (agent.at("ready") == true && agent.at("service") == condition.at("ready")
                    && (!condition.contains("version") || agent.at("version") == condition.at("version")))
                    ready.insert(agent.at("host"));
        return ready.size();
    }

    /// @return the words of each line of a text
    std::vector<std::vector<std::string>> readRows(const std::string& text)
    {
        std::vector<std::vector<std::string>> rows;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            std::istringstream words(line);
            rows.emplace_back(std::istream_iterator<std::string>(words), std::istream_iterator<std::string>());
        }
        return rows;
    }

    /// Counts matches of the regular expression "log" in the output of the processes that match "process".
    std::size_t countLog(Scenario& scenario, const Json& condition)
    {
        const std::regex pattern(condition.at("log").get<std::string>());
        std::size_t count = 0;
        for (const std::string& name : scenario.fleet.matchProcesses(condition.value("process", "*"))) {
            const std::string text = scenario.fleet.processes.at(name).output();
            count += std::distance(std::sregex_iterator(text.begin(), text.end(), pattern), std::sregex_iterator());
        }
        return count;
    }

    /// Checks that no process put a configuration generation in force that is older than its previous one.
    void checkGenerations(const Scenario& scenario, std::vector<std::string>& violations)
    {
        const std::regex inForcePattern("event=config-in-force[^\n]* generation=([0-9]+)");
        for (const auto& [name, process] : scenario.fleet.processes)
            for (const std::string& log : process.logs) {
                const std::string text = readFile(log);
                std::uint64_t last = 0;
                for (std::sregex_iterator match(text.begin(), text.end(), inForcePattern), end; match != end; ++match) {
                    const std::uint64_t generation = std::stoull((*match)[1]);
                    if (generation < last)
                        violations.push_back(log + ": generation decreased from " + std::to_string(last));
                    last = generation;
                }
            }
    }

    /// Compares the runs logged by upstreams with the published weights and with the outcomes that load generators saw.
    void checkRuns(const Scenario& scenario, std::vector<std::string>& violations)
    {
        std::map<std::string, std::size_t> runs;
        for (const FleetHost& host : scenario.fleet.hosts)
            for (const auto& row : readRows(host.runsLog.empty() ? "" : readFile(host.runsLog))) {
                ++runs[row.at(1)];
                if (host.kind != "engine")
                    continue;
                const auto digest = scenario.fleet.weightDigests.find(row.at(3));
                if (digest == scenario.fleet.weightDigests.end() || digest->second != row.at(4))
                    violations.push_back(host.name + " ran " + row.at(3) + " with weights that were not published");
            }
        // A retried request may have run in another attempt, so only requests refused in every attempt must not have
        // run.
        std::map<std::string, bool> onlyRefused;
        std::set<std::string> keyed;
        for (const auto& [name, process] : scenario.loads)
            for (const auto& row : readRows(readFile(scenario.fleet.directory + "/" + name + ".requests"))) {
                const bool refused = row.at(0) == "not_run";
                const auto [known, added] = onlyRefused.emplace(row.at(1), refused);
                known->second = known->second && refused;
                if (row.at(2) != "-")
                    keyed.insert(row.at(1));
            }
        for (const auto& [digest, count] : runs) {
            const auto sent = onlyRefused.find(digest);
            if (sent != onlyRefused.end() && sent->second)
                violations.push_back("request " + digest + " was reported as not run, but ran");
            if (count > 1 && keyed.contains(digest))
                violations.push_back("keyed request " + digest + " ran " + std::to_string(count) + " times");
        }
    }

} // namespace

std::size_t countRuns(Scenario& scenario, const Json& condition)
{
    std::size_t count = 0;
    for (const FleetHost& host : scenario.fleet.hosts)
        if (!host.runsLog.empty()
            && fnmatch(condition.at("runs").get<std::string>().c_str(), host.name.c_str(), 0) == 0)
            for (const auto& row : readRows(readFile(host.runsLog)))
                count += !condition.contains("body") || row.at(1) == digestHex(condition["body"].get<std::string>());
    return count;
}

// A condition is one of the following tables; keys in brackets are optional. All but `in_force` compare with "op" and
// "value":
//   get = "process:/path", pointer = "/json/pointer"; ready = "service" [version]; in_force = true;
//   log = "regex" [process = "pattern"]; runs = "host pattern" [body]; load = "name", pointer; exited = "process
//   pattern".
std::string unmetReason(Scenario& scenario, const Json& condition)
{
    if (condition.contains("get")) {
        const std::string target = condition["get"];
        const std::size_t colon = target.find(':');
        const Json response = scenario.fleet.call(target.substr(0, colon), "GET", target.substr(colon + 1));
        const Json body = Json::parse(response.at("body").get<std::string>(), nullptr, false);
        return compare(valueAt(body, condition.value("pointer", "")), condition);
    }
    if (condition.contains("ready")) {
        Json expected = condition;
        if (expected.at("value") == "engines") // all engines of the fleet
            expected["value"] = scenario.fleet.plan.value("engines", 0);
        return compare(countReady(scenario, condition), expected);
    }
    if (condition.contains("in_force")) {
        const Json status = fleetStatus(scenario);
        const bool newest = status.value("generation", std::uint64_t { 0 }) >= scenario.generation;
        return newest && status.value("in_force", false) ? ""
                                                         : "generation " + status.value("generation", Json()).dump()
                + " waits for " + status.value("waiting_for", Json()).dump();
    }
    if (condition.contains("log"))
        return compare(countLog(scenario, condition), condition);
    if (condition.contains("runs"))
        return compare(countRuns(scenario, condition), condition);
    if (condition.contains("load"))
        return compare(valueAt(scenario.summaries.at(condition["load"]), condition.at("pointer")), condition);
    if (condition.contains("exited")) {
        std::string observed;
        for (const std::string& name : scenario.fleet.matchProcesses(condition["exited"])) {
            Process& process = scenario.fleet.processes.at(name);
            const std::string reason
                = process.running() ? "is still running" : compare(process.status.value_or(0), condition);
            observed += reason.empty() ? "" : name + ": " + reason + " ";
        }
        return observed;
    }
    throw std::runtime_error("unknown condition " + condition.dump());
}

std::vector<std::string> checkInvariants(Scenario& scenario)
{
    std::vector<std::string> violations;
    for (const auto& [name, summary] : scenario.summaries)
        if (summary.at("/all/wrong"_json_pointer) != 0)
            violations.push_back(name + ": wrong answers: " + summary.at("mistakes").dump());
    for (const FleetHost& host : scenario.fleet.hosts) {
        if (host.kind != "engine" || !scenario.fleet.processes.at(host.name + ".upstream").running())
            continue;
        const Json response = scenario.fleet.call(host.name + ".upstream", "GET", "/admin/state");
        const Json state = Json::parse(response.at("body").get<std::string>(), nullptr, false);
        if (state.is_object() && state.at("broken_by_load") != 0)
            violations.push_back(
                host.name + ": a load order cut off " + state.at("broken_by_load").dump() + " streams");
    }
    checkGenerations(scenario, violations);
    checkRuns(scenario, violations);
    return violations;
}

} // namespace hickory::scenario
