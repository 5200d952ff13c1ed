#pragma once

#include "settings_type.h"
#include "toml_func.h"

#include <array>

namespace hickory {

constexpr std::array<NamedValue<LogLevel>, 4> logLevelNames { {
    { "debug", LogLevel::Debug },
    { "info", LogLevel::Info },
    { "warning", LogLevel::Warning },
    { "error", LogLevel::Error },
} };

constexpr std::array<NamedValue<RoutePolicy>, 4> routePolicyNames { {
    { "random", RoutePolicy::Random },
    { "least-reported", RoutePolicy::LeastReported },
    { "two-choices", RoutePolicy::TwoChoices },
    { "affinity", RoutePolicy::Affinity },
} };

constexpr std::array<NamedValue<QueuePolicy>, 3> queuePolicyNames { {
    { "fifo", QueuePolicy::Fifo },
    { "rank-only", QueuePolicy::RankOnly },
    { "rank-fair", QueuePolicy::RankFair },
} };

constexpr std::array<NamedValue<SlotPolicy>, 2> slotPolicyNames { {
    { "fifo", SlotPolicy::Fifo },
    { "floors", SlotPolicy::Floors },
} };

constexpr std::array<NamedValue<FetchPolicy>, 2> fetchPolicyNames { {
    { "origin", FetchPolicy::Origin },
    { "swarm", FetchPolicy::Swarm },
} };

constexpr std::array<NamedValue<GrowthPolicy>, 3> growthPolicyNames { {
    { "single", GrowthPolicy::Single },
    { "doubling", GrowthPolicy::Doubling },
    { "proportional", GrowthPolicy::Proportional },
} };

/// Values of AgentSettings::engine.
constexpr std::array<NamedValue<bool>, 2> upstreamKindNames { { { "engine", true }, { "plain", false } } };

constexpr IntegerRange seedRange { 0, INT64_MAX };
constexpr IntegerRange httpWorkersRange { 4, 4096 }; ///< threads, each with its own stack
constexpr IntegerRange maxBodyRange { 1024, 64LL << 20U }; ///< bytes
constexpr IntegerRange timeToLiveRange { 500, 600000 }; ///< milliseconds that callers may cache an answer
constexpr IntegerRange subsetRange { 1, 1000 }; ///< replicas of a service to which an entry keeps connections
/// Retries per successful request for retry_budget, per first send of a request for retry_ratio.
constexpr NumberRange retryBudgetRange { 0.0, 1.0 };
constexpr IntegerRange peerPortRange { 1, 65535 }; ///< UDP port
constexpr NumberRange linkMbpsRange { 0.1, 1e6 }; ///< bandwidth of the host's link, Mbit/s
constexpr IntegerRange maxDelayRange { 100, 600000 }; ///< milliseconds until a change must be effective
constexpr NumberRange durationSecondsRange { 1.0, 600.0 }; ///< seconds, for grace_s and retry_window_s
/// Retries in a retry window over all entries together, in addition to those of retry_ratio.
constexpr NumberRange retryExtraRange { 0.0, 1e9 };
constexpr IntegerRange entryQueueRange { 1, 100000 }; ///< requests
constexpr IntegerRange agentSilenceTimeoutRange { 50, 60000 }; ///< milliseconds
constexpr IntegerRange defaultTimeoutRange { 100, 3600000 }; ///< milliseconds
constexpr IntegerRange weightsLimitRange { 1LL << 20U, 1LL << 44U }; ///< bytes
constexpr IntegerRange linkRateRange { 0, 1LL << 40U }; ///< bytes per second, 0 for no limit
constexpr NumberRange linkShareRange { 0.05, 1.0 }; ///< fraction of the link that chunk transfers may use
constexpr IntegerRange agentQueueRange { 0, 10000 }; ///< requests
constexpr NumberRange coldOverageRange { 1.0, 1000.0 }; ///< multiple of a rate
constexpr NumberRange coldSlackRange { 0.0, 1e6 }; ///< requests
constexpr NumberRange memoryMbRange { 32.0, 1e6 }; ///< memory of a process, MB
constexpr IntegerRange descriptorsRange { 256, 10'000'000 }; ///< file descriptors of a process
constexpr IntegerRange leaseRange { 500, 600000 }; ///< milliseconds
/// Seconds for which a call row is kept. Except in tests, a value above the longest deadline of a request, retries
/// included, should be chosen: until then the outcome of a call may still be needed.
constexpr IntegerRange callRowTimeToLiveRange { 1, 30LL * 86400 };

} // namespace hickory
