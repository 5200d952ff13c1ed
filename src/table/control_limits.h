#pragma once

#include "clock_type.h"

#include <cstddef>

namespace hickory {

constexpr std::size_t pushFanout = 4; ///< entries to which a new configuration is pushed
constexpr std::size_t configPollers = 3; ///< entries that poll the store; up to two may fail at the same time
constexpr Milliseconds configPollInterval { 2000 }; ///< between reads of `config/current` by an entry that polls
constexpr Milliseconds gossipInterval { 1000 }; ///< between gossip rounds of an entry
/// Minimum time between configuration fetches from peers. A push of the same configuration is usually in flight, so a
/// shorter interval would mostly transfer it twice.
constexpr Milliseconds fetchInterval { 1000 };
constexpr Milliseconds membersReadInterval { 2000 }; ///< minimum time between reads of the membership list
constexpr Milliseconds membersReadIntervalPerHost { 5 }; ///< limits all hosts together to 200 reads a second
constexpr Milliseconds reportInterval { 2000 }; ///< between status reports of an agent to its home entry
/// After five missed reports in a row an agent has another home entry or is gone.
constexpr Milliseconds homeAgentTimeToLive { 10000 };
/// Home agents that an entry keeps. A single surviving entry may become home of all 660 replicas of the target fleet.
constexpr std::size_t maxHomeAgents = 2000;
/// How long a leaving notice is kept. Longer than the delay of the platform's membership list and than the time for
/// which a draining process keeps running.
constexpr Milliseconds noticeTimeToLive { 120000 };
/// How long an entry passes on a leaving notice by gossip. Long enough for rounds of one second to reach every entry of
/// the target fleet; shorter than noticeTimeToLive, so that a notice that expired at one entry does not return from
/// another.
constexpr Milliseconds noticeRelayPeriod { 15000 };
/// How long leaving notices about a host that other entries pass on are ignored after its notice was withdrawn. Covers
/// a notice that is passed on twice, each time for up to noticeRelayPeriod.
constexpr Milliseconds refutedNoticeTimeToLive { 2 * noticeRelayPeriod.value };
/// How long an entry counts as unreachable after a failed gossip round.
constexpr Milliseconds unreachableTimeToLive { 10000 };
constexpr Milliseconds statusTimeout { 2000 }; ///< for answers of the other entries to a Status call
/// Time after which a configuration change is given up when the store does not answer the steps before the
/// compare-and-set.
constexpr Milliseconds prepareTimeout { 2500 };
/// Time to find out whether a compare-and-set was committed. Together with prepareTimeout and up to 2 s each for the
/// last operation before and after, the operator has the answer before the HTTP layer's limit of 15 s.
constexpr Milliseconds confirmTimeout { 7000 };
constexpr Milliseconds storeRetryInterval { 500 }; ///< between retries of a change while the store does not answer
constexpr std::size_t maxPendingApplies = 8; ///< changes in progress; each holds up to two texts of maxConfigBytes
constexpr std::size_t maxPendingCalls = 64; ///< other operator calls in progress
constexpr std::size_t historyLength = 20; ///< generations in the answer to a History call
constexpr std::size_t maxChangeIdBytes = 128;

} // namespace hickory
