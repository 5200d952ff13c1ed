#pragma once

#include "engine_model.h"
#include "relay_fixture.h"

#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hickory {

/// What a replay of entries, engines and their reports varies.
struct PlacementScenario {
    std::array<std::size_t, 3> entries { 15, 13, 13 }; ///< entries of each data centre
    std::array<std::size_t, 3> engines { 15, 15, 15 }; ///< engines of each data centre
    double streamsPerSecond { 517 }; ///< of all entries together
    std::array<double, 3> share { 1, 1, 1 }; ///< of arrivals in each data centre, relative to its number of entries
    double slowShare { 0.15 }; ///< share of periods in which an engine is slow
    double slowdown { 2.5 }; ///< duration of its work then
    bool statesSlowdown { true }; ///< engines state the slowdown in answers and to their agents
    Milliseconds newsAge { 200 }; ///< mean age of loads and reports; they are between half and one and a half as old
    Milliseconds length { 12000 }; ///< how long requests arrive
    std::uint64_t seed { 1 }; ///< of arrivals, prompts and slow periods
};

/// Result of a replay.
struct PlacementResult {
    std::size_t streams { 0 }; ///< arrivals after the first second, in which the fleet fills
    std::size_t late { 0 }; ///< those whose first event came after the objective, or never
    std::size_t elsewhere { 0 }; ///< sends to another data centre
    std::size_t refused { 0 }; ///< streams that no engine ran
    std::vector<double> firstEvents; ///< ms from arrival to the first event, in ascending order
    std::map<std::uint32_t, std::pair<std::size_t, std::size_t>> byLoad; ///< late and all, by known load at the send
    std::size_t lateAtSlow { 0 }; ///< late streams that were sent to an engine while it was slow
    std::size_t lateQueued { 0 }; ///< late streams that waited 5 ms or longer in the entry
    std::size_t sentToSlow { 0 }; ///< streams that were sent to an engine while it was slow

    double lateShare() const { return static_cast<double>(this->late) / static_cast<double>(this->streams); }
    double elsewhereShare() const { return static_cast<double>(this->elsewhere) / static_cast<double>(this->streams); }
    double median() const { return this->firstEvents.at(this->firstEvents.size() / 2); }
};

/// Replays the second deployment without a network: every entry is a real reducer, and learns of the requests of others
/// from reports that are some hundred milliseconds old.
class PlacementSimulation {
public:
    explicit PlacementSimulation(const PlacementScenario& scenario)
        : scenario(scenario)
        , random(scenario.seed)
    {
        auto config = RelayFixture::config(1);
        EngineProfile& profile = *config->services[{ "engine" }].engine;
        profile = { .slots = 12,
            .kvCacheTokens = 1180000,
            .stepMs = 8.87,
            .stepPerRequestMs = 0.0388,
            .prefillTokensPerMs = 19.1,
            .stride = 5,
            .meanPromptTokens = 974,
            .meanOutputTokens = 110,
            .models = { { "model" } } };
        for (RelayRoute& route : config->routes)
            route.objective = objective;
        std::vector<UpstreamEntry> listed;
        for (std::size_t place = 0; place < scenario.engines.size(); ++place)
            for (std::size_t number = 0; number < scenario.engines.at(place); ++number) {
                UpstreamEntry entry = RelayFixture::upstream("engine-" + std::to_string(listed.size()), "engine");
                entry.slots = profile.slots;
                entry.address = std::to_string(listed.size());
                entry.dataCentre = dataCentre(place);
                entry.processStartedAt = 1;
                listed.push_back(entry);
                this->engines.push_back(
                    { .model = { .profile = profile, .prefillPerPass = 2048 }, .place = place, .slowUntil = {} });
            }
        const std::size_t count = scenario.entries[0] + scenario.entries[1] + scenario.entries[2];
        for (std::size_t place = 0; place < scenario.entries.size(); ++place)
            for (std::size_t number = 0; number < scenario.entries.at(place); ++number) {
                const std::size_t entry = this->entries.size();
                this->entries.push_back(
                    { .state = makeRelayState({ .dataCentre = dataCentre(place), .seed = scenario.seed * 100 + entry }),
                        .place = place });
                this->arrivalWeights.push_back(scenario.share.at(place));
                this->deliver(entry, ConfigUpdated { config });
                this->deliver(entry, UpstreamsUpdated { listed });
                this->deliver(entry,
                    EntryCountUpdated { .entryCount = static_cast<std::uint32_t>(count),
                        .position = static_cast<std::uint32_t>(entry),
                        .positionHere = static_cast<std::uint32_t>(number) });
            }
    }

    PlacementResult run()
    {
        constexpr Milliseconds drain { 6000 };
        const Milliseconds begin = this->now;
        while (this->now < begin + this->scenario.length + drain) {
            this->now += Milliseconds { 1 };
            for (auto next = this->queue.begin(); next != this->queue.end() && next->first <= this->now;
                 next = this->queue.erase(next))
                next->second();
            this->advanceEngines();
            if (this->now < begin + this->scenario.length)
                this->generateArrivals();
            for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
                this->onTimers(entry);
        }
        return this->summarize(begin + Milliseconds { 1000 });
    }

private:
    static constexpr Milliseconds objective { 400 };
    static constexpr Milliseconds remoteDelay { 5 }; ///< one way, to another data centre
    static constexpr Milliseconds reportPeriod { 150 }; ///< of agents
    static constexpr Milliseconds beaconPeriod { 200 }; ///< between entries of a data centre
    static constexpr Milliseconds remotePeriod { 500 }; ///< between data centres

    struct Entry {
        RelayState state;
        std::size_t place; ///< index of its data centre
    };

    struct Engine {
        EngineModel model;
        std::size_t place; ///< index of its data centre
        Milliseconds slowUntil; ///< end of the current period, slow or not
    };

    struct Call {
        Milliseconds arrivedAt;
        std::size_t entry { 0 };
        std::uint32_t promptTokens { 0 };
        double firstEventMs { 1e9 }; ///< after the arrival
        std::uint32_t knownLoad { 0 }; ///< that the entry logged with the send, the request included
        bool toSlow { false }; ///< its engine was slow at the send
        bool queued { false }; ///< waited in the entry
        bool refused { false };
        bool elsewhere { false }; ///< sent to another data centre
    };

    static DataCentreId dataCentre(std::size_t place) { return { "dc-" + std::to_string(place) }; }

    void after(Milliseconds delay, std::function<void()> action)
    {
        this->queue.emplace(this->now + delay, std::move(action));
    }

    Milliseconds delayBetween(std::size_t entry, std::size_t engine) const
    {
        return this->entries[entry].place == this->engines[engine].place ? Milliseconds { 0 } : remoteDelay;
    }

    /// @return time that a report is on its way; it was up to a period old before the next one
    Milliseconds drawDelay()
    {
        return { static_cast<std::int64_t>(this->random() % (this->scenario.newsAge.value + 1))
            + this->scenario.newsAge.value / 2 };
    }

    void generateArrivals()
    {
        std::poisson_distribution<int> count(this->scenario.streamsPerSecond / 1000.0);
        std::discrete_distribution<std::size_t> entryOf(this->arrivalWeights.begin(), this->arrivalWeights.end());
        std::discrete_distribution<std::size_t> kindOf { 40, 30, 30 };
        constexpr std::array<std::uint32_t, 3> promptTokens { 1330, 827, 647 };
        constexpr std::array<const char*, 3> routes { "/calls/x", "/letters/x", "/letters/x" };
        for (int left = count(this->random); left > 0; --left) {
            const std::size_t kind = kindOf(this->random);
            this->calls.push_back(
                { .arrivedAt = this->now, .entry = entryOf(this->random), .promptTokens = promptTokens.at(kind) });
            const CallId id { this->calls.size() };
            RequestMetadata metadata { .attemptId = std::to_string(id.value),
                .host = "desk.example",
                .target = routes.at(kind),
                .key = "key",
                .timeout = { 6000 },
                .model = { "model" },
                .promptTokens = promptTokens.at(kind) };
            this->deliver(
                this->calls.back().entry, CallArrived { .call = id, .firstByteAt = this->now, .metadata = metadata });
        }
    }

    void deliver(std::size_t entry, const RelayEvent& event)
    {
        for (const RelayEffect& effect : reduceRelay(this->entries[entry].state, event, this->now)) {
            if (const auto* send = std::get_if<SendToUpstream>(&effect))
                this->applySend(entry, *send);
            else if (const auto* cancel = std::get_if<CancelSend>(&effect))
                for (Engine& engine : this->engines)
                    engine.model.drop(entry, cancel->send.value);
            else if (const auto* refusal = std::get_if<RefuseCall>(&effect))
                this->calls[refusal->call.value - 1].refused = true;
            else if (const auto* probe = std::get_if<ProbeUpstream>(&effect))
                this->after({ 1 }, [this, entry, probe = *probe, startedAt = this->now] {
                    this->deliver(entry,
                        UpstreamProbed { .upstream = probe.upstream,
                            .result = ProbeResult::Accepted,
                            .startedAt = startedAt,
                            .mustAnswer = probe.mustAnswer });
                });
            else if (const auto* line = std::get_if<LogLine>(&effect); line && line->event == std::string("send"))
                for (const auto& [name, value] : line->fields) {
                    if (name == "request")
                        this->loggedCall = std::stoul(value);
                    if (name == "load")
                        this->calls[this->loggedCall - 1].knownLoad = static_cast<std::uint32_t>(std::stoul(value));
                }
        }
    }

    void applySend(std::size_t entry, const SendToUpstream& send)
    {
        const std::size_t number = std::stoul(send.address);
        Call& call = this->calls[send.call.value - 1];
        call.toSlow = this->engines[number].model.slowdown > 1;
        call.queued = this->now - call.arrivedAt >= Milliseconds { 5 };
        call.elsewhere = this->entries[entry].place != this->engines[number].place;
        const ModelledRequest request { .entry = entry,
            .call = send.call.value,
            .send = send.send.value,
            .urgency = send.urgency.value_or(5),
            .promptTokens = call.promptTokens,
            .eventsLeft = 22 };
        this->after(this->delayBetween(entry, number),
            [this, number, request] { this->engines[number].model.waiting.push_back(request); });
    }

    StatedLoad statedLoad(const Engine& engine) const
    {
        StatedLoad load { .running = static_cast<std::uint32_t>(engine.model.running.size()),
            .waiting = static_cast<std::uint32_t>(engine.model.waiting.size()),
            .slots = engine.model.profile.slots };
        if (this->scenario.statesSlowdown)
            load.slowdown = engine.model.slowdown;
        return load;
    }

    void advanceEngines()
    {
        constexpr Milliseconds period { 600 };
        for (std::size_t number = 0; number < this->engines.size(); ++number) {
            Engine& engine = this->engines[number];
            if (this->now >= engine.slowUntil) {
                const bool isFirst = engine.slowUntil.value == 0;
                engine.slowUntil
                    = this->now + (isFirst ? Milliseconds { static_cast<std::int64_t>(this->random() % 600) } : period);
                const bool slow = std::bernoulli_distribution(this->scenario.slowShare)(this->random);
                engine.model.slowdown = slow ? this->scenario.slowdown : 1.0;
            }
            for (const ModelledRequest& moved : engine.model.advance(static_cast<double>(this->now.value)))
                this->after(this->delayBetween(moved.entry, number),
                    [this, moved, load = this->statedLoad(engine)] { this->applyProgress(moved, load); });
            if (this->now.value % reportPeriod.value == static_cast<std::int64_t>(number) % reportPeriod.value)
                this->sendReport(number);
        }
    }

    void applyProgress(const ModelledRequest& moved, const StatedLoad& load)
    {
        Call& call = this->calls[moved.call - 1];
        const CallId id { moved.call };
        const SendId send { moved.send };
        if (call.firstEventMs == 1e9) {
            call.firstEventMs = static_cast<double>((this->now - call.arrivedAt).value);
            this->deliver(moved.entry,
                ResponseStarted { .call = id,
                    .send = send,
                    .status = 200,
                    .sealed = true,
                    .stream = true,
                    .notice = { .load = load } });
        }
        this->deliver(moved.entry, StreamProgressed { .call = id, .send = send, .lastEventId = "1" });
        if (moved.eventsLeft == 0)
            this->deliver(moved.entry, ResponseEnded { .call = id, .send = send });
    }

    void sendReport(std::size_t number)
    {
        const Engine& engine = this->engines[number];
        EngineReported reported { .address = std::to_string(number),
            .report = { .models = { { .model = { "model" }, .version = { 1 } } },
                .waiting = static_cast<std::uint32_t>(engine.model.waiting.size()),
                .running = static_cast<std::uint32_t>(engine.model.running.size()),
                .slowdown = this->scenario.statesSlowdown ? engine.model.slowdown : 1.0,
                .processStartedAt = 1 } };
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            const bool here = this->entries[entry].place == engine.place;
            reported.age = this->drawDelay() + (here ? Milliseconds { 0 } : remotePeriod / 2);
            this->after(reported.age,
                [this, entry, reported] { this->deliver(entry, EngineReportsReceived { .reports = { reported } }); });
        }
    }

    /// Sends what an entry reports to others, and its ticks. Entries do so at different times.
    void onTimers(std::size_t entry)
    {
        const std::int64_t phase = this->now.value + static_cast<std::int64_t>(entry) * 13;
        if (phase % 20 == 0) {
            this->deliver(entry, ConfigConfirmed { .asOf = this->now });
            this->deliver(entry, RelayTick {});
        }
        const std::size_t place = this->entries[entry].place;
        const HostId host { "entry-" + std::to_string(entry) };
        if (phase % beaconPeriod.value == 0)
            this->sendToDataCentre(
                place, entry, PeerLoadsReceived { .peer = host, .loads = ownLoads(this->entries[entry].state) });
        if (phase % remotePeriod.value != 0)
            return;
        for (auto& [target, loads] : advertiseRemoteLoads(this->entries[entry].state))
            for (std::size_t other = 0; other < this->scenario.entries.size(); ++other)
                if (dataCentre(other) == target)
                    this->sendToDataCentre(other, entry, PeerLoadsReceived { .peer = host, .loads = loads });
        const bool represents = entry == 0 || this->entries[entry - 1].place != place;
        for (std::size_t other = 0; represents && other < this->scenario.entries.size(); ++other)
            if (other != place)
                this->sendToDataCentre(other, entry,
                    DataCentreLoadsReceived { .dataCentre = dataCentre(place),
                        .totals = dataCentreTotals(this->entries[entry].state, this->now) });
    }

    void sendToDataCentre(std::size_t place, std::size_t from, const RelayEvent& event)
    {
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
            if (entry != from && this->entries[entry].place == place)
                this->after(this->scenario.newsAge / 2, [this, entry, event] { this->deliver(entry, event); });
    }

    PlacementResult summarize(Milliseconds from) const
    {
        PlacementResult result;
        for (const Call& call : this->calls) {
            if (call.arrivedAt < from)
                continue;
            const bool late = call.firstEventMs > static_cast<double>(objective.value);
            ++result.streams;
            result.late += late ? 1 : 0;
            result.lateAtSlow += late && call.toSlow ? 1 : 0;
            result.lateQueued += late && call.queued ? 1 : 0;
            result.sentToSlow += call.toSlow ? 1 : 0;
            result.elsewhere += call.elsewhere ? 1 : 0;
            result.refused += call.refused ? 1 : 0;
            result.firstEvents.push_back(call.firstEventMs);
            result.byLoad[call.knownLoad].first += late ? 1 : 0;
            ++result.byLoad[call.knownLoad].second;
        }
        std::sort(result.firstEvents.begin(), result.firstEvents.end());
        return result;
    }

    PlacementScenario scenario; ///< what is replayed
    std::mt19937_64 random; ///< source of arrivals, slow periods and delays
    Milliseconds now { 100000 }; ///< simulated time
    std::multimap<Milliseconds, std::function<void()>> queue; ///< what is on its way, by time of arrival
    std::vector<Entry> entries; ///< under test
    std::vector<double> arrivalWeights; ///< by entry
    std::vector<Engine> engines; ///< by number, which is their address
    std::vector<Call> calls; ///< in order of arrival; a CallId is the index plus 1
    std::size_t loggedCall { 1 }; ///< CallId of the log line that is being read
};

} // namespace hickory
