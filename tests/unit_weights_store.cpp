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

/// Object store and origin on a loopback port; the manifest and the bytes can be spoilt.
struct StandinStore {
    httplib::Server server;
    std::string manifest;
    std::string content;
    int port { 0 };
    std::thread thread;

    StandinStore()
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
    ~StandinStore()
    {
        this->server.stop();
        this->thread.join();
    }
};

/// Events of a store, taken in order.
struct Events {
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<AgentEventBody> events;

    void add(AgentEventBody event)
    {
        const std::lock_guard lock(this->mutex);
        this->events.push_back(std::move(event));
        this->wake.notify_one();
    }
    template <typename Event> Event next()
    {
        std::unique_lock lock(this->mutex);
        REQUIRE(this->wake.wait_for(lock, std::chrono::seconds(10), [this] { return !this->events.empty(); }));
        const Event event = std::get<Event>(this->events.front());
        this->events.pop_front();
        return event;
    }
};

std::string sampleBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    for (std::size_t index = 0; index < count; ++index)
        bytes[index] = static_cast<char>((index * 31 + index / 255) % 251);
    return bytes;
}

struct StoreFixture {
    StandinStore origin;
    Events events;
    Manifest manifest;
    std::string fromPeer;
    std::unique_ptr<WeightsStore> store;

    StoreFixture()
    {
        this->origin.content = sampleBytes(25000);
        this->manifest = buildManifest({ "m" }, { "v1" }, "m-v1", this->origin.content, { 10000 });
        this->origin.manifest = manifestJson(this->manifest);
        this->store = std::make_unique<WeightsStore>(WeightsOptions {
            .platformUrl = "http://127.0.0.1:" + std::to_string(this->origin.port),
            .directory
            = (std::filesystem::temp_directory_path() / ("unit-weights-store-" + std::to_string(getpid()))).string(),
            .limit = { 30000 },
            .fetchFromPeer = [this](const std::string&, const ManifestDigest&, ChunkIndex, Milliseconds,
                                 const std::function<void(Result<std::string>)>& done) { done(this->fromPeer); },
            .onEvent = [this](AgentEventBody event) { this->events.add(std::move(event)); } });
    }

    ChunkFetched fetch(std::uint32_t index, const ChunkSource& source = {})
    {
        this->store->fetchChunk(
            { .manifest = this->manifest.digest, .index = { index }, .source = source, .timeout = { 5000 } });
        return this->events.next<ChunkFetched>();
    }

    bool open()
    {
        this->store->fetchManifest({ .digest = this->manifest.digest });
        return this->events.next<ManifestReceived>().ok;
    }
};

} // namespace

// Guards against a manifest that does not survive storing, or whose digest depends on who computes it.
TEST_CASE("A manifest is the same after storing")
{
    const Manifest manifest = buildManifest({ "m" }, { "v1" }, "m-v1", sampleBytes(25000), { 10000 });
    const Result<Manifest> parsed = parseManifest(manifestJson(manifest));
    REQUIRE(parsed);
    REQUIRE(parsed.value().digest == manifest.digest);
    REQUIRE(parsed.value().chunks.back().size.value == 5000);
    REQUIRE(!parseManifest("{}"));
    REQUIRE(!parseManifest(
        R"({"model":"m","version":"v","object":"o","total_digest":"x","chunk_size":0,"size":1,"chunks":[]})"));
}

// Guards against loading a version before its last chunk and its total digest are verified.
TEST_CASE_METHOD(StoreFixture, "Chunks from the origin make a whole file")
{
    REQUIRE(this->open());
    REQUIRE(this->store->chunkMap(this->manifest.digest) == std::string(1, '\0'));
    const ChunkFetched first = this->fetch(2);
    REQUIRE(first.result == ChunkResult::Verified);
    REQUIRE(first.received.value == 5000);
    REQUIRE(!first.whole);
    REQUIRE(!this->fetch(0).whole);
    REQUIRE(!this->store->readChunk(this->manifest.digest, { 1 }));
    REQUIRE(this->fetch(1).whole);
    REQUIRE(this->store->chunkMap(this->manifest.digest) == std::string(1, '\x07'));
    std::ifstream file(this->store->path(this->manifest.digest), std::ios::binary);
    REQUIRE(std::string(std::istreambuf_iterator<char>(file), {}) == this->origin.content);
    this->store->drop({ .manifest = this->manifest.digest });
    REQUIRE(this->store->chunkMap(this->manifest.digest).empty());
}

// Guards against counting a corrupt chunk, from the origin or from a peer.
TEST_CASE_METHOD(StoreFixture, "A corrupt chunk is never stored")
{
    REQUIRE(this->open());
    const std::string right = this->origin.content;
    this->origin.content[100] = static_cast<char>(this->origin.content[100] + 1);
    REQUIRE(this->fetch(0).result == ChunkResult::Corrupt);
    this->fromPeer = right.substr(1, 10000);
    REQUIRE(this->fetch(0, { .peer = { "p" }, .address = "p:1" }).result == ChunkResult::Corrupt);
    REQUIRE(!this->store->readChunk(this->manifest.digest, { 0 }));
    this->fromPeer = right.substr(0, 10000);
    REQUIRE(this->fetch(0, { .peer = { "p" }, .address = "p:1" }).result == ChunkResult::Verified);
    REQUIRE(this->store->readChunk(this->manifest.digest, { 0 }).value() == this->fromPeer);
}

// Guards against accepting another manifest than the pinned one, and against a directory that outgrows its bound.
TEST_CASE_METHOD(StoreFixture, "A manifest that differs or does not fit is refused")
{
    const std::string right = this->origin.manifest;
    this->origin.manifest += " ";
    REQUIRE(!this->open());
    this->origin.manifest = right;
    REQUIRE(this->open());
    const Manifest second = buildManifest({ "m" }, { "v2" }, "m-v2", sampleBytes(6000), { 1000 });
    this->origin.manifest = manifestJson(second);
    this->store->fetchManifest({ .digest = second.digest });
    REQUIRE(this->events.next<ManifestReceived>().detail.find("max_bytes") != std::string::npos);
}
