#pragma once

#include "clock_type.h"
#include "id_type.h"
#include "log_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// How an entry chooses an upstream within its subset.
enum class RoutePolicy : std::uint8_t {
    Random, ///< baseline: uniform
    LeastReported, ///< baseline: least load by the lagging reports only
    TwoChoices, ///< the better of two by queue depth
    Affinity, ///< prompt-prefix affinity with bounded load, then two choices
};

/// How an entry orders waiting requests.
enum class QueuePolicy : std::uint8_t {
    Fifo, ///< baseline: one queue in order of arrival
    RankOnly, ///< baseline: by rank, in order of arrival within a rank
    RankFair, ///< by rank, fair over workspaces within a rank
};

/// How an agent gives out slots.
enum class SlotPolicy : std::uint8_t {
    Fifo, ///< baseline: in order of arrival
    Floors, ///< floors for each rank, unused floors lent out, with preemption
};

/// How agents fetch weights.
enum class FetchPolicy : std::uint8_t {
    Origin, ///< baseline: each host pulls all from the origin
    Swarm, ///< named fetchers for each chunk, everything else from peers
};

/// How placement grows a model on demand.
enum class GrowthPolicy : std::uint8_t {
    Single, ///< one replica at a time
    Doubling, ///< 1, 2, 4, ... replicas while a backlog lasts
    Proportional, ///< straight to the count that demand asks for
};

/// Where a process runs and how it is reached; common to all roles.
struct ProcessSettings {
    HostId host; ///< this host's name in the membership list
    DataCentreId dataCentre; ///< data centre
    RegionId region; ///< region of the place
    std::string rpcListen { "127.0.0.1:0" }; ///< "ip:port" for Cap'n Proto RPC, port 0 lets the kernel choose
    std::string platform; ///< "http://ip:port" of the platform's services
    std::string httpListen { "127.0.0.1:0" }; ///< "ip:port" for HTTP: callers and operators, or an agent's metrics
    LogLevel logLevel { LogLevel::Info }; ///< least severity written
    std::string logFile; ///< empty for standard output
    std::uint64_t seed { 0 }; ///< seed of random choices, 0 draws one and logs it
};

/// Settings of hickory-entry.
struct EntrySettings {
    ProcessSettings process; ///< common part, table [process]
    std::string operatorToken; ///< read from [http] operator_token_file; empty allows loopback only
    std::string tlsCertificate; ///< [http] tls_certificate, PEM path, empty for plain HTTP
    std::string tlsKey; ///< [http] tls_key, PEM path
    std::uint32_t httpWorkers { 512 }; ///< [http] workers: concurrent callers
    Bytes maxBody { 1U << 20U }; ///< [http] max_body_bytes: longest request body
    Milliseconds entriesTimeToLive { 5000 }; ///< [http] entries_ttl_ms: how long callers keep /v1/entries
    RoutePolicy routePolicy { RoutePolicy::Affinity }; ///< [policy] route
    QueuePolicy queuePolicy { QueuePolicy::RankFair }; ///< [policy] queue
    GrowthPolicy growthPolicy { GrowthPolicy::Doubling }; ///< [policy] growth
    std::uint32_t subsetSize { 12 }; ///< [policy] subset: replicas of a service kept connected
    double retryBudget { 0.1 }; ///< [policy] retry_budget: retries for each success
    std::uint32_t maxQueued { 2000 }; ///< [policy] max_queued: requests that may wait in all
    Milliseconds acceptTimeout { 2000 }; ///< [policy] accept_timeout_ms: silence after a dispatch that counts as lost
    Milliseconds defaultTimeout { 600000 }; ///< [policy] default_timeout_ms: deadline of requests that name none
};

/// Settings of hickory-agent.
struct AgentSettings {
    ProcessSettings process; ///< common part, table [process]
    std::string upstream; ///< [upstream] url: "http://ip:port" of the upstream on this host
    bool engine { false }; ///< [upstream] kind = "engine" or "plain"
    ServiceId service; ///< [upstream] service, plain upstreams only
    std::string weightsDirectory; ///< [weights] directory, memory-backed, engines only
    Bytes weightsLimit { 1ULL << 30U }; ///< [weights] max_bytes: most bytes kept
    Bytes linkRate { 0 }; ///< [weights] link_bytes_per_s: this host's link, 0 for no limit
    double linkShare { 0.8 }; ///< [weights] link_share: share of the link for chunks
    FetchPolicy fetchPolicy { FetchPolicy::Swarm }; ///< [weights] fetch
    RegionId storeRegion; ///< [weights] store_region: region of the weight store; empty for that of the first place
    SlotPolicy slotPolicy { SlotPolicy::Floors }; ///< [policy] slots
    std::uint32_t maxQueued { 64 }; ///< [policy] max_queued: admitted requests that may wait for a slot
    Milliseconds lease { 10000 }; ///< [policy] lease_ms: a longer pause makes the agent check its fencing number
    Milliseconds callRowTimeToLive { 86400000 }; ///< [policy] call_row_ttl_s: how long outcomes are kept
};

/// Where a process runs on a platform where entries reach upstreams directly.
struct HostSettings {
    HostId host; ///< name of this host
    DataCentreId dataCentre; ///< data centre
    RegionId region; ///< region of the place
    std::string ip; ///< address for messages between hosts
    std::uint16_t peerPort { 0 }; ///< UDP port of such messages, the same on all hosts
    std::string store; ///< "ip:port" of the platform's store
    std::vector<std::string> seeds; ///< "ip:port" of some entries' control addresses; may be stale
    LogLevel logLevel { LogLevel::Info }; ///< least severity written
    std::uint64_t seed { 0 }; ///< of random choices, 0 draws one and logs it
};

/// Settings of hickory-entry where it reaches upstreams directly, table [relay].
struct RelaySettings {
    HostSettings host; ///< table [host]
    std::string front; ///< "ip:port" for callers' requests
    std::string readiness; ///< "ip:port" for the platform's checks
    std::string lookup; ///< "ip:port" for callers that ask where to connect
    std::string control; ///< "ip:port" for peers and metrics
    Milliseconds lookupTimeToLive { 1000 }; ///< how long callers keep an answer
    Milliseconds maxRevocationDelay { 5000 }; ///< a key that was taken away must be refused after this time
    Milliseconds maxWeightsDelay { 8000 }; ///< older weights must not be used after this time
    Milliseconds gracePeriod { 8000 }; ///< from SIGTERM to SIGKILL
    double retryRatio { 0.2 }; ///< repeats allowed for each request, over all entries
    double retryExtra { 100 }; ///< repeats allowed besides, over all entries
    Milliseconds retryWindow { 10000 }; ///< over which repeats are counted
};

/// Settings of hickory-agent where it only loads weights, table [loader].
struct LoaderSettings {
    HostSettings host; ///< table [host]
    std::string engine; ///< "ip:port" of the engine on this host
    ServiceId service; ///< that the engine belongs to
    double linkMbps { 1000 }; ///< of this host, shared with the engine
    Milliseconds maxWeightsDelay { 8000 }; ///< declared weights must be in service after this time
};

/// Settings of hickoryctl.
struct ControlSettings {
    std::vector<std::string> entries; ///< "http://ip:port", tried in order
    std::string operatorToken; ///< from operator_token_file, may be empty
    std::string tlsAuthority; ///< tls_ca: PEM path of the authority that signed the entries' certificates, may be empty
};

} // namespace hickory
