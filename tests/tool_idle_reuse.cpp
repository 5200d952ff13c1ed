// Runs one hickory-entry before many callers that keep their connections between requests for as long as the protocol
// lets them: until half a second before the time in the `Keep-Alive` field of the last answer, counted from when they
// have read its end. Some are behind a link with delay, some take their answers slowly, some read streams, and a
// configuration lowers idle_timeout_ms meanwhile. Checks that each request that they send gets a complete answer, and
// that no connection ends while its caller may use it by what it was told. Exit code 1 otherwise.

#include "entry_rig.h"
#include "front_io.h"
#include "wire_parser_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cxxopts.hpp>
#include <deque>
#include <iostream>
#include <netinet/tcp.h>
#include <random>

using namespace hickory;
using Json = nlohmann::json;

namespace {

constexpr Milliseconds usualLimit { 5000 }; ///< idle_timeout_ms
constexpr Milliseconds loweredLimit { 3000 }; ///< the same, while it is lowered
constexpr Milliseconds callerMargin { 500 }; ///< before the stated time, at which a caller stops using a connection
constexpr Milliseconds untoldTime = usualLimit * 4 / 3; ///< longest time that callers use a connection if told nothing
constexpr Milliseconds lateTime { 400 }; ///< before the end of the usable time, in which most requests are sent
constexpr Milliseconds answerTimeout { 6000 };
constexpr Milliseconds eventGap { 100 }; ///< between events of a stream
constexpr Milliseconds slowTime { 2500 }; ///< in which a slow reader takes all but the end of an answer
constexpr Milliseconds endPause { 500 }; ///< of a slow reader, before it takes the end
constexpr std::size_t smallBytes = 300; ///< body of a plain answer
constexpr std::size_t largeBytes = 400000; ///< body of an answer for a slow reader
constexpr std::size_t endBytes = 1500; ///< of the body, which a slow reader takes last; fits into its receive buffer
/// Changes of idle_timeout_ms after the callers have started: lowered, usual, lowered.
constexpr std::array changeTimes { Milliseconds { 6000 }, Milliseconds { 11000 }, Milliseconds { 15000 } };
constexpr Milliseconds lastRequest { 20500 }; ///< time of the last requests, after the callers have started
constexpr int upstreamCount = 2; ///< of each service
constexpr std::size_t shownFaults = 20;
/// Least number of requests of each kind of caller that show anything: sent late, and after a lowered limit has passed.
constexpr int leastCovered = 5;

enum class Answer : std::uint8_t { Small, Large, Stream };

/// A kind of caller.
struct Kind {
    const char* name;
    int callers;
    bool delayed; ///< a link with delay lies between caller and entry
    Answer answer;
};

constexpr std::array kinds { Kind { "plain", 40, false, Answer::Small }, Kind { "delayed", 60, true, Answer::Small },
    Kind { "slow-reader", 25, true, Answer::Large }, Kind { "stream", 35, true, Answer::Stream } };

/// What the callers of one kind saw.
struct Counts {
    int requests { 0 };
    int reuses { 0 }; ///< requests on connections that had answered before
    int late { 0 }; ///< of these, sent in the last `lateTime` of the usable time, and served
    int outlived { 0 }; ///< of these, sent when a limit lowered since the last answer began had passed, and served
    int closed { 0 }; ///< requests whose connection ended without a complete answer
    int unanswered { 0 }; ///< requests that got no answer in time
    int incomplete { 0 }; ///< answers that ended as complete and were not
    int endedEarly { 0 }; ///< connections that ended while they were idle and usable by what was stated
    int endedUntold { 0 }; ///< connections that ended while they were idle, with nothing stated
    std::map<int, int> statuses;
    std::map<std::string, int> stated; ///< answers by value of Keep-Alive, "-" for none
};

/// What all callers share.
struct Stage {
    EntryRig rig;
    std::mt19937_64 random;
    Milliseconds delay; ///< each way of a link with delay
    Milliseconds startedAt {}; ///< when the callers started
    Milliseconds loweredAt {}; ///< when the last lowered limit was in force, 0 before
    bool ending { false }; ///< no more requests are sent
    std::size_t faults { 0 };
    std::map<std::string, Counts> counts {}; ///< by kind

    /// @return a time, evenly distributed
    Milliseconds draw(Milliseconds least, Milliseconds most)
    {
        return { std::uniform_int_distribution<std::int64_t>(least.value, most.value)(this->random) };
    }
    void fail(const std::string& what)
    {
        if (++this->faults <= shownFaults)
            std::cout << "at " << (monotonicNow() - this->startedAt).value << " ms: " << what << "\n";
    }
};

/// Stand-in upstreams of all services. The end of the path states the events of a stream.
class Upstreams {
public:
    explicit Upstreams(asio::io_context& io)
        : front(io, {},
            { .onRequest = [this](FrontRequest&& request) { this->onRequest(request); },
                .onCallerDisconnected = [this](CallId call) { this->streams.erase(call); } })
    {
    }

    void listen(const std::string& address)
    {
        if (!this->front.listen(address))
            throw std::runtime_error("an upstream cannot listen at " + address);
    }

    /// Sends the events that are due.
    void step(Milliseconds now)
    {
        std::vector<CallId> done;
        for (auto& [call, stream] : this->streams) {
            if (now - stream.since < eventGap * (stream.sent + 1))
                continue;
            this->front.body(call, "id: " + std::to_string(++stream.sent) + "\ndata: event\n\n");
            if (stream.sent == stream.events)
                done.push_back(call);
        }
        for (const CallId call : done) {
            this->streams.erase(call);
            this->front.finish(call);
        }
    }

private:
    struct Stream {
        Milliseconds since;
        int events;
        int sent { 0 };
    };

    void onRequest(const FrontRequest& request)
    {
        const std::string* id = request.head.find("Attempt-Id");
        if (!id) {
            this->front.answer(request.id, 200, {}, "{}"); // a status request
            return;
        }
        const std::string& target = request.head.target;
        std::vector<WireHeader> headers { { "Replica-Seal", "seal" }, { "Attempt-Id", *id } };
        if (target.starts_with("/feed/")) {
            headers.push_back({ "Content-Type", "text/event-stream" });
            this->front.begin(request.id, 200, headers);
            this->streams[request.id]
                = { .since = monotonicNow(), .events = std::stoi(target.substr(target.rfind('/') + 1)) };
            return;
        }
        headers.push_back({ "Content-Type", "text/plain" });
        this->front.answer(
            request.id, 200, headers, std::string(target.starts_with("/read/large") ? largeBytes : smallBytes, 'b'));
    }

    FrontServer front;
    std::map<CallId, Stream> streams;
};

/// A caller's connection to the entry, and the link with delay before it.
class CallerConnection {
public:
    /// @param delay each way
    CallerConnection(asio::io_context& io, const std::string& address, Milliseconds delay, bool slow)
        : socket(io)
        , delay(delay)
        , slow(slow)
    {
        const auto endpoint = *parseEndpoint(address);
        this->socket.open(endpoint.protocol());
        if (slow) {
            this->socket.set_option(asio::socket_base::receive_buffer_size(4096));
            // As on a network: segments as large as those of the loopback let the kernel take all of the answer at
            // once.
            constexpr int segmentBytes = 1000;
            (void)::setsockopt(
                this->socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
        }
        this->socket.connect(endpoint);
        this->socket.set_option(asio::ip::tcp::no_delay(true));
        this->socket.non_blocking(true);
    }

    /// Sends a request, which fits into the socket's buffer.
    void send(const std::string& request, Milliseconds now)
    {
        this->request = request;
        this->requestDue = now + this->delay;
        this->taken = 0;
        this->readingSince = {};
        this->pausedUntil = {};
    }

    /// Moves bytes between the socket and the link.
    void step(Milliseconds now)
    {
        std::error_code code;
        if (!this->request.empty() && now >= this->requestDue) {
            asio::write(this->socket, asio::buffer(this->request), code); // a broken connection is noticed by the read
            this->request.clear();
        }
        while (!this->ended) {
            std::string part(this->readable(now), '\0');
            if (part.empty())
                return;
            part.resize(this->socket.read_some(asio::buffer(part), code));
            if (code == asio::error::would_block)
                return;
            this->ended = static_cast<bool>(code);
            if (this->readingSince.value == 0)
                this->readingSince = now;
            this->taken += part.size();
            if (this->slow && this->pausedUntil.value == 0 && this->taken >= largeBytes - endBytes)
                this->pausedUntil = now + endPause;
            this->segments.push_back({ .due = now + (this->slow ? Milliseconds {} : this->delay), .bytes = part });
        }
    }

    /// @return the next bytes that reach the caller, empty for the end of the connection, or nothing yet
    std::optional<std::string> receive(Milliseconds now)
    {
        if (this->segments.empty() || now < this->segments.front().due)
            return std::nullopt;
        std::string bytes = std::move(this->segments.front().bytes);
        this->segments.pop_front();
        return bytes;
    }

private:
    struct Segment {
        Milliseconds due; ///< when it reaches the caller
        std::string bytes; ///< empty for the end of the connection
    };

    /// @return bytes that may be read from the socket now
    std::size_t readable(Milliseconds now) const
    {
        constexpr std::size_t readBytes = 65536;
        if (!this->slow || this->taken == 0)
            return this->slow ? 1 : readBytes;
        if (this->pausedUntil.value != 0)
            return now >= this->pausedUntil ? readBytes : 0;
        const auto allowed = largeBytes * static_cast<std::size_t>((now - this->readingSince).value)
            / static_cast<std::size_t>(slowTime.value);
        return std::min(allowed, largeBytes - endBytes) - std::min({ allowed, largeBytes - endBytes, this->taken });
    }

    asio::ip::tcp::socket socket;
    Milliseconds delay;
    bool slow; ///< the answer is taken slowly
    std::string request; ///< on the way to the entry
    Milliseconds requestDue;
    std::deque<Segment> segments; ///< on the way to the caller
    std::size_t taken { 0 }; ///< bytes of the answer
    Milliseconds readingSince; ///< when its first byte was read, 0 before
    Milliseconds pausedUntil; ///< when a slow reader takes the end of the answer, 0 before it pauses
    bool ended { false };
};

/// A caller that sends one request after the other and keeps its connection between them.
class Caller : WireSink {
public:
    Caller(Stage& stage, const Kind& kind)
        : stage(stage)
        , kind(kind)
        , counts(stage.counts[kind.name])
        , nextAt(monotonicNow() + stage.draw({ 0 }, { 1500 }))
    {
    }

    void step(Milliseconds now)
    {
        this->now = now;
        if (this->connection) {
            this->connection->step(now);
            while (this->connection) {
                const auto bytes = this->connection->receive(now);
                if (!bytes)
                    break;
                this->take(*bytes);
            }
        }
        if (this->waiting && now - this->sentAt > answerTimeout) {
            ++this->counts.unanswered;
            this->fail("got no answer");
            this->leave();
        }
        if (!this->waiting && !this->stage.ending && now >= this->nextAt)
            this->sendNext();
    }

    bool isWaiting() const { return this->waiting; }

private:
    void take(const std::string& bytes)
    {
        if (bytes.empty()) {
            this->onEnd();
            return;
        }
        this->parser->feed(bytes, *this);
        if (this->parser->fault()) {
            ++this->counts.incomplete;
            this->fail("got bytes that are no answer");
            this->leave();
        } else if (this->leaving)
            this->leave();
    }

    void onHead(WireHead&& received) override
    {
        this->head = std::move(received);
        this->headAt = this->now;
    }
    void onBody(std::string_view bytes) override { this->body.append(bytes); }

    void onComplete() override
    {
        if (!std::exchange(this->waiting, false)) {
            this->fail("got an answer without a request");
            return;
        }
        this->readAt = this->now;
        ++this->counts.statuses[this->head.status];
        if (this->head.status == 200)
            this->checkServed();
        const std::string* stated = this->head.find("Keep-Alive");
        ++this->counts.stated[stated ? *stated : "-"];
        this->told = stated != nullptr;
        this->usable = stated ? usableTime(*stated) : untoldTime;
        const std::string* option = this->head.find("Connection");
        this->leaving = (option && equalNames(*option, "close")) || this->usable.value <= 0;
        // A caller that is told nothing sends at any time around the limit.
        const bool late = this->told && this->stage.random() % 4 != 0;
        const Milliseconds least = late ? this->usable - lateTime : this->usable / 5;
        this->nextAt = this->now + this->stage.draw(std::max(least, Milliseconds {}), this->usable);
    }

    /// @return longest time that a caller may leave a connection unused
    static Milliseconds usableTime(const std::string& stated)
    {
        constexpr std::string_view name = "timeout=";
        const std::size_t at = stated.find(name);
        std::int64_t seconds = 0;
        if (at != std::string::npos)
            std::from_chars(stated.data() + at + name.size(), stated.data() + stated.size(), seconds);
        return Milliseconds { seconds * 1000 } - callerMargin;
    }

    void checkServed()
    {
        const bool whole = this->kind.answer == Answer::Stream
            ? this->body.ends_with("id: " + std::to_string(this->events) + "\ndata: event\n\n")
            : this->body.size() == (this->kind.answer == Answer::Large ? largeBytes : smallBytes);
        if (!whole) {
            ++this->counts.incomplete;
            this->fail("got an answer that ends as complete after " + std::to_string(this->body.size()) + " bytes");
        }
        this->counts.late += this->sentLate ? 1 : 0;
        this->counts.outlived += this->sentOutlived ? 1 : 0;
    }

    /// The connection has ended.
    void onEnd()
    {
        if (this->waiting) {
            ++this->counts.closed;
            this->fail("was closed after " + std::to_string((this->now - this->sentAt).value) + " ms");
        } else if (!this->told)
            ++this->counts.endedUntold;
        else if (this->now - this->readAt <= this->usable) {
            ++this->counts.endedEarly;
            this->stage.fail(std::string(this->kind.name) + ": idle connection was closed after "
                + std::to_string((this->now - this->readAt).value) + " of " + std::to_string(this->usable.value)
                + " ms");
        }
        this->leave();
    }

    void fail(const std::string& what)
    {
        this->stage.fail(std::string(this->kind.name) + ": " + this->attempt + ", "
            + (this->idleTime ? "sent " + std::to_string(this->idleTime->value) + " of "
                        + std::to_string(this->allowedTime.value) + " ms after the last answer"
                              : "first on its connection")
            + ", " + what);
    }

    /// Closes the connection and sends the next request on another one.
    void leave()
    {
        this->connection.reset();
        this->waiting = false;
        this->leaving = false;
        this->nextAt = this->now + this->stage.draw({ 0 }, { 500 });
    }

    void sendNext()
    {
        // This process may have been late.
        if (this->connection && this->now - this->readAt > this->usable)
            this->connection.reset();
        ++this->counts.requests;
        this->idleTime.reset();
        this->sentLate = false;
        this->sentOutlived = false;
        if (this->connection) {
            ++this->counts.reuses;
            this->idleTime = this->now - this->readAt;
            this->allowedTime = this->usable;
            this->sentLate = this->usable - *this->idleTime <= lateTime;
            const bool isPast = this->idleTime.value() > loweredLimit;
            this->sentOutlived = isPast && this->headAt < this->stage.loweredAt;
        } else {
            this->connection.emplace(this->stage.rig.io, this->stage.rig.front(1),
                this->kind.delayed ? this->stage.delay : Milliseconds {}, this->kind.answer == Answer::Large);
            constexpr std::size_t headBytes = 8192;
            this->parser.emplace(WireKind::Response, headBytes);
        }
        this->events = 10 + static_cast<int>(this->stage.random() % 20);
        this->attempt = this->stage.rig.nextAttempt();
        const std::string path = this->kind.answer == Answer::Small ? "/read/small"
            : this->kind.answer == Answer::Large                    ? "/read/large"
                                                                    : "/feed/" + std::to_string(this->events);
        this->body.clear();
        this->connection->send("GET " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + this->attempt
                + "\r\nDeadline-Ms: " + std::to_string(answerTimeout.value) + "\r\n\r\n",
            this->now);
        this->sentAt = this->now;
        this->waiting = true;
    }

    Stage& stage;
    const Kind& kind;
    Counts& counts;
    std::optional<CallerConnection> connection;
    std::optional<WireParser> parser;
    Milliseconds now;
    Milliseconds nextAt; ///< time of the next request
    Milliseconds sentAt; ///< time of the last request
    Milliseconds headAt; ///< when the head of the last answer was read
    Milliseconds readAt; ///< when the end of the last answer was read
    Milliseconds usable; ///< longest time from then on in which the connection may be used
    bool told { false }; ///< the last answer stated it
    bool waiting { false }; ///< an answer is due
    bool leaving { false }; ///< the last answer lets the connection be used no more
    std::string attempt; ///< id of the last request
    int events { 0 }; ///< of its stream
    WireHead head; ///< of its answer
    std::string body;
    std::optional<Milliseconds> idleTime; ///< of its connection before it; empty for the first
    Milliseconds allowedTime; ///< longest such time
    bool sentLate { false };
    bool sentOutlived { false };
};

class IdleReuseTest {
public:
    IdleReuseTest(const std::string& buildFolder, const std::string& logFolder, std::uint64_t seed, Milliseconds delay)
        : stage { .rig = { buildFolder, logFolder, 1 }, .random = std::mt19937_64(seed), .delay = delay }
        , upstreams(this->stage.rig.io)
    {
        std::cout << "seed " << seed << ", delay " << delay.value << " ms each way\n";
    }

    /// @return whether every check held
    bool run()
    {
        EntryRig& rig = this->stage.rig;
        for (int number = 0; number < 2 * upstreamCount; ++number) {
            const std::string address = rig.hostAddress(20 + number) + ":8081";
            this->upstreams.listen(address);
            const std::string service = number % 2 == 0 ? "read" : "feed";
            rig.listUpstream(service + std::to_string(number), service, address, { { "slots", 200 } });
        }
        this->putConfig(usualLimit);
        rig.startEntry(1);
        if (!this->awaitConfig())
            throw std::runtime_error("the entry serves no request");
        this->play();
        this->report();
        return this->stage.faults == 0;
    }

private:
    /// Puts the next version in force. Only the newest version has the route /version-N/.
    void putConfig(Milliseconds limit)
    {
        ++this->version;
        Json routes = Json::array();
        for (const std::string& prefix :
            { std::string("read"), std::string("feed"), "version-" + std::to_string(this->version) }) {
            const bool stream = prefix == "feed";
            routes.push_back({ { "name", prefix }, { "host", "desk.example" }, { "prefix", "/" + prefix + "/" },
                { "kind", stream ? "streaming" : "idempotent" }, { "timeout_ms", answerTimeout.value },
                { "target_latency_ms", 400 }, { "target_gap_ms", 300 }, { "priority", 1 }, { "max_attempts", 3 },
                { "resumable", false }, { "service", stream ? "feed" : "read" } });
        }
        Json services = Json::array();
        for (const char* name : { "read", "feed" })
            services.push_back({ { "name", name }, { "health_path", "/status" } });
        const Json limits { { "header_timeout_ms", 2000 }, { "idle_timeout_ms", limit.value } };
        this->stage.rig.store.put("op", "config",
            Json { { "version", this->version }, { "routes", routes }, { "services", services }, { "limits", limits } }
                .dump());
    }

    /// Runs until the newest configuration is in force.
    /// @return whether it was in time
    bool awaitConfig()
    {
        constexpr Milliseconds applyTimeout { 4000 };
        const Milliseconds until = monotonicNow() + applyTimeout;
        while (monotonicNow() < until) {
            const auto probe
                = this->stage.rig.send(1, "/version-" + std::to_string(this->version) + "/x", answerTimeout);
            while (!probe->end && monotonicNow() < until)
                this->step();
            if (probe->head.status == 200)
                return true;
            for (int count = 0; count < 5; ++count)
                this->step();
        }
        return false;
    }

    /// Runs stand-ins and callers for a moment.
    void step()
    {
        this->stage.rig.runLoop();
        const Milliseconds now = monotonicNow();
        this->upstreams.step(now);
        for (Caller& caller : this->callers)
            caller.step(now);
    }

    void play()
    {
        this->stage.startedAt = monotonicNow();
        for (const Kind& kind : kinds)
            for (int number = 0; number < kind.callers; ++number)
                this->callers.emplace_back(this->stage, kind);
        bool lowered = false;
        for (const Milliseconds time : changeTimes) {
            this->playUntil(this->stage.startedAt + time);
            lowered = !lowered;
            this->putConfig(lowered ? loweredLimit : usualLimit);
            if (!this->awaitConfig())
                this->stage.fail("version " + std::to_string(this->version) + " does not come in force");
            else if (lowered)
                this->stage.loweredAt = monotonicNow();
        }
        this->playUntil(this->stage.startedAt + lastRequest);
        this->stage.ending = true;
        while (std::any_of(
            this->callers.begin(), this->callers.end(), [](const Caller& each) { return each.isWaiting(); }))
            this->step();
    }

    void playUntil(Milliseconds time)
    {
        while (monotonicNow() < time)
            this->step();
    }

    void report()
    {
        for (const auto& [kind, counts] : this->stage.counts) {
            if (counts.late < leastCovered || counts.outlived < leastCovered)
                this->stage.fail(kind + ": too few requests late or beyond a lowered limit were served");
            std::cout << kind << ": " << counts.requests << " requests, " << counts.reuses << " on kept connections, "
                      << counts.late << " late, " << counts.outlived << " beyond a lowered limit; " << counts.closed
                      << " closed, " << counts.unanswered << " unanswered, " << counts.incomplete << " incomplete, "
                      << counts.endedEarly << " idle connections closed early, " << counts.endedUntold
                      << " closed with nothing stated; status";
            for (const auto& [status, count] : counts.statuses)
                std::cout << " " << status << ": " << count << ",";
            std::cout << " Keep-Alive";
            for (const auto& [value, count] : counts.stated)
                std::cout << " " << value << ": " << count << ",";
            std::cout << "\n";
        }
        std::cout << this->stage.faults << " faults\n";
    }

    Stage stage;
    Upstreams upstreams;
    std::deque<Caller> callers;
    int version { 0 }; ///< of the newest configuration
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "idle-reuse", "Checks that callers can use idle connections for as long as they are told.");
    options.add_options()("bin", "build folder", cxxopts::value<std::string>())(
        "logs", "folder for settings and log", cxxopts::value<std::string>()->default_value("idle-reuse-logs"))(
        "seed", "seed of the idle times", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "delay", "delay of links, each way, ms", cxxopts::value<std::int64_t>()->default_value("300"));
    const auto flags = options.parse(argc, argv);
    IdleReuseTest test(flags["bin"].as<std::string>(), flags["logs"].as<std::string>(),
        flags["seed"].as<std::uint64_t>(), { flags["delay"].as<std::int64_t>() });
    return test.run() ? 0 : 1;
}
