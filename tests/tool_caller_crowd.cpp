// Runs one hickory-entry with little memory and few descriptors before a crowd of callers that hold as much of both as
// they can. Guards against an entry that callers outside anyone's control crash or lock up. Checks that the entry stays
// alive and within its memory and descriptors, that it answers an ordinary request while the crowd is there and after
// it has left, and that bodies of the largest size are served in calm. Exit code 1 otherwise.

#include "entry_rig.h"
#include "front_io.h"

#include <cxxopts.hpp>
#include <functional>
#include <iostream>

using namespace hickory;
using Json = nlohmann::json;

namespace {

constexpr std::size_t bodyLimit = 1U << 20U; ///< max_body_bytes of the configuration
constexpr std::size_t headLimit = 16384; ///< max_header_bytes of the configuration
constexpr std::size_t memoryMb = 64; ///< memory_mb of the settings
constexpr std::size_t maxResidentKiB = memoryMb * 1000000 / 1024;
constexpr std::size_t maxDescriptors = 256; ///< max_fds of the settings
constexpr std::size_t overLimit = 32; ///< bodies that are too large have this many times the limit
constexpr std::size_t largeChunk = 64U << 10U;
constexpr std::size_t bulkAnswer = 64U << 10U; ///< bytes of an answer that nobody reads
constexpr std::size_t pipelinedRequests = 300; ///< on each connection
constexpr Milliseconds requestTimeout { 20000 }; ///< of the route, and longest time to read a request
constexpr Milliseconds minCrowdTime { 4000 }; ///< for the entry to read what was sent
constexpr Milliseconds maxCrowdTime { 20000 };
constexpr Milliseconds attemptTime { 2000 }; ///< of one ordinary request
constexpr int attempts = 8; ///< of ordinary requests, of which one must be answered

/// A crowd of callers that all do the same.
struct Crowd {
    std::size_t connections; ///< at a time; one that the entry closes is replaced once
    std::function<std::string(std::size_t)> bytes; ///< what a connection sends, by its number
};

std::string head(const std::string& path, const std::string& id, const std::string& framing)
{
    return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(requestTimeout.value) + "\r\n" + framing + "\r\n";
}

std::string chunkedBody(std::size_t size, std::size_t chunk)
{
    std::string text;
    for (std::size_t done = 0; done < size;) {
        const std::size_t count = std::min(chunk, size - done);
        std::array<char, 20> digits {};
        std::snprintf(digits.data(), digits.size(), "%zx\r\n", count);
        text.append(digits.data()).append(count, 'b').append("\r\n");
        done += count;
    }
    return text;
}

const std::string chunkedHeader = "Transfer-Encoding: chunked\r\n";

std::string lengthHeader(std::size_t length) { return "Content-Length: " + std::to_string(length) + "\r\n"; }

std::string pipelined(std::size_t number)
{
    std::string text;
    for (std::size_t request = 0; request < pipelinedRequests; ++request)
        text += head("/sound/bulk", "bulk-" + std::to_string(number) + "-" + std::to_string(request), lengthHeader(0));
    return text;
}

/// A head that stops short of the limit, in the smallest header lines.
std::string endlessHead()
{
    std::string text = "POST /sound/x HTTP/1.1\r\n";
    while (text.size() + 8 < headLimit)
        text += "a:\r\n";
    return text;
}

const std::map<std::string, Crowd>& crowds()
{
    constexpr std::size_t bodies = 100; // of 1 MB: more than the memory of the entry
    static const std::map<std::string, Crowd> all {
        { "large-chunks",
            { bodies,
                [](std::size_t) {
                    return head("/sound/x", "large", chunkedHeader) + chunkedBody(bodyLimit - 1, largeChunk);
                } } },
        { "tiny-chunks",
            { bodies,
                [](std::size_t) { return head("/sound/x", "tiny", chunkedHeader) + chunkedBody(bodyLimit - 1, 1); } } },
        { "declared",
            { bodies,
                [](std::size_t) {
                    return head("/sound/x", "declared", lengthHeader(bodyLimit)) + std::string(bodyLimit - 1, 'b');
                } } },
        { "over-declared",
            { bodies,
                [](std::size_t) {
                    return head("/sound/x", "over", lengthHeader(bodyLimit * overLimit))
                        + std::string(bodyLimit * overLimit - 1, 'b');
                } } },
        { "over-sent",
            { bodies,
                [](std::size_t) {
                    return head("/sound/x", "sent", chunkedHeader) + chunkedBody(bodyLimit * overLimit - 1, largeChunk);
                } } },
        { "heads", { maxDescriptors * 3 / 2, [](std::size_t) { return endlessHead(); } } },
        { "pipelined", { 20, pipelined } },
    };
    return all;
}

/// A caller that sends its bytes, reads nothing and stays.
struct CrowdCaller : std::enable_shared_from_this<CrowdCaller> {
    CrowdCaller(asio::io_context& io, std::shared_ptr<const std::string> bytes)
        : socket(io)
        , bytes(std::move(bytes))
    {
    }

    void start(const asio::ip::tcp::endpoint& entry)
    {
        this->socket.async_connect(entry, [self = this->shared_from_this()](const std::error_code& code) {
            if (code) {
                self->finish(true);
                return;
            }
            asio::async_write(self->socket, asio::buffer(*self->bytes),
                [self](const std::error_code& failure, std::size_t) { self->finish(static_cast<bool>(failure)); });
            self->awaitClose();
        });
    }

    /// Notices a reset without reading.
    void awaitClose()
    {
        this->socket.async_wait(
            asio::ip::tcp::socket::wait_error, [self = this->shared_from_this()](const std::error_code& code) {
                if (!code)
                    self->finish(true);
            });
    }

    void finish(bool isClosed)
    {
        this->done = true;
        this->closed = this->closed || isClosed;
        std::error_code ignored; // it may be closed already
        if (isClosed)
            this->socket.close(ignored);
    }

    void leave() { this->finish(true); }

    asio::ip::tcp::socket socket;
    std::shared_ptr<const std::string> bytes;
    bool done { false }; ///< all bytes are sent, or the connection was closed
    bool closed { false }; ///< the entry closed the connection
};

class CallerCrowdTest {
public:
    CallerCrowdTest(const std::string& buildFolder, const std::string& logFolder)
        : rig(buildFolder, logFolder, 1)
        , upstream(rig.io, {},
              { .onRequest = [this](FrontRequest&& request) { this->answer(request); },
                  .onCallerDisconnected = [](CallId) {} })
    {
    }

    /// @return whether every check held
    bool run(const std::string& kind)
    {
        this->fillStore();
        this->rig.relaySettings
            = "memory_mb = " + std::to_string(memoryMb) + "\nmax_fds = " + std::to_string(maxDescriptors) + "\n";
        this->rig.startEntry(1);
        this->rig.runFor({ 300 }); // the entry reads the list of upstreams
        bool holds = this->check("a full body with a length is served in calm",
            this->post(head("/sound/x", "full-1", lengthHeader(bodyLimit)) + std::string(bodyLimit, 'b')));
        holds = this->check("a full body in chunks is served in calm",
                    this->post(
                        head("/sound/x", "full-2", chunkedHeader) + chunkedBody(bodyLimit, largeChunk) + "0\r\n\r\n"))
            && holds;
        this->play(crowds().at(kind));
        holds = this->check("an ordinary request is answered beside the crowd", this->isAnswered()) && holds;
        holds = this->check("the readiness check is answered beside the crowd",
                    this->rig.get(this->rig.hostAddress(1) + ":8001", "/api/readiness").head.status == 200)
            && holds;
        for (const auto& caller : this->callers)
            caller->leave();
        holds = this->check("an ordinary request is answered afterwards", this->isAnswered()) && holds;
        this->sample();
        holds = this->check("the entry runs", this->rig.entries[1].running()) && holds;
        holds = this->check("its memory stays within " + std::to_string(maxResidentKiB)
                        + " KiB: " + std::to_string(this->residentKiB),
                    this->residentKiB > 0 && this->residentKiB <= maxResidentKiB)
            && holds;
        return this->check("its descriptors stay within " + std::to_string(maxDescriptors) + ": "
                       + std::to_string(this->descriptors),
                   this->descriptors <= maxDescriptors)
            && holds;
    }

private:
    bool check(const std::string& what, bool holds)
    {
        std::cout << what << (holds ? "" : ", WRONG") << std::endl;
        return holds;
    }

    void fillStore()
    {
        const std::string address = this->rig.hostAddress(100) + ":9000";
        this->rig.listUpstream("sound", "sound", address, { { "slots", 64 } });
        this->upstream.setLimits({ .bodyBytes = { 2 * bodyLimit } });
        if (!this->upstream.listen(address))
            throw std::runtime_error("the upstream cannot listen");
        const Json route { { "name", "sound" }, { "host", "desk.example" }, { "prefix", "/sound/" },
            { "kind", "idempotent" }, { "timeout_ms", requestTimeout.value }, { "target_latency_ms", 3000 },
            { "priority", 1 }, { "max_attempts", 1 }, { "service", "sound" } };
        const Json limits { { "max_header_bytes", headLimit }, { "max_body_bytes", bodyLimit },
            { "header_timeout_ms", requestTimeout.value }, { "idle_timeout_ms", requestTimeout.value } };
        this->rig.store.put("op", "config",
            Json { { "version", 1 }, { "routes", { route } }, { "services", { { { "name", "sound" } } } },
                { "limits", limits } }
                .dump());
    }

    void answer(const FrontRequest& request)
    {
        const bool isBulk = request.head.target == "/sound/bulk";
        this->upstream.answer(
            request.id, 200, { { "Replica-Seal", "seal" } }, isBulk ? std::string(bulkAnswer, 'a') : "sound");
    }

    /// Lets the crowd send all that the entry takes.
    void play(const Crowd& crowd)
    {
        const asio::ip::tcp::endpoint entry = *parseEndpoint(this->rig.front(1));
        const bool isSame = crowd.connections <= 1 || crowd.bytes(0) == crowd.bytes(1);
        const auto first = std::make_shared<const std::string>(crowd.bytes(0));
        std::size_t opened = 0;
        const auto open = [&] {
            const std::size_t number = opened++;
            const auto bytes = isSame ? first : std::make_shared<const std::string>(crowd.bytes(number));
            this->callers.push_back(std::make_shared<CrowdCaller>(this->rig.io, bytes));
            this->callers.back()->start(entry);
        };
        while (opened < crowd.connections)
            open();
        const Milliseconds start = monotonicNow();
        for (bool isDone = false; !isDone; this->sample()) {
            this->rig.runFor({ 50 });
            const auto closed = static_cast<std::size_t>(std::count_if(
                this->callers.begin(), this->callers.end(), [](const auto& caller) { return caller->closed; }));
            while (opened < 2 * crowd.connections && opened - closed < crowd.connections)
                open();
            const Milliseconds elapsed = monotonicNow() - start;
            isDone = elapsed > maxCrowdTime
                || (elapsed > minCrowdTime
                    && std::all_of(
                        this->callers.begin(), this->callers.end(), [](const auto& caller) { return caller->done; }));
        }
    }

    /// @return whether a request is answered with 200
    bool post(const std::string& bytes)
    {
        auto caller = std::make_shared<RigCaller>();
        caller->id = this->rig.pool.send({ .address = this->rig.front(1), .bytes = bytes, .maxIdle = { -1 } }, caller);
        const Milliseconds until = monotonicNow() + attemptTime;
        while (!caller->end && monotonicNow() < until)
            this->rig.runLoop();
        this->rig.pool.cancel(caller->id);
        this->sample();
        return caller->end == CallEnd::Complete && caller->head.status == 200;
    }

    /// @return whether one of several ordinary requests is answered
    bool isAnswered()
    {
        for (int attempt = 0; attempt < attempts; ++attempt) {
            if (this->post(head("/sound/x", this->rig.nextAttempt(), lengthHeader(4)) + "body"))
                return true;
            this->rig.runFor({ 200 });
        }
        return false;
    }

    /// Notes the most memory and descriptors that the entry has held so far.
    void sample()
    {
        const std::string folder = "/proc/" + std::to_string(this->rig.entries[1].id());
        std::ifstream status(folder + "/status");
        std::string line;
        while (std::getline(status, line))
            if (line.starts_with("VmHWM:"))
                this->residentKiB = std::max<std::size_t>(
                    this->residentKiB, std::stoul(line.substr(line.find_first_of("0123456789"))));
        std::error_code code; // the entry may have ended
        std::size_t open = 0;
        for (std::filesystem::directory_iterator entry(folder + "/fd", code), end; !code && entry != end;
             entry.increment(code))
            ++open;
        this->descriptors = std::max(this->descriptors, open);
    }

    EntryRig rig;
    FrontServer upstream; ///< answers each request
    std::vector<std::shared_ptr<CrowdCaller>> callers; ///< the crowd
    std::size_t residentKiB { 0 }; ///< most memory that the entry held
    std::size_t descriptors { 0 }; ///< most descriptors that it had open
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("caller-crowd", "Checks an entry before a crowd of callers that hold memory.");
    options.add_options()("bin", "build folder", cxxopts::value<std::string>())(
        "kind", "kind of the crowd", cxxopts::value<std::string>())(
        "logs", "folder for settings and logs", cxxopts::value<std::string>()->default_value("caller-crowd-logs"));
    const auto flags = options.parse(argc, argv);
    return CallerCrowdTest(flags["bin"].as<std::string>(), flags["logs"].as<std::string>())
               .run(flags["kind"].as<std::string>())
        ? 0
        : 1;
}
