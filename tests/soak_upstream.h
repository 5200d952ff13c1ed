#pragma once

#include "front_io.h"
#include "soak_ledger.h"
#include "soak_store.h"

#include <asio.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickory::soak {

constexpr int pieceCount = 12; ///< pieces that each version of the weights consists of
constexpr const char* modelName = "soak-model"; ///< the one model, served by all engines

/// @param index 0 to pieceCount - 1
/// @return the bytes of a piece of the weights
std::string pieceBytes(std::uint64_t version, int index);

/// Stand-in for an engine or a plain upstream: registers in the store, runs requests and counts their executions in the
/// ledger.
class Upstream {
public:
    /// @param name stable part of the server ids that it registers under
    /// @param address "ip:port" to listen at
    /// @param registeredAddress "ip:port" that the store lists: `address` or a link of the fault proxy to it
    /// @param engine serves a model; false for a plain upstream
    Upstream(asio::io_context& io, Store& store, Ledger& ledger, std::string name, const std::string& address,
        std::string registeredAddress, bool engine);

    /// Simulates the start of the process: listens and registers under a new id.
    /// @param withWeights version 1 is already in service; otherwise an order must load weights first
    /// @throws std::runtime_error when it cannot listen
    void start(bool withWeights);
    /// Simulates a crash: aborts all requests, loses all state and removes the registration.
    void crash();
    /// Writes its registration again after the store has lost what was written lately.
    void registerAgain();
    /// Registers as draining; requests that still arrive are run.
    void drain();
    /// From now on its answers have these header fields.
    void say(std::vector<WireHeader> fields) { this->says = std::move(fields); }
    /// Turns requests away with 503 and Retry-After, or no more.
    /// @param seconds value of Retry-After
    /// @param every number of requests of which the last is turned away: 1 for all, 0 for none
    void turnAway(std::string seconds, std::size_t every);
    /// Names a limit in its answers, or no more. At the end checks what arrived meanwhile.
    /// @param requestsPerSecond 0 ends it
    void nameLimit(int requestsPerSecond);
    /// Stops or goes on with its connections open. What arrived meanwhile is begun before closed connections are
    /// noticed.
    void standStill(bool still);

    /// @return name that stays the same when it starts again
    const std::string& stableName() const { return this->name; }
    /// @return id that is registered, or still is after a crash that the store does not know of
    const std::string& registeredId() const { return this->running() ? this->id : this->crashedId; }
    bool standsStill() const { return this->still; }
    /// @return false between crash() and start()
    bool running() const { return !this->id.empty(); }
    std::uint64_t version { 0 }; ///< of the weights in service, 0 for none
    std::string service; ///< name of its service, set before the first start
    bool paced { false }; ///< its answers take up to a second or so, different for each attempt

private:
    /// An event stream that is being sent.
    struct ActiveStream {
        std::string attempt; ///< Attempt-Id of the request
        std::vector<WireHeader> headers; ///< of a response that has not begun, else empty
        Milliseconds beginsAt { 0 }; ///< the prompt is read until then
        bool deadly { false }; ///< the engine crashes when the response begins
        int next { 1 }; ///< number of the next event; higher at first for a resumed stream
        AnswerFault fault { AnswerFault::None }; ///< becomes effective after the first event
        Milliseconds nextAt { 0 }; ///< earliest time of the next event
    };

    /// A plain answer that takes some time.
    struct SlowAnswer {
        std::vector<WireHeader> headers; ///< of a response that has not begun, else empty
        std::string rest; ///< of the body
        Milliseconds dueAt { 0 };
    };

    /// A run that is in the ledger.
    struct RunKey {
        std::string attempt; ///< Attempt-Id of the request
        std::size_t index { 0 }; ///< in Attempt::runs
    };

    /// An answer without end that is being sent.
    struct EndlessAnswer {
        std::string attempt; ///< Attempt-Id of the request
        std::string unit; ///< what is sent again and again
        std::size_t sent { 0 }; ///< bytes so far, without those of events before
    };

    /// Takes a request from its connection.
    void onRequest(FrontRequest&& request);
    /// Begins the work on a request.
    void handleRequest(FrontRequest&& request);
    /// @return whether it turns this request away; the answer is then sent
    bool isTurnedAway(const FrontRequest& request, const std::vector<WireHeader>& echo);
    void onEngineCall(const FrontRequest& request);
    void runRequest(FrontRequest&& request);
    void onDisconnected(CallId call);
    /// Checks what arrived since stableWindow after it named its limit.
    void checkLimit();
    void answerJson(CallId call, int status, const std::string& body);
    void publishState(const std::string& state);
    /// Sends the second halves of plain answers that end with their connections.
    void sendHalves();
    /// Sends the plain answers that took some time and are due.
    void sendSlow();
    /// @return whether the connection of a request ended while the upstream stood still
    bool hasEnded(CallId call) const;
    /// Records in the ledger that a run begins, unless its connection has ended already.
    void beginRun(CallId call, const std::string& attempt);
    /// @return the run of a request in the ledger, which ends now, or nullptr
    Run* endRun(CallId call);
    void completeRun(CallId call);
    void failRun(CallId call);
    void onStepTimer();
    /// Sends the next events of all streams. An engine that crashes in this sends nothing more.
    void sendEvents();
    /// Sends more of the answers without end, as fast as they are read.
    void sendEndless();
    /// Breaks off all streams for a load order. The upstream is sound: who ordered that answers for their ends.
    void cutStreams();
    /// Simulates a crash that the store learns of only when the process starts again, after downTime: resets requests,
    /// stops listening and loses all state but the staged pieces.
    void crashOnRequest();

    asio::io_context& io; ///< event loop of all stand-ins
    Store& store; ///< store in which the upstream registers
    Ledger& ledger; ///< receives executions and violations
    std::string name; ///< stable across restarts, first part of `id`
    std::string address; ///< "ip:port" to listen at
    std::string registeredAddress; ///< "ip:port" in the store
    bool engine; ///< model engine or plain upstream
    FrontServer front; ///< HTTP server of the upstream
    asio::steady_timer timer; ///< sends the next events and completes loading, every eventInterval
    std::string id; ///< registered server id, new with each start; empty while down
    std::string crashedId; ///< id that is still registered after crashOnRequest(), else empty
    bool listening { false }; ///< accepts connections
    Milliseconds restartAt { 0 }; ///< end of the down time after crashOnRequest(), 0 when there is none
    std::int64_t processStartedAt { 0 }; ///< time of the last start, Unix ms
    std::string state; ///< as last registered, empty while down
    std::uint64_t reports { 0 }; ///< registrations written since the last start
    std::map<CallId, std::string> halves; ///< second halves of plain answers that end with their connections
    int startCount { 0 }; ///< number of starts so far, second part of `id`
    std::uint64_t acceptedOrders { 0 }; ///< load orders accepted since the last start
    std::uint64_t loading { 0 }; ///< weights version being loaded, 0 for none
    Milliseconds loadedAt { 0 }; ///< monotonic time at which loading is complete
    std::map<int, std::string> staged; ///< uploaded pieces of the weights by index, not yet loaded
    std::map<CallId, ActiveStream> streams; ///< unfinished streams by request
    std::map<CallId, EndlessAnswer> endless; ///< answers without end by request
    std::vector<WireHeader> says; ///< further header fields of its answers
    std::string retryAfter; ///< seconds for which it asks when it turns requests away
    std::size_t turnAwayEvery { 0 }; ///< as passed to turnAway()
    std::size_t offered { 0 }; ///< requests since then
    int limit { 0 }; ///< requests a second that it names, 0 for none
    std::optional<Milliseconds> limitNamedAt; ///< when an answer first named the limit
    std::vector<Milliseconds> arrivals; ///< of requests since the limit was set
    bool still { false }; ///< between standStill(true) and standStill(false)
    std::vector<FrontRequest> deferred; ///< requests that arrived meanwhile
    std::vector<CallId> unnoticed; ///< connections that ended meanwhile
    std::set<CallId> openCalls; ///< requests without a complete response
    std::map<CallId, SlowAnswer> slowAnswers; ///< by request
    std::map<CallId, RunKey> runs; ///< unfinished runs by request
    Milliseconds stillSince { 0 }; ///< time of standStill(true)
};

/// Stand-in for the origin of weights: serves the newest two versions, 410 for older and 404 for undeclared ones.
class Origin {
public:
    /// @param address "ip:port" to listen at; throws std::runtime_error when that fails
    Origin(asio::io_context& io, const std::string& address);

    std::uint64_t newestVersion { 1 }; ///< highest declared version, raised by the fault injector

private:
    FrontServer front; ///< HTTP server of the origin's interface
};

} // namespace hickory::soak
