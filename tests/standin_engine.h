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

/// Command line options of the stand-in engine.
struct EngineOptions {
    unsigned slots { 8 }; ///< maximum batch size in requests
    unsigned maxQueued { 64 }; ///< maximum number of requests that wait for a slot; more are refused with 503
    double tokenMs { 10 }; ///< milliseconds between tokens if the batch holds one request
    double firstTokenMs { 50 }; ///< milliseconds of prefill without a cache hit
    double cacheHitCost { 0.2 }; ///< fraction of firstTokenMs that prefill takes with a cache hit, 0 to 1
    double batchSlowdown { 0.5 }; ///< relative increase of tokenMs when the batch is full; linear in between
    std::size_t cacheEntries { 64 }; ///< capacity of the prefix cache
    std::size_t prefixChars { 64 }; ///< number of leading characters of a prompt that identify its cache entry
    std::uint64_t loadMs { 500 }; ///< milliseconds to load a model version
    bool fencing { true }; ///< refuse load orders whose fencing number is lower than the highest one seen
    std::uint64_t loadLagMs { 500 }; ///< age of load reports in milliseconds
    std::uint64_t eventLagMs { 500 }; ///< delay of cache events in milliseconds
    double eventLoss { 0.1 }; ///< fraction of cache events that are dropped, 0 to 1
    std::string failVersion; ///< model version that fails to load, empty for none
    std::string runsLog; ///< file to which a line is appended for each run, empty for none
};

/// A queued or running request.
struct EngineRequest {
    std::string id; ///< value of X-Request-Id
    std::string prompt; ///< text to complete; one that contains "CRASH" ends the process
    std::uint64_t maxTokens { 0 }; ///< number of tokens of the complete response
    unsigned priority { 0 }; ///< value of X-Priority, 0 is the most urgent
    std::uint64_t nextIndex { 0 }; ///< index of the next token to generate; starts at X-Resume-From
    SteadyClock::time_point nextTokenAt; ///< time at which the next token is generated
    std::string output; ///< generated events that were not sent yet
    bool done { false }; ///< all tokens were generated
    bool cancelled { false }; ///< cancelled, disconnected, or cut off by a load order
};

/// Simulates a model engine with continuous batching and a prefix cache. All members are safe to call from any thread.
class Engine {
public:
    explicit Engine(EngineOptions options);

    /// Queues a request.
    /// @return the request, or nullptr if it is refused and the response is filled in
    std::shared_ptr<EngineRequest> submit(const httplib::Request& request, httplib::Response& response);
    /// Waits briefly for output of a request and sends it.
    /// @return false if the request was cancelled or the caller has disconnected
    bool stream(const std::shared_ptr<EngineRequest>& request, httplib::DataSink& sink);
    /// Cancels the requests with the given id.
    /// @return true if there was one, queued or running
    bool cancel(const std::string& id);
    /// Loads the weights and the version of a load order, and cuts off all requests if they change.
    /// @param order body of POST /admin/load
    void load(const Json& order, httplib::Response& response);
    /// @return response body of GET /admin/state
    Json state();
    /// @return load of the engine as it was EngineOptions::loadLagMs ago
    Json loadReport();
    /// @param since sequence number of the first event to return
    /// @return events that are at least EngineOptions::eventLagMs old, and the sequence number to continue from
    Json cacheEvents(std::uint64_t since);
    /// @return the cached prefixes with their model version
    Json exportCache();
    /// Adds exported prefixes to the cache; ignores those of another model version.
    void importCache(const Json& exported);
    /// Generates tokens; never returns.
    void run();

private:
    /// A change of the prefix cache.
    struct CacheEvent {
        SteadyClock::time_point time; ///< time of the change
        Json event; ///< {"seq","type","prefix"}; type is "stored" or "evicted", prefix a digest
    };
    /// Removes finished requests and moves waiting ones into free slots of the batch.
    void fillBatch(SteadyClock::time_point now);
    /// Generates the tokens of a request that are due.
    void generateTokens(EngineRequest& request, SteadyClock::time_point now);
    /// Marks a prefix as most recently used and adds it to the cache if needed.
    /// @return true if it was cached
    bool touchPrefix(const std::string& prefix);
    /// Records a cache event unless it is one of those to lose. A lost event still takes a sequence number.
    void recordCacheEvent(const std::string& type, const std::string& prefix);
    /// @return the present load; the mutex must be held
    Json currentLoad() const;

    const EngineOptions options;
    std::mutex mutex; ///< protects all members below
    std::condition_variable outputReady; ///< notified when tokens were generated or a request was cancelled
    std::condition_variable workArrived; ///< notified when a request was queued
    std::list<std::shared_ptr<EngineRequest>> waiting; ///< queued requests by priority, then by arrival
    std::list<std::shared_ptr<EngineRequest>> batch; ///< requests that are generating tokens
    std::list<std::string> prefixes; ///< cached prefixes, most recently used first
    std::deque<CacheEvent> events; ///< cache events, newest last
    std::deque<std::pair<SteadyClock::time_point, Json>> reports; ///< sampled loads, newest last
    std::uint64_t nextEventSequence { 0 }; ///< sequence number of the next cache event, lost ones included
    std::mt19937 randomEngine; ///< decides which cache events are lost
    std::string model; ///< loaded model, empty before the first load
    std::string version; ///< loaded model version, empty before the first load
    std::string manifest; ///< manifest digest given by the load order, may be empty
    std::string digest; ///< digest of the loaded weights
    Json adapters = Json::array(); ///< adapters of the last accepted load order
    std::string role { "both" }; ///< role of the last accepted load order
    bool ready { false }; ///< a version is loaded
    std::uint64_t loading { 0 }; ///< number of load orders in progress
    std::uint64_t fence { 0 }; ///< highest fencing number of a load order so far
    std::uint64_t cacheHits { 0 }; ///< number of runs whose prefix was cached
    std::uint64_t runs { 0 }; ///< number of requests that were moved into the batch
    std::uint64_t cutOffByLoad { 0 }; ///< number of requests that a load order cut off
    std::uint64_t tokens { 0 }; ///< number of tokens generated
    std::ofstream runsLog; ///< one line per run: request id, prompt digest, first token index, version, weights digest
};

} // namespace hickory::standin
