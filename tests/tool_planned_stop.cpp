// Stops a real entry in calm, while callers go on to use it until its process has gone: over kept and new connections,
// with requests that may be repeated and others, streams, upstreams that take longer than their objective and some that
// are silent for a second. Checks that what an upstream got is answered in full, that what may not be repeated is not
// passed on when the stop may cut it, and that refusals come at once. Exit code 1 otherwise.

#include "entry_rig.h"
#include "front_io.h"

#include <array>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <netinet/tcp.h>
#include <random>

using namespace hickory;
using Json = nlohmann::json;

namespace {

constexpr int upstreamCount = 4; ///< of each service
constexpr double requestsPerSecond = 50;
constexpr Milliseconds warmUp { 800 }; ///< load before the signal
constexpr Milliseconds routeTimeout { 6000 };
constexpr Milliseconds eventGap { 100 }; ///< between events of a stream
constexpr Milliseconds silence { 1000 }; ///< of some upstreams, after their first events or before their answer
constexpr Milliseconds refusalTime { 300 }; ///< within which a refusal comes
/// A request that is read after its connection was closed gets no answer; one that is older must have had one.
constexpr Milliseconds crossingTime { 500 };
constexpr Milliseconds signalTime { 100 }; ///< until the entry has certainly seen the signal
/// What was sent up to this long after the signal may be cut once five sixths of the grace period have passed.
constexpr Milliseconds earlyTime { 3000 };

/// Kind of a request.
struct Kind {
    const char* name;
    bool stream;
    bool repeatable;
    std::array<int, 3> workTimes; ///< ms; one is drawn for each request
};

constexpr std::array kinds { Kind { "read", false, true, { 80, 400, 3000 } },
    Kind { "book", false, false, { 80, 1500, 6000 } }, Kind { "feed", true, false, { 300, 1500, 5000 } },
    Kind { "letters", true, true, { 300, 600, 900 } }, Kind { "quick", false, false, { 50, 80, 120 } } };
constexpr std::size_t quickKind = 4; ///< its upstreams are never late, and its callers wait a second at most

/// One request as its caller and upstreams saw it.
struct Attempt {
    std::size_t kind { 0 }; ///< index in `kinds`
    Milliseconds work; ///< time that an upstream takes
    std::int64_t silences { 0 }; ///< of the upstream: after each of so many first events, or one before a plain answer
    Milliseconds timeout; ///< the caller's
    Milliseconds sentAt;
    std::shared_ptr<RigCaller> caller;
    std::optional<Milliseconds> endedAt; ///< when the caller saw the end
    int arrivals { 0 }; ///< at upstreams
    std::optional<Milliseconds> workedUntil; ///< when the last upstream ended its work or lost its connection
};

/// Stand-in upstreams of all services. The path of a request names the time that it takes.
class Upstreams {
public:
    Upstreams(asio::io_context& io, std::map<std::string, Attempt>& attempts)
        : attempts(attempts)
        , front(io, {},
              { .onRequest = [this](FrontRequest&& request) { this->onRequest(request); },
                  .onCallerDisconnected = [this](CallId call) { this->end(call); } })
    {
    }

    void listen(const std::string& address)
    {
        if (!this->front.listen(address))
            throw std::runtime_error("an upstream cannot listen at " + address);
    }

    /// Sends what is due.
    void step(Milliseconds now)
    {
        std::vector<CallId> done;
        for (auto& [call, run] : this->runs) {
            const Attempt& attempt = this->attempts.at(run.attempt);
            const bool stream = kinds.at(attempt.kind).stream;
            const std::int64_t events = attempt.work.value / eventGap.value;
            while (stream && run.events < events
                && now - run.since
                    >= eventGap * (run.events + 1) + silence * std::min<std::int64_t>(run.events, attempt.silences)) {
                if (run.sent++ == 0)
                    this->front.begin(call, 200, headers(run.attempt, true));
                this->front.body(call, "id: " + std::to_string(++run.events) + "\ndata: event\n\n");
            }
            if (stream ? run.events < events
                       : now - run.since < attempt.work + silence * std::min<std::int64_t>(attempt.silences, 1))
                continue;
            if (stream)
                this->front.finish(call);
            else
                this->front.answer(call, 200, headers(run.attempt, false), std::string(run.bytes, 'b'));
            done.push_back(call);
        }
        for (const CallId call : done)
            this->end(call);
    }

private:
    struct Run {
        std::string attempt;
        Milliseconds since;
        std::int64_t events { 0 }; ///< number of the last event
        int sent { 0 }; ///< events sent by this run
        std::size_t bytes { 300 }; ///< of a plain answer
    };

    static std::vector<WireHeader> headers(const std::string& attempt, bool stream)
    {
        return { { "Replica-Seal", "seal" }, { "Attempt-Id", attempt },
            { "Content-Type", stream ? "text/event-stream" : "text/plain" } };
    }

    void onRequest(const FrontRequest& request)
    {
        const std::string* id = request.head.find("Attempt-Id");
        if (!id) {
            this->front.answer(request.id, 200, {}, "{}"); // a status request
            return;
        }
        Attempt& attempt = this->attempts[*id];
        ++attempt.arrivals;
        const std::string* resumed = request.head.find("Last-Event-Id");
        Run run { .attempt = *id, .since = monotonicNow(), .events = resumed ? std::stoi(*resumed) : 0 };
        run.since = run.since - eventGap * run.events;
        if (request.head.target.starts_with("/read/large"))
            run.bytes = 900000;
        this->runs[request.id] = run;
    }

    void end(CallId call)
    {
        const auto run = this->runs.find(call);
        if (run == this->runs.end())
            return;
        this->attempts.at(run->second.attempt).workedUntil = monotonicNow();
        this->runs.erase(run);
    }

    std::map<std::string, Attempt>& attempts; ///< by id
    FrontServer front;
    std::map<CallId, Run> runs;
};

/// A caller with a small receive buffer that takes its answer slowly.
class SlowReader {
public:
    SlowReader(asio::io_context& io, const std::string& address, const std::string& request)
        : socket(io)
    {
        const auto endpoint = *parseEndpoint(address);
        this->socket.open(endpoint.protocol());
        this->socket.set_option(asio::socket_base::receive_buffer_size(4096));
        // As on a network: segments as large as those of the loopback let the kernel take all of the answer at once.
        constexpr int segmentBytes = 1000;
        (void)::setsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
        this->socket.connect(endpoint);
        asio::write(this->socket, asio::buffer(request));
        this->socket.non_blocking(true);
    }

    /// Reads at most some bytes.
    void take(std::size_t count)
    {
        std::string part(count, '\0');
        std::error_code code;
        part.resize(this->socket.read_some(asio::buffer(part), code));
        this->answer += part;
        this->ended = code && code != asio::error::would_block;
    }

    std::string answer; ///< head and body
    bool ended { false };

private:
    asio::ip::tcp::socket socket;
};

class PlannedStopTest {
public:
    PlannedStopTest(const std::string& buildFolder, const std::string& logFolder, int graceSeconds,
        std::int64_t silences, std::uint64_t seed)
        : rig(buildFolder, logFolder, 1)
        , grace { graceSeconds * 1000 }
        , silences(silences)
        , random(seed)
        , upstreams(this->rig.io, this->attempts)
    {
        this->rig.graceSeconds = graceSeconds;
        Json routes = Json::array();
        Json services = Json::array();
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            const Kind& each = kinds.at(kind);
            const std::string name = each.name;
            const bool engine = each.stream && each.repeatable;
            constexpr std::array objectives { 150, 800, 400, 400, 300 };
            routes.push_back({ { "name", name }, { "host", "desk.example" }, { "prefix", "/" + name + "/" },
                { "kind",
                    each.stream           ? "streaming"
                        : each.repeatable ? "idempotent"
                                          : "non_idempotent" },
                { "timeout_ms", routeTimeout.value }, { "target_latency_ms", objectives.at(kind) },
                { "target_gap_ms", 300 }, { "priority", 1 }, { "max_attempts", 3 }, { "resumable", engine },
                { "service", name } });
            Json service { { "name", name }, { "health_path", "/status" } };
            if (engine)
                service["engine"] = { { "slots", 8 }, { "step_ms", 6.73 }, { "per_seq_ms", 0.02 },
                    { "read_per_s", 30600 }, { "stride", 6 }, { "usual", { { "prompt", 900 }, { "answer", 84 } } },
                    { "models", { { { "name", "model" }, { "warmup_s", 0.3 } } } } };
            services.push_back(service);
            for (int number = 0; number < upstreamCount; ++number) {
                const std::string address
                    = this->rig.hostAddress(20 + static_cast<int>(kind) * upstreamCount + number) + ":8081";
                this->upstreams.listen(address);
                this->rig.listUpstream(name + std::to_string(number), name, address,
                    engine ? Json { { "models", { { { "name", "model" }, { "version", 1 } } } } }
                           : Json { { "slots", 200 } });
            }
        }
        this->rig.store.put(
            "op", "config", Json { { "version", 1 }, { "routes", routes }, { "services", services } }.dump());
        this->rig.startEntry(1);
    }

    /// Stops the entry under load.
    /// @param reload the settings change meanwhile
    /// @return whether every check held
    bool run(bool reload)
    {
        this->play(warmUp);
        this->stoppedAt = monotonicNow();
        this->entry().signal(SIGTERM);
        this->play({ 1000 });
        this->entry().signal(SIGTERM);
        if (reload) {
            std::string text = scenario::readFile(this->rig.settingsPath(1));
            text.replace(text.find("grace_s = "), std::string::npos, "grace_s = 3\n");
            std::ofstream(this->rig.settingsPath(1)) << text;
            this->entry().signal(SIGHUP);
        }
        while (this->entry().running() && monotonicNow() - this->stoppedAt < this->grace)
            this->play({ 20 });
        this->checkExit();
        this->exitedAt = monotonicNow();
        this->nextAt = 1e18; // no more requests
        this->play({ 100 });
        for (const auto& [id, attempt] : this->attempts)
            this->check(id, attempt);
        this->report();
        return this->failures == 0;
    }

    /// Stops the entry while one caller takes a whole answer slowly.
    bool runSlowReader()
    {
        const std::string id = this->rig.nextAttempt();
        this->attempts[id] = { .work = { 50 }, .timeout = routeTimeout };
        SlowReader reader(this->rig.io, this->rig.front(1),
            "GET /read/large HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 6000\r\nAttempt-Id: " + id + "\r\n\r\n");
        this->nextAt = 1e18;
        this->play({ 300 });
        this->stoppedAt = monotonicNow();
        this->entry().signal(SIGTERM);
        const Milliseconds readTime = this->grace - Milliseconds { 3000 };
        while (!reader.ended && monotonicNow() - this->stoppedAt < this->grace) {
            this->play({ 20 });
            reader.take(static_cast<std::size_t>(900000 * 20 / readTime.value));
        }
        const std::size_t received = reader.answer.size() - std::min(reader.answer.size(), reader.answer.find("bbbb"));
        if (received != 900000)
            this->fail(id, "reached its caller with " + std::to_string(received) + " of 900000 bytes");
        this->play({ 500 });
        this->checkExit();
        return this->failures == 0;
    }

private:
    scenario::Process& entry() { return this->rig.entries.at(1); }

    void fail(const std::string& id, const std::string& problem)
    {
        ++this->failures;
        std::cout << id << " " << problem << "\n";
    }

    void checkExit()
    {
        if (this->entry().running())
            this->fail("entry-1", "runs at the end of its grace period");
        else if (this->entry().status != 0)
            this->fail("entry-1", "exits with status " + std::to_string(this->entry().status.value_or(-1)));
    }

    void sendNext()
    {
        Attempt attempt { .kind = this->random() % kinds.size(), .sentAt = monotonicNow() };
        const Kind& kind = kinds.at(attempt.kind);
        attempt.work = { kind.workTimes.at(this->random() % kind.workTimes.size()) };
        if (attempt.kind != quickKind && this->random() % 4 == 0)
            attempt.silences = this->silences;
        constexpr std::array timeouts { 1000, 2500, 6000 };
        attempt.timeout = { attempt.kind == quickKind ? 1000 : timeouts.at(this->random() % timeouts.size()) };
        if (attempt.silences > 1)
            attempt.timeout = routeTimeout; // so that the answer fits into the time of the caller
        attempt.caller = std::make_shared<RigCaller>();
        const std::string id = this->rig.nextAttempt();
        const bool reuse = this->random() % 3 != 0;
        this->rig.pool.send(
            { .address = this->rig.front(1),
                .bytes = "POST /" + std::string(kind.name) + "/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: " + std::to_string(attempt.timeout.value)
                    + (kind.stream && kind.repeatable ? "\r\nModel: model\r\nToken-Count: 900,84" : "")
                    + "\r\nContent-Length: 2\r\n\r\nab",
                .maxIdle = { reuse ? 10000 : -1 } },
            attempt.caller);
        this->attempts[id] = attempt;
    }

    /// Runs callers and upstreams for some time.
    void play(Milliseconds time)
    {
        const Milliseconds until = monotonicNow() + time;
        std::exponential_distribution<double> interval(requestsPerSecond / 1000);
        while (monotonicNow() < until) {
            for (; this->nextAt <= static_cast<double>(monotonicNow().value); this->nextAt += interval(this->random))
                this->sendNext();
            this->upstreams.step(monotonicNow());
            this->rig.runLoop();
            for (auto& [id, attempt] : this->attempts)
                if (attempt.caller && attempt.caller->end && !attempt.endedAt)
                    attempt.endedAt = monotonicNow();
        }
    }

    void check(const std::string& id, const Attempt& attempt)
    {
        const Kind& kind = kinds.at(attempt.kind);
        const RigCaller& caller = *attempt.caller;
        const Milliseconds took = attempt.endedAt.value_or(this->exitedAt) - attempt.sentAt;
        const Milliseconds sent = attempt.sentAt - this->stoppedAt;
        const std::string what = std::string("(") + kind.name + ", sent " + std::to_string(sent.value)
            + " ms after the signal, takes " + std::to_string(attempt.work.value) + " ms"
            + (attempt.silences > 0 ? " and " + std::to_string(attempt.silences) + " silences" : "") + ", time "
            + std::to_string(attempt.timeout.value) + " ms) ";
        const bool isWhole = caller.end == CallEnd::Complete;
        const int status = caller.head.status;
        ++this->counts[kind.name][!isWhole ? "no answer" : status == 200 ? "served" : std::to_string(status)];
        const bool outOfTime = took + Milliseconds { 30 } >= std::min(attempt.timeout, routeTimeout);
        const bool mayBeCut
            = sent <= earlyTime && attempt.workedUntil && *attempt.workedUntil - this->stoppedAt >= this->grace * 5 / 6;
        if (attempt.arrivals > 0 && !isWhole && !outOfTime && !mayBeCut)
            this->fail(id, what + "reached an upstream and was cut after " + std::to_string(took.value) + " ms");
        if (attempt.arrivals == 0 && !isWhole && caller.end != CallEnd::NotSent && took > crossingTime)
            this->fail(id, what + "was held for " + std::to_string(took.value) + " ms and got no answer");
        if (!kind.repeatable && attempt.arrivals > 0 && isWhole && status == 503)
            this->fail(id, what + "ran and was refused");
        if (!kind.repeatable && attempt.arrivals > 1)
            this->fail(id, what + "ran twice");
        if (sent <= signalTime)
            return;
        if (!kind.repeatable && attempt.arrivals > 0 && (!isWhole || status != 200) && !outOfTime)
            this->fail(id, what + "was passed on and could not end in time, status " + std::to_string(status));
        if (isWhole && status == 503 && took > refusalTime)
            this->fail(id, what + "was refused after " + std::to_string(took.value) + " ms");
        if (isWhole && status == 503 && !caller.head.find("Retry-After"))
            this->fail(id, what + "was refused without Retry-After");
        // What ends in time whatever happens is not refused.
        if (attempt.kind == quickKind && this->grace - sent > attempt.timeout + Milliseconds { 1000 }
            && (!isWhole || status != 200) && caller.end != CallEnd::NotSent)
            this->fail(id, what + "was not served, status " + std::to_string(status));
    }

    void report() const
    {
        std::cout << this->attempts.size() << " requests, entry gone after " << (this->exitedAt - this->stoppedAt).value
                  << " ms, " << this->failures << " faults\n";
        for (const auto& [kind, outcomes] : this->counts) {
            std::cout << "  " << kind << ":";
            for (const auto& [outcome, count] : outcomes)
                std::cout << " " << outcome << " " << count << ",";
            std::cout << "\n";
        }
    }

    EntryRig rig;
    Milliseconds grace;
    std::int64_t silences; ///< of a silent upstream's stream
    std::mt19937_64 random;
    std::map<std::string, Attempt> attempts; ///< by id
    Upstreams upstreams;
    double nextAt { static_cast<double>(monotonicNow().value) }; ///< time of the next request, ms
    Milliseconds stoppedAt { 0 }; ///< when the first signal was sent
    Milliseconds exitedAt { 0 };
    std::map<std::string, std::map<std::string, int>> counts; ///< by kind and outcome
    int failures { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("planned-stop", "Checks what callers of an entry see while it stops.");
    options.add_options()("bin", "build folder", cxxopts::value<std::string>())(
        "logs", "folder for settings and log", cxxopts::value<std::string>()->default_value("planned-stop-logs"))(
        "grace", "grace period, seconds", cxxopts::value<int>()->default_value("8"))(
        "seed", "seed of the requests", cxxopts::value<std::uint64_t>()->default_value("1"))("silences",
        "times that a silent upstream falls silent in a stream",
        cxxopts::value<std::int64_t>()->default_value("1"))("reload", "a shorter grace period is set after the signal")(
        "slow-reader", "only one caller, which takes its answer slowly");
    const auto flags = options.parse(argc, argv);
    PlannedStopTest test(flags["bin"].as<std::string>(), flags["logs"].as<std::string>(), flags["grace"].as<int>(),
        flags["silences"].as<std::int64_t>(), flags["seed"].as<std::uint64_t>());
    return (flags.count("slow-reader") > 0 ? test.runSlowReader() : test.run(flags.count("reload") > 0)) ? 0 : 1;
}
