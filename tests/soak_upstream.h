#pragma once

#include "front_io.h"
#include "soak_ledger.h"
#include "soak_store.h"

#include <asio.hpp>
#include <map>
#include <set>
#include <string>

namespace hickory::soak {

constexpr int pieceCount = 12; ///< of the weights
constexpr const char* modelName = "soak-model"; ///< that all engines serve

/// @return the bytes of a piece of the weights
std::string pieceBytes(std::uint64_t version, int index);

/// Stand-in of an engine or a plain upstream: registers in the store, runs requests and tells the ledger.
class Upstream {
public:
    /// @param address where it listens; callers reach it at `listed`
    Upstream(asio::io_context& io, Store& store, Ledger& ledger, std::string name, const std::string& address,
        std::string listed, bool engine);

    /// Registers under a new id, as a process that has just started.
    void start(bool withWeights);
    /// Cuts off all work, forgets everything and vanishes from the list.
    void crash();
    /// Says that it leaves; still runs what it is sent.
    void leave();

    bool running() const { return !this->id.empty(); }
    std::uint64_t version { 0 }; ///< of the weights that it serves, 0 when it holds none

private:
    /// A stream that is being written.
    struct Run {
        std::string attempt; ///< id of the attempt
        int next { 1 }; ///< next event
    };

    void onRequest(FrontRequest&& request);
    void onEngineCall(const FrontRequest& request);
    void run(FrontRequest&& request);
    void answerJson(CallId call, int status, const std::string& body);
    void list(const char* state);
    void everyStep();

    asio::io_context& io; ///< loop
    Store& store; ///< where it registers
    Ledger& ledger; ///< what happened
    std::string name; ///< stable, part of its ids
    std::string listed; ///< address in the list
    bool engine; ///< model engine or plain upstream
    FrontServer front; ///< server
    asio::steady_timer timer; ///< writes events
    std::string id; ///< of this life, empty while it is down
    std::int64_t processStartedAt { 0 }; ///< start of this life, Unix ms
    int lives { 0 }; ///< so far
    std::uint64_t orders { 0 }; ///< accepted in this life
    std::uint64_t loading { 0 }; ///< version being loaded, 0 when none
    Milliseconds loadedAt { 0 }; ///< when it is loaded
    std::map<int, std::string> staged; ///< pieces beside the engine
    std::map<CallId, Run> runs; ///< streams under way
    std::set<CallId> open; ///< requests without an answer
};

/// Stand-in of the origin of weights.
class Origin {
public:
    Origin(asio::io_context& io, const std::string& address);

    std::uint64_t newest { 1 }; ///< declared version

private:
    FrontServer front; ///< server
};

} // namespace hickory::soak
