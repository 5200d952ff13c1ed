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
    std::size_t agent; ///< index of the agent that sent it
    Incarnation incarnation; ///< incarnation of that agent
    std::optional<StoreWrite> write; ///< empty for a read
    StoreToken token; ///< repeated in the answer to the sender
    bool answered { false }; ///< the sender was answered; the write may still reach the store
};

/// Models three agents, one call row and entries that dispatch calls with one key. Store operations are applied and
/// answered in any order, late or never; an operation that was answered as unavailable may still be applied. Agents
/// pause and are replaced.
struct CallRowModel {
    std::vector<AgentHarness> agents; ///< current agent of each host
    std::uint64_t version { 0 }; ///< version of the row, 0 when it is absent
    std::string value; ///< content of the row
    std::vector<std::uint64_t> claimableVersions { 0 }; ///< versions at which the row permits a new attempt
    std::vector<PendingOperation> pending; ///< operations that were not applied yet
    std::vector<std::pair<std::size_t, DispatchCall>> sent; ///< dispatches made so far, with the index of their agent
    std::set<std::pair<Incarnation, AttemptKey>> received; ///< attempts that each agent process has received
    std::set<AttemptKey> unanswered; ///< attempts that a current agent has to answer
    std::set<AttemptKey> notRun; ///< attempts that were reported as not-run
    std::map<AttemptKey, std::size_t> running; ///< attempts that an upstream is running, with the index of their agent
    std::uint64_t runs { 0 }; ///< how often the call has run
    std::uint64_t incarnations { 100 }; ///< incarnation of the agent started last; each new agent gets the next number
    bool agentReplaced { false }; ///< at least one agent was replaced

    CallRowModel()
    {
        for (std::size_t index = 0; index < 3; ++index) {
            this->agents.emplace_back();
            this->agents.back().state.incarnation = { ++this->incarnations };
            this->agents.back().reportReachable();
        }
    }

    /// Gives an event to an agent, checks its effects and collects its store operations.
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

    /// Checks that an answer is awaited, does not precede the end of the run and agrees with the row.
    void checkAnswer(const AnswerDispatch& answer)
    {
        RC_ASSERT(this->unanswered.erase(answer.key) == 1U);
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

    /// Applies a compare-and-set to the row.
    /// @return false on a version conflict
    bool apply(std::uint64_t ifVersion, const std::string& content)
    {
        if (ifVersion != this->version)
            return false;
        ++this->version;
        this->value = content;
        if (decodeCallRow(content).value().state == CallRowState::Cancelled)
            this->claimableVersions.push_back(this->version);
        return true;
    }

    /// Applies an operation if it reaches the store and answers its sender: with the result, or as unavailable when the
    /// answer is lost.
    void answerOperation(PendingOperation operation, bool reachesStore, bool answerArrives)
    {
        StoreAnswer answer { .token = operation.token };
        if (reachesStore) {
            const bool written
                = operation.write && this->apply(operation.write->ifVersion.value, operation.write->value);
            answer.version = { this->version };
            answer.value = written ? std::string {} : this->value;
            answer.status = written || (!operation.write && this->version > 0) ? StoreStatus::Ok
                : operation.write                                              ? StoreStatus::Conflict
                                                                               : StoreStatus::Absent;
        }
        const bool senderReplaced = this->agents[operation.agent].state.incarnation != operation.incarnation;
        if (operation.answered || senderReplaced)
            return;
        if (!answerArrives)
            answer = { .token = operation.token };
        this->deliver(operation.agent, answer);
    }

    /// Lets a random operation succeed, get lost or lose its answer.
    void completeOperation(std::uint32_t choice)
    {
        if (this->pending.empty())
            return;
        const auto position = this->pending.begin() + choice % this->pending.size();
        const std::uint32_t fate = (choice / 64) % 8;
        if (fate == 0) {
            // The answer is lost now; the operation reaches the store later or never.
            if (std::exchange(position->answered, true))
                return;
            const StoreToken token = position->token;
            if (this->agents[position->agent].state.incarnation == position->incarnation)
                this->deliver(position->agent, StoreAnswer { .token = token });
            return;
        }
        PendingOperation operation = std::move(*position);
        this->pending.erase(position);
        if (fate == 1)
            return; // neither the operation nor an answer arrives
        this->answerOperation(std::move(operation), fate != 2, fate != 3);
    }

    /// Dispatches a new attempt with a row version at which a new attempt was permitted.
    void dispatch(std::uint32_t choice)
    {
        DispatchCall call = AgentHarness::keyedCall(this->sent.size() + 1);
        call.rowVersion = { this->claimableVersions[(choice / 4) % this->claimableVersions.size()] };
        call.timeout = { choice % 2 == 0 ? 4000 : 60000 };
        const std::size_t index = (choice / 16) % this->agents.size();
        this->sent.emplace_back(index, call);
        this->received.emplace(this->agents[index].state.incarnation, call.key);
        this->unanswered.insert(call.key);
        this->deliver(index, DispatchReceived { call });
    }

    /// Delivers an earlier dispatch once more.
    void duplicate(std::uint32_t choice)
    {
        if (this->sent.empty())
            return;
        const auto [index, call] = this->sent[choice % this->sent.size()];
        // A dispatch belongs to its connection, so no duplicate reaches a later process of the agent.
        if (!this->received.contains({ this->agents[index].state.incarnation, call.key }))
            return;
        this->unanswered.insert(call.key);
        this->deliver(index, DispatchReceived { call });
    }

    /// An entry that got no answer cancels the row, provided that it has the version that was dispatched.
    void cancelByEntry(std::uint32_t choice)
    {
        if (this->sent.empty())
            return;
        const auto [index, call] = this->sent[choice % this->sent.size()];
        CallRow row { .state = CallRowState::Cancelled, .attempt = call.key, .requestDigest = call.requestDigest };
        if (this->apply(call.rowVersion.value, encodeCallRow(row)))
            this->notRun.insert(call.key);
    }

    /// Ends a running attempt at its upstream.
    void end(std::uint32_t choice)
    {
        if (this->running.empty())
            return;
        const auto position = this->running.begin();
        const std::vector results { UpstreamResult::Completed, UpstreamResult::Failed, UpstreamResult::Refused,
            UpstreamResult::ConnectFailed, UpstreamResult::Crashed, UpstreamResult::TimedOut };
        const UpstreamResult result = results[choice % results.size()];
        if (result == UpstreamResult::Refused || result == UpstreamResult::ConnectFailed)
            --this->runs;
        const std::size_t index = position->second;
        const AttemptKey key = position->first;
        this->running.erase(position);
        this->deliver(index, UpstreamEnded { .key = key, .result = result, .status = 200, .answer = "paid" });
        this->agents[index].reportReachable();
    }

    /// Advances the time of one agent with a tick every 50 ms.
    void advance(std::size_t index, std::int64_t milliseconds)
    {
        for (std::int64_t passed = 0; passed < milliseconds; passed += 50) {
            this->agents[index].now.value += 50;
            this->deliver(index, Tick {});
            this->deliver(index, UpstreamStateReceived { .state = { .reachable = true, .ready = true } });
        }
    }

    /// Replaces an agent by a new process; its running attempts are lost.
    void replace(std::size_t index)
    {
        this->agentReplaced = true;
        std::erase_if(this->running, [&](const auto& entry) { return entry.second == index; });
        for (const auto& [agent, call] : this->sent)
            if (agent == index)
                this->unanswered.erase(call.key);
        this->agents[index] = AgentHarness();
        this->agents[index].state.incarnation = { ++this->incarnations };
        this->agents[index].reportReachable();
    }

    /// Decodes a random number into one step.
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
            this->completeOperation(choice);
        else if (kind < 23)
            this->end(choice);
        else if (kind < 24)
            this->cancelByEntry(choice);
        else if (kind < 27)
            this->advance(index, 50 + (choice / 4) % 3000);
        else if (kind < 28)
            this->agents[index].now.value += 20000; // the process is paused
        else if (kind < 29 && !this->sent.empty())
            this->deliver(index, CancelReceived { this->sent[choice % this->sent.size()].second.key });
        else if (kind < 30)
            this->deliver(index, EntryDetached { { "entry-1" } });
        else if (kind < 31 && choice % 4 == 0)
            this->replace(index);
    }

    /// Answers all store operations and ends all running calls until the agents are idle, then checks the final state.
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
                this->advance(index, 100);
        }
        RC_ASSERT(this->unanswered.empty());
        RC_ASSERT(std::none_of(this->agents.begin(), this->agents.end(), busy));
        // A call that never ran must not stay `started`, because no later attempt could run it.
        if (this->runs == 0 && !this->agentReplaced && this->version > 0)
            RC_ASSERT(decodeCallRow(this->value).value().state == CallRowState::Cancelled);
    }
};

} // namespace

// Guards against a call that runs twice or after it was reported as not-run, and against rows and dispatches that are
// never completed, when store answers are lost or late, dispatches are duplicated and agents are paused or replaced.
TEST_CASE("A call with one idempotency key runs at most once under random sequences of events")
{
    test::checkProperty("at most one run", 21, 500, [] {
        const auto steps = *randomStepCodes(200);
        CallRowModel model;
        for (const std::uint32_t step : steps)
            model.step(step);
        model.settle();
    });
}
