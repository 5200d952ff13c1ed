#pragma once

#include "entry_reduce_func.h"
#include "placement_cmd.h"
#include "request_cmd.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

/// Drives an entry's reducer, with a fleet of agents, one event at a time.
struct RequestFixture {
    EntryState state; ///< state of the entry under test
    Config config; ///< configuration that start() applies
    std::vector<AgentStatus> statuses; ///< first status of each agent
    Milliseconds now { 1000 }; ///< time of the next event
    std::uint64_t nextRequest { 1 }; ///< id of the next request

    /// Sets up one engine service "llm" with agents "r0", "r1", ... in data centre "a", three ranks and four
    /// workspaces. Nothing is connected before start().
    /// @param replicas number of agents of "llm"
    /// @param seed seed of the reducer's random generator
    explicit RequestFixture(std::size_t replicas, std::uint64_t seed = 1)
    {
        this->state.settings.process = { .host = { "e1" }, .dataCentre = { "a" }, .region = { "north" } };
        this->state.settings.subsetSize = 1000;
        this->state.settings.routePolicy = RoutePolicy::TwoChoices;
        this->state.random.seed(seed);
        this->config.ranks = { { .name = "urgent", .firstTokenTarget = { 400 }, .weight = 4, .floor = 0.5 },
            { .name = "normal", .firstTokenTarget = { 2000 }, .weight = 2, .floor = 0.25 },
            { .name = "bulk", .firstTokenTarget = { 10000 }, .weight = 1, .floor = 0.125 } };
        for (const char* name : { "w0", "w1", "w2", "w3" })
            this->config.workspaces.push_back({ .name = { name }, .weight = 1, .maxQueued = 256 });
        this->config.services = { { .name = { "llm" },
            .kind = ServiceKind::Engine,
            .nonRepeatable = { "/repayments" },
            .concurrency = 8,
            .model = ModelConfig { .name = { "m" }, .version = { "v1" } } } };
        for (std::size_t replica = 0; replica < replicas; ++replica)
            this->statuses.push_back(this->makeStatus("r" + std::to_string(replica), "llm"));
    }

    /// @return status of a ready agent in data centre "a" with 8 slots
    AgentStatus makeStatus(const std::string& host, const std::string& service) const
    {
        return { .host = { host },
            .dataCentre = { "a" },
            .incarnation = { std::hash<std::string> {}(host) },
            .sequence = 1,
            .service = { service },
            .ready = true,
            .version = { "v1" },
            .limit = 8,
            .ranks = std::vector<RankLoad>(3) };
    }

    /// Reduces one event at the current time.
    /// @return its effects
    EntryEffects run(EntryEventBody body) { return reduce(this->state, { .now = this->now, .body = std::move(body) }); }

    /// Applies the configuration and connects all agents.
    /// @return effects of all these events
    EntryEffects start()
    {
        EntryEffects effects;
        this->state.now = this->now;
        this->state.config.config = std::make_shared<const Config>(this->config);
        this->state.config.record.generation = { 1 };
        this->state.members.list.version = 1;
        for (const AgentStatus& status : this->statuses)
            this->state.members.list.members.push_back({ .host = status.host,
                .role = MemberRole::Upstream,
                .kind = this->config.findService(status.service)->kind,
                .service = status.service,
                .dataCentre = status.dataCentre,
                .region = { status.dataCentre.value == "c" ? "south" : "north" },
                .address = status.host.value + ":1" });
        std::sort(this->state.members.list.members.begin(), this->state.members.list.members.end(),
            [](const Member& left, const Member& right) { return left.host < right.host; });
        applyConfigToRequests(this->state, effects);
        applyConfigToPlacement(this->state, effects);
        for (const AgentStatus& status : this->statuses) {
            const EntryEffects more = this->run(AgentConnected { .host = status.host, .status = status });
            effects.insert(effects.end(), more.begin(), more.end());
        }
        return effects;
    }

    /// @return a repeatable request for "llm" with a new id
    RequestArrived call(const std::string& rank = "urgent", const std::string& workspace = "w0")
    {
        const RequestId id { this->nextRequest++ };
        return { .request = id,
            .service = { "llm" },
            .workspace = { workspace },
            .rank = rank,
            .path = "/v1/completions",
            .requestDigest = { "digest-" + std::to_string(id.value) },
            .cost = { 100 },
            .timeout = { 60000 } };
    }

    /// @return the end of a dispatched attempt
    AttemptEnded ended(const DispatchAttempt& dispatch, DispatchResultKind kind, std::uint32_t delivered = 0) const
    {
        return { .request = dispatch.call.key.request,
            .attempt = dispatch.call.key.attempt,
            .host = dispatch.host,
            .result = { .kind = kind },
            .delivered = delivered };
    }

    /// Advances time with a tick every 50 ms.
    /// @return effects of all ticks
    EntryEffects advance(Milliseconds span)
    {
        EntryEffects effects;
        const Milliseconds end = this->now + span;
        while (this->now < end) {
            this->now += Milliseconds { 50 };
            const EntryEffects more = this->run(Tick {});
            effects.insert(effects.end(), more.begin(), more.end());
        }
        return effects;
    }
};

/// @return all effects of one kind, in order
template <typename Kind> std::vector<Kind> all(const EntryEffects& effects)
{
    std::vector<Kind> found;
    for (const EntryEffect& effect : effects)
        if (const Kind* match = std::get_if<Kind>(&effect))
            found.push_back(*match);
    return found;
}

} // namespace hickory
