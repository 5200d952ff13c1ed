#include "standin_engine.h"

#include "digest_func.h"
#include "standin_token.h"

#include <algorithm>
#include <thread>
#include <unistd.h>

namespace hickory::standin {

namespace {

    constexpr std::size_t maxHistoryEntries = 4096; ///< cache events and load reports kept

    /// Converts fractional milliseconds.
    SteadyClock::duration milliseconds(double value)
    {
        return std::chrono::nanoseconds(static_cast<std::int64_t>(value * 1e6));
    }

    /// @return digest of the content of a file, empty if it cannot be read
    std::string digestFile(const std::string& path)
    {
        constexpr std::size_t blockBytes = 1U << 20U;
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return "";
        Digester digester;
        std::string block(blockBytes, '\0');
        while (file.read(block.data(), blockBytes), file.gcount() > 0)
            digester.update(std::string_view(block).substr(0, static_cast<std::size_t>(file.gcount())));
        return digester.finishHex();
    }

} // namespace

Engine::Engine(EngineOptions givenOptions)
    : options(std::move(givenOptions))
{
    if (!this->options.runsLog.empty())
        this->runsLog.open(this->options.runsLog, std::ios::app);
}

std::shared_ptr<EngineRequest> Engine::submit(const httplib::Request& request, httplib::Response& response)
{
    const Json body = Json::parse(request.body);
    auto submitted = std::make_shared<EngineRequest>();
    submitted->id = request.get_header_value("X-Request-Id");
    submitted->prompt = body.at("prompt");
    submitted->maxTokens = body.value("max_tokens", std::uint64_t { 16 });
    const auto headerNumber = [&request](const char* header) {
        return request.has_header(header) ? std::stoull(request.get_header_value(header)) : 0;
    };
    submitted->priority = static_cast<unsigned>(headerNumber("X-Priority"));
    submitted->nextIndex = headerNumber("X-Resume-From");
    const std::lock_guard lock(this->mutex);
    const std::string requestedVersion = request.get_header_value("X-Model-Version");
    if (!this->ready || (!requestedVersion.empty() && requestedVersion != this->version)) {
        reply(response, this->ready ? 409 : 503, { { "error", "version" }, { "version", this->version } });
        return nullptr;
    }
    if (this->batch.size() + this->waiting.size() >= this->options.slots + this->options.maxQueued) {
        reply(response, 503, { { "error", "full" } });
        return nullptr;
    }
    const auto position = std::find_if(this->waiting.begin(), this->waiting.end(),
        [&submitted](const auto& other) { return other->priority > submitted->priority; });
    this->waiting.insert(position, submitted);
    this->workArrived.notify_one();
    return submitted;
}

bool Engine::stream(const std::shared_ptr<EngineRequest>& request, httplib::DataSink& sink)
{
    constexpr auto callerCheckInterval = std::chrono::milliseconds(50);
    std::unique_lock lock(this->mutex);
    this->outputReady.wait_for(lock, callerCheckInterval,
        [&request] { return !request->output.empty() || request->done || request->cancelled; });
    const std::string output = std::exchange(request->output, "");
    const bool done = request->done;
    const bool cancelled = request->cancelled;
    lock.unlock();
    if (cancelled || !sink.is_writable() || (!output.empty() && !sink.write(output.data(), output.size()))) {
        lock.lock();
        request->cancelled = true;
        return false;
    }
    if (done)
        sink.done();
    return true;
}

bool Engine::cancel(const std::string& id)
{
    const std::lock_guard lock(this->mutex);
    bool found = false;
    for (const auto* list : { &this->waiting, &this->batch }) {
        for (const auto& request : *list) {
            if (request->id == id) {
                request->cancelled = true;
                found = true;
            }
        }
    }
    this->outputReady.notify_all();
    return found;
}

void Engine::load(const Json& order, httplib::Response& response)
{
    std::unique_lock lock(this->mutex);
    const std::uint64_t fenceNumber = order.value("fence", std::uint64_t { 0 });
    if (this->options.fencing && fenceNumber < this->fence)
        return reply(response, 409, { { "error", "fence" }, { "fence", this->fence } });
    this->fence = std::max(this->fence, fenceNumber);
    this->role = order.value("role", this->role);
    this->adapters = order.value("adapters", this->adapters);
    if (this->ready && this->model == order.at("model") && this->version == order.at("version")
        && this->manifest == order.value("manifest", ""))
        return reply(response, 200, { { "digest", this->digest } });
    // Loading replaces the weights immediately and so cuts off all requests. The agent is expected to drain the engine
    // before it orders a load.
    for (const auto* list : { &this->waiting, &this->batch })
        for (const auto& request : *list)
            if (!request->cancelled && !(request->done && request->output.empty())) {
                ++this->cutOffByLoad;
                request->cancelled = true;
            }
    this->outputReady.notify_all();
    this->ready = false;
    ++this->loading;
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(this->options.loadMs));
    const std::string loadedDigest = digestFile(order.at("path"));
    lock.lock();
    --this->loading;
    if (loadedDigest.empty() || order.at("version") == this->options.failVersion)
        return reply(
            response, 500, { { "error", loadedDigest.empty() ? "cannot read the file" : "version cannot run" } });
    if (this->options.fencing && fenceNumber < this->fence)
        return reply(response, 409, { { "error", "fence" }, { "fence", this->fence } });
    this->model = order.at("model");
    this->version = order.at("version");
    this->manifest = order.value("manifest", "");
    this->digest = loadedDigest;
    this->prefixes.clear();
    this->ready = true;
    reply(response, 200, { { "digest", this->digest } });
}

Json Engine::state()
{
    const std::lock_guard lock(this->mutex);
    return { { "model", this->model }, { "version", this->version }, { "manifest", this->manifest },
        { "digest", this->digest }, { "role", this->role }, { "adapters", this->adapters },
        { "ready", this->ready && this->loading == 0 }, { "running", this->batch.size() },
        { "queued", this->waiting.size() }, { "fence", this->options.fencing ? this->fence : 0 },
        { "hits", this->cacheHits }, { "runs", this->runs }, { "tokens", this->tokens },
        { "broken_by_load", this->cutOffByLoad } };
}

Json Engine::currentLoad() const
{
    return { { "running", this->batch.size() }, { "queued", this->waiting.size() }, { "slots", this->options.slots },
        { "cached_prefixes", this->prefixes.size() } };
}

Json Engine::loadReport()
{
    const std::lock_guard lock(this->mutex);
    const auto visibleUntil = SteadyClock::now() - std::chrono::milliseconds(this->options.loadLagMs);
    while (this->reports.size() > 1 && this->reports[1].first <= visibleUntil)
        this->reports.pop_front();
    return this->reports.empty() ? this->currentLoad() : this->reports.front().second;
}

Json Engine::cacheEvents(std::uint64_t since)
{
    const std::lock_guard lock(this->mutex);
    const auto visibleUntil = SteadyClock::now() - std::chrono::milliseconds(this->options.eventLagMs);
    Json visibleEvents = Json::array();
    std::uint64_t next = since;
    for (const CacheEvent& entry : this->events) {
        if (entry.time <= visibleUntil && entry.event["seq"] >= since) {
            visibleEvents.push_back(entry.event);
            next = entry.event["seq"].get<std::uint64_t>() + 1;
        }
    }
    return { { "events", visibleEvents }, { "next", next } };
}

Json Engine::exportCache()
{
    const std::lock_guard lock(this->mutex);
    return { { "version", this->version }, { "kv", this->prefixes } };
}

void Engine::importCache(const Json& exported)
{
    const std::lock_guard lock(this->mutex);
    if (exported.at("version") == this->version)
        for (const Json& prefix : exported.at("kv"))
            this->touchPrefix(prefix);
}

void Engine::recordCacheEvent(const std::string& type, const std::string& prefix)
{
    const std::uint64_t sequence = this->nextEventSequence++;
    if (std::uniform_real_distribution<double>(0, 1)(this->randomEngine) >= this->options.eventLoss) {
        this->events.push_back({ .time = SteadyClock::now(),
            .event = { { "seq", sequence }, { "type", type }, { "prefix", digestHex(prefix) } } });
    }
    if (this->events.size() > maxHistoryEntries)
        this->events.pop_front();
}

bool Engine::touchPrefix(const std::string& prefix)
{
    const auto found = std::find(this->prefixes.begin(), this->prefixes.end(), prefix);
    if (found != this->prefixes.end()) {
        this->prefixes.splice(this->prefixes.begin(), this->prefixes, found);
        return true;
    }
    this->prefixes.push_front(prefix);
    this->recordCacheEvent("stored", prefix);
    if (this->prefixes.size() > this->options.cacheEntries) {
        this->recordCacheEvent("evicted", this->prefixes.back());
        this->prefixes.pop_back();
    }
    return false;
}

void Engine::fillBatch(SteadyClock::time_point now)
{
    const auto cancelled = [](const auto& request) { return request->cancelled; };
    this->waiting.remove_if(cancelled);
    this->batch.remove_if([](const auto& request) { return request->cancelled || request->done; });
    while (this->batch.size() < this->options.slots && !this->waiting.empty()) {
        const auto request = this->waiting.front();
        this->waiting.pop_front();
        ++this->runs;
        if (this->runsLog.is_open()) {
            this->runsLog << request->id << ' ' << digestHex(request->prompt) << ' ' << request->nextIndex << ' '
                          << this->version << ' ' << this->digest << std::endl;
        }
        if (request->prompt.find("CRASH") != std::string::npos)
            _exit(134);
        const bool hit = this->touchPrefix(request->prompt.substr(0, this->options.prefixChars));
        this->cacheHits += hit ? 1 : 0;
        request->nextTokenAt = now + milliseconds(this->options.firstTokenMs * (hit ? this->options.cacheHitCost : 1));
        this->batch.push_back(request);
    }
}

void Engine::generateTokens(EngineRequest& request, SteadyClock::time_point now)
{
    const double fill = static_cast<double>(this->batch.size() - 1) / std::max(1U, this->options.slots - 1);
    while (request.nextTokenAt <= now && !request.done) {
        if (request.nextIndex < request.maxTokens) {
            const Json event { { "index", request.nextIndex },
                { "token", expectedToken(request.prompt, this->version, request.nextIndex) } };
            request.output += "data: " + event.dump() + "\n\n";
            ++request.nextIndex;
            ++this->tokens;
        }
        if (request.nextIndex >= request.maxTokens) {
            request.output += "data: [DONE]\n\n";
            request.done = true;
        }
        request.nextTokenAt += milliseconds(this->options.tokenMs * (1 + this->options.batchSlowdown * fill));
    }
}

void Engine::run()
{
    constexpr auto tick = std::chrono::milliseconds(1);
    constexpr auto reportInterval = std::chrono::milliseconds(50);
    std::unique_lock lock(this->mutex);
    while (true) {
        if (this->batch.empty() && this->waiting.empty())
            this->workArrived.wait_for(lock, reportInterval);
        const auto now = SteadyClock::now();
        this->fillBatch(now);
        bool anyOutput = false;
        auto next = now + reportInterval;
        for (const auto& request : this->batch) {
            const std::size_t before = request->output.size();
            this->generateTokens(*request, now);
            anyOutput = anyOutput || request->output.size() != before;
            next = std::min(next, request->nextTokenAt);
        }
        if (anyOutput)
            this->outputReady.notify_all();
        if (this->reports.empty() || now - this->reports.back().first >= reportInterval)
            this->reports.emplace_back(now, this->currentLoad());
        if (this->reports.size() > maxHistoryEntries)
            this->reports.pop_front();
        if (!this->batch.empty())
            this->workArrived.wait_until(lock, std::max(next, now + tick));
    }
}

} // namespace hickory::standin
