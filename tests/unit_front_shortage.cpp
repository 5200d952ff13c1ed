#include "front_io.h"
#include "table/caller_limits.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <poll.h>
#include <string>
#include <vector>

using namespace hickory;

namespace {

/// A server that answers each request at once.
struct ShortageRig {
    ShortageRig()
    {
        this->server = std::make_unique<FrontServer>(this->io, LinkOptions {},
            FrontServer::Handlers { .onRequest =
                                        [this](FrontRequest&& request) {
                                            ++this->delivered;
                                            this->last = request.id;
                                            if (this->answers)
                                                this->server->answer(request.id, 200, {}, this->body);
                                        },
                .onCallerDisconnected = [](CallId) {},
                .onConnectionClosed =
                    [this](const ClosedConnection& connection) {
                        this->reasons.push_back(connection.reason);
                        this->lastClosed = connection;
                    } });
        this->port = this->server->listen("127.0.0.1:0").value();
    }

    void run(int milliseconds = 20)
    {
        this->io.restart();
        this->io.run_for(std::chrono::milliseconds(milliseconds));
    }

    /// Lets the time pass after which a caller counts as stalled.
    void waitUntilStalled() { this->run(static_cast<int>(stalledTime.value) + 50); }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket caller(this->callers);
        caller.connect({ asio::ip::make_address("127.0.0.1"), this->port });
        this->run();
        return caller;
    }

    /// @return what the server answers
    std::string ask(asio::ip::tcp::socket& caller, const std::string& bytes)
    {
        asio::write(caller, asio::buffer(bytes));
        this->run();
        std::string answer(1000, '\0');
        std::error_code code; // it may have been closed
        answer.resize(caller.read_some(asio::buffer(answer), code));
        return answer;
    }

    /// Connects a caller and has its request answered, without waiting longer than that takes.
    /// @return the connection; closed if no answer came
    asio::ip::tcp::socket askOnce()
    {
        asio::ip::tcp::socket caller(this->callers);
        caller.connect({ asio::ip::make_address("127.0.0.1"), this->port });
        asio::write(caller, asio::buffer(smallRequest));
        const Milliseconds until = monotonicNow() + Milliseconds { 1000 };
        while (caller.available() == 0 && monotonicNow() < until)
            this->poll();
        std::string answer(caller.available(), '\0');
        asio::read(caller, asio::buffer(answer));
        if (!answer.starts_with("HTTP/1.1 200"))
            caller.close();
        return caller;
    }

    void poll()
    {
        this->io.restart();
        this->io.poll();
    }

    /// Runs the server until a caller's connection was reset.
    /// @return whether that was within closeTime
    bool runUntilReset(asio::ip::tcp::socket& caller)
    {
        const Milliseconds until = monotonicNow() + closeTime;
        while (!isReset(caller)) {
            if (monotonicNow() >= until)
                return false;
            this->poll();
        }
        return true;
    }

    /// @return whether the kernel of the caller has got a reset
    static bool isReset(asio::ip::tcp::socket& caller)
    {
        pollfd state { .fd = caller.native_handle(), .events = 0, .revents = 0 };
        return ::poll(&state, 1, 0) == 1 && (state.revents & (POLLHUP | POLLERR)) != 0;
    }

    static constexpr Milliseconds closeTime { 100 }; ///< in which a caller whose request is not read gets a reset
    inline static const std::string smallRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

    asio::io_context io; ///< of the server
    asio::io_context callers;
    std::unique_ptr<FrontServer> server;
    std::vector<CloseReason> reasons; ///< of the connections that were closed
    ClosedConnection lastClosed; ///< last of them
    std::uint16_t port { 0 };
    int delivered { 0 }; ///< requests that the handler got
    CallId last; ///< last of them
    bool answers { true }; ///< they are answered at once
    std::string body { "done" }; ///< of the answers
};

const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
const std::string empty = "Content-Length: 0\r\n\r\n";
constexpr int answerReadTime = 1100; ///< ms after which a caller has certainly read its answer
constexpr std::size_t manyBytes = 24U << 20U; ///< more than the kernel holds for a caller that reads nothing

/// @return how reading from a connection ends
std::error_code readToEnd(asio::ip::tcp::socket& caller)
{
    std::string part(1U << 20U, '\0');
    std::error_code code;
    while (!code)
        caller.read_some(asio::buffer(part), code);
    return code;
}

/// @return whether the server has ended its side of a connection
bool isEnded(asio::ip::tcp::socket& caller)
{
    std::string part(1, '\0');
    std::error_code code;
    caller.non_blocking(true);
    caller.read_some(asio::buffer(part), code);
    caller.non_blocking(false);
    return code && code != asio::error::would_block;
}

/// @return sockets that this process has open
std::size_t openSockets()
{
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        std::error_code ignored; // the descriptor of the iteration itself
        if (std::filesystem::read_symlink(entry, ignored).native().starts_with("socket:"))
            ++count;
    }
    return count;
}

/// Idle connections of a rig's callers.
struct IdleCrowd {
    explicit IdleCrowd(ShortageRig& rig)
        : rig(rig)
    {
    }

    /// Lets callers come one after the other, each of which gets an answer and then sends nothing.
    void add(std::size_t count)
    {
        for (std::size_t done = 0; done < count; ++done) {
            this->callers.push_back(this->rig.askOnce());
            REQUIRE(this->callers.back().is_open());
            this->mostHeld = std::max(this->mostHeld, this->rig.server->heldBytes());
            this->mostSockets = std::max(this->mostSockets, this->serverSockets());
        }
    }
    /// @return connections that the server has open, with those that it ended and reads on
    std::size_t serverSockets() const { return openSockets() - this->before - this->callers.size(); }
    /// @return connections that the server has not ended
    std::size_t open()
    {
        return static_cast<std::size_t>(std::count_if(this->callers.begin(), this->callers.end(),
            [](asio::ip::tcp::socket& caller) { return !isEnded(caller); }));
    }

    ShortageRig& rig;
    std::size_t before { openSockets() };
    std::vector<asio::ip::tcp::socket> callers;
    std::size_t mostHeld { 0 }; ///< bytes, after any of the answers
    std::size_t mostSockets { 0 }; ///< of the server, after any of the answers
};

/// What an idle crowd meets the limit of, and how many connections that leaves.
struct CrowdLimit {
    CloseReason reason;
    CallerBudget budget;
    std::size_t connections; ///< that fit in
    std::size_t lingering; ///< connections in addition that were ended and are read on
};

CrowdLimit fewDescriptors()
{
    const CallerBudget budget = callerBudget(64, 256);
    return { CloseReason::Descriptors, budget, budget.connections, 1 };
}

CrowdLimit littleMemory()
{
    const CallerBudget budget = callerBudget(4, 4096);
    return { CloseReason::Memory, budget, budget.bytes / connectionCost, maxUncounted };
}

/// Checks that a server keeps to its budget before more idle callers than it has room for, and serves further ones.
void checkIdleCrowd(const CrowdLimit& limit)
{
    constexpr std::size_t crowdSize = 300;
    REQUIRE(limit.connections < crowdSize / 2);
    ShortageRig rig;
    rig.server->setBudget(limit.budget);
    IdleCrowd crowd(rig);
    crowd.add(crowdSize);
    CHECK(rig.delivered == crowdSize);
    CHECK(crowd.mostHeld <= limit.budget.bytes);
    CHECK(crowd.mostSockets <= limit.connections + limit.lingering);
    const std::size_t open = crowd.open();
    CHECK(open <= limit.connections);
    CHECK(open >= limit.connections * 3 / 4); // no more are closed than needed
    CHECK(rig.reasons == std::vector(crowdSize - open, limit.reason));
    // Those that were ended are read on for a second.
    rig.server->sweep(monotonicNow());
    rig.server->sweep(monotonicNow() + Milliseconds { 1000 });
    CHECK(crowd.serverSockets() == open);
    crowd.add(1);
    CHECK(crowd.serverSockets() <= limit.connections + limit.lingering);
    CHECK(rig.server->heldBytes() <= limit.budget.bytes);
}
} // namespace

// Guards against bodies that are read although they are refused in the end.
TEST_CASE("A declared length is refused before its body is read", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setLimits({ .bodyBytes = { 1000000 } });
    rig.server->setBudget({ .bytes = 500000 });
    auto caller = rig.connect();
    SECTION("it is over the limit")
    {
        CHECK(rig.ask(caller, start + "Content-Length: 1000001\r\nExpect: 100-continue\r\n\r\n")
                  .starts_with("HTTP/1.1 413"));
        CHECK(rig.reasons == std::vector { CloseReason::Refused });
    }
    SECTION("it is over the budget")
    {
        const std::string answer = rig.ask(caller, start + "Content-Length: 1000000\r\nExpect: 100-continue\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After: 0.2\r\n") != std::string::npos);
        CHECK(rig.reasons == std::vector { CloseReason::Memory });
    }
    SECTION("it is within both")
    {
        CHECK(rig.ask(caller, start + "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n").starts_with("HTTP/1.1 100"));
        CHECK(rig.ask(caller, "ab").starts_with("HTTP/1.1 200"));
    }
    CHECK(rig.delivered == (rig.reasons.empty() ? 1 : 0));
}

// Guards against a chunked body that takes more than the budget, and against one that is given to the handler then.
TEST_CASE("A chunked body over the budget is refused as not run", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setBudget({ .bytes = 100000 });
    auto caller = rig.connect();
    std::string bytes = start + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + std::string(200000, 'b');
    CHECK(rig.ask(caller, bytes + "\r\n0\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(rig.delivered == 0);
    auto other = rig.connect();
    CHECK(rig.ask(other, start + "Content-Length: 0\r\n\r\n").starts_with("HTTP/1.1 200"));
}

// Guards against callers that keep all connections and lock out the others.
TEST_CASE("At the limit of connections the one that has been idle longest is closed", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setBudget({ .connections = 2 });
    auto first = rig.connect();
    auto second = rig.connect();
    auto third = rig.connect();
    CHECK(rig.reasons == std::vector { CloseReason::Descriptors });
    std::string part(10, '\0');
    std::error_code code;
    first.read_some(asio::buffer(part), code);
    CHECK(code == asio::error::eof);
    CHECK(rig.ask(second, start + "Content-Length: 0\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK(rig.ask(third, start + "Content-Length: 0\r\n\r\n").starts_with("HTTP/1.1 200"));
}

// Guards against an answer without a length that its caller takes for complete, since the connection was closed.
TEST_CASE("A complete answer that is being taken is not cut off, and a stalled one is reset", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setBudget({ .bytes = 1000000 });
    rig.body = std::string(manyBytes, 'a');
    auto caller = rig.connect();
    asio::write(caller, asio::buffer(start + "Connection: close\r\n" + empty));
    rig.run();
    auto other = rig.connect();
    CHECK(rig.server->hasUnsent());
    rig.waitUntilStalled();
    rig.server->sweep(monotonicNow());
    CHECK_FALSE(rig.server->hasUnsent());
    CHECK(readToEnd(caller) == asio::error::connection_reset);
}

// Guards against a stream that is cut off at its first backlog, since its caller had nothing to take before.
TEST_CASE("The time to take a backlog begins with the backlog", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setBudget({ .bytes = 1000000 });
    rig.answers = false;
    auto caller = rig.connect();
    asio::write(caller, asio::buffer(start + empty));
    rig.waitUntilStalled();
    rig.server->begin(rig.last, 200, {});
    rig.server->body(rig.last, std::string(manyBytes, 'a'));
    rig.run();
    CHECK(rig.reasons.empty());
    rig.waitUntilStalled();
    rig.server->sweep(monotonicNow());
    CHECK(rig.reasons == std::vector { CloseReason::Memory });
}

// Guards against a connection that is closed although its caller's next request has arrived.
TEST_CASE("An idle connection whose next request has arrived is not closed", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setBudget({ .connections = 1 });
    auto first = rig.connect();
    asio::ip::tcp::socket second(rig.callers);
    second.connect({ asio::ip::make_address("127.0.0.1"), rig.port });
    CHECK(rig.ask(first, start + empty).starts_with("HTTP/1.1 200"));
}

// Guards against callers outside the limits that have the connections of ordinary ones closed in vain.
TEST_CASE("No connection is closed for a request that is refused all the same", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setBudget({ .bytes = 500000 });
    auto first = rig.connect();
    auto second = rig.connect();
    auto large = rig.connect();
    CHECK(rig.ask(large, start + "Content-Length: 1000000\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(rig.reasons == std::vector { CloseReason::Memory });
    CHECK(rig.ask(first, start + empty).starts_with("HTTP/1.1 200"));
    CHECK(rig.ask(second, start + empty).starts_with("HTTP/1.1 200"));
}

// Guards against a body that takes twice its size, and twice that while it is sent.
TEST_CASE("A complete body takes its size in memory, and its copy as much", "[front][front-shortage]")
{
    constexpr std::size_t size = 200000; // the kernel takes it at once
    ShortageRig rig;
    rig.answers = false;
    auto caller = rig.connect();
    SECTION("with a length")
    {
        asio::write(caller, asio::buffer(start + "Content-Length: 200000\r\n\r\n" + std::string(size, 'b')));
    }
    SECTION("in chunks")
    {
        asio::write(caller,
            asio::buffer(
                start + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + std::string(size, 'b') + "\r\n0\r\n\r\n"));
    }
    rig.run(200);
    CHECK(rig.delivered == 1);
    CHECK(rig.server->heldBytes() < 2 * size + 50000);
}

// Guards against bytes behind requests in progress that have no bound together: such connections are never closed.
TEST_CASE("Little is read behind a request in progress", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.answers = false;
    auto caller = rig.connect();
    asio::write(caller, asio::buffer(start + empty + std::string(100000, 'a')));
    rig.run();
    CHECK(rig.delivered == 1);
    CHECK(rig.server->heldBytes() < connectionCost + 3 * maxPipelined);
}

// Guards against callers whose connections cannot be replaced and that lock out those at internal ports by that.
TEST_CASE("A search in vain among callers' connections does not delay others", "[front][front-shortage]")
{
    ShortageRig rig;
    const std::uint16_t internalPort = rig.server->listen("127.0.0.1:0", true).value();
    rig.server->setBudget({ .connections = 1, .internalConnections = 1 });
    auto caller = rig.connect();
    asio::write(caller, asio::buffer(start));
    asio::ip::tcp::socket idle(rig.callers);
    idle.connect({ asio::ip::make_address("127.0.0.1"), internalPort });
    rig.run();
    asio::ip::tcp::socket refused(rig.callers);
    refused.connect({ asio::ip::make_address("127.0.0.1"), rig.port });
    asio::ip::tcp::socket check(rig.callers);
    check.connect({ asio::ip::make_address("127.0.0.1"), internalPort });
    CHECK(rig.ask(check, start + empty).starts_with("HTTP/1.1 200"));
}

// Guards against a connection that was closed for its descriptor and is counted until the next sweep.
TEST_CASE("A connection that made way is not counted any more", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setBudget({ .connections = 1 });
    auto stalled = rig.connect();
    asio::write(stalled, asio::buffer(start));
    rig.waitUntilStalled();
    auto second = rig.connect();
    CHECK(rig.reasons == std::vector { CloseReason::Descriptors });
    second.close();
    rig.run();
    auto third = rig.connect();
    CHECK(rig.ask(third, start + empty).starts_with("HTTP/1.1 200"));
}

// Guards against connections that are kept for idle callers and lock out those that come later.
TEST_CASE("Idle callers beyond the memory make way for further ones", "[front][front-shortage]")
{
    checkIdleCrowd(littleMemory());
}

// Guards against connections over the budget: of two that come at the limit, only one has another closed.
TEST_CASE("Idle callers beyond the descriptors make way for further ones", "[front][front-shortage]")
{
    checkIdleCrowd(fewDescriptors());
}

// Guards against a caller that waits in vain for the answer to a request that crossed the close of its connection.
TEST_CASE("A request that crosses a close for memory or descriptors is not read, and its connection is reset",
    "[front][front-shortage]")
{
    const CloseReason reason = GENERATE(CloseReason::Memory, CloseReason::Descriptors);
    CAPTURE(reason == CloseReason::Memory);
    ShortageRig rig;
    if (reason == CloseReason::Memory)
        rig.server->setBudget({ .bytes = 2 * connectionCost });
    else
        rig.server->setBudget({ .connections = 1 });
    auto first = rig.askOnce();
    rig.run(answerReadTime);
    auto second = rig.connect();
    REQUIRE(rig.reasons == std::vector { reason });
    asio::write(first, asio::buffer(rig.smallRequest));
    CHECK(rig.runUntilReset(first));
    CHECK(isEnded(first));
    CHECK_FALSE(rig.server->isLingering());
    CHECK(rig.reasons == std::vector { reason, CloseReason::Crossed });
    CHECK(rig.lastClosed.unparsed == 0);
    CHECK(rig.lastClosed.unread == rig.smallRequest.size());
    CHECK(rig.delivered == 1);
    CHECK(rig.ask(second, rig.smallRequest).starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "Callers of an idle crowd whose connections made way get a reset when they send again", "[front][front-shortage]")
{
    constexpr std::size_t newcomers = 41; // odd: the last of them has a connection ended, not dropped
    const CrowdLimit limit = GENERATE(fewDescriptors(), littleMemory());
    CAPTURE(limit.reason == CloseReason::Memory);
    ShortageRig rig;
    rig.server->setBudget(limit.budget);
    IdleCrowd crowd(rig);
    crowd.add(limit.connections);
    rig.run(answerReadTime);
    crowd.add(newcomers);
    const int delivered = rig.delivered;
    std::size_t ended = 0;
    std::size_t notReset = 0;
    for (asio::ip::tcp::socket& caller : crowd.callers) {
        if (!isEnded(caller))
            continue;
        ++ended;
        asio::write(caller, asio::buffer(rig.smallRequest));
        if (!rig.runUntilReset(caller))
            ++notReset;
    }
    CHECK(ended > 0);
    CAPTURE(ended);
    CHECK(notReset == 0);
    CHECK(rig.delivered == delivered);
}

// Guards against callers that lose a connection though the place of one that had been ended before was enough.
TEST_CASE("No idle connection makes way where one that was ended before suffices", "[front][front-shortage]")
{
    ShortageRig rig;
    rig.server->setBudget({ .connections = 2 });
    auto first = rig.connect();
    CHECK(rig.ask(first, rig.smallRequest).starts_with("HTTP/1.1 200"));
    auto ended = rig.connect();
    CHECK(rig.ask(ended, start + "Connection: close\r\n" + empty).starts_with("HTTP/1.1 200"));
    REQUIRE(rig.server->isLingering());
    auto next = rig.connect();
    CHECK(rig.reasons.empty());
    CHECK_FALSE(rig.server->isLingering());
    CHECK_FALSE(isEnded(first));
    CHECK(rig.ask(first, rig.smallRequest).starts_with("HTTP/1.1 200"));
    CHECK(rig.ask(next, rig.smallRequest).starts_with("HTTP/1.1 200"));
}
