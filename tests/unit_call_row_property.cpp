#include "agent_harness.h"
#include "call_row_cmd.h"
#include "fixed_seed.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>

using namespace hickory;

namespace {

/// A store operation that an agent sent.
struct PendingOperation {
    std::size_t agent; ///< who sent it
    Incarnation incarnation; ///< life of the sender
    std::optional<StoreWrite> write; ///< a read when empty
    StoreToken token; ///< of the operation
    bool answered { false }; ///< the sender has an answer; the write may still arrive
};

/// Three agents, one row and entries that dispatch calls of one key. Store operations are applied and answered in any
/// order, late, twice as unavailable, or never; agents pause and are replaced.
struct RowWorld {
    std::vector<AgentHarness> agents; ///< one on each host
    std::uint64_t version { 0 }; ///< of the row
    std::string value; ///< of the row
    std::vector<std::uint64_t> openVersions { 0 }; ///< versions at which the row permitted a new attempt
    std::vector<PendingOperation> pending; ///< operations on their way
    std::vector<std::pair<std::size_t, DispatchCall>> sent; ///< dispatches made so far, with their agents
    std::set<std::pair<Incarnation, AttemptKey>> received; ///< which life of an agent was given which attempt
    std::set<AttemptKey> open; ///< dispatched and not answered, at agents that live
    std::set<AttemptKey> notRun; ///< reported as not-run
    std::map<AttemptKey, std::size_t> running; ///< at an upstream, with the agent
    std::uint64_t runs { 0 }; ///< runs of the call
    std::uint64_t incarnations { 100 }; ///< lives of agents so far
    bool killed { false }; ///< an agent was replaced

    RowWorld()
    {
        for (std::size_t index = 0; index < 3; ++index) {
            this->agents.emplace_back();
            this->agents.back().state.incarnation = { ++this->incarnations };
            this->agents.back().reachable();
        }
    }

    void deliver(std::size_t index, AgentEventBody body)
    {
        AgentHarness& agent = this->agents[index];
        agent.send(std::move(body));
        for (const AgentEffect& effect : agent.effects) {
            if (const auto* write = std::get_if<StoreWrite>(&effect))
                this->pending.push_back(
                    { .agent = index, .incarnation = agent.state.incarnation, .write = *write, .token = write->token });
            if (const auto* read = std::get_if<StoreRead>(&effect))
                this->pending.push_back(
                    { .agent = index, .incarnation = agent.state.incarnation, .token = read->token });
            if (const auto* start = std::get_if<StartUpstream>(&effect)) {
                ++this->runs;
                RC_ASSERT(this->runs == 1U);
                RC_ASSERT(!this->notRun.contains(start->key));
                this->running.emplace(start->key, index);
            }
            if (const auto* answer = std::get_if<AnswerDispatch>(&effect))
                this->checkAnswer(*answer);
        }
    }

    void checkAnswer(const AnswerDispatch& answer)
    {
        RC_ASSERT(this->open.erase(answer.key) == 1U);
        if (answer.result.kind == DispatchResultKind::NotRun)
            this->notRun.insert(answer.key);
        RC_ASSERT(!this->running.contains(answer.key));
        if (answer.result.kind == DispatchResultKind::Completed) {
            const CallRow row = decodeCallRow(this->value).value();
            RC_ASSERT(row.state == CallRowState::Done && row.attempt == answer.key);
        }
        if (answer.result.kind == DispatchResultKind::RecordedDone)
            RC_ASSERT(answer.storedAnswer == "paid");
    }

    bool apply(std::uint64_t ifVersion, const std::string& content)
    {
        if (ifVersion != this->version)
            return false;
        ++this->version;
        this->value = content;
        if (decodeCallRow(content).value().state == CallRowState::Cancelled)
            this->openVersions.push_back(this->version);
        return true;
    }

    void answerOperation(PendingOperation operation, bool reachesStore, bool answerArrives)
    {
        StoreAnswer answer { .token = operation.token };
        if (reachesStore) {
            const bool took = operation.write && this->apply(operation.write->ifVersion.value, operation.write->value);
            answer.version = { this->version };
            answer.value = took ? std::string {} : this->value;
            answer.status = took || (!operation.write && this->version > 0) ? StoreStatus::Ok
                : operation.write                                           ? StoreStatus::Conflict
                                                                            : StoreStatus::Absent;
        }
        const bool gone = this->agents[operation.agent].state.incarnation != operation.incarnation;
        if (operation.answered || gone)
            return;
        if (!answerArrives)
            answer = { .token = operation.token };
        this->deliver(operation.agent, answer);
    }

    void operate(std::uint32_t choice)
    {
        if (this->pending.empty())
            return;
        const auto chosen = this->pending.begin() + choice % this->pending.size();
        const std::uint32_t fate = (choice / 64) % 8;
        if (fate == 0) {
            // The answer is lost now; the operation reaches the store later or never.
            if (std::exchange(chosen->answered, true))
                return;
            const StoreToken token = chosen->token;
            if (this->agents[chosen->agent].state.incarnation == chosen->incarnation)
                this->deliver(chosen->agent, StoreAnswer { .token = token });
            return;
        }
        PendingOperation operation = std::move(*chosen);
        this->pending.erase(chosen);
        if (fate == 1)
            return; // neither the operation nor an answer arrives
        this->answerOperation(std::move(operation), fate != 2, fate != 3);
    }

    void dispatch(std::uint32_t choice)
    {
        DispatchCall call = AgentHarness::keyedCall(this->sent.size() + 1);
        call.rowVersion = { this->openVersions[(choice / 4) % this->openVersions.size()] };
        call.timeout = { choice % 2 == 0 ? 4000 : 60000 };
        const std::size_t index = (choice / 16) % this->agents.size();
        this->sent.emplace_back(index, call);
        this->received.emplace(this->agents[index].state.incarnation, call.key);
        this->open.insert(call.key);
        this->deliver(index, DispatchReceived { call });
    }

    void duplicate(std::uint32_t choice)
    {
        if (this->sent.empty())
            return;
        const auto [index, call] = this->sent[choice % this->sent.size()];
        // A dispatch ends with its connection, thus no duplicate reaches a later life of the agent.
        if (!this->received.contains({ this->agents[index].state.incarnation, call.key }))
            return;
        this->open.insert(call.key);
        this->deliver(index, DispatchReceived { call });
    }

    /// An entry without an answer moves the row from the version that it dispatched.
    void cancelByEntry(std::uint32_t choice)
    {
        if (this->sent.empty())
            return;
        const auto [index, call] = this->sent[choice % this->sent.size()];
        CallRow row { .state = CallRowState::Cancelled, .attempt = call.key, .bodyDigest = call.bodyDigest };
        if (this->apply(call.rowVersion.value, encodeCallRow(row)))
            this->notRun.insert(call.key);
    }

    void end(std::uint32_t choice)
    {
        if (this->running.empty())
            return;
        const auto chosen = this->running.begin();
        const std::vector results { UpstreamResult::Completed, UpstreamResult::Failed, UpstreamResult::Refused,
            UpstreamResult::ConnectFailed, UpstreamResult::Crashed, UpstreamResult::TimedOut };
        const UpstreamResult result = results[choice % results.size()];
        if (result == UpstreamResult::Refused || result == UpstreamResult::ConnectFailed)
            --this->runs;
        const std::size_t index = chosen->second;
        const AttemptKey key = chosen->first;
        this->running.erase(chosen);
        this->deliver(index, UpstreamEnded { .key = key, .result = result, .status = 200, .answer = "paid" });
        this->agents[index].reachable();
    }

    void pass(std::size_t index, std::int64_t milliseconds)
    {
        for (std::int64_t passed = 0; passed < milliseconds; passed += 50) {
            this->agents[index].now.value += 50;
            this->deliver(index, Tick {});
            this->deliver(index, UpstreamStateReceived { .state = { .reachable = true, .ready = true } });
        }
    }

    void replace(std::size_t index)
    {
        this->killed = true;
        std::erase_if(this->running, [&](const auto& entry) { return entry.second == index; });
        for (const auto& [agent, call] : this->sent)
            if (agent == index)
                this->open.erase(call.key);
        this->agents[index] = AgentHarness();
        this->agents[index].state.incarnation = { ++this->incarnations };
        this->agents[index].reachable();
    }

    void step(std::uint32_t value)
    {
        const std::uint32_t choice = value / 32;
        const std::size_t index = choice % this->agents.size();
        const std::uint32_t kind = value % 32;
        if (kind < 4)
            this->dispatch(choice);
        else if (kind < 6)
            this->duplicate(choice);
        else if (kind < 20)
            this->operate(choice);
        else if (kind < 23)
            this->end(choice);
        else if (kind < 24)
            this->cancelByEntry(choice);
        else if (kind < 27)
            this->pass(index, 50 + (choice / 4) % 3000);
        else if (kind < 28)
            this->agents[index].now.value += 20000; // the process is paused
        else if (kind < 29 && !this->sent.empty())
            this->deliver(index, CancelReceived { this->sent[choice % this->sent.size()].second.key });
        else if (kind < 30)
            this->deliver(index, EntryDetached { { "entry-1" } });
        else if (kind < 31 && choice % 4 == 0)
            this->replace(index);
    }

    /// The store answers again and all running calls end: everything settles.
    void settle()
    {
        const auto busy = [](const AgentHarness& agent) {
            return !agent.state.slots.dispatches.empty() || !agent.state.slots.releases.empty();
        };
        for (int round = 0; round < 400; ++round) {
            if (this->pending.empty() && std::none_of(this->agents.begin(), this->agents.end(), busy))
                break;
            while (!this->pending.empty()) {
                PendingOperation operation = std::move(this->pending.front());
                this->pending.erase(this->pending.begin());
                this->answerOperation(std::move(operation), true, true);
            }
            this->end(0);
            for (std::size_t index = 0; index < this->agents.size(); ++index)
                this->pass(index, 100);
        }
        RC_ASSERT(this->open.empty());
        RC_ASSERT(std::none_of(this->agents.begin(), this->agents.end(), busy));
        // A call that never ran must not be left as started: its caller could never run it.
        if (this->runs == 0 && !this->killed && this->version > 0)
            RC_ASSERT(decodeCallRow(this->value).value().state == CallRowState::Cancelled);
    }
};

} // namespace

// Guards against a call that runs twice or after it was reported as not-run, whatever happens to the store's answers,
// the dispatches and the agents; and against rows and dispatches that never settle.
TEST_CASE("A call of one key runs at most once under any order of events")
{
    test::checkProperty("at most one run", 21, 500, [] {
        const auto steps = *randomSteps(200);
        RowWorld world;
        for (const std::uint32_t step : steps)
            world.step(step);
        world.settle();
    });
}
