#include "agent_silence_func.h"

#include <algorithm>

namespace hickory {

namespace {

    /// A heartbeat that is not answered within this time counts as missed.
    constexpr Milliseconds heartbeatTimeout { 1000 };

    /// An agent that has attempts in flight and sent nothing for this long is asked ahead of the heartbeat interval.
    constexpr Milliseconds probeAfterSilence { 1000 };

    /// Longest time between two checks that counts. A longer one means that this process stood still.
    constexpr Milliseconds maxCountedTime { 200 };

} // namespace

Milliseconds countedTime(Milliseconds elapsed) { return std::min(elapsed, maxCountedTime); }

void passSilence(AgentSilence& silence, Milliseconds counted)
{
    silence.silentFor += counted;
    if (silence.asked)
        silence.unansweredFor += counted;
}

void endSilence(AgentSilence& silence)
{
    silence.silentFor = {};
    silence.unansweredFor = {};
    silence.missed = 0;
}

void askSilent(AgentSilence& silence) { silence.asked = true; }

bool mustAsk(const AgentSilence& silence, Milliseconds timeout)
{
    return !silence.asked && silence.silentFor >= std::min(probeAfterSilence, timeout / 2);
}

bool missesHeartbeat(AgentSilence& silence)
{
    if (!silence.asked || silence.unansweredFor < heartbeatTimeout * (silence.missed + 1))
        return false;
    ++silence.missed;
    return true;
}

bool isGivenUp(const AgentSilence& silence, Milliseconds inFlightFor, Milliseconds timeout, bool begun)
{
    if (begun)
        return std::min(silence.unansweredFor, inFlightFor) >= timeout;
    return silence.asked && silence.unansweredFor >= timeout / 2 && std::min(silence.silentFor, inFlightFor) >= timeout;
}

} // namespace hickory
