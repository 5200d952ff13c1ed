// Runs entries before stand-in engines, half of which stop for some seconds with their connections open, as
// on a suspended host. What lies unbegun there is begun when they go on, whether its caller still waits or not. Checks
// that few callers leave meanwhile with such requests behind them. Exit code 1 otherwise.

#include "entry_rig.h"
#include "front_io.h"

#include <cxxopts.hpp>
#include <iostream>
#include <random>

using namespace hickory;
using Json = nlohmann::json;

namespace {

constexpr int entryCount = 2;
constexpr int engineCount = 8;
constexpr int frozenCount = 4;
constexpr std::size_t slots = 8; ///< of each engine
constexpr Milliseconds readTime { 150 }; ///< from the arrival of a request at a free slot to its first event
constexpr Milliseconds runTime { 700 }; ///< from the first event to the last
constexpr int eventCount = 14; ///< events of each answer
constexpr double requestsPerSecond = 70; ///< all engines together serve 75 a second, those that go on 37
constexpr Milliseconds warmUp { 1500 }; ///< load before the engines stop
constexpr Milliseconds freezeTime { 4800 };
constexpr Milliseconds patience { 2400 }; ///< callers leave after this long without an event
constexpr Milliseconds goneAfter { 500 }; ///< a run that goes on this long after its caller left counts
/// Requests that may reach or run at an upstream for callers that left, by the promise to the users: a few.
constexpr int allowedRuns = 3;

/// A stand-in engine that serves some requests at a time and can stand still.
class Engine {
public:
    Engine(asio::io_context& io, const std::string& address)
        : front(io, {},
            { .onRequest = [this](FrontRequest&& request) { this->onRequest(std::move(request)); },
                .onCallerDisconnected = [this](CallId call) { this->onDisconnected(call); } })
    {
        if (!this->front.listen(address))
            throw std::runtime_error("an engine cannot listen at " + address);
    }

    /// From now on nothing is answered, begun or noticed.
    void freeze() { this->frozen = true; }

    /// Goes on. Requests that have not begun do so before the closed connections are noticed.
    /// @return ids of these requests
    std::vector<std::string> thaw()
    {
        this->frozen = false;
        std::vector<std::string> begun;
        for (const Waiting& waiting : this->queue)
            begun.push_back(waiting.attempt);
        for (const auto& [call, run] : this->running)
            if (run.sent == 0)
                begun.push_back(run.attempt);
        for (const CallId call : std::exchange(this->unnoticed, {}))
            this->onDisconnected(call);
        return begun;
    }

    /// Begins requests and sends events.
    void step(Milliseconds now)
    {
        if (this->frozen)
            return;
        while (!this->queue.empty() && this->running.size() < slots) {
            const Waiting next = this->queue.front();
            this->queue.erase(this->queue.begin());
            this->running[next.call] = { .attempt = next.attempt, .firstAt = now + readTime, .next = next.next };
        }
        for (auto run = this->running.begin(); run != this->running.end();) {
            Run& state = run->second;
            const Milliseconds gap = runTime / eventCount;
            while (state.next <= eventCount && now >= state.firstAt + gap * (state.sent)) {
                if (state.sent++ == 0)
                    this->front.begin(run->first, 200,
                        { { "Replica-Seal", "seal" }, { "Attempt-Id", state.attempt },
                            { "Content-Type", "text/event-stream" } });
                this->front.body(run->first, "id: " + std::to_string(state.next++) + "\ndata: event\n\n");
            }
            if (state.next <= eventCount) {
                ++run;
                continue;
            }
            this->front.finish(run->first);
            run = this->running.erase(run);
        }
    }

private:
    struct Waiting {
        CallId call;
        std::string attempt;
        int next { 1 }; ///< number of the first event to send
    };
    struct Run {
        std::string attempt;
        Milliseconds firstAt; ///< when the first event is sent
        int next { 1 }; ///< number of the next event
        int sent { 0 }; ///< events sent by this run
    };

    void onRequest(FrontRequest&& request)
    {
        const std::string* attempt = request.head.find("Attempt-Id");
        if (!attempt) {
            if (!this->frozen)
                this->front.answer(request.id, 200, {}, "{}"); // a status request
            return;
        }
        const std::string* resumed = request.head.find("Last-Event-Id");
        this->queue.push_back(
            { .call = request.id, .attempt = *attempt, .next = resumed ? std::stoi(*resumed) + 1 : 1 });
    }

    void onDisconnected(CallId call)
    {
        if (this->frozen) {
            this->unnoticed.push_back(call);
            return;
        }
        std::erase_if(this->queue, [&](const Waiting& waiting) { return waiting.call == call; });
        this->running.erase(call);
    }

    FrontServer front;
    bool frozen { false };
    std::vector<Waiting> queue; ///< not begun, in order of arrival
    std::map<CallId, Run> running;
    std::vector<CallId> unnoticed; ///< connections that ended while it stood still
};

class FrozenEngineTest {
public:
    FrozenEngineTest(const std::string& buildFolder, const std::string& logFolder, std::uint64_t seed)
        : rig(buildFolder, logFolder, entryCount)
        , random(seed)
    {
        for (int number = 0; number < engineCount; ++number) {
            const std::string address = this->rig.hostAddress(20 + number) + ":8081";
            this->engines.push_back(std::make_unique<Engine>(this->rig.io, address));
            this->rig.listUpstream("engine-" + std::to_string(number), "engines", address,
                { { "slots", slots }, { "models", { { { "name", "model" }, { "version", 1 } } } } });
        }
        const Json route { { "name", "letters" }, { "host", "desk.example" }, { "prefix", "/letters/" },
            { "kind", "streaming" }, { "timeout_ms", 6000 }, { "target_latency_ms", 400 }, { "target_gap_ms", 300 },
            { "priority", 1 }, { "max_attempts", 2 }, { "resumable", true }, { "service", "engines" } };
        const Json engine { { "slots", slots }, { "step_ms", 6.73 }, { "per_seq_ms", 0.02 }, { "read_per_s", 30600 },
            { "stride", 6 }, { "usual", { { "prompt", 900 }, { "answer", 84 } } },
            { "models", { { { "name", "model" }, { "warmup_s", 0.3 } } } } };
        this->rig.store.put("op", "config",
            Json { { "version", 1 }, { "routes", { route } },
                { "services", { { { "name", "engines" }, { "engine", engine } } } } }
                .dump());
    }

    /// @return whether the check held
    bool run()
    {
        for (int number = 1; number <= entryCount; ++number)
            this->rig.startEntry(number);
        this->load(warmUp);
        for (int number = 0; number < frozenCount; ++number)
            this->engines[static_cast<std::size_t>(number)]->freeze();
        this->load(freezeTime);
        const Milliseconds thawedAt = monotonicNow();
        std::size_t begun = 0;
        int gone = 0;
        for (int number = 0; number < frozenCount; ++number)
            for (const std::string& attempt : this->engines[static_cast<std::size_t>(number)]->thaw()) {
                ++begun;
                const RigCaller& caller = *this->callers.at(attempt);
                gone += caller.leftAt && thawedAt - *caller.leftAt > goneAfter ? 1 : 0;
            }
        this->load(goneAfter);
        std::size_t left = 0;
        std::size_t served = 0;
        for (const auto& [attempt, caller] : this->callers) {
            left += caller->leftAt ? 1 : 0;
            served += caller->end == CallEnd::Complete && caller->head.status == 200 ? 1 : 0;
        }
        std::cout << this->callers.size() << " requests, " << served << " served, " << left << " callers left; "
                  << begun << " requests begun by engines that stood still, " << gone << " of callers that had left\n";
        return gone <= allowedRuns;
    }

private:
    /// Sends requests for some time. Callers that wait for too long leave.
    void load(Milliseconds time)
    {
        const Milliseconds until = monotonicNow() + time;
        std::exponential_distribution<double> interval(requestsPerSecond / 1000);
        while (monotonicNow() < until) {
            for (; this->nextAt <= static_cast<double>(monotonicNow().value); this->nextAt += interval(this->random)) {
                const auto caller = this->rig.send(1 + static_cast<int>(this->random() % entryCount), "/letters/x",
                    { 6000 }, "Model: model\r\nToken-Count: 900,84\r\n");
                this->callers["attempt-" + std::to_string(this->rig.attempts)] = caller;
            }
            for (const auto& [attempt, caller] : this->callers)
                if (!caller->end && !caller->leftAt && monotonicNow() - caller->progressAt > patience)
                    this->rig.leave(*caller);
            for (const auto& engine : this->engines)
                engine->step(monotonicNow());
            this->rig.runLoop();
        }
    }

    EntryRig rig;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Engine>> engines;
    std::map<std::string, std::shared_ptr<RigCaller>> callers; ///< by id of the request
    double nextAt { static_cast<double>(monotonicNow().value) }; ///< time of the next request, ms
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("frozen-engine", "Checks what lies at engines that stand still after callers left.");
    options.add_options()("bin", "build folder", cxxopts::value<std::string>())(
        "logs", "folder for settings and log", cxxopts::value<std::string>()->default_value("frozen-engine-logs"))(
        "seed", "seed of the arrival times", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto flags = options.parse(argc, argv);
    return FrozenEngineTest(
               flags["bin"].as<std::string>(), flags["logs"].as<std::string>(), flags["seed"].as<std::uint64_t>())
               .run()
        ? 0
        : 1;
}
