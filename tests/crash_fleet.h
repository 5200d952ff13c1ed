#pragma once

#include "relay_fixture.h"

#include <deque>
#include <map>
#include <random>

namespace hickory {

/// @param parts hashes of the shared parts of its prompt
/// @param wholeRequest hash of the request
/// @return a request for the engine service
inline RequestMetadata letterMetadata(
    std::uint64_t number, const std::vector<std::uint64_t>& parts, std::uint64_t wholeRequest)
{
    RequestMetadata metadata { .attemptId = "attempt-" + std::to_string(number),
        .host = "desk.example",
        .target = "/letters/x",
        .key = "key",
        .timeout = { 6000 },
        .model = { "model" },
        .promptTokens = 900,
        .wholeRequest = { wholeRequest } };
    for (const std::uint64_t part : parts)
        metadata.promptParts.push_back({ part });
    return metadata;
}

/// Several relays in front of engines that a request may crash. Time advances in steps; the relays hear each other's
/// crash news after a delay.
class CrashFleet {
public:
    /// A request that is sent to the relays.
    struct Caller {
        std::vector<std::uint64_t> parts; ///< hashes of the shared parts of its prompt
        std::uint64_t wholeRequest { 0 }; ///< hash of the request, 0 for one of its own
    };

    CrashFleet(std::size_t relayCount, std::size_t engineCount, std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t index = 0; index < relayCount; ++index) {
            this->relays.push_back(std::make_unique<RelayFixture>(RelayOptions { .seed = seed + index }));
            this->relays.back()->now = this->now;
            this->relays.back()->event(EntryCountUpdated { .entryCount = static_cast<std::uint32_t>(relayCount) });
        }
        for (std::size_t index = 0; index < engineCount; ++index)
            this->engines.push_back({ .process = ++this->lastProcess });
        this->publishEngines();
    }

    /// Sends a request to a random relay.
    /// @return whether it was sent to an engine at once
    bool request(const Caller& caller)
    {
        const std::size_t relay = this->random() % this->relays.size();
        const CallId call { ++this->lastCall };
        const RequestMetadata metadata
            = letterMetadata(call.value, caller.parts, caller.wholeRequest != 0 ? caller.wholeRequest : this->random());
        this->traits[call] = caller.parts;
        this->traits[call].push_back(metadata.wholeRequest.value);
        const std::size_t before = this->sendCount;
        this->deliver(relay, CallArrived { .call = call, .firstByteAt = this->now, .metadata = metadata });
        return this->sendCount > before;
    }

    /// Advances the time, ends and begins what is due, and passes on crash news.
    void advance(Milliseconds duration)
    {
        constexpr Milliseconds step { 10 };
        for (const Milliseconds end = this->now + duration; this->now < end;) {
            this->now += step;
            for (auto& relay : this->relays)
                relay->now = this->now;
            this->runEngines();
            for (std::size_t relay = 0; relay < this->relays.size(); ++relay) {
                this->relays[relay]->confirmConfig();
                if (this->now.value % 20 == 0)
                    this->deliver(relay, RelayTick {});
            }
            if (this->now.value % 100 == 0)
                this->exchangeNews();
        }
    }

    /// Cuts off all requests of one relay at all engines without a crash.
    void resetConnections(std::size_t relay)
    {
        for (Engine& engine : this->engines) {
            const std::deque<Work> work = std::exchange(engine.work, {});
            for (const Work& item : work)
                if (item.relay != relay)
                    engine.work.push_back(item);
            for (const Work& item : work)
                if (item.relay == relay)
                    this->deliver(
                        relay, ResponseEnded { .call = item.call, .send = item.send, .end = SendResult::Broken });
        }
    }

    /// Crashes an engine without a request being the cause.
    void crash(std::size_t engine) { this->crashEngine(this->engines.at(engine)); }

    std::set<std::uint64_t> deadly; ///< parts or whole requests that crash each engine that begins to answer them
    std::vector<Milliseconds> crashTimes; ///< of engines
    std::vector<Milliseconds> deadlySendTimes; ///< of requests with a deadly trait that reached engines
    std::size_t begun { 0 }; ///< requests that engines began
    std::map<std::string, std::size_t> refused; ///< refusals by reason
    Milliseconds now { 100000 };
    std::vector<std::unique_ptr<RelayFixture>> relays;

private:
    struct Work {
        std::size_t relay;
        CallId call;
        SendId send;
        Milliseconds beginsAt;
        Milliseconds endsAt;
        bool hasBegun;
        bool isDeadly;
    };
    struct Engine {
        std::uint64_t process { 0 }; ///< number of its process, part of its id
        Milliseconds backAt { 0 }; ///< refuses connections until then
        std::deque<Work> work {}; ///< requests in flight
    };

    static constexpr Milliseconds downTime { 3200 };
    static constexpr Milliseconds beginDelay { 150 };
    static constexpr Milliseconds runTime { 900 };

    void publishEngines()
    {
        std::vector<UpstreamEntry> entries;
        for (const Engine& engine : this->engines) {
            UpstreamEntry entry = RelayFixture::upstream("e" + std::to_string(engine.process), "engine");
            entry.processStartedAt = static_cast<std::int64_t>(engine.process);
            entry.slots = 16;
            entries.push_back(entry);
        }
        for (auto& relay : this->relays)
            relay->list(entries);
    }

    void deliver(std::size_t relay, const RelayEvent& event)
    {
        for (const RelayEffect& effect : this->relays[relay]->event(event))
            this->carryOut(relay, effect);
    }

    void carryOut(std::size_t relay, const RelayEffect& effect)
    {
        if (const auto* refusal = std::get_if<RefuseCall>(&effect))
            ++this->refused[refusal->reason];
        else if (const auto* cancel = std::get_if<CancelSend>(&effect)) {
            for (Engine& engine : this->engines)
                std::erase_if(
                    engine.work, [&](const Work& work) { return work.relay == relay && work.send == cancel->send; });
        } else if (const auto* send = std::get_if<SendToUpstream>(&effect))
            this->start(relay, *send);
        else if (const auto* probe = std::get_if<ProbeUpstream>(&effect)) {
            const bool isUp = this->findEngine(probe->upstream) != nullptr;
            this->answers.emplace_back(relay,
                UpstreamProbed {
                    .upstream = probe->upstream, .result = isUp ? ProbeResult::Accepted : ProbeResult::Refused });
        }
    }

    /// @return the engine if its process runs, or nullptr
    Engine* findEngine(const UpstreamId& upstream)
    {
        const auto engine = std::find_if(this->engines.begin(), this->engines.end(),
            [&](const Engine& item) { return "e" + std::to_string(item.process) == upstream.value; });
        return engine == this->engines.end() || this->now < engine->backAt ? nullptr : &*engine;
    }

    void start(std::size_t relay, const SendToUpstream& send)
    {
        ++this->sendCount;
        Engine* engine = this->findEngine(send.upstream);
        if (!engine) {
            this->answers.emplace_back(
                relay, ResponseEnded { .call = send.call, .send = send.send, .end = SendResult::NotSent });
            return;
        }
        const std::vector<std::uint64_t>& shared = this->traits.at(send.call);
        const bool isDeadly = std::any_of(
            shared.begin(), shared.end(), [&](std::uint64_t trait) { return this->deadly.contains(trait); });
        if (isDeadly)
            this->deadlySendTimes.push_back(this->now);
        engine->work.push_back({ .relay = relay,
            .call = send.call,
            .send = send.send,
            .beginsAt = this->now + beginDelay,
            .endsAt = this->now + beginDelay + runTime,
            .hasBegun = false,
            .isDeadly = isDeadly });
    }

    void crashEngine(Engine& engine)
    {
        this->crashTimes.push_back(this->now);
        const std::deque<Work> work = std::exchange(engine.work, {});
        engine.backAt = this->now + downTime;
        for (const Work& item : work)
            this->deliver(
                item.relay, ResponseEnded { .call = item.call, .send = item.send, .end = SendResult::Broken });
    }

    void runEngines()
    {
        for (const auto& [relay, event] : std::exchange(this->answers, {}))
            this->deliver(relay, event);
        for (Engine& engine : this->engines) {
            if (engine.backAt.value != 0 && this->now >= engine.backAt) {
                engine.backAt = {};
                engine.process = ++this->lastProcess;
                this->publishEngines();
            }
            this->runEngine(engine);
        }
    }

    void runEngine(Engine& engine)
    {
        for (std::size_t index = 0; index < engine.work.size();) {
            Work& work = engine.work[index];
            if (!work.hasBegun && this->now >= work.beginsAt) {
                if (work.isDeadly) {
                    this->crashEngine(engine);
                    return;
                }
                work.hasBegun = true;
                ++this->begun;
                const Work item = work;
                this->deliver(item.relay,
                    ResponseStarted {
                        .call = item.call, .send = item.send, .status = 200, .sealed = true, .stream = true });
                this->deliver(
                    item.relay, StreamProgressed { .call = item.call, .send = item.send, .lastEventId = "1" });
            } else if (work.hasBegun && this->now >= work.endsAt) {
                const Work item = work;
                engine.work.erase(engine.work.begin() + static_cast<std::ptrdiff_t>(index));
                this->deliver(item.relay, ResponseEnded { .call = item.call, .send = item.send });
                continue;
            }
            ++index;
        }
    }

    void exchangeNews()
    {
        for (std::size_t from = 0; from < this->relays.size(); ++from) {
            const CrashNews news = crashNews(this->relays[from]->state, this->now.value % 1000 == 0, this->now);
            if (news.empty())
                continue;
            for (std::size_t to = 0; to < this->relays.size(); ++to)
                if (to != from)
                    this->deliver(to, CrashNewsReceived { .news = news });
        }
    }

    std::mt19937_64 random;
    std::vector<Engine> engines;
    std::uint64_t lastProcess { 0 };
    std::uint64_t lastCall { 0 };
    std::size_t sendCount { 0 };
    std::map<CallId, std::vector<std::uint64_t>> traits; ///< of each request
    std::vector<std::pair<std::size_t, RelayEvent>> answers; ///< for relays, to be delivered in the next step
};

} // namespace hickory
