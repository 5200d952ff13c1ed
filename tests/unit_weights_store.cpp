#include "digest_func.h"
#include "manifest_func.h"
#include "weights_io.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <fstream>
#include <mutex>
#include <thread>

using namespace hickory;

namespace {

/// Fake object store and origin on one loopback port. All paths of each serve the same content, which a test may
/// change.
struct FakeOrigin {
    httplib::Server server;
    std::string manifest; ///< body of every object
    std::string content; ///< body of every weights object; ranges are handled by the library
    int port { 0 };
    std::thread thread;

    FakeOrigin()
    {
        this->server.Get(R"(/objects/(.*))", [this](const httplib::Request&, httplib::Response& answer) {
            answer.set_content(this->manifest, "application/json");
        });
        this->server.Get(R"(/weights/(.*))", [this](const httplib::Request&, httplib::Response& answer) {
            answer.set_content(this->content, "application/octet-stream");
        });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
    }
    ~FakeOrigin()
    {
        this->server.stop();
        this->thread.join();
    }
};

/// Events of a WeightsStore, in order of arrival.
struct EventQueue {
    std::mutex mutex;
    std::condition_variable eventArrived;
    std::deque<AgentEventBody> events;

    void add(AgentEventBody event)
    {
        const std::lock_guard lock(this->mutex);
        this->events.push_back(std::move(event));
        this->eventArrived.notify_one();
    }
    /// Waits up to 10 s for the next event, which must have the type Event.
    template <typename Event> Event next()
    {
        std::unique_lock lock(this->mutex);
        REQUIRE(this->eventArrived.wait_for(lock, std::chrono::seconds(10), [this] { return !this->events.empty(); }));
        const Event event = std::get<Event>(this->events.front());
        this->events.pop_front();
        return event;
    }
};

/// @return bytes in which chunks of equal size differ
std::string testBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    for (std::size_t index = 0; index < count; ++index)
        bytes[index] = static_cast<char>((index * 31 + index / 255) % 251);
    return bytes;
}

/// A WeightsStore with the manifest of a version of 25,000 bytes in chunks of 10,000 bytes.
struct WeightsStoreFixture {
    FakeOrigin origin;
    EventQueue events;
    Manifest manifest;
    std::string peerChunk; ///< answer of every peer to a request for a chunk
    std::unique_ptr<WeightsStore> store;

    WeightsStoreFixture()
    {
        this->origin.content = testBytes(25000);
        this->manifest = buildManifest({ "m" }, { "v1" }, "m-v1", this->origin.content, { 10000 });
        this->origin.manifest = manifestJson(this->manifest);
        this->store = std::make_unique<WeightsStore>(WeightsOptions {
            .platformUrl = "http://127.0.0.1:" + std::to_string(this->origin.port),
            .directory
            = (std::filesystem::temp_directory_path() / ("unit-weights-store-" + std::to_string(getpid()))).string(),
            .limit = { 30000 },
            .fetchFromPeer = [this](const std::string&, const ManifestDigest&, ChunkIndex, Milliseconds,
                                 const std::function<void(Result<std::string>)>& done) { done(this->peerChunk); },
            .onEvent = [this](AgentEventBody event) { this->events.add(std::move(event)); } });
    }

    /// Fetches a chunk and waits for the result.
    ChunkFetched fetch(std::uint32_t index, const ChunkSource& source = {})
    {
        this->store->fetchChunk(
            { .manifest = this->manifest.digest, .index = { index }, .source = source, .timeout = { 5000 } });
        return this->events.next<ChunkFetched>();
    }

    /// @return true when the manifest was accepted
    bool fetchManifest()
    {
        this->store->fetchManifest({ .digest = this->manifest.digest });
        return this->events.next<ManifestReceived>().ok;
    }
};

} // namespace

// Guards against a manifest that changes when it is encoded and parsed, or that gets another digest then.
TEST_CASE("A parsed manifest equals the encoded one and a malformed one is rejected")
{
    const Manifest manifest = buildManifest({ "m" }, { "v1" }, "m-v1", testBytes(25000), { 10000 });
    const Result<Manifest> parsed = parseManifest(manifestJson(manifest));
    REQUIRE(parsed);
    REQUIRE(parsed.value().digest == manifest.digest);
    REQUIRE(parsed.value().chunks.back().size.value == 5000);
    REQUIRE(!parseManifest("{}"));
    REQUIRE(!parseManifest(
        R"({"model":"m","version":"v","object":"o","total_digest":"x","chunk_size":0,"size":1,"chunks":[]})"));
}

// Guards against loading a version before its last chunk and its total digest are verified.
TEST_CASE_METHOD(WeightsStoreFixture, "A version is complete once all chunks from the origin are verified")
{
    REQUIRE(this->fetchManifest());
    REQUIRE(this->store->chunkMap(this->manifest.digest) == std::string(1, '\0'));
    const ChunkFetched first = this->fetch(2);
    REQUIRE(first.result == ChunkResult::Verified);
    REQUIRE(first.received.value == 5000);
    REQUIRE(!first.versionComplete);
    REQUIRE(!this->fetch(0).versionComplete);
    REQUIRE(!this->store->readChunk(this->manifest.digest, { 1 }));
    REQUIRE(this->fetch(1).versionComplete);
    REQUIRE(this->store->chunkMap(this->manifest.digest) == std::string(1, '\x07'));
    std::ifstream file(this->store->path(this->manifest.digest), std::ios::binary);
    REQUIRE(std::string(std::istreambuf_iterator<char>(file), {}) == this->origin.content);
    this->store->drop({ .manifest = this->manifest.digest });
    REQUIRE(this->store->chunkMap(this->manifest.digest).empty());
}

// Guards against storing a corrupt chunk from the origin or from a peer.
TEST_CASE_METHOD(WeightsStoreFixture, "A corrupt chunk is never stored")
{
    REQUIRE(this->fetchManifest());
    const std::string correct = this->origin.content;
    this->origin.content[100] = static_cast<char>(this->origin.content[100] + 1);
    REQUIRE(this->fetch(0).result == ChunkResult::Corrupt);
    this->peerChunk = correct.substr(1, 10000);
    REQUIRE(this->fetch(0, { .peer = { "p" }, .address = "p:1" }).result == ChunkResult::Corrupt);
    REQUIRE(!this->store->readChunk(this->manifest.digest, { 0 }));
    this->peerChunk = correct.substr(0, 10000);
    REQUIRE(this->fetch(0, { .peer = { "p" }, .address = "p:1" }).result == ChunkResult::Verified);
    REQUIRE(this->store->readChunk(this->manifest.digest, { 0 }).value() == this->peerChunk);
}

// Guards against accepting a manifest with another digest than the configured one, and against storing more bytes than
// the limit.
TEST_CASE_METHOD(WeightsStoreFixture, "A manifest with a wrong digest or with weights above the limit is refused")
{
    const std::string correct = this->origin.manifest;
    this->origin.manifest += " ";
    REQUIRE(!this->fetchManifest());
    this->origin.manifest = correct;
    REQUIRE(this->fetchManifest());
    const Manifest second = buildManifest({ "m" }, { "v2" }, "m-v2", testBytes(6000), { 1000 });
    this->origin.manifest = manifestJson(second);
    this->store->fetchManifest({ .digest = second.digest });
    REQUIRE(this->events.next<ManifestReceived>().detail.find("max_bytes") != std::string::npos);
}
