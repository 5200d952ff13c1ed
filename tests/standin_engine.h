#pragma once

#include "standin_http.h"

#include <condition_variable>
#include <deque>
#include <fstream>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hickory::standin {

/// Flags of the stand-in engine.
struct EngineOptions {
    unsigned slots { 8 }; ///< requests in the batch at once
    unsigned maxQueued { 64 }; ///< requests that may wait for a slot
    double tokenMs { 10 }; ///< time between tokens with one request in the batch
    double firstTokenMs { 50 }; ///< time of a prompt's prefill without a cache hit
    double hitShare { 0.2 }; ///< share of firstTokenMs that a cached prefix still costs
    double batchSlowdown { 0.5 }; ///< added to the time between tokens when the batch is full, as a share
    std::size_t cacheEntries { 64 }; ///< prompt prefixes kept
    std::size_t prefixChars { 64 }; ///< characters of a prompt that are its prefix
    std::uint64_t loadMs { 500 }; ///< time of a load order
    bool fencing { true }; ///< refuse an older fencing number
    std::uint64_t loadLagMs { 500 }; ///< age of load reports
    std::uint64_t eventLagMs { 500 }; ///< age of cache events
    double eventLoss { 0.1 }; ///< share of cache events that are lost
    std::string failVersion; ///< a load order for this version fails
    std::string runsLog; ///< file that gets a line for each run, may be empty
};

/// One request in the engine.
struct EngineRequest {
    std::string id; ///< X-Request-Id
    std::string prompt; ///< the prompt
    std::uint64_t maxTokens { 0 }; ///< length of the answer
    unsigned priority { 0 }; ///< 0 is the most urgent
    std::uint64_t next { 0 }; ///< index of the next token to produce
    SteadyClock::time_point due; ///< when the next token is ready
    std::string ready; ///< events that were produced and not yet sent
    bool done { false }; ///< the whole answer was produced
    bool cancelled { false }; ///< cancelled, caller gone, or broken off by a load
};

/// A model engine with continuous batching. All members are safe to call from any thread.
class Engine {
public:
    explicit Engine(EngineOptions options);

    /// Queues a request.
    /// @return the request; nullptr with a filled answer when it is refused
    std::shared_ptr<EngineRequest> submit(const httplib::Request& request, httplib::Response& response);
    /// Sends what the request has produced.
    /// @return false when the stream broke
    bool stream(const std::shared_ptr<EngineRequest>& request, httplib::DataSink& sink);
    /// @return true when a request of that id was queued or running
    bool cancel(const std::string& id);
    /// Carries out a load order.
    void load(const Json& order, httplib::Response& response);
    Json state();
    Json loadReport();
    Json cacheEvents(std::uint64_t since);
    Json exportCache();
    void importCache(const Json& prefixes);
    /// Produces tokens for ever.
    void run();

private:
    struct CacheEvent {
        SteadyClock::time_point time; ///< when it happened
        Json event; ///< {"seq","type","prefix"}
    };
    void startWaiting(SteadyClock::time_point now);
    void produce(EngineRequest& request, SteadyClock::time_point now);
    bool touchPrefix(const std::string& prefix);
    void noteCacheEvent(const std::string& type, const std::string& prefix);
    Json loadNow() const;

    const EngineOptions options; ///< flags
    std::mutex mutex; ///< protects everything below
    std::condition_variable produced; ///< tokens were produced, or a request ended
    std::condition_variable changed; ///< work arrived
    std::list<std::shared_ptr<EngineRequest>> waiting; ///< most urgent first, in order of arrival within a priority
    std::list<std::shared_ptr<EngineRequest>> batch; ///< running
    std::list<std::string> prefixes; ///< cached prefixes, most recently used first
    std::deque<CacheEvent> events; ///< cache events, newest last
    std::deque<std::pair<SteadyClock::time_point, Json>> reports; ///< load samples, newest last
    std::uint64_t eventCount { 0 }; ///< cache events so far
    std::mt19937 random; ///< for lost events
    std::string model; ///< loaded model
    std::string version; ///< loaded version
    std::string manifest; ///< manifest digest as ordered
    std::string digest; ///< digest of the loaded bytes
    Json adapters = Json::array(); ///< loaded adapters
    std::string role { "both" }; ///< role in force
    bool ready { false }; ///< a version is loaded
    std::uint64_t loading { 0 }; ///< load orders in progress
    std::uint64_t fence { 0 }; ///< highest fencing number seen
    std::uint64_t hits { 0 }; ///< prompts whose prefix was cached
    std::uint64_t runs { 0 }; ///< requests that began to run
    std::uint64_t brokenByLoad { 0 }; ///< requests cut off by a load order
    std::uint64_t tokens { 0 }; ///< tokens produced
    std::ofstream runsLog; ///< a line for each run
};

} // namespace hickory::standin
