#pragma once

#include "clock_type.h"

#include <cstddef>

namespace hickory {

constexpr std::size_t pushFanout = 4; ///< entries that a new configuration is pushed to
constexpr std::size_t configPollers = 3; ///< entries that poll the store, so that two may fail at once
constexpr Milliseconds configPollInterval { 2000 };
constexpr Milliseconds gossipInterval { 1000 };
/// Between fetches from peers. A push is usually on its way too, so a shorter time only moves the text twice.
constexpr Milliseconds fetchInterval { 1000 };
constexpr Milliseconds membersInterval { 2000 }; ///< least time between reads of the membership list
constexpr Milliseconds membersIntervalPerHost { 5 }; ///< 200 reads a second in all at any fleet size
constexpr Milliseconds reportInterval { 2000 }; ///< between reports of an agent to its home entry
constexpr Milliseconds homeAgentAge { 10000 }; ///< five lost reports in a row mean that the agent has another home
/// Agents kept as home agents. Larger than the target fleet's 660 replicas, all of which one surviving entry may get.
constexpr std::size_t maxHomeAgents = 2000;
/// How long a leaving notice counts. Longer than the platform's list lags and a drained process lives on.
constexpr Milliseconds noticeAge { 120000 };
/// How long a notice is passed on by gossip. Within it, rounds of one second reach every entry of the target fleet;
/// it is shorter than noticeAge so that a notice which expired at one entry does not come back from another.
constexpr Milliseconds noticeRelayAge { 15000 };
/// How long notices that others pass on are ignored after a notice ended. Longer than they are passed on by two hops.
constexpr Milliseconds refutedAge { 2 * noticeRelayAge.value };
constexpr Milliseconds unreachableAge { 10000 }; ///< how long a failed gossip round counts against an entry
constexpr Milliseconds statusTimeout { 2000 }; ///< for entries' answers to an operator's Status call
constexpr Milliseconds beginTimeout { 2500 }; ///< for the steps before the write while the store does not answer
/// For finding out whether a write took effect. With the steps before it and a last operation (2 s each), the operator
/// has the answer before the HTTP layer gives up on the call after 15 s.
constexpr Milliseconds settleTimeout { 7000 };
constexpr Milliseconds settleInterval { 500 }; ///< between reads while the store does not answer
constexpr std::size_t maxPendingApplies = 8; ///< each holds up to three texts of up to 1 MiB
constexpr std::size_t maxPendingCalls = 64; ///< other operator calls in progress
constexpr std::size_t historyLength = 20; ///< generations that a History call shows
constexpr std::size_t maxChangeIdBytes = 128;

} // namespace hickory
