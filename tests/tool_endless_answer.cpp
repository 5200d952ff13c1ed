// Runs one hickory-entry before upstreams that send much more than an answer and never end it, beside a sound one.
// Checks that the entry stays within its memory, and that the requests of other callers are answered. Exit code 1
// otherwise.

#include "entry_rig.h"
#include "front_io.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace hickory;
using Json = nlohmann::json;

namespace {

constexpr std::size_t faultyCalls = 160; ///< endless answers at a time
constexpr std::size_t faultyCallsAtOnce = 4; ///< of these, sent with each sound request
constexpr std::size_t firstBytes = 960U << 10U; ///< of each, sent at once: just below the limit of one answer
constexpr Milliseconds trickle { 50 }; ///< between the single bytes that follow
constexpr Milliseconds faultyTimeout { 4000 };
constexpr Milliseconds soundTimeout { 2000 };
constexpr Milliseconds soundInterval { 20 }; ///< between sound requests
constexpr Milliseconds testTime { 3000 };
constexpr std::size_t maxResidentKiB = 64U << 10U; ///< the users' bound for a node

/// What an upstream sends without end.
struct Endless {
    const char* service;
    std::string start; ///< head, after the status line
    std::string unit; ///< sent again and again
};

const std::vector<Endless>& endlessAnswers()
{
    static const std::vector<Endless> all {
        { "plain", "Transfer-Encoding: chunked\r\n\r\n", "8\r\nendless \r\n" },
        { "event", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "endless " },
        { "events", "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: endless\n\n" },
        { "head", "Endless: ", "endless " },
    };
    return all;
}

/// A stand-in upstream that answers each request without end.
class EndlessUpstream {
public:
    EndlessUpstream(asio::io_context& io, const std::string& address, const Endless& answer)
        : io(io)
        , answer(answer)
        , acceptor(io, *parseEndpoint(address))
    {
        this->accept();
    }

private:
    struct Session {
        std::shared_ptr<TcpLink> link;
        std::unique_ptr<asio::steady_timer> timer;
        bool begun { false };
    };

    void accept()
    {
        this->acceptor.async_accept([this](const std::error_code& code, asio::ip::tcp::socket socket) {
            if (code)
                return;
            auto session = std::make_shared<Session>();
            session->link = std::make_shared<TcpLink>(std::move(socket), LinkOptions {});
            session->timer = std::make_unique<asio::steady_timer>(this->io);
            session->link->start([this, session](std::string_view bytes) { this->begin(session, bytes); },
                [session](LinkEnd) { session->link->close(); });
            this->accept();
        });
    }

    void begin(const std::shared_ptr<Session>& session, std::string_view request)
    {
        if (std::exchange(session->begun, true))
            return;
        const std::size_t at = request.find("attempt-");
        std::string text
            = "HTTP/1.1 200 OK\r\nAttempt-Id: " + std::string(request.substr(at, request.find("\r\n", at) - at))
            + "\r\nReplica-Seal: seal\r\n" + this->answer.start;
        while (text.size() < firstBytes)
            text += this->answer.unit;
        session->link->write(text);
        this->goOn(session);
    }

    void goOn(const std::shared_ptr<Session>& session)
    {
        session->timer->expires_after(std::chrono::milliseconds(trickle.value));
        session->timer->async_wait([this, session](const std::error_code& code) {
            if (code || !session->link->open())
                return;
            session->link->write(this->answer.unit);
            this->goOn(session);
        });
    }

    asio::io_context& io;
    const Endless& answer;
    asio::ip::tcp::acceptor acceptor;
};

class EndlessAnswerTest {
public:
    EndlessAnswerTest(const std::string& buildFolder, const std::string& logFolder)
        : rig(buildFolder, logFolder, 1)
        , sound(rig.io, {},
              { .onRequest =
                      [this](FrontRequest&& request) {
                          this->sound.answer(request.id, 200, { { "Replica-Seal", "seal" } }, "sound");
                      },
                  .onCallerDisconnected = [](CallId) {} })
    {
    }

    /// @return whether every check held
    bool run()
    {
        this->fillStore();
        this->rig.startEntry(1);
        this->rig.runFor({ 300 }); // the entry reads the list of upstreams
        bool holds = true;
        for (const Endless& answer : endlessAnswers())
            holds = this->play(answer) && holds;
        return holds;
    }

private:
    void fillStore()
    {
        Json routes = Json::array();
        Json services = Json::array();
        const auto add = [&](const std::string& service, const char* kind) {
            routes.push_back({ { "name", service }, { "host", "desk.example" }, { "prefix", "/" + service + "/" },
                { "kind", kind }, { "timeout_ms", 5000 }, { "target_latency_ms", 3000 }, { "priority", 1 },
                { "max_attempts", 1 }, { "service", service } });
            services.push_back({ { "name", service } });
        };
        add("sound", "idempotent");
        int host = 100;
        this->rig.listUpstream("sound", "sound", this->rig.hostAddress(host) + ":9000", { { "slots", 64 } });
        if (!this->sound.listen(this->rig.hostAddress(host) + ":9000"))
            throw std::runtime_error("the sound upstream cannot listen");
        for (const Endless& answer : endlessAnswers()) {
            const bool stream = std::string_view(answer.service).starts_with("event");
            add(answer.service, stream ? "streaming" : "idempotent");
            const std::string address = this->rig.hostAddress(++host) + ":9000";
            this->rig.listUpstream(answer.service, answer.service, address, { { "slots", faultyCalls } });
            this->upstreams.push_back(std::make_unique<EndlessUpstream>(this->rig.io, address, answer));
        }
        this->rig.store.put(
            "op", "config", Json { { "version", 1 }, { "routes", routes }, { "services", services } }.dump());
    }

    bool play(const Endless& answer)
    {
        std::vector<std::shared_ptr<RigCaller>> faulty;
        std::vector<std::shared_ptr<RigCaller>> others;
        for (const Milliseconds until = monotonicNow() + testTime; monotonicNow() < until;) {
            // Not all at once: the stand-ins, which share one thread, would keep the sound one waiting.
            for (std::size_t number = 0; number < faultyCallsAtOnce && faulty.size() < faultyCalls; ++number) {
                faulty.push_back(this->rig.send(1, "/" + std::string(answer.service) + "/x", faultyTimeout));
                this->rig.pool.pauseReading(faulty.back()->id, true);
            }
            others.push_back(this->rig.send(1, "/sound/x", soundTimeout));
            this->rig.runFor(soundInterval);
        }
        this->rig.runFor(soundTimeout);
        const auto answered = static_cast<std::size_t>(std::count_if(others.begin(), others.end(),
            [](const auto& other) { return other->end == CallEnd::Complete && other->head.status == 200; }));
        for (const auto& caller : faulty)
            this->rig.leave(*caller);
        const std::size_t resident = this->peakResidentKiB();
        const bool holds = answered == others.size() && resident > 0 && resident <= maxResidentKiB;
        std::cout << answer.service << ": " << answered << " of " << others.size()
                  << " other requests answered, the entry held at most " << resident << " KiB"
                  << (holds ? "" : ", WRONG") << "\n";
        return holds;
    }

    /// @return the most memory that the entry has held so far, 0 if it has ended
    std::size_t peakResidentKiB()
    {
        std::ifstream status("/proc/" + std::to_string(this->rig.entries[1].id()) + "/status");
        std::string line;
        while (std::getline(status, line))
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(line.find_first_of("0123456789")));
        return 0;
    }

    EntryRig rig;
    FrontServer sound; ///< a sound upstream
    std::vector<std::unique_ptr<EndlessUpstream>> upstreams; ///< one for each kind of endless answer
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("endless-answer", "Checks an entry before upstreams whose answers have no end.");
    options.add_options()("bin", "build folder", cxxopts::value<std::string>())(
        "logs", "folder for settings and logs", cxxopts::value<std::string>()->default_value("endless-answer-logs"));
    const auto flags = options.parse(argc, argv);
    return EndlessAnswerTest(flags["bin"].as<std::string>(), flags["logs"].as<std::string>()).run() ? 0 : 1;
}
