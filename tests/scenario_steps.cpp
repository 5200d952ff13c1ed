#include "scenario_steps.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

namespace hickory::scenario {

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(50); ///< between evaluations of the conditions of a wait

    /// Throws std::runtime_error unless a requirement holds.
    void require(bool holds, const std::string& reason)
    {
        if (!holds)
            throw std::runtime_error(reason);
    }

    void replaceAll(std::string& text, const std::string& from, const std::string& to)
    {
        for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
            text.replace(at, from.size(), to);
    }

    /// Expands a configuration template.
    /// @param step "replace" has pairs of a string and its replacement, applied first
    /// @param name name of the template in the table [texts]
    /// @return the template with "{manifest:model/version}" replaced by digests and "{engines}" by the number of
    /// engines
    std::string expandConfig(const Scenario& scenario, const Json& step, const std::string& name)
    {
        std::string text = scenario.configTexts.at(name);
        for (const Json& pair : step.value("replace", Json::array()))
            replaceAll(text, pair.at(0), pair.at(1));
        replaceAll(text, "{engines}", std::to_string(scenario.fleet.plan.value("engines", 0)));
        for (const auto& [version, digest] : scenario.manifests)
            replaceAll(text, "{manifest:" + version + "}", digest);
        return text;
    }

    /// Applies a configuration and checks the status of the response.
    void apply(Scenario& scenario, const Json& step)
    {
        const std::string id = "scenario-" + std::to_string(++scenario.changes);
        const std::uint64_t base = step.value("base", scenario.generation);
        const Json response = scenario.fleet.call(step.value("entry", "entry-0"), "POST", "/v1/config",
            expandConfig(scenario, step, step.at("text")),
            { { "X-Base-Generation", std::to_string(base) }, { "X-Change-Id", id } });
        require(response.at("status") == step.value("status", 200), "apply: unexpected status: " + response.dump());
        const Json body = Json::parse(response.at("body").get<std::string>(), nullptr, false);
        if (response.at("status") == 200)
            scenario.generation = body.at("generation");
    }

    /// Applies different configurations on the same base generation concurrently, through the entries of the same
    /// index. Exactly one must be accepted and the others must be told the id of the accepted change.
    void applyRace(Scenario& scenario, const Json& step)
    {
        std::vector<std::thread> threads;
        std::vector<Json> responses(step.at("texts").size());
        for (std::size_t index = 0; index < responses.size(); ++index) {
            const std::string id = "race-" + std::to_string(++scenario.changes);
            threads.emplace_back([&scenario, &step, &responses, index, id] {
                responses[index] = scenario.fleet.call(step.at("entries").at(index), "POST", "/v1/config",
                    expandConfig(scenario, step, step.at("texts").at(index)),
                    { { "X-Base-Generation", std::to_string(scenario.generation) }, { "X-Change-Id", id } });
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        std::size_t accepted = 0;
        for (const Json& response : responses) {
            accepted += response.at("status") == 200 ? 1 : 0;
            require(response.at("status") == 200 || response.at("status") == 409,
                "apply_race: unexpected status: " + response.dump());
            require(response.at("status") == 200
                    || response.at("body").get<std::string>().find("race-") < std::string::npos,
                "the conflict does not name the other change: " + response.dump());
        }
        require(accepted == 1, std::to_string(accepted) + " changes were accepted");
        ++scenario.generation;
    }

    /// Sends one request and checks status, outcome and content of the response.
    void request(Scenario& scenario, const Json& step)
    {
        httplib::Headers headers { { "X-Workspace", step.at("workspace") }, { "X-Rank", step.at("rank") } };
        if (step.contains("key"))
            headers.emplace("Idempotency-Key", step["key"]);
        if (step.contains("timeout_ms"))
            headers.emplace("X-Timeout-Ms", std::to_string(step["timeout_ms"].get<int>()));
        const Json response = scenario.fleet.call(step.value("entry", "entry-0"), "POST",
            "/v1/services/" + step.at("service").get<std::string>() + step.at("path").get<std::string>(),
            step.at("body"), headers);
        require(response.at("status") == step.value("status", 200), "request: unexpected status: " + response.dump());
        const std::string outcome = response.at("headers").value("X-Outcome", "");
        require(
            !step.contains("outcome") || outcome == step["outcome"], "request: unexpected outcome: " + response.dump());
        const std::string body = response.at("body");
        require(body.find(step.value("contains", "")) != std::string::npos,
            "request: unexpected content: " + response.dump());
    }

    /// Starts a load generator against all running entries.
    void startLoad(Scenario& scenario, const Json& step)
    {
        const std::string name = step.at("name");
        const std::string base = scenario.fleet.directory + "/" + name;
        std::ofstream(base + ".plan") << step.at("plan").get<std::string>();
        std::vector<std::string> command { scenario.fleet.buildDirectory + "/tests/load-generator", base + ".plan",
            "--seed", std::to_string(scenario.fleet.seed), "--log", base + ".requests", "--threads",
            std::to_string(step.value("threads", 128)) };
        for (const std::string& entry : scenario.fleet.matchProcesses("entry-*"))
            if (scenario.fleet.processes.at(entry).running())
                command.insert(command.end(), { "--entries", scenario.fleet.httpAddress(entry) });
        scenario.loads[name].start(command, base + ".log");
        scenario.marks[name] = standin::SteadyClock::now();
    }

    /// Waits until a load generator ends and prints its summary.
    /// @param stop end it now instead of at the end of its plan
    void finishLoad(Scenario& scenario, const std::string& name, bool stop, std::chrono::milliseconds timeout)
    {
        Process& load = scenario.loads.at(name);
        if (stop)
            load.signal(SIGTERM);
        const auto status = load.wait(timeout);
        require(status == 0, name + (status ? " failed: " : " did not exit in time: ") + load.output());
        scenario.summaries[name] = Json::parse(load.output());
        const Json& all = scenario.summaries[name].at("all");
        std::cout << "  " << name << ":";
        for (const auto& [key, value] : all.items())
            if (value.is_number() && value != 0)
                std::cout << ' ' << key << '=' << value;
        std::cout << " first_p95=" << all.at("first_token_ms").at("p95") << std::endl;
    }

    /// Sends a signal to all processes that match "process".
    void signalAll(Scenario& scenario, const Json& step, int number)
    {
        for (const std::string& name : scenario.fleet.matchProcesses(step.at("process"))) {
            Process& process = scenario.fleet.processes.at(name);
            process.exitExpected = process.exitExpected || number == SIGKILL || number == SIGTERM;
            process.signal(number);
        }
    }

    /// Waits until all conditions "until" hold; throws std::runtime_error with those that do not at the timeout.
    void waitFor(Scenario& scenario, const Json& step, std::chrono::milliseconds timeout)
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        std::string unmetConditions;
        do {
            unmetConditions.clear();
            for (const Json& condition : step.at("until")) {
                const std::string reason = unmetReason(scenario, condition);
                unmetConditions += reason.empty() ? "" : condition.dump() + ": " + reason + "; ";
            }
            if (unmetConditions.empty())
                return;
            std::this_thread::sleep_for(pollInterval);
        } while (std::chrono::steady_clock::now() < end);
        throw std::runtime_error("conditions not met in time: " + unmetConditions);
    }

} // namespace

// Kinds of steps with their keys; keys in brackets are optional. "process" and "links" are shell patterns, "why" is
// printed, and "timeout_s" defaults to 30:
//   publish model, version [bytes, chunk_bytes]; apply text [entry, base, replace, status]; apply_race texts, entries;
//   request service, path, workspace, rank, body [entry, key, timeout_ms, status, outcome, contains];
//   load name, plan [threads]; finish name; stop_load name; kill, stop, freeze, thaw, start process;
//   links links, set; faults set; member host, state; mark name; wait until; check until.
void runStep(Scenario& scenario, const Json& step)
{
    const std::string kind = step.at("do");
    const std::chrono::milliseconds timeout(static_cast<std::int64_t>(step.value("timeout_s", 30.0) * 1000));
    Fleet& fleet = scenario.fleet;
    if (kind == "publish") {
        const std::string model = step.at("model");
        const std::string version = step.at("version");
        scenario.manifests[model + "/" + version]
            = fleet.publish(model, version, step.value("bytes", 1U << 20U), step.value("chunk_bytes", 1U << 16U));
    } else if (kind == "apply") {
        apply(scenario, step);
    } else if (kind == "apply_race") {
        applyRace(scenario, step);
    } else if (kind == "request") {
        request(scenario, step);
    } else if (kind == "load") {
        startLoad(scenario, step);
    } else if (kind == "finish" || kind == "stop_load") {
        finishLoad(scenario, step.at("name"), kind == "stop_load", timeout);
    } else if (kind == "kill") {
        signalAll(scenario, step, SIGKILL);
        for (const std::string& name : fleet.matchProcesses(step.at("process")))
            fleet.processes.at(name).wait(timeout);
    } else if (kind == "stop") {
        signalAll(scenario, step, SIGTERM);
    } else if (kind == "freeze") {
        signalAll(scenario, step, SIGSTOP);
    } else if (kind == "thaw") {
        signalAll(scenario, step, SIGCONT);
    } else if (kind == "start") {
        fleet.startProcesses(fleet.matchProcesses(step.at("process")));
    } else if (kind == "links") {
        fleet.setLinks(step.at("links"), step.at("set"));
    } else if (kind == "faults") {
        fleet.call("platform", "POST", "/admin/faults", step.at("set").dump());
    } else if (kind == "member") {
        const std::string host = step.at("host");
        if (step.at("state") == "gone")
            fleet.call("platform", "DELETE", "/admin/members/" + host);
        else
            fleet.call("platform", "POST", "/admin/members",
                Json::array({ { { "host", host }, { "state", step["state"] } } }).dump());
    } else if (kind == "mark") {
        scenario.marks[step.at("name")] = standin::SteadyClock::now();
    } else if (kind == "wait") {
        waitFor(scenario, step, timeout);
    } else if (kind == "check") {
        waitFor(scenario, step, std::chrono::milliseconds(0));
    } else {
        throw std::runtime_error("unknown kind of step: " + kind);
    }
}

void stopLoads(Scenario& scenario)
{
    constexpr auto timeout = std::chrono::seconds(30);
    for (auto& [name, load] : scenario.loads)
        if (load.running())
            finishLoad(scenario, name, true, timeout);
}

} // namespace hickory::scenario
