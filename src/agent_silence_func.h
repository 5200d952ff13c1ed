#pragma once

#include "clock_type.h"

#include <cstdint>

namespace hickory {

/// How long a connected agent has been silent. Time in which this process itself stood still does not count, since the
/// messages of that time are not read yet.
struct AgentSilence {
    Milliseconds silentFor { 0 }; ///< since the last message of any kind
    Milliseconds unansweredFor { 0 }; ///< the part of it in which a heartbeat awaited its answer
    bool asked { false }; ///< a heartbeat awaits its answer
    std::uint32_t missed { 0 }; ///< times that missesHeartbeat() was true since the last message
};

/// @param elapsed time since the last check of all agents
/// @return the part of it that counts
Milliseconds countedTime(Milliseconds elapsed);

/// Counts time that has passed without a message.
void passSilence(AgentSilence& silence, Milliseconds counted);

/// Records a message of any kind; it shows that the agent runs.
void endSilence(AgentSilence& silence);

/// Records a heartbeat that was sent.
void askSilent(AgentSilence& silence);

/// @return whether an agent with attempts in flight must be asked now
/// @param timeout shortest time after which one of the attempts may be given up
bool mustAsk(const AgentSilence& silence, Milliseconds timeout);

/// @return whether another heartbeat has had no answer in time; true once for each
bool missesHeartbeat(AgentSilence& silence);

/// An attempt whose answer has begun ends only when the agent leaves a heartbeat unanswered for the whole timeout. One
/// that may not have begun is given up after half of that.
/// @param inFlightFor counted time since the attempt was sent
/// @param begun the caller has a part of the answer
/// @return whether an attempt at the agent is to be given up
bool isGivenUp(const AgentSilence& silence, Milliseconds inFlightFor, Milliseconds timeout, bool begun);

} // namespace hickory
