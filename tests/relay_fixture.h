#pragma once

#include "relay_place_func.h"
#include "relay_reduce_func.h"

#include <memory>
#include <string>
#include <vector>

namespace hickory {

/// A relay with one engine service and one plain service. Delivers events to its reducer, one at a time.
struct RelayFixture {
    RelayState state; ///< state of the relay under test
    Milliseconds now { 100000 }; ///< time of the next event
    std::uint64_t lastCall { 0 }; ///< CallId of the last request, 0 before the first

    explicit RelayFixture(RelayOptions options = {})
        : state(makeRelayState(options))
    {
        this->updateConfig(1);
        this->confirmConfig();
    }

    /// @return a configuration with the routes /calls/, /letters/ and /digests/ (resumable streams of the engine
    /// service with ranks 0, 1 and 2), /read/ (idempotent, plain service) and /book/ (not idempotent, plain service)
    static std::shared_ptr<RelayConfig> config(std::uint64_t version)
    {
        auto made = std::make_shared<RelayConfig>();
        made->version = { version };
        const auto route = [&](const char* prefix, CallKind kind, std::uint8_t rank, const char* service) {
            made->routes.push_back({ .name = prefix,
                .host = "desk.example",
                .prefix = prefix,
                .kind = kind,
                .timeout = { 6000 },
                .objective = { rank == 0 ? 250
                        : rank == 1      ? 400
                                         : 800 },
                .rank = rank,
                .shares = { { .service = { service } } },
                .maxAttempts = 2,
                .resumable = kind == CallKind::Stream });
        };
        route("/calls/", CallKind::Stream, 0, "engine");
        route("/letters/", CallKind::Stream, 1, "engine");
        route("/digests/", CallKind::Stream, 2, "engine");
        route("/read/", CallKind::Idempotent, 2, "plain");
        route("/book/", CallKind::NonIdempotent, 2, "plain");
        EngineProfile engine { .slots = 4,
            .kvCacheTokens = 1000000,
            .stepMs = 6.73,
            .stepPerRequestMs = 0.02,
            .prefillTokensPerMs = 30.6,
            .stride = 6,
            .meanPromptTokens = 960,
            .meanOutputTokens = 120,
            .models = { { "model" } } };
        made->services[{ "engine" }] = { .name = { "engine" }, .engine = engine, .statusPath = "/status" };
        made->services[{ "plain" }] = { .name = { "plain" } };
        made->needsKeys = true;
        made->workspaces.push_back({ .name = { "desk" } });
        made->keys["key"] = 0;
        return made;
    }

    /// Applies an event at the time `now`.
    std::vector<RelayEffect> event(const RelayEvent& event) { return reduceRelay(this->state, event, this->now); }

    /// Delivers a report of an engine.
    std::vector<RelayEffect> report(const EngineReported& reported)
    {
        return this->event(EngineReportsReceived { .reports = { reported } });
    }

    /// Delivers the configuration config() with the given version.
    void updateConfig(std::uint64_t version) { this->event(ConfigUpdated { .config = config(version) }); }
    /// Confirms that the configuration is current.
    void confirmConfig() { this->event(ConfigConfirmed { .asOf = this->now }); }

    /// @param weights version that an engine holds; ignored for the plain service
    /// @return an upstream with 4 slots in data centre "a"
    static UpstreamEntry upstream(const std::string& id, const std::string& service, std::uint64_t weights = 1)
    {
        UpstreamEntry entry {
            .id = { id }, .service = { service }, .address = id + ":1", .dataCentre = { "a" }, .slots = 4
        };
        if (service == "engine")
            entry.models.push_back({ .model = { "model" }, .version = { weights } });
        return entry;
    }

    /// Replaces the list of upstreams.
    std::vector<RelayEffect> list(std::vector<UpstreamEntry> entries)
    {
        return this->event(UpstreamsUpdated { std::move(entries) });
    }

    /// Receives a caller's request for a path below a route's prefix.
    std::vector<RelayEffect> request(const std::string& prefix, const std::string& key = "key")
    {
        RequestMetadata metadata { .attemptId = "attempt-" + std::to_string(++this->lastCall),
            .host = "desk.example",
            .target = prefix + "x",
            .key = key,
            .timeout = { 6000 } };
        if (prefix != "/read/" && prefix != "/book/") {
            metadata.model = { "model" };
            metadata.promptTokens = 900;
        }
        return this->event(CallArrived { .call = { this->lastCall }, .firstByteAt = this->now, .metadata = metadata });
    }

    /// @return id of the last request()
    CallId lastCallId() const { return { this->lastCall }; }
};

/// @return the first effect of a kind, or nullptr
template <typename Effect> const Effect* findEffect(const std::vector<RelayEffect>& effects)
{
    for (const RelayEffect& effect : effects)
        if (const auto* found = std::get_if<Effect>(&effect))
            return found;
    return nullptr;
}

/// @return number of effects of a kind
template <typename Effect> std::size_t countEffects(const std::vector<RelayEffect>& effects)
{
    std::size_t count = 0;
    for (const RelayEffect& effect : effects)
        count += std::holds_alternative<Effect>(effect) ? 1 : 0;
    return count;
}

} // namespace hickory
