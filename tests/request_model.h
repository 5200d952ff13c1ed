#pragma once

#include "call_row_func.h"
#include "request_fixture.h"

#include <algorithm>
#include <map>
#include <optional>
#include <stdexcept>

namespace hickory {

/// Models the agents, the store and the callers around one entry, driven by random steps. Throws std::runtime_error
/// when the entry violates an invariant.
struct RequestModel {
    /// An attempt that the entry dispatched to an agent.
    struct AgentAttempt {
        DispatchAttempt dispatch; ///< as the entry sent it
        std::uint32_t delivered { 0 }; ///< parts delivered to the caller before this attempt
        bool closedAtEntry { false }; ///< ended or cancelled for the entry; the agent may still start it
        bool ran { false }; ///< the agent has given it to its upstream
    };
    /// A caller and what it was told.
    struct Caller {
        bool atMostOnce { false }; ///< the call is non-repeatable
        bool disconnected { false };
        bool ran { false }; ///< an upstream was given its request
        int ends { 0 }; ///< ends of the answer: finished, refused or aborted
        std::uint32_t delivered { 0 }; ///< number of answer parts delivered to the caller
    };
    /// A call row in the store.
    struct Row {
        std::uint64_t version { 0 }; ///< 0 when the row is absent
        std::string value; ///< CallRow as encoded by encodeCallRow()
    };

    RequestFixture fixture; ///< the entry under test
    std::vector<AgentAttempt> agentAttempts; ///< attempts that an agent may still start or end
    std::map<RequestId, Caller> callers; ///< all requests sent so far
    std::map<std::string, Row> rows; ///< call rows in the store, by key
    std::map<std::string, int> runs; ///< how often each non-repeatable call ran, by row key
    std::vector<EntryEffect> storeOperations; ///< operations that the store has not answered
    std::vector<bool> connected; ///< by index of the agent

    /// Starts three agents with two slots each.
    /// @param seed seed of the entry's random generator
    explicit RequestModel(std::uint64_t seed)
        : fixture(3, seed)
        , connected(3, true)
    {
        this->fixture.state.settings.maxQueued = 40;
        for (WorkspaceConfig& workspace : this->fixture.config.workspaces)
            workspace.maxQueued = 20;
        for (AgentStatus& status : this->fixture.statuses)
            status.limit = 2;
        this->handleEffects(this->fixture.start());
    }

    /// @throws std::runtime_error when the condition does not hold
    static void require(bool condition, const char* what)
    {
        if (!condition)
            throw std::runtime_error(what);
    }

    /// Gives an event to the entry and checks the invariants.
    void run(EntryEventBody body)
    {
        this->handleEffects(this->fixture.run(std::move(body)));
        this->checkState();
    }

    /// @return the attempt that the entry has in flight for a request, or nullptr
    AgentAttempt* findOpenAttempt(RequestId request)
    {
        for (AgentAttempt& agentAttempt : this->agentAttempts)
            if (!agentAttempt.closedAtEntry && agentAttempt.dispatch.call.key.request == request)
                return &agentAttempt;
        return nullptr;
    }

    /// Updates the model by the effects of an event and checks each of them.
    void handleEffects(const EntryEffects& effects)
    {
        for (const EntryEffect& effect : effects) {
            if (const auto* dispatch = std::get_if<DispatchAttempt>(&effect)) {
                require(!this->findOpenAttempt(dispatch->call.key.request), "a request has two attempts in flight");
                this->agentAttempts.push_back({ .dispatch = *dispatch, .delivered = dispatch->call.resumeFrom });
            } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
                if (AgentAttempt* agentAttempt = this->findOpenAttempt(cancel->request))
                    agentAttempt->closedAtEntry = true;
            } else if (const auto* finish = std::get_if<FinishRequest>(&effect)) {
                ++this->callers[finish->request].ends;
            } else if (const auto* broken = std::get_if<AbortRequest>(&effect)) {
                ++this->callers[broken->request].ends;
                require(this->callers[broken->request].delivered > 0, "aborted before a part was delivered");
            } else if (const auto* refuse = std::get_if<FailRequest>(&effect)) {
                this->checkRefusal(*refuse);
            } else if (const auto* read = std::get_if<StoreRead>(&effect)) {
                if (read->token.purpose == StorePurpose::CallRow)
                    this->storeOperations.push_back(effect);
            } else if (const auto* write = std::get_if<StoreWrite>(&effect)) {
                if (write->token.purpose == StorePurpose::CallRow)
                    this->storeOperations.push_back(effect);
            }
        }
    }

    /// Checks that a refusal is the first end, follows no delivered part and does not claim `not-run` for a call that
    /// ran.
    void checkRefusal(const FailRequest& refuse)
    {
        Caller& caller = this->callers[refuse.request];
        ++caller.ends;
        require(caller.delivered == 0, "refused after a part was delivered");
        if (refuse.outcome == Outcome::NotRun && refuse.reason != "key-conflict")
            require(!caller.ran, "not-run was reported for a request that ran");
    }

    /// Checks the invariants of the entry's state.
    void checkState()
    {
        const RequestState& state = this->fixture.state.requests;
        std::size_t queued = 0;
        std::size_t undispatched = 0;
        std::size_t inFlight = 0;
        for (const auto& [id, request] : state.requests) {
            queued += request.phase == RequestPhase::Queued ? 1 : 0;
            undispatched += request.phase == RequestPhase::Queued && request.attempt.value == 0 ? 1 : 0;
            inFlight += request.phase == RequestPhase::InFlight ? 1 : 0;
        }
        require(queued == state.queued, "the count of waiting requests does not match the requests");
        require(
            undispatched <= this->fixture.state.settings.maxQueued, "more undispatched requests wait than maxQueued");
        std::size_t held = 0;
        for (const auto& [service, pool] : state.pools) {
            for (const FairQueue& queue : pool.queues)
                held += queue.queued;
            held += pool.constrained.size();
        }
        require(held == queued, "a waiting request is in no queue or in two");
        std::size_t counted = 0;
        for (const UpstreamView& view : state.views.views)
            counted += view.requests.size();
        for (const UpstreamView& view : state.views.views)
            require(view.suspects <= 1, "two suspects are in flight at one upstream");
        require(counted == inFlight, "a request in flight is counted at no upstream or at two");
        require(state.timers.size() == state.requests.size(), "a request has no timer");
        for (const auto& [id, caller] : this->callers)
            require(caller.ends <= 1, "a request ended twice");
    }

    /// Checks that no request waits while all candidates have room for it.
    void checkNoUnusedRoom()
    {
        const RequestState& state = this->fixture.state.requests;
        for (const auto& [service, pool] : state.pools)
            for (std::size_t rank = 0; rank < pool.queues.size(); ++rank)
                for (const auto& room : pool.upstreams.withRoom[rank])
                    for (const auto& tier : room)
                        require(
                            pool.queues[rank].queued == 0 || tier.empty() || pool.upstreams.candidates > tier.size(),
                            "a request waits although every upstream has room");
    }

    /// Sends a request; every third one is non-repeatable and uses one of four keys.
    void arrive(std::uint32_t choice)
    {
        static const char* const ranks[] = { "urgent", "normal", "bulk" };
        RequestArrived call = this->fixture.call(ranks[choice % 3], "w" + std::to_string(choice / 3 % 4));
        Caller caller;
        if (choice / 12 % 3 == 0) {
            call.path = "/repayments";
            call.idempotencyKey = "k" + std::to_string(choice / 36 % 4);
            call.requestDigest = { "body-" + call.idempotencyKey };
            caller.atMostOnce = true;
        }
        this->callers[call.request] = caller;
        this->run(std::move(call));
    }

    /// Lets an agent start an attempt, possibly long after the entry has abandoned it. A non-repeatable call starts
    /// only if its row has the version that was dispatched.
    /// @return false when the row forbids the start
    bool startCall(AgentAttempt& agentAttempt)
    {
        const DispatchCall& call = agentAttempt.dispatch.call;
        if (agentAttempt.ran)
            return true;
        if (!call.idempotencyKey.empty()) {
            const std::string key = callRowKey(call.service, call.workspace, call.idempotencyKey);
            Row& row = this->rows[key];
            if (row.version != call.rowVersion.value)
                return false;
            row = { .version = row.version + 1,
                .value = encodeCallRow({ .state = CallRowState::Started,
                    .attempt = call.key,
                    .incarnation = { 1 },
                    .requestDigest = call.requestDigest }) };
            require(++this->runs[key] == 1, "a non-repeatable call ran twice");
        }
        agentAttempt.ran = true;
        this->callers[call.key.request].ran = true;
        return true;
    }

    /// @return how an agent answers a call that its row forbids to start
    DispatchResultKind recordedResult(const DispatchCall& call)
    {
        const Row& row = this->rows[callRowKey(call.service, call.workspace, call.idempotencyKey)];
        const Result<CallRow> decoded = decodeCallRow(row.value);
        if (!decoded || decoded.value().state == CallRowState::Cancelled)
            return DispatchResultKind::NotRun;
        return decoded.value().state == CallRowState::Done ? DispatchResultKind::RecordedDone
                                                           : DispatchResultKind::RecordedUnknown;
    }

    /// Records in its row that a non-repeatable call has completed.
    void recordDone(const DispatchCall& call)
    {
        Row& row = this->rows[callRowKey(call.service, call.workspace, call.idempotencyKey)];
        row = { .version = row.version + 1,
            .value = encodeCallRow({ .state = CallRowState::Done,
                .attempt = call.key,
                .incarnation = { 1 },
                .requestDigest = call.requestDigest,
                .status = 200 }) };
    }

    /// Lets an agent start or end one of its attempts, or keep it running.
    void advanceAgent(std::uint32_t choice)
    {
        if (this->agentAttempts.empty())
            return;
        const std::size_t index = choice / 8 % this->agentAttempts.size();
        AgentAttempt agentAttempt = this->agentAttempts[index];
        const DispatchCall& call = agentAttempt.dispatch.call;
        const bool begun = choice % 8 != 7 && this->startCall(agentAttempt);
        this->agentAttempts[index] = agentAttempt;
        if (choice % 8 == 6)
            return; // the attempt keeps running
        this->agentAttempts.erase(this->agentAttempts.begin() + static_cast<std::ptrdiff_t>(index));
        DispatchResultKind kind = DispatchResultKind::NotRun;
        if (agentAttempt.ran && !begun)
            kind = DispatchResultKind::Unknown;
        else if (!begun && !call.idempotencyKey.empty())
            kind = this->recordedResult(call);
        else if (begun)
            kind = std::array { DispatchResultKind::Completed, DispatchResultKind::Completed,
                DispatchResultKind::Failed, DispatchResultKind::Unknown, DispatchResultKind::Crashed,
                DispatchResultKind::Preempted }[choice % 8 % 6];
        if (kind == DispatchResultKind::Completed && !call.idempotencyKey.empty())
            this->recordDone(call);
        if (agentAttempt.closedAtEntry)
            return;
        Caller& caller = this->callers[call.key.request];
        if (kind != DispatchResultKind::NotRun && choice / 64 % 2 == 0 && call.idempotencyKey.empty()) {
            caller.delivered += 2;
            this->run(FirstPart { call.key.request, call.key.attempt, agentAttempt.dispatch.host });
        }
        this->run(this->fixture.ended(agentAttempt.dispatch, kind, caller.delivered));
    }

    /// Answers the oldest store operation. One answer in four is lost, with or without the write having taken effect.
    void answerStore(std::uint32_t choice)
    {
        if (this->storeOperations.empty())
            return;
        const EntryEffect effect = this->storeOperations.front();
        this->storeOperations.erase(this->storeOperations.begin());
        StoreAnswer answer;
        const bool lost = choice % 4 == 3;
        if (const auto* read = std::get_if<StoreRead>(&effect)) {
            const Row& row = this->rows[read->key];
            answer = { .token = read->token,
                .status = row.version == 0 ? StoreStatus::Absent : StoreStatus::Ok,
                .version = { row.version },
                .value = row.value };
        } else if (const auto* write = std::get_if<StoreWrite>(&effect)) {
            Row& row = this->rows[write->key];
            const bool applies = row.version == write->ifVersion.value && !(lost && choice % 8 == 7);
            if (applies)
                row = { .version = row.version + 1, .value = write->value };
            answer = { .token = write->token,
                .status = applies ? StoreStatus::Ok : StoreStatus::Conflict,
                .version = { row.version },
                .value = row.value };
        }
        if (lost)
            answer = { .token = answer.token, .status = StoreStatus::Unavailable };
        this->run(answer);
    }

    /// Loses the connection to an agent, or restores it with a new incarnation.
    void toggleAgent(std::uint32_t choice)
    {
        const std::size_t agent = choice % this->connected.size();
        AgentStatus& status = this->fixture.statuses[agent];
        this->connected[agent] = !this->connected[agent];
        if (this->connected[agent]) {
            ++status.incarnation.value;
            this->run(AgentConnected { .host = status.host, .status = status });
            return;
        }
        this->run(AgentDisconnected { .host = status.host, .reason = "lost" });
        for (std::size_t index = 0; index < this->agentAttempts.size(); ++index) {
            AgentAttempt& agentAttempt = this->agentAttempts[index];
            if (agentAttempt.closedAtEntry || agentAttempt.dispatch.host != status.host)
                continue;
            agentAttempt.closedAtEntry = true;
            const std::uint32_t delivered = this->callers[agentAttempt.dispatch.call.key.request].delivered;
            this->run(this->fixture.ended(agentAttempt.dispatch, DispatchResultKind::Unknown, delivered));
        }
    }

    /// Disconnects the caller of a request in progress.
    void disconnectCaller(std::uint32_t choice)
    {
        const RequestState& state = this->fixture.state.requests;
        if (state.requests.empty())
            return;
        const RequestId id = std::next(state.requests.begin(), choice % state.requests.size())->first;
        this->callers[id].disconnected = true;
        this->run(CallerDisconnected { .request = id });
    }

    /// Decodes a random number into one step and checks the invariants after it.
    void runStep(std::uint32_t code)
    {
        const std::uint32_t choice = code / 16;
        const std::uint32_t kind = code % 16;
        if (kind < 6)
            this->arrive(choice);
        else if (kind < 10)
            this->advanceAgent(choice);
        else if (kind < 12)
            this->answerStore(choice);
        else if (kind == 12)
            this->toggleAgent(choice);
        else if (kind == 13)
            this->disconnectCaller(choice);
        else
            this->handleEffects(this->fixture.advance({ choice % 8 * 50 }));
        this->checkState();
        this->checkNoUnusedRoom();
    }

    /// Reconnects all agents, lets all requests end and checks that each caller was answered exactly once.
    void drain()
    {
        for (std::uint32_t agent = 0; agent < this->connected.size(); ++agent)
            if (!this->connected[agent])
                this->toggleAgent(agent);
        for (int round = 0; round < 2000 && requestsInProgress(this->fixture.state) > 0; ++round) {
            if (!this->agentAttempts.empty())
                this->advanceAgent(0);
            this->answerStore(0);
            this->handleEffects(this->fixture.advance({ 50 }));
        }
        require(requestsInProgress(this->fixture.state) == 0, "a request did not end");
        for (const auto& [id, caller] : this->callers)
            require(caller.disconnected || caller.ends == 1, "an admitted request did not end exactly once");
        for (const UpstreamView& view : this->fixture.state.requests.views.views)
            require(view.ownTotal == 0 && view.suspects == 0, "an upstream still counts an attempt");
    }
};

} // namespace hickory
