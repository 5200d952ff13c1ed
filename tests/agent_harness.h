#pragma once

#include "agent_reduce_func.h"
#include "call_row_func.h"
#include "slot_cmd.h"

#include <memory>
#include <rapidcheck.h>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hickory {

/// @param maxCount maximum length of a list
/// @return generator of lists of random numbers; a property test decodes each number into one step
inline rc::Gen<std::vector<std::uint32_t>> randomStepCodes(int maxCount)
{
    const auto number = rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>());
    return rc::gen::resize(maxCount, rc::gen::container<std::vector<std::uint32_t>>(number));
}

/// Sends events to an agent's reducer and keeps the effects.
struct AgentHarness {
    AgentState state;
    AgentEffects effects; ///< effects of the last event, or of all ticks of the last pass()
    Milliseconds now { 1000 }; ///< monotonic time of the next event

    /// Makes an agent of service "svc" with three ranks, whose floors are 0.5, 0.25 and 0.125 of the slots.
    /// @param engine the upstream is an engine without a placement instead of a plain service
    /// @param concurrency slots of the service
    explicit AgentHarness(bool engine = false, std::uint32_t concurrency = 8)
    {
        this->state.settings.process.host = { "host-1" };
        this->state.settings.engine = engine;
        this->state.settings.service = { engine ? "" : "svc" };
        this->state.incarnation = { 77 };
        Config config;
        config.ranks = { { .name = "urgent", .weight = 8, .floor = 0.5 },
            { .name = "normal", .weight = 3, .floor = 0.25 }, { .name = "bulk", .weight = 1, .floor = 0.125 } };
        config.workspaces = { { .name = { "large" } }, { .name = { "small" } } };
        config.services = { { .name = { "svc" }, .concurrency = concurrency } };
        this->state.config.config = std::make_shared<const Config>(config);
        applyConfigToSlots(this->state, this->effects);
    }

    /// Applies an event at the time `now`.
    const AgentEffects& send(AgentEventBody body)
    {
        return this->effects = reduce(this->state, { .now = this->now, .body = std::move(body) });
    }

    /// Advances the time and sends a tick every 50 ms; keeps the effects of all ticks.
    void pass(std::int64_t milliseconds)
    {
        AgentEffects collected;
        for (std::int64_t end = this->now.value + milliseconds; this->now.value < end;) {
            this->now.value = std::min(end, this->now.value + 50);
            for (const AgentEffect& effect : this->send(Tick {}))
                collected.push_back(effect);
        }
        this->effects = std::move(collected);
    }

    /// @return the kept effects of one type
    template <typename Effect> std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (const AgentEffect& effect : this->effects)
            if (const auto* match = std::get_if<Effect>(&effect))
                found.push_back(*match);
        return found;
    }

    /// @return the first kept effect of one type
    /// @throws std::out_of_range when there is none
    template <typename Effect> Effect firstEffect() const { return this->all<Effect>().at(0); }

    /// Reports that the plain upstream has answered a poll of its state and is ready.
    void reportReachable() { this->send(UpstreamStateReceived { .state = { .reachable = true, .ready = true } }); }

    /// @return a call of service "svc" with a timeout of 60 s, as entry "entry-1" dispatches it on its first attempt
    static DispatchCall call(std::uint64_t request, std::uint8_t rank = 0, std::string workspace = "small")
    {
        DispatchCall call;
        call.key = { .entry = { "entry-1" }, .request = { request }, .attempt = { 1 } };
        call.service = { "svc" };
        call.workspace = { std::move(workspace) };
        call.rank = { rank };
        call.requestDigest = { "body" };
        call.timeout = { 60000 };
        call.cost = { 10 };
        return call;
    }

    /// @param rowVersion version of the call's row that the entry has read, 0 for an absent row
    /// @return a call with the idempotency key "pay-1"
    static DispatchCall keyedCall(std::uint64_t request, std::uint64_t rowVersion = 0)
    {
        DispatchCall call = AgentHarness::call(request);
        call.idempotencyKey = "pay-1";
        call.rowVersion = { rowVersion };
        return call;
    }

    /// Ends the first attempt of a request at the upstream, with the recorded answer "paid".
    void end(std::uint64_t request, UpstreamResult result = UpstreamResult::Completed)
    {
        this->send(UpstreamEnded { .key = AgentHarness::call(request).key,
            .result = result,
            .status = 200,
            .parts = 1,
            .answer = "paid",
            .contentType = "text/plain" });
    }

    /// Delivers the answer to a store operation.
    void storeAnswer(const StoreToken& token, StoreStatus status, std::uint64_t version = 0, std::string value = {})
    {
        this->send(StoreAnswer { .token = token, .status = status, .version = { version }, .value = std::move(value) });
    }
};

} // namespace hickory
