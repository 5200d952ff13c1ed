#pragma once

#include "call_row_func.h"
#include "request_fixture.h"

#include <algorithm>
#include <map>
#include <optional>
#include <stdexcept>

namespace hickory {

/// Agents, store and callers around one entry, driven by random commands. Throws when the entry breaks a promise.
struct RequestModel {
    struct Flight {
        DispatchAttempt dispatch; ///< as the entry sent it
        std::uint32_t delivered { 0 }; ///< parts that the caller has
        bool entryKnows { false }; ///< the entry knows how it ended or cancelled it; the agent may still act
        bool ran { false }; ///< the agent gave it to its upstream
    };
    struct Caller {
        bool atMostOnce { false }; ///< non-repeatable
        bool gone { false }; ///< hung up
        bool ran { false }; ///< an upstream was given the request
        int ends { 0 }; ///< answers to the caller
        std::uint32_t delivered { 0 }; ///< parts
    };
    struct Row {
        std::uint64_t version { 0 }; ///< 0 when absent
        std::string value; ///< JSON
    };

    RequestFixture fixture; ///< the entry
    std::vector<Flight> flights; ///< attempts that an agent may still act on
    std::map<RequestId, Caller> callers; ///< every request ever sent
    std::map<std::string, Row> rows; ///< the store
    std::map<std::string, int> runs; ///< times that a non-repeatable call ran, by row key
    std::vector<EntryEffect> storeCalls; ///< operations that the store has not answered
    std::vector<bool> connected; ///< by agent

    explicit RequestModel(std::uint64_t seed)
        : fixture(3, seed)
        , connected(3, true)
    {
        this->fixture.state.settings.maxQueued = 40;
        for (WorkspaceConfig& workspace : this->fixture.config.workspaces)
            workspace.maxQueued = 20;
        for (AgentStatus& status : this->fixture.statuses)
            status.limit = 2;
        this->take(this->fixture.start());
    }

    static void require(bool condition, const char* what)
    {
        if (!condition)
            throw std::runtime_error(what);
    }

    void run(EntryEventBody body)
    {
        this->take(this->fixture.run(std::move(body)));
        this->checkState();
    }

    Flight* live(RequestId request)
    {
        for (Flight& flight : this->flights)
            if (!flight.entryKnows && flight.dispatch.call.key.request == request)
                return &flight;
        return nullptr;
    }

    void take(const EntryEffects& effects)
    {
        for (const EntryEffect& effect : effects) {
            if (const auto* dispatch = std::get_if<DispatchAttempt>(&effect)) {
                require(!this->live(dispatch->call.key.request), "a request is in two places");
                this->flights.push_back({ .dispatch = *dispatch, .delivered = dispatch->call.resumeFrom });
            } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
                if (Flight* flight = this->live(cancel->request))
                    flight->entryKnows = true;
            } else if (const auto* finish = std::get_if<FinishRequest>(&effect)) {
                ++this->callers[finish->request].ends;
            } else if (const auto* broken = std::get_if<AbortRequest>(&effect)) {
                ++this->callers[broken->request].ends;
                require(this->callers[broken->request].delivered > 0, "broken before a part was delivered");
            } else if (const auto* refuse = std::get_if<RefuseRequest>(&effect)) {
                this->checkRefusal(*refuse);
            } else if (const auto* read = std::get_if<StoreRead>(&effect)) {
                if (read->token.purpose == StorePurpose::CallRow)
                    this->storeCalls.push_back(effect);
            } else if (const auto* write = std::get_if<StoreWrite>(&effect)) {
                if (write->token.purpose == StorePurpose::CallRow)
                    this->storeCalls.push_back(effect);
            }
        }
    }

    void checkRefusal(const RefuseRequest& refuse)
    {
        Caller& caller = this->callers[refuse.request];
        ++caller.ends;
        require(caller.delivered == 0, "refused after a part was delivered");
        if (refuse.outcome == Outcome::NotRun && refuse.reason != "key-conflict")
            require(!caller.ran, "not-run is false");
    }

    void checkState()
    {
        const RequestState& state = this->fixture.state.requests;
        std::size_t queued = 0;
        std::size_t fresh = 0;
        std::size_t inFlight = 0;
        for (const auto& [id, request] : state.requests) {
            queued += request.phase == RequestPhase::Queued ? 1 : 0;
            fresh += request.phase == RequestPhase::Queued && request.attempt.value == 0 ? 1 : 0;
            inFlight += request.phase == RequestPhase::InFlight ? 1 : 0;
        }
        require(queued == state.queued, "the count of waiting requests is wrong");
        require(fresh <= this->fixture.state.settings.maxQueued, "a queue grew past its bound");
        std::size_t held = 0;
        for (const auto& [service, pool] : state.pools) {
            for (const FairQueue& queue : pool.queues)
                held += queue.queued;
            held += pool.constrained.size();
        }
        require(held == queued, "a request is in no queue or in two");
        std::size_t own = 0;
        for (const UpstreamView& view : state.views.views)
            own += view.requests.size();
        for (const UpstreamView& view : state.views.views)
            require(view.suspects <= 1, "two suspects are on one upstream");
        require(own == inFlight, "a request in flight is counted at no upstream or at two");
        require(state.timers.size() == state.requests.size(), "a request has no timer");
        for (const auto& [id, caller] : this->callers)
            require(caller.ends <= 1, "a request ended twice");
    }

    /// No request waits while an upstream has room for it.
    void checkWorkConserved()
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

    void arrive(std::uint32_t choice)
    {
        static const char* const ranks[] = { "urgent", "normal", "bulk" };
        RequestArrived call = this->fixture.call(ranks[choice % 3], "w" + std::to_string(choice / 3 % 4));
        Caller caller;
        if (choice / 12 % 3 == 0) {
            call.path = "/repayments";
            call.idempotencyKey = "k" + std::to_string(choice / 36 % 4);
            call.bodyDigest = { "body-" + call.idempotencyKey };
            caller.atMostOnce = true;
        }
        this->callers[call.request] = caller;
        this->run(std::move(call));
    }

    /// An agent gives a dispatch to its upstream, now or long after the entry gave it up.
    bool start(Flight& flight)
    {
        const DispatchCall& call = flight.dispatch.call;
        if (flight.ran)
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
                    .bodyDigest = call.bodyDigest }) };
            require(++this->runs[key] == 1, "a non-repeatable call ran twice");
        }
        flight.ran = true;
        this->callers[call.key.request].ran = true;
        return true;
    }

    DispatchResultKind recordedKind(const DispatchCall& call)
    {
        const Row& row = this->rows[callRowKey(call.service, call.workspace, call.idempotencyKey)];
        const Result<CallRow> decoded = decodeCallRow(row.value);
        if (!decoded || decoded.value().state == CallRowState::Cancelled)
            return DispatchResultKind::NotRun;
        return decoded.value().state == CallRowState::Done ? DispatchResultKind::RecordedDone
                                                           : DispatchResultKind::RecordedUnknown;
    }

    void recordDone(const DispatchCall& call)
    {
        Row& row = this->rows[callRowKey(call.service, call.workspace, call.idempotencyKey)];
        row = { .version = row.version + 1,
            .value = encodeCallRow({ .state = CallRowState::Done,
                .attempt = call.key,
                .incarnation = { 1 },
                .bodyDigest = call.bodyDigest,
                .status = 200 }) };
    }

    /// Lets an agent act on an attempt.
    void act(std::uint32_t choice)
    {
        if (this->flights.empty())
            return;
        const std::size_t index = choice / 8 % this->flights.size();
        Flight flight = this->flights[index];
        const DispatchCall& call = flight.dispatch.call;
        const bool begun = choice % 8 != 7 && this->start(flight);
        this->flights[index] = flight;
        if (choice % 8 == 6)
            return; // it goes on running
        this->flights.erase(this->flights.begin() + static_cast<std::ptrdiff_t>(index));
        DispatchResultKind kind = DispatchResultKind::NotRun;
        if (flight.ran && !begun)
            kind = DispatchResultKind::Unknown;
        else if (!begun && !call.idempotencyKey.empty())
            kind = this->recordedKind(call);
        else if (begun)
            kind = std::array { DispatchResultKind::Completed, DispatchResultKind::Completed,
                DispatchResultKind::Failed, DispatchResultKind::Unknown, DispatchResultKind::Crashed,
                DispatchResultKind::Preempted }[choice % 8 % 6];
        if (kind == DispatchResultKind::Completed && !call.idempotencyKey.empty())
            this->recordDone(call);
        if (flight.entryKnows)
            return;
        Caller& caller = this->callers[call.key.request];
        if (kind != DispatchResultKind::NotRun && choice / 64 % 2 == 0 && call.idempotencyKey.empty()) {
            caller.delivered += 2;
            this->run(FirstPart { call.key.request, call.key.attempt, flight.dispatch.host });
        }
        this->run(this->fixture.ended(flight.dispatch, kind, caller.delivered));
    }

    void answerStore(std::uint32_t choice)
    {
        if (this->storeCalls.empty())
            return;
        const EntryEffect effect = this->storeCalls.front();
        this->storeCalls.erase(this->storeCalls.begin());
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

    /// The connection to an agent breaks or comes back.
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
        for (std::size_t index = 0; index < this->flights.size(); ++index) {
            Flight& flight = this->flights[index];
            if (flight.entryKnows || flight.dispatch.host != status.host)
                continue;
            flight.entryKnows = true;
            const std::uint32_t delivered = this->callers[flight.dispatch.call.key.request].delivered;
            this->run(this->fixture.ended(flight.dispatch, DispatchResultKind::Unknown, delivered));
        }
    }

    void hangUp(std::uint32_t choice)
    {
        const RequestState& state = this->fixture.state.requests;
        if (state.requests.empty())
            return;
        const RequestId id = std::next(state.requests.begin(), choice % state.requests.size())->first;
        this->callers[id].gone = true;
        this->run(CallerDisconnected { .request = id });
    }

    void command(std::uint32_t code)
    {
        const std::uint32_t choice = code / 16;
        const std::uint32_t kind = code % 16;
        if (kind < 6)
            this->arrive(choice);
        else if (kind < 10)
            this->act(choice);
        else if (kind < 12)
            this->answerStore(choice);
        else if (kind == 12)
            this->toggleAgent(choice);
        else if (kind == 13)
            this->hangUp(choice);
        else
            this->take(this->fixture.advance({ choice % 8 * 50 }));
        this->checkState();
        this->checkWorkConserved();
    }

    /// Lets everything come to its end and checks that every request did.
    void drain()
    {
        for (std::uint32_t agent = 0; agent < this->connected.size(); ++agent)
            if (!this->connected[agent])
                this->toggleAgent(agent);
        for (int round = 0; round < 2000 && requestsInProgress(this->fixture.state) > 0; ++round) {
            if (!this->flights.empty())
                this->act(0);
            this->answerStore(0);
            this->take(this->fixture.advance({ 50 }));
        }
        require(requestsInProgress(this->fixture.state) == 0, "a request never ended");
        for (const auto& [id, caller] : this->callers)
            require(caller.gone || caller.ends == 1, "an admitted request did not end exactly once");
        for (const UpstreamView& view : this->fixture.state.requests.views.views)
            require(view.ownTotal == 0 && view.suspects == 0, "an upstream still counts an attempt");
    }
};

} // namespace hickory
