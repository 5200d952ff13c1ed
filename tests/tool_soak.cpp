// Runs entries and agents as separate processes before stand-ins, injects faults from outside of them, and checks the
// promises of the system from what callers and upstreams see. Exit code 1 when one did not hold.

#include "scenario_process.h"
#include "soak_caller.h"
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

constexpr int entryCount = 3;
constexpr int engineCount = 4; ///< each with an agent
constexpr int plainCount = 2;
constexpr Milliseconds requestGap { 15 }; ///< between requests of all callers
constexpr Milliseconds settleTime { 6000 }; ///< from the last fault to the calm end: restarts, lists and weights
constexpr Milliseconds calmTime { 2000 }; ///< at the end, when every request must be answered
constexpr Milliseconds graceTime { 8000 }; ///< from SIGTERM to the end of a process

/// A process of the system under test.
struct Subject {
    std::string name; ///< for logs
    std::vector<std::string> command; ///< program and arguments
    scenario::Process process; ///< the current life
    bool endWanted { false }; ///< it was told to stop or killed
    bool stopping { false }; ///< told to stop: it must end with status 0 in time
    Milliseconds stopAt { 0 }; ///< when it was told
    Milliseconds startAt { 0 }; ///< when it is started again after its end
};

class Soak {
public:
    Soak(std::uint64_t seed, Milliseconds faultTime, std::string bin, std::string logs)
        : random(seed)
        , faultTime(faultTime)
        , bin(std::move(bin))
        , logs(std::move(logs))
        , net("127." + std::to_string(1 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".")
        , store(this->io, this->net + "250:8081")
        , origin(this->io, this->net + "249:8081")
        , callers(this->io, this->ledger, this->fronts())
    {
    }

    bool run()
    {
        this->startProxy();
        this->startFleet();
        const Milliseconds began = monotonicNow();
        const Milliseconds faultsEnd = began + this->faultTime;
        const Milliseconds calmAt = faultsEnd + settleTime;
        const Milliseconds end = calmAt + calmTime;
        constexpr Milliseconds firstFault { 500 };
        Milliseconds nextRequest = began;
        Milliseconds nextFault = began + firstFault;
        bool healed = false;
        for (Milliseconds now = began; now < end; now = monotonicNow()) {
            for (; nextRequest <= now; nextRequest += requestGap)
                this->send(now >= calmAt);
            if (now < faultsEnd && now >= nextFault) {
                this->injectFault(now);
                nextFault = now + Milliseconds { this->draw(150, 1200) };
            }
            if (now >= faultsEnd && !healed) {
                healed = true;
                this->heal();
            }
            this->runUndo(now);
            this->watch(now);
            this->runLoop(5);
        }
        const Milliseconds drained = monotonicNow() + Milliseconds { 4500 };
        while (monotonicNow() < drained)
            this->runLoop(50);
        this->checkEnd();
        for (Subject& subject : this->subjects)
            subject.process.signal(SIGKILL);
        this->proxy.signal(SIGKILL);
        return this->report();
    }

private:
    std::int64_t draw(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(this->random);
    }

    std::string host(int number) const { return this->net + std::to_string(number); }

    std::vector<std::string> fronts() const
    {
        std::vector<std::string> all;
        for (int entry = 1; entry <= entryCount; ++entry)
            all.push_back(this->host(entry) + ":8000");
        return all;
    }

    void runLoop(int ms)
    {
        this->io.restart();
        this->io.run_for(std::chrono::milliseconds(ms));
    }

    // The fleet -------------------------------------------------------------------------------------------------------

    void startProxy()
    {
        this->proxy.start({ this->bin + "/tests/fault-proxy", "--listen", "127.0.0.1:0" }, this->logs + "/proxy.log");
        this->proxyAddress = this->proxy.listening("http");
        const auto link = [&](const std::string& name, const std::string& listen, const std::string& target) {
            this->links.push_back(name);
            this->changeLink("POST", "/links", Json { { "name", name }, { "listen", listen }, { "target", target } });
            while (this->answered < this->asked)
                this->runLoop(5);
        };
        for (int entry = 1; entry <= entryCount; ++entry)
            link("store-" + std::to_string(entry), this->host(entry) + ":8090", this->net + "250:8081");
        for (int number = 0; number < engineCount + plainCount; ++number)
            link("upstream-" + std::to_string(number), this->host(20 + number) + ":8080",
                this->host(20 + number) + ":8081");
    }

    void changeLink(const std::string& method, const std::string& target, const Json& wanted)
    {
        // The proxy's control interface has a thread for each connection.
        ++this->asked;
        this->control.fetch({ .address = this->proxyAddress,
                                .method = method,
                                .target = target,
                                .body = wanted.dump(),
                                .timeout = { 5000 },
                                .keep = false },
            [this, target](const Result<FetchAnswer>& answer) {
                ++this->answered;
                if (!succeeded(answer))
                    this->ledger.breach("SOAK the fault proxy did not take " + target);
            });
    }

    void startFleet()
    {
        for (int number = 0; number < engineCount + plainCount; ++number) {
            const std::string ip = this->host(20 + number);
            this->upstreams.push_back(std::make_unique<Upstream>(this->io, this->store, this->ledger,
                (number < engineCount ? "engine" : "plain") + std::to_string(number), ip + ":8081", ip + ":8080",
                number < engineCount));
            this->upstreams.back()->start(true);
        }
        this->keys = { "key-0" };
        this->writeConfig();
        for (int entry = 1; entry <= entryCount; ++entry)
            this->addSubject("entry-" + std::to_string(entry), "hickory-entry", this->entrySettings(entry));
        for (int engine = 0; engine < engineCount; ++engine)
            this->addSubject("agent-" + std::to_string(engine), "hickory-agent", this->agentSettings(20 + engine));
        const Milliseconds until = monotonicNow() + Milliseconds { 10000 };
        while (!this->allReady() && monotonicNow() < until)
            this->runLoop(50);
        if (!this->allReady())
            this->ledger.breach("START the entries were not ready after 10 s");
    }

    std::string hostSettings(const std::string& name, const std::string& ip, const std::string& store)
    {
        return "[host]\nname = \"" + name + "\"\nplace = \"a\"\nregion = \"r\"\nip = \"" + ip
            + "\"\npeer_port = 8010\nstore = \"" + store + "\"\nseeds = [\"" + this->host(1) + ":8003\", \""
            + this->host(2) + ":8003\"]\n";
    }

    std::string entrySettings(int entry)
    {
        const std::string ip = this->host(entry);
        return this->hostSettings("entry-" + std::to_string(entry), ip, ip + ":8090") + "[relay]\nfront = \"" + ip
            + ":8000\"\nreadiness = \"" + ip + ":8001\"\nlookup = \"" + ip + ":8002\"\ncontrol = \"" + ip
            + ":8003\"\nrevoke_ms = 5000\nweights_ms = 6000\ngrace_s = 8\n";
    }

    std::string agentSettings(int number)
    {
        const std::string ip = this->host(number);
        return this->hostSettings("agent-" + std::to_string(number), ip, this->net + "250:8081")
            + "[loader]\nengine = \"" + ip + ":8080\"\nservice = \"engines\"\nlink_mbps = 100\nweights_ms = 6000\n";
    }

    void addSubject(const std::string& name, const std::string& program, const std::string& settings)
    {
        const std::string path = this->logs + "/" + name + ".toml";
        std::ofstream(path) << settings;
        Subject subject { .name = name, .command = { this->bin + "/" + program, "--settings", path } };
        subject.process.start(subject.command, this->logs + "/" + name + ".log");
        this->subjects.push_back(std::move(subject));
    }

    bool allReady()
    {
        int ready = 0;
        int answered = 0;
        for (int entry = 1; entry <= entryCount; ++entry)
            this->control.fetch({ .address = this->host(entry) + ":8001", .target = "/api/readiness" },
                [&](const Result<FetchAnswer>& answer) {
                    ++answered;
                    ready += succeeded(answer) ? 1 : 0;
                });
        while (answered < entryCount)
            this->runLoop(20);
        return ready == entryCount;
    }

    // Operators -------------------------------------------------------------------------------------------------------

    void writeConfig()
    {
        this->configVersion += 1 + static_cast<std::uint64_t>(this->draw(0, 3));
        const auto route = [](const char* prefix, const char* kind, const char* service, int attempts, bool stream) {
            Json made { { "name", prefix }, { "host", "soak.example" }, { "prefix", prefix }, { "kind", kind },
                { "timeout_ms", 4000 }, { "target_latency_ms", 400 }, { "priority", 1 }, { "max_attempts", attempts },
                { "service", service } };
            if (stream)
                made["resumable"] = true;
            return made;
        };
        Json routes { route("/s/", "streaming", "engines", 3, true), route("/r/", "idempotent", "desk", 3, false),
            route("/b/", "non_idempotent", "desk", 2, false) };
        for (int extra = 0; extra < this->extraRoutes; ++extra) {
            const std::string prefix = "/extra" + std::to_string(extra) + "/";
            routes.push_back(route(prefix.c_str(), "idempotent", "desk", 2, false));
        }
        const Json engine { { "slots", 8 }, { "step_ms", 3.0 }, { "read_per_s", 30000 }, { "stride", 7 },
            { "chunks", pieceCount }, { "chunk_bytes", 4096 }, { "usual", { { "prompt", 500 }, { "answer", 50 } } },
            { "models", { { { "name", modelName }, { "warmup_s", 0.15 } } } } };
        const Json config { { "version", this->configVersion }, { "routes", routes },
            { "services",
                { { { "name", "engines" }, { "engine", engine } }, { { "name", "desk" } },
                    { { "name", "origin" }, { "origin", this->net + "249:8081" }, { "link_mbps", 50.0 } } } },
            { "tenants", { { { "name", "callers" }, { "api_keys", this->keys } } } } };
        this->store.put("op", "config", config.dump());
    }

    void declareWeights()
    {
        this->store.put("op", std::string("version/") + modelName,
            Json { { "model", modelName }, { "version", ++this->origin.newest } }.dump());
    }

    void send(bool calm)
    {
        constexpr Ask asks[] = { Ask::Stream, Ask::Read, Ask::Book };
        this->callers.send(
            asks[this->draw(0, 2)], static_cast<std::size_t>(this->draw(0, entryCount - 1)), this->keys.back(), calm);
    }

    // Faults ----------------------------------------------------------------------------------------------------------

    void later(Milliseconds at, std::function<void()> action) { this->undo.emplace_back(at, std::move(action)); }

    void runUndo(Milliseconds now)
    {
        std::vector<std::function<void()>> due;
        std::erase_if(this->undo, [&](auto& item) {
            if (item.first > now)
                return false;
            due.push_back(std::move(item.second));
            return true;
        });
        for (const auto& action : due)
            action();
    }

    void note(const std::string& what, Milliseconds now)
    {
        std::ofstream(this->logs + "/faults.log", std::ios::app) << now.value << " " << what << "\n";
    }

    void injectFault(Milliseconds now)
    {
        const Milliseconds until = now + Milliseconds { this->draw(200, 2500) };
        switch (this->draw(0, 9)) {
        case 0:
        case 1:
            this->signalSubject(now, until);
            break;
        case 2:
        case 3:
            this->disturbLink(now, until);
            break;
        case 4:
        case 5:
            this->disturbUpstream(now, until);
            break;
        case 6:
            this->store.mode = static_cast<Store::Mode>(this->draw(1, 3));
            this->note("store mode " + std::to_string(static_cast<int>(this->store.mode)), now);
            this->later(until, [this] { this->store.mode = Store::Mode::Up; });
            break;
        case 7:
            this->note("weights", now);
            this->declareWeights();
            break;
        default:
            this->note("config", now);
            this->extraRoutes = static_cast<int>(this->draw(0, 5));
            if (this->draw(0, 1) == 0)
                this->keys.push_back("key-" + std::to_string(this->keys.size()));
            this->writeConfig();
        }
    }

    void signalSubject(Milliseconds now, Milliseconds until)
    {
        Subject& subject = this->subjects[static_cast<std::size_t>(
            this->draw(0, static_cast<std::int64_t>(this->subjects.size()) - 1))];
        if (!subject.process.running() || subject.endWanted)
            return;
        const auto kind = this->draw(0, 3);
        this->note("signal " + std::to_string(kind) + " to " + subject.name, now);
        if (kind == 0) {
            subject.endWanted = true;
            subject.startAt = until;
            subject.process.signal(SIGKILL);
        } else if (kind == 1) {
            subject.endWanted = subject.stopping = true;
            subject.stopAt = now;
            subject.startAt = until;
            subject.process.signal(SIGTERM);
        } else if (kind == 2)
            subject.process.signal(SIGHUP);
        else {
            subject.process.signal(SIGSTOP);
            this->later(until, [&subject] { subject.process.signal(SIGCONT); });
        }
    }

    void disturbLink(Milliseconds now, Milliseconds until)
    {
        const std::string name
            = this->links[static_cast<std::size_t>(this->draw(0, static_cast<std::int64_t>(this->links.size()) - 1))];
        const std::string target = "/links/" + name;
        Json fault;
        switch (this->draw(0, 3)) {
        case 0:
            fault = { { "mode", "cut" } };
            break;
        case 1:
            fault = { { "mode", "freeze" } };
            break;
        case 2:
            fault = { { "mode", "freeze" }, { "direction", this->draw(0, 1) == 0 ? "to_target" : "from_target" } };
            break;
        default:
            fault = { { "delay_ms", this->draw(20, 400) } };
        }
        this->note(target + " " + fault.dump(), now);
        this->changeLink("PUT", target, fault);
        this->later(until, [this, target] {
            this->changeLink("PUT", target, { { "mode", "pass" }, { "delay_ms", 0 } });
        });
    }

    void disturbUpstream(Milliseconds now, Milliseconds until)
    {
        Upstream& upstream = *this->upstreams[static_cast<std::size_t>(
            this->draw(0, static_cast<std::int64_t>(this->upstreams.size()) - 1))];
        if (!upstream.running())
            return;
        const bool planned = this->draw(0, 1) == 0;
        this->note(planned ? "upstream leaves" : "upstream crashes", now);
        if (!planned) {
            upstream.crash();
            this->later(until, [&upstream] { upstream.start(false); });
            return;
        }
        constexpr Milliseconds drainTime { 2500 };
        upstream.leave();
        this->later(now + drainTime, [&upstream] {
            if (upstream.running())
                upstream.crash();
        });
        this->later(now + drainTime + drainTime, [&upstream] {
            if (!upstream.running())
                upstream.start(false);
        });
    }

    /// Ends all faults at once.
    void heal()
    {
        std::vector<std::pair<Milliseconds, std::function<void()>>> pending;
        pending.swap(this->undo);
        for (const auto& [at, action] : pending)
            action();
        for (Subject& subject : this->subjects)
            subject.startAt = {};
        for (const auto& upstream : this->upstreams)
            if (!upstream->running())
                upstream->start(false);
    }

    /// Starts processes that ended as they were told, and notes those that did not.
    void watch(Milliseconds now)
    {
        for (Subject& subject : this->subjects) {
            if (subject.process.running()) {
                if (subject.stopping && now - subject.stopAt > graceTime) {
                    this->ledger.breach("EXIT " + subject.name + " still runs after its grace period");
                    subject.stopping = false;
                    subject.process.signal(SIGKILL);
                }
                continue;
            }
            const int status = subject.process.status.value_or(-1);
            if (!subject.endWanted || (subject.stopping && status != 0))
                this->ledger.breach("EXIT " + subject.name + " ended with status " + std::to_string(status));
            subject.stopping = false;
            subject.endWanted = true;
            if (now < subject.startAt)
                continue;
            subject.endWanted = false;
            subject.process.start(subject.command, this->logs + "/" + subject.name + ".log");
        }
    }

    void checkEnd()
    {
        this->ledger.close();
        for (int number = 0; number < engineCount; ++number)
            if (this->upstreams[static_cast<std::size_t>(number)]->version != this->origin.newest)
                this->ledger.breach("VERSION engine" + std::to_string(number) + " serves version "
                    + std::to_string(this->upstreams[static_cast<std::size_t>(number)]->version) + ", declared is "
                    + std::to_string(this->origin.newest));
        if (!this->allReady())
            this->ledger.breach("READY an entry is not ready after all faults had ended");
    }

    bool report()
    {
        for (const std::string& line : this->ledger.broken)
            std::cout << line << "\n";
        std::cout << this->ledger.attempts.size() << " requests, " << this->ledger.good << " answered whole; calm end "
                  << this->ledger.calmGood << " of " << this->ledger.calm << "; " << this->ledger.broken.size()
                  << " promises broken\n";
        return this->ledger.broken.empty() && this->ledger.calm > 0;
    }

    std::mt19937_64 random; ///< of all choices
    Milliseconds faultTime; ///< how long faults come
    std::string bin; ///< build folder
    std::string logs; ///< folder of this run
    std::string net; ///< first three parts of all addresses, with a dot
    asio::io_context io; ///< loop of the stand-ins and callers
    Ledger ledger; ///< what happened
    Store store; ///< stand-in
    Origin origin; ///< stand-in
    Callers callers; ///< clients
    CallPool control { this->io, {} }; ///< of the fault proxy and readiness
    scenario::Process proxy; ///< fault proxy
    std::string proxyAddress; ///< its control interface
    int asked { 0 }; ///< questions to it
    int answered { 0 }; ///< of these
    std::vector<std::string> links; ///< names of its links
    std::vector<std::unique_ptr<Upstream>> upstreams; ///< engines, then plain ones
    std::vector<Subject> subjects; ///< processes under test
    std::vector<std::string> keys; ///< of the workspace, the newest last
    std::uint64_t configVersion { 0 }; ///< written last
    int extraRoutes { 0 }; ///< besides those that callers use
    std::vector<std::pair<Milliseconds, std::function<void()>>> undo; ///< ends of faults
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("soak", "Entries and agents under random faults.");
    options.add_options()("bin", "build folder", cxxopts::value<std::string>())(
        "logs", "folder for logs", cxxopts::value<std::string>()->default_value("soak-logs"))(
        "seed", "first seed, 0 draws one", cxxopts::value<std::uint64_t>()->default_value("0"))(
        "runs", "seeds one after the other", cxxopts::value<int>()->default_value("1"))(
        "seconds", "time in which faults come", cxxopts::value<int>()->default_value("10"));
    const auto given = options.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    std::uint64_t seed = given["seed"].as<std::uint64_t>();
    if (seed == 0)
        seed = std::random_device {}();
    int failed = 0;
    for (int run = 0; run < given["runs"].as<int>(); ++run, ++seed) {
        const std::string logs = given["logs"].as<std::string>() + "/" + std::to_string(seed);
        std::filesystem::remove_all(logs);
        std::filesystem::create_directories(logs);
        std::cout << "seed " << seed << std::endl;
        constexpr std::int64_t millisecondsPerSecond = 1000;
        Soak soak(seed, { given["seconds"].as<int>() * millisecondsPerSecond }, given["bin"].as<std::string>(), logs);
        if (!soak.run())
            ++failed;
    }
    return failed == 0 ? 0 : 1;
}
