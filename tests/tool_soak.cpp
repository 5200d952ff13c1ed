// Runs entries and agents as separate processes against stand-ins for the store, the origin and the upstreams, injects
// random faults from outside these processes, and checks the guarantees of the system from what callers and upstreams
// see (rules in soak_ledger.h). Exit code 1 when one was violated.

#include "scenario_process.h"
#include "soak_caller.h"
#include "soak_lost_check.h"
#include "soak_pause_check.h"
#include "soak_upstream.h"

#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

using namespace hickory;
using namespace hickory::soak;
using Json = nlohmann::json;

namespace {

constexpr int entryCount = 3; ///< number of hickory-entry processes
constexpr int engineCount = 4; ///< number of stand-in engines, each with a hickory-agent process
constexpr int plainCount = 2; ///< number of stand-in plain upstreams, which have no agent
constexpr int pacedPlainCount = 4; ///< the same with --pauses, where answers take longer
constexpr int archiveCount = 2; ///< number of those of a second plain service, with --pauses
constexpr Milliseconds requestInterval { 15 }; ///< time between two requests, over all callers
constexpr Milliseconds pacedRequestInterval { 20 }; ///< the same for upstreams whose answers take some time
constexpr Milliseconds settleTime {
    6000
}; ///< from the end of faults to the fault-free phase: for restarts, membership and weights to settle
constexpr Milliseconds faultFreeTime { 2000 }; ///< last phase of sending, in which every request must succeed
constexpr Milliseconds calmTime { 3000 }; ///< without requests that crash engines, before the first of them
constexpr Milliseconds deadlyInterval { 400 }; ///< time between two requests that crash engines, over all callers
constexpr const char* deadlyPart = "dead0001"; ///< id of the prompt part that crashes engines
constexpr Milliseconds gracePeriod { 8000 }; ///< a process must have exited this long after SIGTERM

/// A process of the system under test.
struct ManagedProcess {
    std::string name; ///< of its settings and log file, e.g. "entry-1"
    std::vector<std::string> command; ///< program and arguments
    scenario::Process process; ///< last started instance, which may have ended
    bool endExpected { false }; ///< the test stopped or killed it; any other exit is a violation
    bool stopRequested { false }; ///< SIGTERM was sent: it must exit with status 0 within gracePeriod
    Milliseconds stopRequestedAt { 0 }; ///< time of SIGTERM, valid while stopRequested
    Milliseconds restartAt { 0 }; ///< earliest time of the restart after an expected exit
};

/// What a run does besides, or instead of, random faults.
struct SoakModes {
    bool deadly { false }; ///< the only fault is a prompt part that crashes engines, sent in requests to all entries
    bool restores { false }; ///< adds a store that comes back older, and answers that end with their connections
    bool notices { false }; ///< adds upstreams that say something of themselves or stand still, and callers that leave
    /// Instead of random faults: sound upstreams that are silent for a second or so, beside planned work in series.
    bool pauses { false };
};

/// One run with one seed.
class Soak {
public:
    /// @param faultTime time in which faults are injected
    /// @param buildFolder folder of the programs
    /// @param logFolder existing folder for settings and logs of this run
    Soak(std::uint64_t seed, Milliseconds faultTime, const SoakModes& modes, std::string buildFolder,
        std::string logFolder)
        : random(seed)
        , faultTime(faultTime)
        , deadly(modes.deadly)
        , restores(modes.restores)
        , notices(modes.notices)
        , pauses(modes.pauses)
        , buildFolder(std::move(buildFolder))
        , logFolder(std::move(logFolder))
        , addressPrefix("127." + std::to_string(1 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".")
        , store(this->io, this->addressPrefix + "250:8081")
        , origin(this->io, this->addressPrefix + "249:8081")
        , callers(this->io, this->ledger, this->entryAddresses())
    {
        this->ledger.unframedAnswers = this->restores;
        if (this->deadly)
            this->ledger.deadlyPart = deadlyPart;
    }

    /// Runs all phases: start, faults, settling, fault-free requests, final checks.
    /// @return true when no guarantee was violated
    bool run()
    {
        this->startProxy();
        this->startFleet();
        const Milliseconds startTime = monotonicNow();
        constexpr Milliseconds firstFault { 500 };
        Milliseconds nextFault = startTime + (this->deadly ? calmTime : firstFault);
        const Milliseconds faultsEnd = startTime + this->faultTime + (this->deadly ? calmTime : Milliseconds {});
        const Milliseconds faultFreeStart = faultsEnd + settleTime;
        const Milliseconds end = faultFreeStart + faultFreeTime;
        Milliseconds nextRequest = startTime;
        bool faultsEnded = false;
        if (this->pauses)
            this->planPauses(startTime, faultsEnd);
        const Milliseconds interval = this->pauses ? pacedRequestInterval : requestInterval;
        for (Milliseconds now = startTime; now < end; now = monotonicNow()) {
            for (; nextRequest <= now; nextRequest += interval)
                this->send(now >= faultFreeStart);
            if (!this->pauses && now < faultsEnd && now >= nextFault) {
                if (this->deadly)
                    this->sendDeadly();
                else
                    this->injectFault(now);
                nextFault = now + (this->deadly ? deadlyInterval : Milliseconds { this->randomInt(150, 1200) });
            }
            if (now >= faultsEnd && !faultsEnded) {
                faultsEnded = true;
                this->endFaults();
            }
            this->runDueActions(now);
            this->superviseProcesses(now);
            this->runLoop(5);
        }
        // Longer than the timeout of a request, so that every request has ended before the final checks.
        const Milliseconds drainEnd = monotonicNow() + Milliseconds { 4500 };
        while (monotonicNow() < drainEnd)
            this->runLoop(50);
        this->checkFinalState();
        for (ManagedProcess& managed : this->processes)
            managed.process.signal(SIGKILL);
        this->proxy.signal(SIGKILL);
        return this->report();
    }

private:
    /// @return a random number, both bounds included
    std::int64_t randomInt(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(this->random);
    }

    /// @return number of engines and plain upstreams
    int upstreamCount() const { return engineCount + (this->pauses ? pacedPlainCount + archiveCount : plainCount); }

    /// @param number 1 and up for entries, 20 and up for upstreams and their agents
    /// @return loopback address of a simulated host
    std::string hostAddress(int number) const { return this->addressPrefix + std::to_string(number); }

    std::vector<std::string> entryAddresses() const
    {
        std::vector<std::string> all;
        for (int entry = 1; entry <= entryCount; ++entry)
            all.push_back(this->hostAddress(entry) + ":8000");
        return all;
    }

    /// Runs the event loop for some time.
    void runLoop(int ms)
    {
        this->io.restart();
        this->io.run_for(std::chrono::milliseconds(ms));
    }

    // Fleet -----------------------------------------------------------------------------------------------------------

    /// Starts the fault proxy with a link to the store for each entry, and one to each upstream.
    void startProxy()
    {
        this->proxy.start(
            { this->buildFolder + "/tests/fault-proxy", "--listen", "127.0.0.1:0" }, this->logFolder + "/proxy.log");
        this->proxyAddress = this->proxy.listening("http");
        const auto addLink = [&](const std::string& name, const std::string& listen, const std::string& target) {
            this->links.push_back(name);
            this->sendProxyRequest(
                "POST", "/links", Json { { "name", name }, { "listen", listen }, { "target", target } });
            while (this->controlAnswers < this->controlRequests)
                this->runLoop(5);
        };
        for (int entry = 1; entry <= entryCount; ++entry)
            addLink(
                "store-" + std::to_string(entry), this->hostAddress(entry) + ":8090", this->addressPrefix + "250:8081");
        for (int number = 0; number < this->upstreamCount(); ++number)
            addLink("upstream-" + std::to_string(number), this->hostAddress(20 + number) + ":8080",
                this->hostAddress(20 + number) + ":8081");
    }

    /// Adds or changes a link of the fault proxy; does not wait for the answer.
    void sendProxyRequest(const std::string& method, const std::string& target, const Json& change)
    {
        // The connection is not kept for reuse: the proxy's control interface uses one thread per connection.
        ++this->controlRequests;
        this->client.fetch({ .address = this->proxyAddress,
                               .method = method,
                               .target = target,
                               .body = change.dump(),
                               .timeout = { 5000 },
                               .keep = false },
            [this, target](const Result<FetchResponse>& answer) {
                ++this->controlAnswers;
                if (!succeeded(answer))
                    this->ledger.addViolation("SOAK request to the fault proxy failed: " + target);
            });
    }

    /// @return "ip:port" that entries and agents use for an upstream: a link of the fault proxy, or the upstream itself
    /// where its end must refuse connections
    std::string upstreamAddress(int number) const
    {
        return this->hostAddress(number) + (this->deadly ? ":8081" : ":8080");
    }

    /// Starts upstreams, entries and agents, and waits up to 10 s until all entries are ready.
    void startFleet()
    {
        for (int number = 0; number < this->upstreamCount(); ++number) {
            const std::string ip = this->hostAddress(20 + number);
            this->upstreams.push_back(std::make_unique<Upstream>(this->io, this->store, this->ledger,
                (number < engineCount ? "engine" : "plain") + std::to_string(number), ip + ":8081",
                this->upstreamAddress(20 + number), number < engineCount));
            if (number >= engineCount + pacedPlainCount)
                this->upstreams.back()->service = "archive";
            this->upstreams.back()->paced = this->pauses;
            this->upstreams.back()->start(true);
        }
        this->keys = { "key-0" };
        this->writeConfig();
        for (int entry = 1; entry <= entryCount; ++entry)
            this->startProcess("entry-" + std::to_string(entry), "hickory-entry", this->entrySettings(entry));
        for (int engine = 0; engine < engineCount; ++engine)
            this->startProcess("agent-" + std::to_string(engine), "hickory-agent", this->agentSettings(20 + engine));
        const Milliseconds until = monotonicNow() + Milliseconds { 10000 };
        while (!this->allReady() && monotonicNow() < until)
            this->runLoop(50);
        if (!this->allReady())
            this->ledger.addViolation("START not all entries were ready 10 s after the start");
    }

    std::string hostSettings(const std::string& name, const std::string& ip, const std::string& store)
    {
        return "[host]\nname = \"" + name + "\"\nplace = \"a\"\nregion = \"r\"\nip = \"" + ip
            + "\"\npeer_port = 8010\nstore = \"" + store + "\"\nseeds = [\"" + this->hostAddress(1) + ":8003\", \""
            + this->hostAddress(2) + ":8003\"]\n";
    }

    std::string entrySettings(int entry)
    {
        const std::string ip = this->hostAddress(entry);
        return this->hostSettings("entry-" + std::to_string(entry), ip, ip + ":8090") + "[relay]\nfront = \"" + ip
            + ":8000\"\nreadiness = \"" + ip + ":8001\"\nlookup = \"" + ip + ":8002\"\ncontrol = \"" + ip
            + ":8003\"\nrevoke_ms = 5000\nweights_ms = 6000\ngrace_s = 8\n";
    }

    std::string agentSettings(int number)
    {
        const std::string ip = this->hostAddress(number);
        return this->hostSettings("agent-" + std::to_string(number), ip, this->addressPrefix + "250:8081")
            + "[loader]\nengine = \"" + this->upstreamAddress(number)
            + "\"\nservice = \"engines\"\nlink_mbps = 100\nweights_ms = 6000\n";
    }

    void startProcess(const std::string& name, const std::string& program, const std::string& settings)
    {
        const std::string path = this->logFolder + "/" + name + ".toml";
        std::ofstream(path) << settings;
        ManagedProcess managed { .name = name, .command = { this->buildFolder + "/" + program, "--settings", path } };
        managed.process.start(managed.command, this->logFolder + "/" + name + ".log");
        this->processes.push_back(std::move(managed));
    }

    /// @return whether the readiness checks of all entries succeed now
    bool allReady()
    {
        int ready = 0;
        int answered = 0;
        for (int entry = 1; entry <= entryCount; ++entry)
            this->client.fetch({ .address = this->hostAddress(entry) + ":8001", .target = "/api/readiness" },
                [&](const Result<FetchResponse>& answer) {
                    ++answered;
                    ready += succeeded(answer) ? 1 : 0;
                });
        while (answered < entryCount)
            this->runLoop(20);
        return ready == entryCount;
    }

    // Configuration ---------------------------------------------------------------------------------------------------

    /// Writes a configuration of a higher version with the present keys and extra routes to the store.
    void writeConfig()
    {
        this->writtenConfigVersion += 1 + static_cast<std::uint64_t>(this->randomInt(0, 3));
        const auto route = [](const char* prefix, const char* kind, const char* service, int attempts, bool stream) {
            Json object { { "name", prefix }, { "host", "soak.example" }, { "prefix", prefix }, { "kind", kind },
                { "timeout_ms", 4000 }, { "target_latency_ms", 400 }, { "priority", 1 }, { "max_attempts", attempts },
                { "service", service } };
            if (stream)
                object["resumable"] = true;
            return object;
        };
        Json routes { route("/s/", "streaming", "engines", 3, true), route("/r/", "idempotent", "desk", 3, false),
            route("/b/", "non_idempotent", "desk", 2, false) };
        for (int extra = 0; extra < this->extraRoutes; ++extra) {
            const std::string prefix = "/extra" + std::to_string(extra) + "/";
            routes.push_back(route(prefix.c_str(), "idempotent", "desk", 2, false));
        }
        if (this->pauses) {
            const auto weight = this->randomInt(0, 10);
            routes[1].erase("service");
            routes[1]["traffic_split"] = { { { "service", "desk" }, { "weight", 10 - weight } },
                { { "service", "archive" }, { "weight", weight } } };
        }
        const Json engine { { "slots", 8 }, { "step_ms", 3.0 }, { "read_per_s", 30000 }, { "stride", 7 },
            { "chunks", pieceCount }, { "chunk_bytes", 4096 }, { "usual", { { "prompt", 500 }, { "answer", 50 } } },
            { "models", { { { "name", modelName }, { "warmup_s", 0.15 } } } } };
        const Json config { { "version", this->writtenConfigVersion }, { "routes", routes },
            { "services",
                { { { "name", "engines" }, { "engine", engine } },
                    { { "name", "desk" }, { "health_path", "/api/health" } },
                    { { "name", "archive" }, { "health_path", "/api/health" } },
                    { { "name", "origin" }, { "origin", this->addressPrefix + "249:8081" }, { "link_mbps", 50.0 } } } },
            // Callers keep connections for as long as they are told, up to their own 2 s.
            { "limits", { { "idle_timeout_ms", this->writtenConfigVersion % 2 == 0 ? 1500 : 2600 } } },
            { "tenants", { { { "name", "callers" }, { "api_keys", this->keys } } } } };
        this->writtenConfig = config.dump();
        this->store.put("op", "config", this->writtenConfig);
    }

    /// Declares the next version of the weights.
    void declareWeights()
    {
        ++this->origin.newestVersion;
        this->writeDeclaredWeights();
    }

    void writeDeclaredWeights()
    {
        this->store.put("op", std::string("version/") + modelName,
            Json { { "model", modelName }, { "version", this->origin.newestVersion } }.dump());
    }

    /// Lets the store come back from a copy of now at `until`, after an outage. Operators and upstreams write again
    /// what it lost, a moment later.
    void restoreStore(Milliseconds now, Milliseconds until)
    {
        this->logFault("store restored", now);
        this->store.keepCopy();
        const Milliseconds downFor { this->randomInt(0, 1000) };
        const Milliseconds writtenAgainAfter { this->randomInt(0, 600) };
        this->schedule(until, [this] { this->store.mode = Store::Mode::Busy; });
        this->schedule(until + downFor, [this, writtenAgainAt = until + downFor + writtenAgainAfter] {
            this->store.restore();
            this->store.mode = Store::Mode::Up;
            this->schedule(writtenAgainAt, [this] {
                this->store.put("op", "config", this->writtenConfig);
                if (this->origin.newestVersion > 1)
                    this->writeDeclaredWeights();
                for (const auto& upstream : this->upstreams)
                    upstream->registerAgain();
                for (const std::string& id : this->store.keys("servers"))
                    if (std::none_of(this->upstreams.begin(), this->upstreams.end(),
                            [&](const auto& upstream) { return upstream->registeredId() == id; }))
                        this->store.remove("servers", id);
            });
        });
    }

    /// Sends a request of a random kind to a random entry.
    void send(bool faultFree)
    {
        constexpr RequestKind requestKinds[]
            = { RequestKind::Streaming, RequestKind::Idempotent, RequestKind::NonIdempotent };
        const RequestKind kind = requestKinds[this->randomInt(0, 2)];
        const bool hasParts = this->deadly && kind == RequestKind::Streaming;
        const bool leaves = this->notices && !faultFree && this->randomInt(0, 9) == 0;
        this->callers.send({ .requestKind = kind,
            .entry = static_cast<std::size_t>(this->randomInt(0, entryCount - 1)),
            .key = this->keys.back(),
            .faultFree = faultFree,
            .promptParts = hasParts ? this->sharedParts(this->randomInt(1, 2)) : std::string {},
            .leavesAfter = leaves ? Milliseconds { this->randomInt(50, 1500) } : Milliseconds {},
            .deadline = this->pauses ? Milliseconds { this->randomInt(2500, 4000) } : Milliseconds { 4000 },
            .soundAnswers = this->pauses });
    }

    /// @param count 1 or more
    /// @return parts of a prompt that many requests share
    std::string sharedParts(std::int64_t count)
    {
        std::string parts = "f1" + std::to_string(this->randomInt(0, 3)) + ":40";
        for (std::int64_t part = 1; part < count; ++part)
            parts += ",c" + std::to_string(part) + std::to_string(this->randomInt(0, 5)) + ":90";
        return parts;
    }

    /// Sends a request with the deadly part, which is neither the first nor the last one, to the next entry.
    void sendDeadly()
    {
        this->callers.send({ .requestKind = RequestKind::Streaming,
            .entry = this->deadlySent++ % entryCount,
            .key = this->keys.back(),
            .promptParts = this->sharedParts(this->randomInt(1, 2)) + "," + deadlyPart + ":165",
            .deadly = true });
    }

    // Faults ----------------------------------------------------------------------------------------------------------

    /// Runs an action when its time has come, or at the end of faults if that is earlier.
    void schedule(Milliseconds at, std::function<void()> action)
    {
        this->scheduledActions.emplace_back(at, std::move(action));
    }

    /// Runs the scheduled actions whose time has come.
    void runDueActions(Milliseconds now)
    {
        std::vector<std::function<void()>> due;
        std::erase_if(this->scheduledActions, [&](auto& item) {
            if (item.first > now)
                return false;
            due.push_back(std::move(item.second));
            return true;
        });
        for (const auto& action : due)
            action();
    }

    /// Appends a line to faults.log.
    void logFault(const std::string& what, Milliseconds now)
    {
        std::ofstream(this->logFolder + "/faults.log", std::ios::app) << now.value << " " << what << "\n";
    }

    /// Injects a fault of a random kind. A lasting fault ends after 200 to 2500 ms, but the planned restart of an
    /// upstream takes 5 s.
    void injectFault(Milliseconds now)
    {
        const Milliseconds until = now + Milliseconds { this->randomInt(200, 2500) };
        if (this->notices && this->randomInt(0, 1) == 0) {
            this->injectNotice(now, until);
            return;
        }
        switch (this->randomInt(0, this->restores ? 11 : 9)) {
        case 10:
        case 11:
            this->restoreStore(now, until);
            break;
        case 0:
        case 1:
            this->signalProcess(now, until);
            break;
        case 2:
        case 3:
            this->injectLinkFault(now, until);
            break;
        case 4:
        case 5:
            this->injectUpstreamFault(now, until);
            break;
        case 6:
            this->injectStoreFault(now, until);
            break;
        case 7:
            this->logFault("weights", now);
            this->declareWeights();
            break;
        default:
            this->changeConfig();
        }
    }

    /// Writes a configuration with other extra routes and, at times, one more key.
    void changeConfig()
    {
        this->logFault("config", monotonicNow());
        this->extraRoutes = static_cast<int>(this->randomInt(0, 5));
        if (this->randomInt(0, 1) == 0)
            this->keys.push_back("key-" + std::to_string(this->keys.size()));
        this->writeConfig();
    }

    void injectStoreFault(Milliseconds now, Milliseconds until)
    {
        this->store.mode = static_cast<Store::Mode>(this->randomInt(1, 3));
        this->logFault("store mode " + std::to_string(static_cast<int>(this->store.mode)), now);
        this->schedule(until, [this] { this->store.mode = Store::Mode::Up; });
    }

    /// Schedules the faults of --pauses: silences of sound upstreams, and planned work in series that overlap with
    /// them.
    void planPauses(Milliseconds start, Milliseconds end)
    {
        for (const auto& upstream : this->upstreams)
            this->planSilences(*upstream, start, end);
        for (Milliseconds at = start + this->randomTime(300, 1500); at < end; at += this->randomTime(500, 2000))
            for (const Milliseconds seriesEnd = at + this->randomTime(2000, 5000); at < seriesEnd && at < end;
                 at += this->randomTime(300, 1100))
                this->schedule(at, [this] { this->changeConfig(); });
        const auto repeat = [&](int least, int most, Milliseconds until, const std::function<void()>& action) {
            for (Milliseconds at = start + this->randomTime(least / 2, most); at < until;
                 at += this->randomTime(least, most))
                this->schedule(at, action);
        };
        constexpr Milliseconds lastStop { 2500 }; ///< before the end, so that an entry is back before the last phase
        repeat(400, 1500, end, [this] {
            ManagedProcess& entry = this->randomEntry();
            this->logFault("SIGHUP to " + entry.name, monotonicNow());
            entry.process.signal(SIGHUP);
        });
        repeat(1500, 3500, end - lastStop, [this] { this->stopEntry(); });
        repeat(500, 1400, end, [this] { this->askForPause(); });
        repeat(3000, 6000, end, [this] {
            this->logFault("weights", monotonicNow());
            this->declareWeights();
        });
        repeat(4000, 9000, end - lastStop, [this] { this->injectUnplanned(); });
    }

    /// Lets a random upstream turn away some requests, then all, and ask for a pause.
    void askForPause()
    {
        constexpr const char* pauseTimes[] = { "1", "2", "3", "0.8", "1.25", "2.5" };
        Upstream& upstream = *this->upstreams[static_cast<std::size_t>(
            this->randomInt(0, static_cast<std::int64_t>(this->upstreams.size()) - 1))];
        const std::string seconds = pauseTimes[this->randomInt(0, std::ssize(pauseTimes) - 1)];
        const Milliseconds now = monotonicNow();
        const Milliseconds allFrom = now + this->randomTime(300, 1200);
        this->logFault("pause of " + seconds + " s asked for by " + upstream.stableName(), now);
        upstream.turnAway(seconds, 3);
        this->schedule(allFrom, [&upstream, seconds] { upstream.turnAway(seconds, 1); });
        this->schedule(allFrom + this->randomTime(200, 1500), [&upstream] { upstream.turnAway({}, 0); });
    }

    /// Schedules silences of an upstream. It sends for some time between them.
    void planSilences(Upstream& upstream, Milliseconds start, Milliseconds end)
    {
        for (Milliseconds at = start + this->randomTime(300, 3000); at < end; at += this->randomTime(700, 3500)) {
            this->schedule(at, [this, &upstream] {
                if (!upstream.running())
                    return;
                this->logFault("silence of " + upstream.stableName(), monotonicNow());
                upstream.standStill(true);
            });
            at += this->randomTime(800, 1300);
            this->schedule(at, [this, &upstream] {
                if (!upstream.standsStill())
                    return;
                this->logFault("end of the silence of " + upstream.stableName(), monotonicNow());
                upstream.standStill(false);
            });
        }
    }

    ManagedProcess& randomEntry()
    {
        return this->processes[static_cast<std::size_t>(this->randomInt(0, entryCount - 1))];
    }

    Milliseconds randomTime(std::int64_t from, std::int64_t to) { return { this->randomInt(from, to) }; }

    /// Sends SIGTERM to a random entry, unless it is the last one that runs.
    void stopEntry()
    {
        ManagedProcess& entry = this->randomEntry();
        const auto running = std::count_if(this->processes.begin(), this->processes.begin() + entryCount,
            [](const ManagedProcess& managed) { return !managed.endExpected; });
        const Milliseconds now = monotonicNow();
        if (entry.endExpected || running < 2 || this->ledger.isDisturbed(entry.name, now, now))
            return;
        this->logFault("SIGTERM to " + entry.name, now);
        this->stopProcess(entry, now, now + this->randomTime(200, 1500));
    }

    /// Kills or freezes an entry, crashes an upstream, disturbs a link, or lets the store fail.
    void injectUnplanned()
    {
        const Milliseconds now = monotonicNow();
        const Milliseconds until = now + this->randomTime(200, 1500);
        ManagedProcess& entry = this->randomEntry();
        switch (this->randomInt(0, 4)) {
        case 0:
        case 1:
            if (entry.endExpected)
                return;
            this->logFault("SIGKILL or SIGSTOP to " + entry.name, now);
            if (this->randomInt(0, 1) == 0)
                this->killProcess(entry, now, until);
            else
                this->freezeProcess(entry, now, until);
            break;
        case 2:
            this->injectUpstreamFault(now, until);
            break;
        case 3:
            this->injectLinkFault(now, until);
            break;
        default:
            this->injectStoreFault(now, until);
        }
    }

    /// Lets a random upstream name a limit, say that it leaves, ask for a pause, or stand still.
    void injectNotice(Milliseconds now, Milliseconds until)
    {
        constexpr Milliseconds limitTime { 8000 };
        constexpr Milliseconds leaveTime { 2500 };
        Upstream& upstream = *this->upstreams[static_cast<std::size_t>(
            this->randomInt(0, static_cast<std::int64_t>(this->upstreams.size()) - 1))];
        if (!upstream.running())
            return;
        const auto kind = this->randomInt(0, 4);
        this->logFault("notice " + std::to_string(kind) + " of " + upstream.registeredId(), now);
        if (kind == 0) {
            upstream.nameLimit(static_cast<int>(this->randomInt(1, 6)));
            this->schedule(now + limitTime, [&upstream] { upstream.nameLimit(0); });
        } else if (kind == 1) {
            upstream.say({ { "Server-Leaving", "1" } });
            this->schedule(now + leaveTime, [&upstream] {
                upstream.say({});
                if (upstream.running())
                    upstream.crash();
            });
            this->schedule(now + leaveTime * 2, [&upstream] {
                if (!upstream.running())
                    upstream.start(false);
            });
        } else if (kind == 2) {
            upstream.turnAway(std::to_string(this->randomInt(1, 3)), 1);
            this->schedule(until, [&upstream] { upstream.turnAway({}, 0); });
        } else {
            upstream.standStill(true);
            this->schedule(until, [&upstream] { upstream.standStill(false); });
        }
    }

    /// Kills, stops gracefully, freezes or sends SIGHUP to a random process.
    void signalProcess(Milliseconds now, Milliseconds until)
    {
        ManagedProcess& managed = this->processes[static_cast<std::size_t>(
            this->randomInt(0, static_cast<std::int64_t>(this->processes.size()) - 1))];
        if (!managed.process.running() || managed.endExpected)
            return;
        const auto kind = this->randomInt(0, 3);
        this->logFault("signal " + std::to_string(kind) + " to " + managed.name, now);
        if (kind == 0)
            this->killProcess(managed, now, until);
        else if (kind == 1)
            this->stopProcess(managed, now, until);
        else if (kind == 2)
            managed.process.signal(SIGHUP);
        else
            this->freezeProcess(managed, now, until);
    }

    /// Sends SIGKILL.
    void killProcess(ManagedProcess& managed, Milliseconds now, Milliseconds restartAt)
    {
        this->ledger.disturbances[managed.name].push_back({ .from = now, .until = now });
        managed.endExpected = true;
        managed.restartAt = restartAt;
        managed.process.signal(SIGKILL);
    }

    /// Sends SIGTERM.
    void stopProcess(ManagedProcess& managed, Milliseconds now, Milliseconds restartAt)
    {
        this->ledger.stops[managed.name].push_back(now);
        managed.endExpected = managed.stopRequested = true;
        managed.stopRequestedAt = now;
        managed.restartAt = restartAt;
        managed.process.signal(SIGTERM);
    }

    /// Sends SIGSTOP, and SIGCONT at `until`.
    void freezeProcess(ManagedProcess& managed, Milliseconds now, Milliseconds until)
    {
        this->ledger.disturbances[managed.name].push_back({ .from = now, .until = until });
        managed.process.signal(SIGSTOP);
        this->schedule(until, [&managed] { managed.process.signal(SIGCONT); });
    }

    /// Cuts, freezes (in one or both directions) or delays a random link.
    void injectLinkFault(Milliseconds now, Milliseconds until)
    {
        const std::string name = this->links[static_cast<std::size_t>(
            this->randomInt(0, static_cast<std::int64_t>(this->links.size()) - 1))];
        const std::string target = "/links/" + name;
        Json fault;
        switch (this->randomInt(0, 3)) {
        case 0:
            fault = { { "mode", "cut" } };
            break;
        case 1:
            fault = { { "mode", "freeze" } };
            break;
        case 2:
            fault = { { "mode", "freeze" }, { "direction", this->randomInt(0, 1) == 0 ? "to_target" : "from_target" } };
            break;
        default:
            fault = { { "delay_ms", this->randomInt(20, 400) } };
        }
        this->logFault(target + " " + fault.dump(), now);
        const std::string upstreamPrefix = "upstream-";
        if (name.starts_with(upstreamPrefix)) {
            constexpr Milliseconds clearTime { 500 }; // what was held back is still on its way
            const auto& upstream = *this->upstreams[std::stoul(name.substr(upstreamPrefix.size()))];
            this->ledger.disturbances[upstream.stableName()].push_back({ .from = now, .until = until + clearTime });
        }
        this->sendProxyRequest("PUT", target, fault);
        this->schedule(until, [this, target] {
            this->sendProxyRequest("PUT", target, { { "mode", "pass" }, { "delay_ms", 0 } });
        });
    }

    /// Crashes a random upstream, to be restarted at `until`, or drains it for 2.5 s and restarts it after 2.5 s more.
    void injectUpstreamFault(Milliseconds now, Milliseconds until)
    {
        Upstream& upstream = *this->upstreams[static_cast<std::size_t>(
            this->randomInt(0, static_cast<std::int64_t>(this->upstreams.size()) - 1))];
        if (!upstream.running())
            return;
        const bool planned = this->randomInt(0, 1) == 0;
        this->logFault(planned ? "upstream leaves" : "upstream crashes", now);
        if (!planned) {
            upstream.crash();
            // It may have been started already, if two faults overlap.
            this->schedule(until, [&upstream] {
                if (!upstream.running())
                    upstream.start(false);
            });
            return;
        }
        constexpr Milliseconds drainTime { 2500 };
        upstream.drain();
        this->schedule(now + drainTime, [&upstream] {
            if (upstream.running())
                upstream.crash();
        });
        this->schedule(now + drainTime + drainTime, [&upstream] {
            if (!upstream.running())
                upstream.start(false);
        });
    }

    /// Ends all faults at once: runs the scheduled actions and lets ended processes and upstreams restart.
    void endFaults()
    {
        std::vector<std::pair<Milliseconds, std::function<void()>>> pending;
        pending.swap(this->scheduledActions);
        for (const auto& [at, action] : pending)
            action();
        for (ManagedProcess& managed : this->processes)
            managed.restartAt = {};
        for (const auto& upstream : this->upstreams)
            if (!upstream->running())
                upstream->start(false);
    }

    /// Restarts processes after an expected exit. An unexpected exit, a status other than 0 after SIGTERM and a process
    /// that outlives its grace period are violations.
    void superviseProcesses(Milliseconds now)
    {
        for (ManagedProcess& managed : this->processes) {
            if (managed.process.running()) {
                if (managed.stopRequested && now - managed.stopRequestedAt > gracePeriod) {
                    this->ledger.addViolation("EXIT " + managed.name + " is still running after its grace period");
                    managed.stopRequested = false;
                    managed.process.signal(SIGKILL);
                }
                continue;
            }
            const int status = managed.process.status.value_or(-1);
            if (!managed.endExpected || (managed.stopRequested && status != 0))
                this->ledger.addViolation("EXIT " + managed.name + " exited with status " + std::to_string(status));
            managed.stopRequested = false;
            managed.endExpected = true;
            if (now < managed.restartAt)
                continue;
            managed.endExpected = false;
            this->ledger.starts[managed.name].push_back(now);
            managed.process.start(managed.command, this->logFolder + "/" + managed.name + ".log");
        }
    }

    /// Checks execution counts, weights versions and readiness after all faults.
    void checkFinalState()
    {
        this->ledger.checkAtEnd();
        if (this->pauses)
            this->lostFigures = checkLost(this->ledger, gracePeriod);
        this->pauseFigures = checkPauses(this->ledger);
        constexpr std::size_t minPauses = 5; // fewer would show little
        if (this->pauses && this->pauseFigures.judged < minPauses)
            this->ledger.addViolation("SOAK too few pauses could be judged: " + pauseText(this->pauseFigures));
        for (int number = 0; number < engineCount; ++number)
            if (this->upstreams[static_cast<std::size_t>(number)]->version != this->origin.newestVersion)
                this->ledger.addViolation("VERSION engine" + std::to_string(number) + " serves weights version "
                    + std::to_string(this->upstreams[static_cast<std::size_t>(number)]->version)
                    + ", but the declared version is " + std::to_string(this->origin.newestVersion));
        if (!this->allReady())
            this->ledger.addViolation("READY not all entries are ready after all faults had ended");
    }

    /// Prints the violations and a summary.
    /// @return true when nothing was violated and fault-free requests were sent
    bool report()
    {
        for (const std::string& line : this->ledger.violations)
            std::cout << line << "\n";
        std::cout << this->ledger.attempts.size() << " requests, " << this->ledger.answered
                  << " answered completely; in the fault-free phase " << this->ledger.faultFreeAnswered << " of "
                  << this->ledger.faultFreeRequests << "; " << this->ledger.violations.size() << " violations\n"
                  << "of an answer without end at most " << this->ledger.longestEndless << " bytes could be sent\n";
        if (this->pauses)
            std::cout << lostText(this->lostFigures) << "\n";
        if (this->pauses || this->notices)
            std::cout << pauseText(this->pauseFigures) << "\n";
        if (this->deadly) {
            const DeadlyFigures figures = this->ledger.deadlyFigures();
            std::cout << this->deadlySent << " requests with the deadly part sent, "
                      << this->ledger.deadlyArrivals.size() << " times at engines, of these " << figures.lateArrivals
                      << " after the bound; " << figures.crashes
                      << " engines ended; other streams begun: " << figures.beganBefore << " of " << figures.before
                      << " before, " << figures.beganAfter << " of " << figures.after << " after the bound\n";
        }
        return this->ledger.violations.empty() && this->ledger.faultFreeRequests > 0;
    }

    std::mt19937_64 random; ///< source of all random choices
    Milliseconds faultTime; ///< length of the phase with faults
    bool deadly; ///< the only fault is a prompt part that crashes engines
    bool restores; ///< adds a store that comes back older, and answers that end with their connections
    bool notices; ///< adds upstreams that say something of themselves or stand still, and callers that leave
    bool pauses { false }; ///< sound upstreams that are silent, beside planned work in series
    LostFigures lostFigures; ///< of the final check, with --pauses
    PauseFigures pauseFigures; ///< of the final check
    std::string writtenConfig; ///< configuration written last
    std::size_t deadlySent { 0 }; ///< requests with that part sent so far
    std::string buildFolder; ///< where the programs are
    std::string logFolder; ///< receives settings, logs and faults.log of this run
    std::string addressPrefix; ///< "127.x.y.", derived from the process id so that concurrent runs do not collide
    asio::io_context io; ///< event loop of the stand-ins and callers
    Ledger ledger; ///< attempts and violations of this run
    Store store; ///< stand-in for the platform's store
    Origin origin; ///< stand-in for the origin of weights
    Callers callers; ///< send requests to the entries and check the responses
    CallPool client { this->io, {} }; ///< calls the fault proxy's control interface and the entries' readiness checks
    scenario::Process proxy; ///< tests/fault-proxy, carries the links between the processes and the stand-ins
    std::string proxyAddress; ///< "ip:port" of the fault proxy's control interface
    int controlRequests { 0 }; ///< requests sent to the control interface
    int controlAnswers { 0 }; ///< control requests that have ended
    std::vector<std::string> links; ///< names of the fault proxy's links
    std::vector<std::unique_ptr<Upstream>> upstreams; ///< engines first, then plain upstreams
    std::vector<ManagedProcess> processes; ///< entries first, then agents
    std::vector<std::string> keys; ///< API keys of the workspace; callers use the last
    std::uint64_t writtenConfigVersion { 0 }; ///< version of the configuration written last
    int extraRoutes { 0 }; ///< number of routes in the configuration that no caller uses
    std::vector<std::pair<Milliseconds, std::function<void()>>>
        scheduledActions; ///< ends of faults, with the time at which they are due
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("soak", "Runs entries and agents under random faults and checks the system's guarantees.");
    options.add_options()("bin", "build folder", cxxopts::value<std::string>())(
        "logs", "folder for logs; one folder for each seed", cxxopts::value<std::string>()->default_value("soak-logs"))(
        "seed", "first seed; 0 for a random one", cxxopts::value<std::uint64_t>()->default_value("0"))(
        "runs", "number of runs, each with the next seed", cxxopts::value<int>()->default_value("1"))(
        "seconds", "length of the phase with faults", cxxopts::value<int>()->default_value("10"))("deadly-part",
        "instead of random faults, send requests with a prompt part that crashes each engine that begins them")(
        "restores", "add a store that comes back from an older copy, and answers that end with their connections")(
        "notices", "add upstreams that name a limit, leave, ask for a pause or stand still, and callers that leave")(
        "pauses",
        "instead of random faults, sound upstreams that are silent for a second or so or ask for pauses, beside series "
        "of "
        "configurations, signals and restarts");
    const auto flags = options.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    std::uint64_t seed = flags["seed"].as<std::uint64_t>();
    if (seed == 0)
        seed = std::random_device {}();
    int failed = 0;
    for (int run = 0; run < flags["runs"].as<int>(); ++run, ++seed) {
        const std::string logFolder = flags["logs"].as<std::string>() + "/" + std::to_string(seed);
        std::filesystem::remove_all(logFolder);
        std::filesystem::create_directories(logFolder);
        std::cout << "seed " << seed << std::endl;
        constexpr std::int64_t millisecondsPerSecond = 1000;
        const SoakModes modes { .deadly = flags.count("deadly-part") > 0,
            .restores = flags.count("restores") > 0,
            .notices = flags.count("notices") > 0,
            .pauses = flags.count("pauses") > 0 };
        Soak soak(seed, { flags["seconds"].as<int>() * millisecondsPerSecond }, modes, flags["bin"].as<std::string>(),
            logFolder);
        if (!soak.run())
            ++failed;
    }
    return failed == 0 ? 0 : 1;
}
