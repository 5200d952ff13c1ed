#include "agent_harness.h"
#include "engine_cmd.h"
#include "fixed_seed.h"
#include "slot_func.h"

#include <map>
#include <set>

using namespace hickory;

namespace {

/// Feeds random steps to an agent and checks each effect against what an upstream and the entries would see.
struct SlotWorld {
    AgentHarness agent; ///< under test
    std::map<AttemptKey, DispatchCall> open; ///< dispatched and not answered
    std::set<AttemptKey> running; ///< at the upstream
    std::set<AttemptKey> givenUp; ///< ended by the upstream without having run
    std::uint64_t requests { 0 }; ///< requests made so far

    explicit SlotWorld(bool engine, SlotPolicy policy)
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

    void report(bool reachable)
    {
        this->deliver(
            UpstreamStateReceived { .state = { .reachable = reachable, .ready = reachable, .version = { "v1" } } });
    }

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
            || before[call.rank.value] < slots.ranks[call.rank.value].reserved)
            return;
        // A start on a spare slot: no rank under its floor may be left waiting for it.
        const SlotUse use = slotUse(slots);
        for (const AttemptKey& waiting : slots.waiting) {
            const DispatchCall& other = this->open.at(waiting);
            RC_ASSERT(other.suspect || use.running[other.rank.value] >= slots.ranks[other.rank.value].reserved);
        }
    }

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
        // Work is conserved: with a free slot only a suspect may wait, and only for another suspect.
        for (const AttemptKey& waiting : slots.waiting)
            RC_ASSERT(this->open.at(waiting).suspect && slotUse(slots).suspects > 0);
    }

    void dispatch(std::uint32_t choice)
    {
        DispatchCall call = AgentHarness::call(++this->requests, choice % 3, (choice / 3) % 4 == 0 ? "small" : "large");
        call.key.entry = { (choice / 12) % 2 == 0 ? "entry-1" : "entry-2" };
        call.suspect = (choice / 24) % 6 == 0;
        call.timeout = { (choice / 144) % 6 == 0 ? 300 : 60000 };
        this->open.emplace(call.key, call);
        this->deliver(DispatchReceived { call });
    }

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
        const auto answer = this->agent.only<AnswerDispatch>();
        const bool notRun = answer.result.kind == DispatchResultKind::NotRun;
        RC_ASSERT(notRun == (result == UpstreamResult::Refused || result == UpstreamResult::ConnectFailed));
        this->check();
    }

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
    test::checkProperty("rules of slots", seed, 200, [=] {
        const auto steps = *randomSteps(300);
        SlotWorld world(engine, policy);
        for (const std::uint32_t step : steps)
            world.step(step);
        world.drain();
    });
}

} // namespace

// Guards against a queue past its bound, idle slots while work waits, floors that are passed over, two suspects on one
// replica, and dispatches that are answered twice, never, or as not-run after they ran.
TEST_CASE("Slots hold their rules under random events")
{
    checkSlots(11, false, SlotPolicy::Floors);
    checkSlots(12, true, SlotPolicy::Floors);
    checkSlots(13, false, SlotPolicy::Fifo);
}
