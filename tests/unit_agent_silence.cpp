#include "agent_silence_func.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

constexpr Milliseconds tickInterval { 100 };
constexpr Milliseconds timeout { 2000 };

/// An agent with one attempt in flight, checked every 100 ms.
struct WatchedAgent {
    AgentSilence silence;
    Milliseconds inFlightFor { 0 };
    std::uint32_t missed { 0 }; ///< missed heartbeats
    bool givenUp { false }; ///< the attempt was given up

    void pass(Milliseconds span, bool begun, Milliseconds step = tickInterval)
    {
        for (Milliseconds passed { 0 }; passed < span; passed += step) {
            const Milliseconds counted = countedTime(step);
            this->inFlightFor += counted;
            passSilence(this->silence, counted);
            this->missed += missesHeartbeat(this->silence) ? 1 : 0;
            if (mustAsk(this->silence, timeout))
                askSilent(this->silence);
            this->givenUp = this->givenUp || isGivenUp(this->silence, this->inFlightFor, timeout, begun);
        }
    }
};

} // namespace

// Guards against a begun answer that is cut before its agent has left a question unanswered for the whole timeout.
TEST_CASE("A begun answer ends only when its agent leaves a heartbeat unanswered for the silence timeout")
{
    for (const bool begun : { false, true }) {
        WatchedAgent agent;
        agent.pass({ 1900 }, begun);
        CHECK_FALSE(agent.givenUp);
        agent.pass({ 400 }, begun);
        CHECK(agent.givenUp == !begun);
        agent.pass({ 1000 }, begun);
        CHECK(agent.givenUp);
    }
}

// Guards against giving up requests of sound agents after this process itself stood still.
TEST_CASE("Time in which the entry stood still is no silence of its agents")
{
    WatchedAgent agent;
    agent.pass({ 1500 }, false);
    agent.pass({ 30000 }, false, { 30000 });
    CHECK_FALSE(agent.givenUp);
    CHECK(agent.missed == 0);
}

// Guards against counting an agent as frozen whose heartbeats are late behind the parts that it sends.
TEST_CASE("A message of any kind ends the silence of an agent")
{
    WatchedAgent agent;
    for (int part = 0; part < 10; ++part) {
        agent.pass({ 900 }, true);
        endSilence(agent.silence);
    }
    CHECK_FALSE(agent.givenUp);
    CHECK(agent.missed == 0);
    agent.pass({ 4500 }, true);
    CHECK(agent.givenUp);
    CHECK(agent.missed == 3);
}
