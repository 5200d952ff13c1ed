#pragma once

#include "clock_type.h"
#include "id_type.h"
#include "log_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickory {

/// How an entry chooses an upstream among the replicas that it keeps connected.
enum class RoutePolicy : std::uint8_t {
    Random, ///< baseline: uniformly at random
    LeastReported, ///< baseline: least load by the last reports, which lag behind
    TwoChoices, ///< the one of two random upstreams with the shorter queue
    Affinity, ///< consistent hashing of the prompt prefix with bounded loads, otherwise TwoChoices
};

/// How an entry orders queued requests.
enum class QueuePolicy : std::uint8_t {
    Fifo, ///< in order of arrival; a baseline for comparison
    RankOnly, ///< baseline: by rank, then by arrival
    RankFair, ///< by rank, then by weighted fair queueing between workspaces
};

/// How an agent assigns slots to requests.
enum class SlotPolicy : std::uint8_t {
    Fifo, ///< in order of arrival; a baseline for comparison
    Floors, ///< a guaranteed minimum for each rank; unused slots are lent to other ranks and reclaimed by preemption
};

/// How agents download model weights.
enum class FetchPolicy : std::uint8_t {
    Origin, ///< baseline: each host downloads everything from the origin
    Swarm, ///< designated hosts download each chunk from the origin, all others from peers
};

/// How placement adds replicas to a model under load.
enum class GrowthPolicy : std::uint8_t {
    Single, ///< one replica at a time
    Doubling, ///< 1, 2, 4, ... replicas while a backlog lasts
    Proportional, ///< directly to the number that demand requires
};

/// Settings common to hickory-entry and hickory-agent, table [process].
struct ProcessSettings {
    HostId host; ///< name of this host in the membership list
    DataCentreId dataCentre; ///< key place
    RegionId region; ///< region of the data centre
    std::string rpcListen { "127.0.0.1:0" }; ///< "ip:port" for Cap'n Proto RPC; port 0 takes a free port
    std::string platform; ///< "http://ip:port" of the table service, object store and membership list
    /// "ip:port" for HTTP; port 0 takes a free port. Serves callers and operators at an entry, metrics at an agent.
    std::string httpListen { "127.0.0.1:0" };
    LogLevel logLevel { LogLevel::Info }; ///< lowest severity written
    std::string logFile; ///< path, empty for standard output
    std::uint64_t seed { 0 }; ///< random seed, 0 chooses one and logs it
};

/// Settings of hickory-entry.
struct EntrySettings {
    ProcessSettings process; ///< table [process]
    /// Content of [http] operator_token_file; empty allows operator calls from loopback only.
    std::string operatorToken;
    std::string tlsCertificate; ///< [http] tls_certificate, PEM path, empty for plain HTTP
    std::string tlsKey; ///< [http] tls_key, PEM path
    std::uint32_t httpWorkers { 512 }; ///< [http] workers: calls handled at the same time, one thread each
    Bytes maxBody { 1U << 20U }; ///< [http] max_body_bytes: longest request body
    Milliseconds entriesTimeToLive { 5000 }; ///< [http] entries_ttl_ms: how long callers may cache /v1/entries
    RoutePolicy routePolicy { RoutePolicy::Affinity }; ///< [policy] route
    QueuePolicy queuePolicy { QueuePolicy::RankFair }; ///< [policy] queue
    GrowthPolicy growthPolicy { GrowthPolicy::Doubling }; ///< [policy] growth
    std::uint32_t subsetSize { 12 }; ///< [policy] subset: replicas of a service to which the entry keeps connections
    double retryBudget { 0.1 }; ///< [policy] retry_budget: retries allowed per successful request
    std::uint32_t maxQueued { 2000 }; ///< [policy] max_queued: requests that may wait at the entry, over all workspaces
    /// [policy] accept_timeout_ms: dispatches at a silent agent count as lost after it, see isGivenUp().
    Milliseconds agentSilenceTimeout { 2000 };
    Milliseconds defaultTimeout { 600000 }; ///< [policy] default_timeout_ms: timeout of requests that specify none
};

/// Settings of hickory-agent.
struct AgentSettings {
    ProcessSettings process; ///< table [process]
    std::string upstream; ///< [upstream] url: "http://ip:port" of the upstream on this host
    bool engine { false }; ///< [upstream] kind: true for "engine", false for "plain"
    ServiceId service; ///< [upstream] service: set for plain upstreams only; placement chooses that of an engine
    std::string weightsDirectory; ///< [weights] directory: memory-backed directory for weights, required for engines
    Bytes weightsLimit { 1ULL << 30U }; ///< [weights] max_bytes: maximum size of the directory
    Bytes linkRate { 0 }; ///< [weights] link_bytes_per_s: bandwidth of this host's link per second, 0 for no limit
    double linkShare { 0.8 }; ///< [weights] link_share: fraction of the link that chunk transfers may use
    FetchPolicy fetchPolicy { FetchPolicy::Swarm }; ///< [weights] fetch
    /// [weights] store_region: region of the weight store; empty for that of the first data centre by name.
    RegionId storeRegion;
    SlotPolicy slotPolicy { SlotPolicy::Floors }; ///< [policy] slots
    std::uint32_t maxQueued { 64 }; ///< [policy] max_queued: admitted requests that may wait for a slot
    Milliseconds lease { 10000 }; ///< [policy] lease_ms: after a longer pause the agent checks its fencing number again
    /// [policy] call_row_ttl_s: how long outcomes of calls are kept in the store.
    Milliseconds callRowTimeToLive { 86400000 };
};

/// Settings common to both programs on a platform where entries connect directly to upstreams, table [host].
struct HostSettings {
    HostId host; ///< name of this host, key name
    DataCentreId dataCentre; ///< key place
    RegionId region; ///< region of the data centre
    std::string ip; ///< address of this host for messages between hosts
    std::uint16_t peerPort { 0 }; ///< UDP port for messages between hosts, the same on all hosts
    std::string store; ///< "ip:port" of the platform's store
    /// Control addresses ("ip:port") of some entries, used to join; some may be outdated.
    std::vector<std::string> seeds;
    /// Region of each data centre, key regions: "DATA-CENTRE=REGION" each.
    std::map<DataCentreId, RegionId> regions;
    LogLevel logLevel { LogLevel::Info }; ///< lowest severity written
    std::uint64_t seed { 0 }; ///< random seed, 0 chooses one and logs it
};

/// Settings of hickory-entry when it connects directly to upstreams, table [relay].
struct RelaySettings {
    HostSettings host; ///< table [host]
    std::string front; ///< "ip:port" that serves callers' requests
    std::string readiness; ///< "ip:port" that serves the platform's readiness checks
    std::string lookup; ///< "ip:port" that tells callers which entries to connect to
    std::string control; ///< "ip:port" that serves peers and metrics
    Milliseconds lookupTimeToLive { 1000 }; ///< lookup_ttl_ms: how long callers may cache a lookup answer
    Milliseconds maxRevocationDelay { 5000 }; ///< revoke_ms: maximum time until a revoked API key is rejected
    Milliseconds maxWeightsDelay { 8000 }; ///< weights_ms: maximum time for which outdated weights may be used
    Milliseconds gracePeriod { 8000 }; ///< grace_s: time from SIGTERM to SIGKILL
    double retryRatio { 0.2 }; ///< retries allowed per request, over all entries together
    double retryExtra { 100 }; ///< retries allowed in a window in addition to retryRatio, over all entries together
    Milliseconds retryWindow { 10000 }; ///< retry_window_s: time over which requests and retries are counted
    /// evacuate_ms: maximum time until an evacuated data centre gets nothing new.
    Milliseconds maxEvacuationDelay { 5000 };
    bool evacuationsConfigured { false }; ///< evacuate_ms is present
    double coldOverage { 1.0 }; ///< cold_overage: multiple of its rate that a cold upstream bears in any one second
    double coldSlack { 0 }; ///< cold_slack: requests that it bears in addition
    double memoryMb { 512 }; ///< memory_mb: memory that this process may use, in MB
    std::uint32_t maxDescriptors { 8192 }; ///< max_fds: file descriptors that this process may open
};

/// Settings of hickory-agent when it only loads weights, table [loader].
struct LoaderSettings {
    HostSettings host; ///< table [host]
    std::string engine; ///< "ip:port" of the engine on this host
    ServiceId service; ///< service of the engine
    double linkMbps { 1000 }; ///< bandwidth of this host's link in Mbit/s, shared with the engine
    /// weights_ms: maximum time from the declaration of weights until they are in service.
    Milliseconds maxWeightsDelay { 8000 };
};

/// Settings of hickoryctl.
struct CtlSettings {
    std::vector<std::string> entries; ///< "http://ip:port" or "https://ip:port", tried in order
    std::string operatorToken; ///< content of operator_token_file; empty sends none
    /// tls_ca: PEM path of the certificate authority for the entries' certificates; empty for the system's.
    std::string tlsAuthority;
};

} // namespace hickory
