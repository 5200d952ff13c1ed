#include "agent_rpc_io.h"
#include "entry_rpc_io.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

using namespace hickory;

namespace {

constexpr std::chrono::seconds waitTimeout { 10 };

/// Collects events of the RPC thread and waits for one of a type.
template <typename Body> class EventLog {
public:
    void add(Body body)
    {
        const std::lock_guard lock(this->mutex);
        this->events.push_back(std::move(body));
        this->changed.notify_all();
    }

    template <typename Event> Event waitFor()
    {
        std::unique_lock lock(this->mutex);
        const Event* found = nullptr;
        const bool seen = this->changed.wait_for(lock, waitTimeout, [&] {
            for (const Body& body : this->events)
                if (const auto* event = std::get_if<Event>(&body))
                    found = event;
            return found != nullptr;
        });
        REQUIRE(seen);
        return *found;
    }

private:
    std::mutex mutex; ///< guards events
    std::condition_variable changed; ///< signals a new event
    std::vector<Body> events; ///< in order of arrival
};

/// An entry and an agent that talk over loopback, without reducers.
class Pair {
public:
    Pair()
        : agent(this->agentHandlers())
        , entry({ "entry-1" }, this->table,
              { .onEvent = [this](EntryEventBody body) { this->entryEvents.add(std::move(body)); } })
    {
        const unsigned port = this->agent.start("127.0.0.1:0");
        this->entry.start("127.0.0.1:0");
        this->entry.connectAgent({ .host = { "host-1" }, .address = "127.0.0.1:" + std::to_string(port) });
        this->entryEvents.waitFor<AgentConnected>();
    }

    ~Pair()
    {
        this->entry.stop();
        this->agent.stop();
    }

    std::shared_ptr<PendingRequest> dispatch(Milliseconds acceptTimeout = { 60000 })
    {
        const auto pending = this->table.add({ .method = "POST", .path = "/x", .body = "body" });
        this->entry.dispatch({ .host = { "host-1" },
            .call = { .key = { .entry = { "entry-1" }, .request = pending->request, .attempt = { 1 } } },
            .acceptTimeout = acceptTimeout });
        return pending;
    }

    std::shared_ptr<PartChannel> waitForDispatch()
    {
        std::unique_lock lock(this->mutex);
        REQUIRE(this->changed.wait_for(lock, waitTimeout, [this] { return this->channel != nullptr; }));
        return this->channel;
    }

    AgentRpcHandlers agentHandlers()
    {
        return {
            .onEvent = [this](AgentEventBody body) { this->agentEvents.add(std::move(body)); },
            .onDispatch =
                [this](const DispatchCall& call, const std::shared_ptr<RequestPayload>& given,
                    std::shared_ptr<PartChannel> parts) {
                    const std::lock_guard lock(this->mutex);
                    this->key = call.key;
                    this->payload = given;
                    this->channel = std::move(parts);
                    this->changed.notify_all();
                },
            .chunkMap = [](const ManifestDigest&) { return std::string {}; },
            .readChunk = [](const ManifestDigest&, ChunkIndex) -> Result<std::string> { return Error {}; },
            .uploadDelay = [](Bytes) { return Milliseconds {}; },
        };
    }

    std::mutex mutex; ///< guards the dispatch seen by the agent
    std::condition_variable changed; ///< signals a dispatch
    AttemptKey key; ///< of the dispatch
    std::shared_ptr<RequestPayload> payload; ///< of the dispatch
    std::shared_ptr<PartChannel> channel; ///< of the dispatch
    RequestTable table; ///< requests of the entry
    EventLog<AgentEventBody> agentEvents; ///< seen by the agent
    EventLog<EntryEventBody> entryEvents; ///< seen by the entry
    AgentRpc agent; ///< agent's side
    EntryRpc entry; ///< entry's side
};

} // namespace

// Guards against a result that overtakes the parts of its answer.
TEST_CASE("All parts arrive before the result of their dispatch")
{
    Pair pair;
    const auto pending = pair.dispatch();
    const auto channel = pair.waitForDispatch();
    REQUIRE(pair.payload->body == "body");
    constexpr int parts = 500;
    for (int i = 0; i < parts; ++i)
        REQUIRE(channel->send("token", 200, "text/plain"));
    pair.agent.answerDispatch({ .key = pair.key, .result = { .kind = DispatchResultKind::Completed } });
    const auto ended = pair.entryEvents.waitFor<AttemptEnded>();
    REQUIRE(ended.result.kind == DispatchResultKind::Completed);
    REQUIRE(ended.delivered == parts);
    REQUIRE(pending->parts.size() == parts);
}

// Guards against an attempt that is never ended when its agent dies.
TEST_CASE("A lost connection ends its attempts as unknown")
{
    Pair pair;
    pair.dispatch();
    pair.waitForDispatch();
    pair.agent.stop();
    REQUIRE(pair.entryEvents.waitFor<AttemptEnded>().result.kind == DispatchResultKind::Unknown);
    REQUIRE(pair.entryEvents.waitFor<AgentDisconnected>().host == HostId { "host-1" });
}

// Guards against work that goes on at an agent after its entry died.
TEST_CASE("An agent learns that an entry is gone")
{
    Pair pair;
    pair.dispatch();
    const auto channel = pair.waitForDispatch();
    pair.entry.stop();
    REQUIRE(pair.agentEvents.waitFor<EntryDetached>().entry == HostId { "entry-1" });
    REQUIRE_FALSE(channel->send("late", 200, "text/plain"));
}

// Guards against a dispatch to a host without a connection being reported as anything but not run.
TEST_CASE("A dispatch without a connection has not run")
{
    Pair pair;
    const auto pending = pair.table.add({});
    pair.entry.dispatch({ .host = { "host-2" },
        .call = { .key = { .entry = { "entry-1" }, .request = pending->request, .attempt = { 1 } } } });
    REQUIRE(pair.entryEvents.waitFor<AttemptEnded>().result.kind == DispatchResultKind::NotRun);
}
