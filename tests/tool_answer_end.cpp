// Runs one hickory-entry before stand-in upstreams that end their answers in every framing and at every kind of place,
// inside the head too: whole, cut by a close, a reset or the end of the process; and with statuses that are none.
// Checks that no caller takes a part of an answer for the whole one, and that a whole answer, or one that another
// upstream can complete, arrives whole. Exit code 1 otherwise.

#include "call_pool_io.h"
#include "scenario_process.h"
#include "soak_store.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <unistd.h>

using namespace hickory;
using Json = nlohmann::json;

namespace {

constexpr int eventCount = 4; ///< events of each stream
constexpr std::size_t casesAtOnce = 40; ///< requests in flight
constexpr Milliseconds settleTime { 5 }; ///< from the last byte of an answer to its end
constexpr Milliseconds caseTimeout { 5000 }; ///< from sending a request until its answer has ended
constexpr Milliseconds startTimeout { 10000 }; ///< until the entry is ready and knows all upstreams

/// Kind of a route, and whether a broken stream may go on at another upstream.
enum class RouteKind : std::uint8_t { ResumableStream, Stream, Idempotent, NonIdempotent };

/// How an upstream delimits the body of its answer.
enum class Framing : std::uint8_t { Length, Chunks, None };

/// How an upstream spells the type of an event stream.
enum class StreamType : std::uint8_t { Usual, Absent, OtherCase };

/// How an upstream ends its answer.
enum class Ending : std::uint8_t {
    Whole, ///< properly
    Close, ///< it closes the connection and goes on running
    Reset, ///< it resets the connection and goes on running
    Crash, ///< its process ends: all its connections are closed and it accepts no more
};

constexpr std::array kindNames { "resumable stream", "stream", "idempotent", "non-idempotent" };
constexpr std::array framingNames { "length", "chunks", "no framing" };
constexpr std::array typeNames { "usual type", "no type", "type in other case" };
constexpr std::array endingNames { "whole", "close", "reset", "crash" };

bool isStream(RouteKind kind) { return kind == RouteKind::ResumableStream || kind == RouteKind::Stream; }

std::string eventText(int number) { return "id: " + std::to_string(number) + "\ndata: event\n\n"; }

/// @return the events after one of them, 0 for all
std::string eventsAfter(int number)
{
    std::string text;
    while (number < eventCount)
        text += eventText(++number);
    return text;
}

/// One request, and how its first upstream answers it.
struct Case {
    std::size_t number { 0 }; ///< index in the list of all cases
    RouteKind kind { RouteKind::Idempotent };
    Framing framing { Framing::Length };
    StreamType type { StreamType::Usual };
    Ending ending { Ending::Whole };
    std::size_t cut { 0 }; ///< bytes of the body that are sent
    std::string status { "200" }; ///< of the first upstream's answer
    bool everywhere { false }; ///< the other upstream answers with that status too
    std::optional<std::size_t> headShare; ///< percent of the head that is sent, without a body; empty for all of it
    int runs { 0 }; ///< times that an upstream got it

    std::string name() const
    {
        const auto text = [](const auto& names, auto value) { return names.at(static_cast<std::size_t>(value)); };
        std::string name = std::string(text(kindNames, this->kind)) + ", " + text(framingNames, this->framing) + ", ";
        if (isStream(this->kind))
            name += std::string(text(typeNames, this->type)) + ", ";
        if (this->hasOddStatus())
            return name + "status \"" + this->status + "\"" + (this->everywhere ? " everywhere" : "");
        return name + text(endingNames, this->ending) + " after "
            + (this->headShare ? std::to_string(*this->headShare) + " percent of the head"
                               : std::to_string(this->cut) + " bytes");
    }
    /// @return whether the upstream's answer is none in the protocol
    bool hasOddStatus() const { return this->status != "200"; }
    std::string attempt() const { return "attempt-" + std::to_string(this->number); }
    std::string prefix() const { return "/case" + std::to_string(this->number) + "/"; }
    std::string service() const { return "service" + std::to_string(this->number); }
    std::string wholeBody() const { return isStream(this->kind) ? eventsAfter(0) : std::string(300, 'b'); }
    /// @return whether another upstream may run it again or go on with it
    bool repeatable() const { return this->kind == RouteKind::ResumableStream || this->kind == RouteKind::Idempotent; }
    /// @return whether nothing tells the part that the first upstream sent from a whole answer: that upstream chose to
    /// end it so
    bool looksWhole() const
    {
        const std::size_t event = eventText(1).size();
        const bool betweenEvents = this->cut > 0 && this->cut % event == 0;
        return !this->headShare && this->framing == Framing::None && this->ending == Ending::Close
            && (!isStream(this->kind) || betweenEvents);
    }
};

/// A stand-in upstream that serves all cases of one service.
class Upstream {
public:
    Upstream(asio::io_context& io, std::vector<Case>& cases)
        : io(io)
        , cases(cases)
        , acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        this->accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

private:
    struct Session : WireSink {
        void onHead(WireHead&& received) override { this->head = std::move(received); }
        void onBody(std::string_view) override { }
        void onComplete() override { this->complete = true; }

        std::shared_ptr<TcpLink> link;
        WireParser parser { WireKind::Request, 65536 };
        WireHead head;
        bool complete { false };
    };

    void accept()
    {
        this->acceptor.async_accept([this](const std::error_code& code, asio::ip::tcp::socket socket) {
            if (code)
                return;
            auto session = std::make_shared<Session>();
            session->link = std::make_shared<TcpLink>(std::move(socket), LinkOptions {});
            this->sessions.push_back(session);
            session->link->start(
                [this, session](std::string_view bytes) {
                    session->parser.feed(bytes, *session);
                    if (std::exchange(session->complete, false))
                        this->answer(session);
                },
                [session](LinkEnd) { session->link->close(); });
            this->accept();
        });
    }

    void answer(const std::shared_ptr<Session>& session)
    {
        const std::string* attempt = session->head.find("Attempt-Id");
        if (!attempt) {
            session->link->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); // a status request
            return;
        }
        Case& request = this->cases.at(std::stoul(attempt->substr(attempt->rfind('-') + 1)));
        const std::string* resumed = session->head.find("Last-Event-Id");
        const bool isFirst = request.runs++ == 0;
        std::string head = "HTTP/1.1 " + (isFirst || request.everywhere ? request.status : "200")
            + " OK\r\nAttempt-Id: " + *attempt + "\r\nReplica-Seal: seal\r\n";
        if (!isFirst) {
            const std::string body
                = isStream(request.kind) ? eventsAfter(resumed ? std::stoi(*resumed) : 0) : request.wholeBody();
            if (isStream(request.kind))
                head += "Content-Type: text/event-stream\r\n";
            session->link->write(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            return;
        }
        if (isStream(request.kind) && request.type != StreamType::Absent)
            head += request.type == StreamType::Usual ? "Content-Type: text/event-stream\r\n"
                                                      : "content-type: Text/Event-Stream; charset=utf-8\r\n";
        const std::string body = request.wholeBody().substr(0, request.cut);
        if (request.framing == Framing::Length)
            head += "Content-Length: " + std::to_string(request.wholeBody().size()) + "\r\n\r\n" + body;
        else if (request.framing == Framing::None)
            head += "\r\n" + body;
        else {
            std::ostringstream chunk;
            chunk << std::hex << body.size();
            head += "Transfer-Encoding: chunked\r\n\r\n" + (body.empty() ? "" : chunk.str() + "\r\n" + body + "\r\n");
        }
        if (request.headShare) {
            head.resize(head.find("\r\n\r\n") + 4);
            head.resize(std::min(head.size() * *request.headShare / 100, head.size() - 1));
        }
        session->link->write(head);
        auto timer = std::make_shared<asio::steady_timer>(this->io, std::chrono::milliseconds(settleTime.value));
        timer->async_wait([this, session, timer, &request](const std::error_code&) { this->end(*session, request); });
    }

    void end(Session& session, const Case& request)
    {
        if (request.ending == Ending::Reset)
            session.link->reset();
        else if (request.ending == Ending::Crash) {
            this->acceptor.close();
            for (const auto& each : this->sessions)
                each->link->close();
        } else if (request.ending == Ending::Close || request.framing == Framing::None)
            session.link->closeAfterWrite();
        else if (request.framing == Framing::Chunks)
            session.link->write("0\r\n\r\n");
    }

    asio::io_context& io;
    std::vector<Case>& cases; ///< all cases, by the number in their attempt id
    asio::ip::tcp::acceptor acceptor; ///< closed by a crash
    std::vector<std::shared_ptr<Session>> sessions; ///< all connections so far
};

/// The caller of one request.
struct Caller : CallSink {
    bool accepts(const WireHead&) override { return true; }
    void onHead(WireHead&& received) override { this->head = std::move(received); }
    bool onBody(std::string_view bytes) override
    {
        this->body.append(bytes);
        return true;
    }
    void onEnd(CallEnd how) override { this->end = how; }

    WireHead head;
    std::string body;
    std::optional<CallEnd> end; ///< empty until the answer has ended
};

std::vector<Case> makeCases()
{
    const std::size_t event = eventText(1).size();
    std::vector<Case> cases;
    const auto add = [&](Case made) {
        const std::size_t whole = made.wholeBody().size();
        const std::vector<std::size_t> cuts = isStream(made.kind)
            ? std::vector<std::size_t> { 0, event / 2, event, event + 1, event * 2, event * 3 - 1, whole }
            : std::vector<std::size_t> { 0, whole / 2, whole };
        for (const std::size_t share : { 1U, 8U, 30U, 60U, 90U, 100U }) {
            if (made.ending == Ending::Whole || made.type != StreamType::Usual)
                continue;
            Case cutInHead = made;
            cutInHead.number = cases.size();
            cutInHead.headShare = share;
            cases.push_back(cutInHead);
        }
        for (const std::size_t cut : cuts) {
            if ((made.ending == Ending::Whole) != (cut == whole && made.ending == Ending::Whole))
                continue;
            made.number = cases.size();
            made.cut = cut;
            cases.push_back(made);
        }
    };
    for (const RouteKind kind :
        { RouteKind::ResumableStream, RouteKind::Stream, RouteKind::Idempotent, RouteKind::NonIdempotent })
        for (const Framing framing : { Framing::Length, Framing::Chunks, Framing::None })
            for (const StreamType type : { StreamType::Usual, StreamType::Absent, StreamType::OtherCase })
                for (const Ending ending : { Ending::Whole, Ending::Close, Ending::Reset, Ending::Crash })
                    if (isStream(kind) || type == StreamType::Usual)
                        add({ .kind = kind, .framing = framing, .type = type, .ending = ending });
    for (const RouteKind kind :
        { RouteKind::ResumableStream, RouteKind::Stream, RouteKind::Idempotent, RouteKind::NonIdempotent })
        for (const char* status : { "000", "020", "099", "20", "0200", "2000", "-20", "+200", "abc", "", "600", "999" })
            for (const Framing framing : { Framing::Length, Framing::Chunks, Framing::None })
                for (const bool everywhere : { false, true }) {
                    if (framing != Framing::Length && status != std::string_view("000"))
                        continue;
                    Case made { .number = cases.size(), .kind = kind, .framing = framing, .status = status };
                    made.everywhere = everywhere;
                    made.cut = made.wholeBody().size();
                    cases.push_back(made);
                }
    return cases;
}

/// @return what is wrong with the answer to a request whose upstream answered with a status that is none, empty if
/// nothing
std::string oddStatusProblem(const Case& request, const Caller& caller)
{
    if (caller.end != CallEnd::Complete)
        return "has no end"; // neither a part nor the bytes that are no answer
    const std::uint16_t status = caller.head.status;
    if (request.repeatable() && !request.everywhere)
        return status == 200 && caller.body == request.wholeBody() ? ""
                                                                   : "is not served, status " + std::to_string(status);
    // It may have run, and its caller need not wait until its time is up.
    constexpr std::uint16_t failed = 502;
    return status == failed ? "" : "has the status " + std::to_string(status);
}

/// Starts the entry, sends the requests of all cases and checks the answers.
class AnswerEndTest {
public:
    AnswerEndTest(std::string buildFolder, std::string logFolder)
        : buildFolder(std::move(buildFolder))
        , logFolder(std::move(logFolder))
        , addressPrefix("127." + std::to_string(1 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".")
        , cases(makeCases())
        , store(this->io, this->addressPrefix + "250:8081")
    {
    }

    /// @return whether every check held
    bool run()
    {
        this->fillStore();
        this->startEntry();
        for (std::size_t first = 0; first < this->cases.size(); first += casesAtOnce)
            this->runBatch(first, std::min(first + casesAtOnce, this->cases.size()));
        this->entry.signal(SIGKILL);
        std::cout << this->cases.size() << " answers, " << this->failures << " wrong\n";
        return this->failures == 0;
    }

private:
    void fillStore()
    {
        constexpr std::array kinds { "streaming", "streaming", "idempotent", "non_idempotent" };
        Json routes = Json::array();
        Json services = Json::array();
        for (const Case& each : this->cases) {
            Json route { { "name", each.service() }, { "host", "desk.example" }, { "prefix", each.prefix() },
                { "kind", kinds.at(static_cast<std::size_t>(each.kind)) }, { "timeout_ms", 4000 },
                { "target_latency_ms", 1000 }, { "priority", 1 }, { "max_attempts", 2 },
                { "service", each.service() } };
            if (each.kind == RouteKind::ResumableStream)
                route["resumable"] = true;
            routes.push_back(std::move(route));
            Json service { { "name", each.service() } };
            if (each.number % 2 == 0)
                service["health_path"] = "/status";
            services.push_back(std::move(service));
            for (const char* part : { "a", "b" }) {
                this->upstreams.push_back(std::make_unique<Upstream>(this->io, this->cases));
                this->store.put("servers", each.service() + part,
                    Json { { "service", each.service() }, { "address", this->upstreams.back()->address() },
                        { "zone", "a" }, { "version", 1 }, { "slots", 8 }, { "state", "ready" }, { "sequence", 1 },
                        { "born", 1 } }
                        .dump());
            }
        }
        this->store.put(
            "op", "config", Json { { "version", 1 }, { "routes", routes }, { "services", services } }.dump());
    }

    void startEntry()
    {
        const std::string ip = this->addressPrefix + "1";
        const std::string path = this->logFolder + "/entry.toml";
        std::ofstream(path) << "[host]\nname = \"entry-1\"\nplace = \"a\"\nregion = \"r\"\nip = \"" << ip
                            << "\"\npeer_port = 8010\nstore = \"" << this->addressPrefix << "250:8081\"\nseeds = [\""
                            << ip << ":8003\"]\n[relay]\nfront = \"" << ip << ":8000\"\nreadiness = \"" << ip
                            << ":8001\"\nlookup = \"" << ip << ":8002\"\ncontrol = \"" << ip
                            << ":8003\"\nrevoke_ms = 5000\nweights_ms = 6000\ngrace_s = 8\nretry_extra = 5000\n";
        this->entry.start({ this->buildFolder + "/hickory-entry", "--settings", path }, this->logFolder + "/entry.log");
        bool ready = false;
        const Milliseconds until = monotonicNow() + startTimeout;
        while (!ready && monotonicNow() < until) {
            bool answered = false;
            this->pool.fetch(
                { .address = ip + ":8001", .target = "/api/readiness" }, [&](const Result<FetchResponse>& answer) {
                    answered = true;
                    ready = succeeded(answer);
                });
            while (!answered)
                this->runLoop();
        }
        if (!ready)
            throw std::runtime_error("the entry is not ready: " + this->entry.output());
    }

    void runLoop()
    {
        this->io.restart();
        this->io.run_for(std::chrono::milliseconds(5));
    }

    void runBatch(std::size_t first, std::size_t end)
    {
        std::vector<std::shared_ptr<Caller>> callers;
        for (std::size_t number = first; number < end; ++number) {
            const Case& each = this->cases[number];
            callers.push_back(std::make_shared<Caller>());
            const bool hasBody = each.kind != RouteKind::Idempotent;
            this->pool.send({ .address = this->addressPrefix + "1:8000",
                                .bytes = (hasBody ? "POST " : "GET ") + each.prefix()
                                    + "x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + each.attempt()
                                    + "\r\nDeadline-Ms: 4000\r\n" + (hasBody ? "Content-Length: 2\r\n\r\nab" : "\r\n"),
                                .maxIdle = { -1 } },
                callers.back());
        }
        const Milliseconds until = monotonicNow() + caseTimeout;
        const auto allEnded = [&] {
            return std::all_of(callers.begin(), callers.end(), [](const auto& each) { return each->end.has_value(); });
        };
        while (!allEnded() && monotonicNow() < until)
            this->runLoop();
        for (std::size_t number = first; number < end; ++number)
            this->check(this->cases[number], *callers[number - first]);
    }

    void check(const Case& request, const Caller& caller)
    {
        const std::string whole = request.wholeBody();
        const bool complete = caller.end == CallEnd::Complete && caller.head.status == 200;
        std::string problem;
        if (request.hasOddStatus())
            problem = oddStatusProblem(request, caller);
        else if (!caller.end)
            problem = "has no end";
        else if (complete && caller.body != whole && !request.looksWhole())
            problem = "is framed as complete and has " + std::to_string(caller.body.size()) + " of "
                + std::to_string(whole.size()) + " bytes";
        else if (caller.head.status == 200 && !whole.starts_with(caller.body))
            problem = "has other bytes";
        else if (!complete && !request.looksWhole() && (request.ending == Ending::Whole || request.repeatable()))
            problem = "is not complete, status " + std::to_string(caller.head.status);
        if (problem.empty() && request.runs > 1 && !request.repeatable())
            problem = "ran twice";
        if (problem.empty())
            return;
        ++this->failures;
        std::cout << request.attempt() << " (" << request.name() << ") " << problem << "\n";
    }

    std::string buildFolder; ///< where hickory-entry is
    std::string logFolder; ///< receives settings and log of the entry
    std::string addressPrefix; ///< "127.x.y.", derived from the process id so that concurrent runs do not collide
    std::vector<Case> cases;
    asio::io_context io; ///< event loop of the stand-ins and callers
    soak::Store store;
    CallPool pool { this->io, {} }; ///< sends the callers' requests
    std::vector<std::unique_ptr<Upstream>> upstreams; ///< two of each service
    scenario::Process entry;
    int failures { 0 }; ///< wrong answers
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("answer-end", "Checks that callers never take a part of an answer for the whole one.");
    options.add_options()("bin", "build folder", cxxopts::value<std::string>())(
        "logs", "folder for settings and log", cxxopts::value<std::string>()->default_value("answer-end-logs"));
    const auto flags = options.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    const std::string logFolder = flags["logs"].as<std::string>();
    std::filesystem::remove_all(logFolder);
    std::filesystem::create_directories(logFolder);
    return AnswerEndTest(flags["bin"].as<std::string>(), logFolder).run() ? 0 : 1;
}
