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

/// Collects events of an RPC thread.
template <typename Body> class EventCollector {
public:
    void add(Body body)
    {
        const std::lock_guard lock(this->mutex);
        this->events.push_back(std::move(body));
        this->changed.notify_all();
    }

    /// Waits for an event of a type; the test fails after waitTimeout.
    /// @return the last event of the type
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
    std::mutex mutex; ///< protects `events`
    std::condition_variable changed; ///< signalled for each new event
    std::vector<Body> events; ///< received events in order of arrival
};

/// An EntryRpc and an AgentRpc connected over loopback, without their reducers.
class EntryAgentPair {
public:
    EntryAgentPair()
        : agent(this->agentHandlers())
        , entry({ "entry-1" }, this->table,
              { .onEvent = [this](EntryEventBody body) { this->entryEvents.add(std::move(body)); } })
    {
        const unsigned port = this->agent.start("127.0.0.1:0");
        this->entry.start("127.0.0.1:0");
        this->entry.connectAgent({ .host = { "host-1" }, .address = "127.0.0.1:" + std::to_string(port) });
        this->entryEvents.waitFor<AgentConnected>();
    }

    ~EntryAgentPair()
    {
        this->entry.stop();
        this->agent.stop();
    }

    /// Sends a request from the entry to the agent.
    std::shared_ptr<PendingRequest> dispatch(Milliseconds agentSilenceTimeout = { 60000 })
    {
        const auto pending = this->table.add({ .method = "POST", .path = "/x", .body = "body" });
        this->entry.dispatch({ .host = { "host-1" },
            .call = { .key = { .entry = { "entry-1" }, .request = pending->request, .attempt = { 1 } } },
            .agentSilenceTimeout = agentSilenceTimeout });
        return pending;
    }

    /// @return the channel for the answer to the dispatch that arrived at the agent
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
                [this](const DispatchReceived& event, const std::shared_ptr<RequestPayload>& given,
                    std::shared_ptr<PartChannel> parts) {
                    const std::lock_guard lock(this->mutex);
                    this->key = event.call.key;
                    this->connection = event.connection;
                    this->payload = given;
                    this->channel = std::move(parts);
                    this->changed.notify_all();
                },
            .chunkMap = [](const ManifestDigest&) { return std::string {}; },
            .readChunk = [](const ManifestDigest&, ChunkIndex) -> Result<std::string> { return Error {}; },
            .uploadDelay = [](Bytes) { return Milliseconds {}; },
        };
    }

    std::mutex mutex; ///< protects `key`, `payload` and `channel`
    std::condition_variable changed; ///< signalled when a dispatch arrives
    AttemptKey key; ///< key of the last dispatch
    std::uint64_t connection { 0 }; ///< connection of the last dispatch
    std::shared_ptr<RequestPayload> payload; ///< payload of the last dispatch
    std::shared_ptr<PartChannel> channel; ///< answer channel of the last dispatch, empty before the first
    RequestTable table; ///< the entry's requests in progress
    EventCollector<AgentEventBody> agentEvents; ///< events of the agent
    EventCollector<EntryEventBody> entryEvents; ///< events of the entry
    AgentRpc agent; ///< listens for the entry
    EntryRpc entry; ///< connects to the agent
};

/// Takes the parts of an answer until all are taken or its attempt has ended.
void readSlowly(PendingRequest& pending, std::size_t parts)
{
    for (std::size_t taken = 0; taken < parts;) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const std::lock_guard lock(pending.mutex);
        taken += pending.parts.size();
        pending.parts.clear();
        pending.bufferedBytes = 0;
        if (pending.attempt.value == 0)
            return;
    }
}

} // namespace

// Guards against a truncated answer, when the result of a dispatch overtakes the parts of its answer.
TEST_CASE("All parts of an answer arrive before the result of its dispatch")
{
    EntryAgentPair pair;
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

// Guards against a request that never ends because its agent has died and sends no result.
TEST_CASE("A lost connection to an agent ends its attempts with result Unknown")
{
    EntryAgentPair pair;
    pair.dispatch();
    pair.waitForDispatch();
    pair.agent.stop();
    REQUIRE(pair.entryEvents.waitFor<AttemptEnded>().result.kind == DispatchResultKind::Unknown);
    REQUIRE(pair.entryEvents.waitFor<AgentDisconnected>().host == HostId { "host-1" });
}

// Guards against an agent that goes on with work for an entry that has died.
TEST_CASE("An agent is told when an entry disconnects and stops sending to it")
{
    EntryAgentPair pair;
    pair.dispatch();
    const auto channel = pair.waitForDispatch();
    pair.entry.stop();
    const auto detached = pair.agentEvents.waitFor<EntryDetached>();
    REQUIRE(detached.entry == HostId { "entry-1" });
    REQUIRE(detached.connection == pair.connection);
    REQUIRE_FALSE(channel->send("late", 200, "text/plain"));
}

// Guards against a request that is not sent to another agent although it never ran, as with any other result.
TEST_CASE("A dispatch to a host without a connection ends with result NotRun")
{
    EntryAgentPair pair;
    const auto pending = pair.table.add({});
    pair.entry.dispatch({ .host = { "host-2" },
        .call = { .key = { .entry = { "entry-1" }, .request = pending->request, .attempt = { 1 } } } });
    REQUIRE(pair.entryEvents.waitFor<AttemptEnded>().result.kind == DispatchResultKind::NotRun);
}

// Guards against an answer without some of its parts that reaches a slow caller as whole.
TEST_CASE("No part overtakes one that waits for a slow caller")
{
    EntryAgentPair pair;
    const auto pending = pair.dispatch();
    const auto channel = pair.waitForDispatch();
    constexpr int parts = 8;
    constexpr std::size_t partBytes = 100000;
    for (int i = 0; i < parts; ++i)
        REQUIRE(channel->send(std::string(partBytes, 'x'), 200, "text/plain"));
    pair.agent.answerDispatch({ .key = pair.key, .result = { .kind = DispatchResultKind::Completed } });
    readSlowly(*pending, parts);
    CHECK(pair.entryEvents.waitFor<AttemptEnded>().delivered == parts);
}

// Guards against a whole answer that is cut because its agent stops before a slow caller has read it.
TEST_CASE("A stopping agent delivers the answers that stand ready")
{
    EntryAgentPair pair;
    const auto pending = pair.dispatch();
    const auto channel = pair.waitForDispatch();
    constexpr int parts = 8;
    constexpr std::size_t partBytes = 100000;
    for (int i = 0; i < parts; ++i)
        REQUIRE(channel->send(std::string(partBytes, 'x'), 200, "text/plain"));
    pair.agent.answerDispatch({ .key = pair.key, .result = { .kind = DispatchResultKind::Completed } });
    std::thread caller([&] { readSlowly(*pending, parts); });
    pair.agent.stop();
    const auto ended = pair.entryEvents.waitFor<AttemptEnded>();
    caller.join();
    CHECK(ended.result.kind == DispatchResultKind::Completed);
    CHECK(ended.delivered == parts);
}

// Guards against ending a request as lost at an agent that was not asked whether it is there.
TEST_CASE("An agent that answers heartbeats keeps a request that takes longer than the silence timeout")
{
    EntryAgentPair pair;
    pair.dispatch({ 400 });
    const auto channel = pair.waitForDispatch();
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    REQUIRE(channel->send("late", 200, "text/plain"));
    pair.agent.answerDispatch({ .key = pair.key, .result = { .kind = DispatchResultKind::Completed } });
    CHECK(pair.entryEvents.waitFor<AttemptEnded>().result.kind == DispatchResultKind::Completed);
}
