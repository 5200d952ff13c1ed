#include "weights_io.h"

#include "digest_func.h"
#include "http_client_io.h"
#include "manifest_func.h"
#include "weights_pace_type.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <map>
#include <mutex>
#include <thread>

namespace hickory {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr Milliseconds manifestTimeout { 5000 };
    constexpr std::uint16_t httpOk = 200;
    /// Largest manifest that is read. One with the most chunks that parseManifest() accepts has about 70 MB of JSON.
    constexpr std::size_t maxManifestBytes = 80U << 20U;
    /// A fetch thread that waits for the rate limit checks its deadline at least this often.
    constexpr std::chrono::milliseconds rateWaitStep { 100 };
    /// Bytes read at a time to compute the total digest.
    constexpr std::size_t digestBlockBytes = 1U << 20U;

    std::chrono::milliseconds toChrono(Milliseconds time) { return std::chrono::milliseconds(time.value); }

    Milliseconds elapsedSince(Clock::time_point start)
    {
        return { std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count() };
    }

    /// One version on this host. The file is closed when its last user releases it, so that the file descriptor of a
    /// read in progress is not reused for another version.
    struct StoredVersion {
        Manifest manifest;
        std::vector<bool> have; ///< by chunk index: verified and stored
        std::size_t held { 0 }; ///< number of set bits in `have`
        int file { -1 }; ///< file descriptor; the file has manifestSize() bytes from the start
        std::string path; ///< path of the file

        StoredVersion() = default;
        StoredVersion(const StoredVersion&) = delete;
        StoredVersion& operator=(const StoredVersion&) = delete;
        ~StoredVersion()
        {
            if (this->file >= 0)
                close(this->file);
        }

        /// @return offset of a chunk in the file and in the weights object
        std::uint64_t offset(ChunkIndex index) const { return this->manifest.chunkSize.value * index.value; }
    };

    /// @return false when not all bytes could be written
    bool writeAll(int file, const std::string& data, std::uint64_t offset)
    {
        std::size_t done = 0;
        while (done < data.size()) {
            const ssize_t count
                = pwrite(file, data.data() + done, data.size() - done, static_cast<off_t>(offset + done));
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Fills `data` from a file.
    /// @return false when fewer bytes could be read
    bool readAll(int file, std::string& data, std::uint64_t offset)
    {
        std::size_t done = 0;
        while (done < data.size()) {
            const ssize_t count
                = pread(file, data.data() + done, data.size() - done, static_cast<off_t>(offset + done));
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads the whole file of a version and compares its digest with the manifest.
    bool totalDigestMatches(const StoredVersion& version)
    {
        Digester digester;
        std::uint64_t remaining = manifestSize(version.manifest).value;
        std::uint64_t offset = 0;
        while (remaining > 0) {
            std::string block(std::min<std::uint64_t>(remaining, digestBlockBytes), '\0');
            if (!readAll(version.file, block, offset))
                return false;
            digester.update(block);
            offset += block.size();
            remaining -= block.size();
        }
        return digester.finishHex() == version.manifest.totalDigest;
    }

} // namespace

struct WeightsStore::State {
    WeightsOptions options; ///< constant after construction
    mutable std::mutex mutex; ///< guards everything below
    std::condition_variable wake; ///< signalled when a task was added or `stopping` was set
    std::multimap<Clock::time_point, std::function<void()>> tasks; ///< by their earliest start time
    bool stopping { false }; ///< makes the threads exit
    std::map<ManifestDigest, std::shared_ptr<StoredVersion>> versions; ///< sum of sizes is bounded by options.limit
    TokenBucket download; ///< rate limit of chunks received
    TokenBucket upload; ///< rate limit of chunks sent
    std::vector<std::thread> threads; ///< each executes runTasks()

    /// Queues a task to be run at `when` or later.
    void schedule(Clock::time_point when, std::function<void()> task)
    {
        const std::lock_guard lock(this->mutex);
        this->tasks.emplace(when, std::move(task));
        this->wake.notify_one();
    }

    /// Runs tasks until the store is destroyed.
    void runTasks()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping) {
            if (this->tasks.empty()) {
                this->wake.wait(lock);
                continue;
            }
            const auto first = this->tasks.begin();
            if (first->first > Clock::now()) {
                this->wake.wait_until(lock, Clock::time_point(first->first));
                continue;
            }
            const std::function<void()> task = std::move(first->second);
            this->tasks.erase(first);
            lock.unlock();
            task();
            lock.lock();
        }
    }

    /// @return the version, or nullptr when it is unknown
    std::shared_ptr<StoredVersion> findVersion(const ManifestDigest& digest) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->versions.find(digest);
        return found == this->versions.end() ? nullptr : found->second;
    }

    /// @return time to wait before the bytes may be received
    Clock::duration reserveDownload(std::uint64_t bytes)
    {
        const std::lock_guard lock(this->mutex);
        return this->download.reserve(bytes, Clock::now());
    }

    /// Creates the file of a version unless there is one.
    /// @return reason when the version cannot be stored, empty when it can
    std::string openVersion(const Manifest& manifest)
    {
        const std::lock_guard lock(this->mutex);
        if (this->versions.contains(manifest.digest))
            return {};
        std::uint64_t used = manifestSize(manifest).value;
        for (const auto& [digest, version] : this->versions)
            used += manifestSize(version->manifest).value;
        if (used > this->options.limit.value)
            return "max_bytes of " + std::to_string(this->options.limit.value) + " exceeded: " + std::to_string(used)
                + " needed";
        auto version = std::make_shared<StoredVersion>();
        version->path = this->options.directory + "/" + manifest.digest.value + ".weights";
        version->file = ::open(version->path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
        if (version->file < 0 || ftruncate(version->file, static_cast<off_t>(manifestSize(manifest).value)) != 0)
            return "cannot create weights file " + version->path;
        version->manifest = manifest;
        version->have.resize(manifest.chunks.size());
        this->versions[manifest.digest] = std::move(version);
        return {};
    }

    /// Reads a manifest from the object store, checks it and creates the version's file.
    ManifestReceived readManifest(const ManifestDigest& digest)
    {
        ManifestReceived answer { .digest = digest };
        std::string body;
        HttpConnection connection(this->options.platformUrl);
        const Result<HttpReply> reply
            = connection.send({ .path = "/objects/" + percentEncode(manifestObject(digest), true),
                .timeout = manifestTimeout,
                .onPart = [&](std::string_view part) {
                    body.append(part);
                    return body.size() <= maxManifestBytes;
                } });
        if (!reply || reply.value().status != httpOk) {
            answer.detail = reply ? "HTTP status " + std::to_string(reply.value().status) : reply.error().text();
            return answer;
        }
        Result<Manifest> parsed = parseManifest(body);
        if (digestHex(body) != digest.value)
            answer.detail = "digest of the stored manifest differs from the configured one";
        else if (!parsed)
            answer.detail = parsed.error().text();
        else
            answer.detail = this->openVersion(parsed.value());
        answer.ok = answer.detail.empty();
        if (answer.ok)
            answer.manifest = std::move(parsed.value());
        return answer;
    }

    /// Verifies a chunk and stores it when it matches its digest. After the last chunk, checks the total digest.
    /// @param event gets the result
    void verifyAndStore(const std::shared_ptr<StoredVersion>& version, const std::string& data, ChunkFetched& event)
    {
        const ManifestChunk& chunk = version->manifest.chunks[event.index.value];
        if (digestHex(data) != chunk.digest) {
            event.result = ChunkResult::Corrupt;
            return;
        }
        if (!writeAll(version->file, data, version->offset(event.index)))
            return;
        event.result = ChunkResult::Verified;
        {
            const std::lock_guard lock(this->mutex);
            if (!version->have[event.index.value]) {
                version->have[event.index.value] = true;
                ++version->held;
            }
            if (version->held < version->have.size())
                return;
        }
        event.versionComplete = totalDigestMatches(*version);
        event.totalDigestMismatch = !event.versionComplete;
    }

    /// Reads a chunk from the origin within the rate limit. Blocks the calling thread.
    /// @return the bytes received; fewer or more than the chunk when the origin failed, ignored the range or timed out
    std::string readOrigin(const StoredVersion& version, const FetchChunk& effect)
    {
        const std::uint64_t size = version.manifest.chunks[effect.index.value].size.value;
        const std::uint64_t begin = version.offset(effect.index);
        const Clock::time_point deadline = Clock::now() + toChrono(effect.timeout);
        std::string data;
        HttpConnection connection(this->options.platformUrl);
        // The result is ignored: bytes read before a failure count as received, and their number shows whether the
        // chunk is complete.
        (void)connection.send({ .path = "/weights/" + percentEncode(version.manifest.object, true),
            .headers = { { "Range", "bytes=" + std::to_string(begin) + "-" + std::to_string(begin + size - 1) } },
            .timeout = effect.timeout,
            .onPart = [&](std::string_view part) {
                data.append(part);
                const Clock::time_point until = Clock::now() + this->reserveDownload(part.size());
                while (Clock::now() < until && Clock::now() < deadline)
                    std::this_thread::sleep_until(std::min(until, Clock::now() + rateWaitStep));
                // A server that ignores the Range header sends more than the chunk.
                return data.size() <= size && Clock::now() < deadline;
            } });
        return data;
    }

    void fetchOrigin(const FetchChunk& effect)
    {
        ChunkFetched event { .manifest = effect.manifest, .index = effect.index, .source = effect.source };
        const Clock::time_point start = Clock::now();
        const std::shared_ptr<StoredVersion> version = this->findVersion(effect.manifest);
        if (version && effect.index.value < version->have.size()) {
            const std::string data = this->readOrigin(*version, effect);
            event.received = { data.size() };
            event.elapsed = elapsedSince(start);
            if (data.size() == version->manifest.chunks[effect.index.value].size.value)
                this->verifyAndStore(version, data, event);
        }
        this->options.onEvent(event);
    }

    void fetchPeer(const FetchChunk& effect)
    {
        const Clock::time_point start = Clock::now();
        this->options.fetchFromPeer(effect.source.address, effect.manifest, effect.index, effect.timeout,
            [this, effect, start](Result<std::string> answer) {
                // Computing the digest and writing the file must not block the transport's thread.
                this->schedule(Clock::now(), [this, effect, start, answer = std::move(answer)] {
                    ChunkFetched event { .manifest = effect.manifest, .index = effect.index, .source = effect.source };
                    event.elapsed = elapsedSince(start);
                    const std::shared_ptr<StoredVersion> version = this->findVersion(effect.manifest);
                    if (answer && version && effect.index.value < version->have.size()) {
                        event.received = { answer.value().size() };
                        this->verifyAndStore(version, answer.value(), event);
                    }
                    this->options.onEvent(event);
                });
            });
    }
};

WeightsStore::WeightsStore(WeightsOptions options)
    : state(std::make_unique<State>())
{
    this->state->options = std::move(options);
    std::error_code ignored;
    const std::filesystem::path directory(this->state->options.directory);
    std::filesystem::create_directories(directory, ignored);
    // Files of an earlier process are deleted, since nothing shows whether they are complete.
    for (const auto& entry : std::filesystem::directory_iterator(directory, ignored))
        if (entry.path().extension() == ".weights")
            std::filesystem::remove(entry.path(), ignored);
    this->state->download.setRate(this->state->options.linkRate.value);
    this->state->upload.setRate(this->state->options.linkRate.value);
    for (unsigned count = 0; count < std::max(1U, this->state->options.threads); ++count)
        this->state->threads.emplace_back([state = this->state.get()] { state->runTasks(); });
}

WeightsStore::~WeightsStore()
{
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->stopping = true;
        this->state->wake.notify_all();
    }
    for (std::thread& thread : this->state->threads)
        thread.join();
}

void WeightsStore::fetchManifest(const FetchManifest& effect)
{
    State* const shared = this->state.get();
    shared->schedule(Clock::now(), [shared, effect] { shared->options.onEvent(shared->readManifest(effect.digest)); });
}

void WeightsStore::fetchChunk(const FetchChunk& effect)
{
    State* const shared = this->state.get();
    if (effect.source.peer.empty()) {
        shared->schedule(Clock::now(), [shared, effect] { shared->fetchOrigin(effect); });
        return;
    }
    const std::shared_ptr<StoredVersion> version = shared->findVersion(effect.manifest);
    std::uint64_t size = 0;
    if (version && effect.index.value < version->have.size())
        size = version->manifest.chunks[effect.index.value].size.value;
    // A peer sends a chunk in a single message, so the rate limit can only delay the request.
    shared->schedule(Clock::now() + shared->reserveDownload(size), [shared, effect] { shared->fetchPeer(effect); });
}

void WeightsStore::drop(const DropWeights& effect)
{
    const std::lock_guard lock(this->state->mutex);
    const auto found = this->state->versions.find(effect.manifest);
    if (found == this->state->versions.end())
        return;
    unlink(found->second->path.c_str());
    this->state->versions.erase(found);
}

void WeightsStore::setRate(const SetChunkRate& effect)
{
    const std::lock_guard lock(this->state->mutex);
    this->state->download.setRate(effect.bytesPerSecond.value);
    this->state->upload.setRate(effect.bytesPerSecond.value);
}

std::string WeightsStore::chunkMap(const ManifestDigest& manifest) const
{
    const std::lock_guard lock(this->state->mutex);
    const auto found = this->state->versions.find(manifest);
    if (found == this->state->versions.end())
        return {};
    const std::vector<bool>& have = found->second->have;
    std::string map((have.size() + 7) / 8, '\0');
    for (std::size_t index = 0; index < have.size(); ++index)
        if (have[index])
            map[index / 8] = static_cast<char>(static_cast<unsigned char>(map[index / 8]) | (1U << (index % 8)));
    return map;
}

Result<std::string> WeightsStore::readChunk(const ManifestDigest& manifest, ChunkIndex index) const
{
    const std::shared_ptr<StoredVersion> version = this->state->findVersion(manifest);
    bool held = false;
    if (version) {
        const std::lock_guard lock(this->state->mutex);
        held = index.value < version->have.size() && version->have[index.value];
    }
    if (!held)
        return Error { .code = ErrorCode::NotFound, .step = "read-chunk", .detail = std::to_string(index.value) };
    std::string data(version->manifest.chunks[index.value].size.value, '\0');
    if (!readAll(version->file, data, version->offset(index)))
        return Error { .code = ErrorCode::Unavailable, .step = "read-chunk", .detail = version->path };
    return data;
}

Milliseconds WeightsStore::uploadDelay(Bytes bytes)
{
    const std::lock_guard lock(this->state->mutex);
    const Clock::duration wait = this->state->upload.reserve(bytes.value, Clock::now());
    return { std::chrono::duration_cast<std::chrono::milliseconds>(wait).count() };
}

std::string WeightsStore::path(const ManifestDigest& manifest) const
{
    return this->state->options.directory + "/" + manifest.value + ".weights";
}

} // namespace hickory
