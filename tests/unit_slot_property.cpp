#include "agent_harness.h"
#include "engine_cmd.h"
#include "fixed_seed.h"
#include "slot_func.h"

#include <map>
#include <set>

using namespace hickory;

namespace {

/// Applies random events to an agent and checks its effects against a model of its upstream and of the entries.
struct SlotPropertyHarness {
    AgentHarness agent; ///< agent under test, with 4 slots and room for 6 waiting dispatches
    std::map<AttemptKey, DispatchCall> open; ///< dispatched attempts without a result
    std::set<AttemptKey> running; ///< attempts running at the upstream
    std::set<AttemptKey> givenUp; ///< ended by the upstream without having run
    std::uint64_t requests { 0 }; ///< number of requests so far

    explicit SlotPropertyHarness(bool engine, SlotPolicy policy)
        : agent(engine, 4)
    {
        this->agent.state.settings.maxQueued = 6;
        this->agent.state.settings.slotPolicy = policy;
        if (engine) {
            EngineState& state = this->agent.state.engine;
            state.target = EngineTarget { .service = { "svc" }, .version = { "v1" } };
            state.serving = state.target;
            state.phase = EnginePhase::Serving;
            state.fenceProgress.step = FenceStep::Held;
            this->agent.state.slots.service = { "svc" };
            applyConfigToSlots(this->agent.state, this->agent.effects);
        }
        this->report(true);
    }

    /// Delivers a state report of the upstream.
    void report(bool reachable)
    {
        this->deliver(
            UpstreamStateReceived { .state = { .reachable = reachable, .ready = reachable, .version = { "v1" } } });
    }

    /// Delivers an event and checks its effects.
    void deliver(AgentEventBody body)
    {
        this->agent.send(std::move(body));
        this->check();
    }

    std::vector<std::uint32_t> runningByRank() const
    {
        std::vector<std::uint32_t> count(3);
        for (const AttemptKey& key : this->running)
            ++count[this->open.at(key).rank.value];
        return count;
    }

    /// Checks a start against the limit, the suspects and the floors.
    void checkStart(const AttemptKey& key)
    {
        const SlotState& slots = this->agent.state.slots;
        RC_ASSERT(this->open.contains(key));
        RC_ASSERT(!this->running.contains(key));
        RC_ASSERT(this->running.size() < slotLimit(slots));
        const DispatchCall& call = this->open.at(key);
        const auto before = this->runningByRank();
        if (call.suspect)
            for (const AttemptKey& other : this->running)
                RC_ASSERT(!this->open.at(other).suspect);
        this->running.insert(key);
        if (this->agent.state.settings.slotPolicy == SlotPolicy::Fifo
            || before[call.rank.value] < slots.ranks[call.rank.value].reservedSlots)
            return;
        // A start on a spare slot: no rank below its floor may have a waiting dispatch that could have started.
        const SlotUse use = slotUse(slots);
        for (const AttemptKey& waiting : slots.waiting) {
            const DispatchCall& other = this->open.at(waiting);
            RC_ASSERT(other.suspect || use.running[other.rank.value] >= slots.ranks[other.rank.value].reservedSlots);
        }
    }

    /// Checks the effects of the last event and the invariants of the state.
    void check()
    {
        for (const AgentEffect& effect : this->agent.effects) {
            if (const auto* start = std::get_if<StartUpstream>(&effect))
                this->checkStart(start->key);
            if (const auto* cancel = std::get_if<CancelUpstream>(&effect))
                RC_ASSERT(this->running.contains(cancel->key));
            if (const auto* answer = std::get_if<AnswerDispatch>(&effect)) {
                RC_ASSERT(!this->running.contains(answer->key));
                RC_ASSERT(this->open.erase(answer->key) == 1U);
            }
        }
        const SlotState& slots = this->agent.state.slots;
        RC_ASSERT(slots.waiting.size() <= this->agent.state.settings.maxQueued);
        RC_ASSERT(slots.dispatches.size() == this->open.size());
        if (!upstreamReady(this->agent.state) || this->running.size() >= slotLimit(slots))
            return;
        // The scheduler is work-conserving: while a slot is free, only suspects wait, and only for another suspect.
        for (const AttemptKey& waiting : slots.waiting)
            RC_ASSERT(this->open.at(waiting).suspect && slotUse(slots).suspects > 0);
    }

    /// Dispatches a new request with random properties.
    void dispatch(std::uint32_t choice)
    {
        DispatchCall call = AgentHarness::call(++this->requests, choice % 3, (choice / 3) % 4 == 0 ? "small" : "large");
        call.key.entry = { (choice / 12) % 2 == 0 ? "entry-1" : "entry-2" };
        call.suspect = (choice / 24) % 6 == 0;
        call.timeout = { (choice / 144) % 6 == 0 ? 300 : 60000 };
        this->open.emplace(call.key, call);
        this->deliver(DispatchReceived { call });
    }

    /// Ends a random running request with a random result.
    void end(std::uint32_t choice)
    {
        if (this->running.empty())
            return;
        const auto chosen = std::next(this->running.begin(), choice % this->running.size());
        const auto ended = this->running.extract(chosen);
        const AttemptKey& key = ended.value();
        const bool cancelled = this->agent.state.slots.dispatches.at(key).cancel != CancelCause::None;
        const auto results = cancelled ? std::vector { UpstreamResult::Cancelled, UpstreamResult::Completed }
                                       : std::vector { UpstreamResult::Completed, UpstreamResult::Completed,
                                             UpstreamResult::Failed, UpstreamResult::Refused, UpstreamResult::Crashed,
                                             UpstreamResult::ConnectFailed, UpstreamResult::TimedOut };
        const UpstreamResult result = results[(choice / 64) % results.size()];
        this->agent.send(UpstreamEnded { .key = key, .result = result });
        const auto answer = this->agent.firstEffect<AnswerDispatch>();
        const bool notRun = answer.result.kind == DispatchResultKind::NotRun;
        RC_ASSERT(notRun == (result == UpstreamResult::Refused || result == UpstreamResult::ConnectFailed));
        this->check();
    }

    /// Decodes a random number into an event.
    void step(std::uint32_t value)
    {
        const std::uint32_t choice = value / 16;
        switch (value % 16) {
        case 7:
        case 8:
        case 9:
        case 10:
            return this->end(choice);
        case 11:
            return this->deliver(CancelReceived { AgentHarness::call(1 + choice % (this->requests + 1)).key });
        case 12:
            return choice % 4 == 0 ? this->deliver(EntryDetached { { "entry-2" } }) : void();
        case 13:
            for (std::uint32_t tick = 0; tick < choice % 30; ++tick) {
                this->agent.now.value += 50;
                this->deliver(Tick {});
            }
            return;
        case 14:
            return this->report(choice % 4 != 0);
        case 15:
            return this->open.empty() ? void() : this->deliver(DispatchReceived { this->open.begin()->second });
        default:
            return this->dispatch(choice);
        }
    }

    /// Ends everything and checks that nothing is left over.
    void drain()
    {
        for (int round = 0; round < 200 && !this->open.empty(); ++round) {
            this->report(true);
            while (!this->running.empty())
                this->end(0);
            this->agent.now.value += 50;
            this->deliver(Tick {});
        }
        RC_ASSERT(this->open.empty());
        RC_ASSERT(this->agent.state.slots.dispatches.empty());
        RC_ASSERT(this->agent.state.slots.waiting.empty());
    }
};

void checkSlots(std::uint64_t seed, bool engine, SlotPolicy policy)
{
    test::checkProperty("slot scheduling invariants", seed, 200, [=] {
        const auto steps = *randomStepCodes(300);
        SlotPropertyHarness harness(engine, policy);
        for (const std::uint32_t step : steps)
            harness.step(step);
        harness.drain();
    });
}

} // namespace

// Guards against a queue that exceeds its limit, idle slots while dispatches wait, floors that are ignored, two
// suspects on one upstream, and dispatches that get two results, no result, or not-run although they ran.
TEST_CASE("Slot scheduling keeps its invariants under random events")
{
    checkSlots(11, false, SlotPolicy::Floors);
    checkSlots(12, true, SlotPolicy::Floors);
    checkSlots(13, false, SlotPolicy::Fifo);
}
