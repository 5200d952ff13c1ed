#include "soak_upstream.h"

#include "digest_func.h"
#include "query_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace hickory::soak {

namespace {

    using Json = nlohmann::json;

    constexpr int pieceSize = 4096; ///< bytes of each piece of the weights
    constexpr Milliseconds eventInterval { 25 }; ///< time between two events of a stream
    constexpr Milliseconds loadTime { 150 }; ///< time from an accepted order until the weights are in service
    constexpr Milliseconds readTime { 40 }; ///< time from the arrival of a prompt with parts to its first event
    constexpr std::size_t endlessBlock = 65536; ///< bytes that are added at a time to an answer without end
    constexpr std::size_t maxUnread = 1U << 20U; ///< bytes of it that may wait for the entry to read them
    /// Bytes of an answer without end after which the entry must have closed the connection: its limits are below 2
    /// MiB, the rest is what the kernel and the fault proxy may hold.
    constexpr std::size_t maxEndlessBytes = 24U << 20U;
    constexpr Milliseconds downTime { 2000 }; ///< time from a crash on a request to the next start

    constexpr Milliseconds minServiceTime { 30 }; ///< shortest time that a paced plain answer takes
    constexpr std::size_t serviceTimeRange = 870; ///< ms that the longest one takes beyond it
    constexpr std::size_t maxPace = 6; ///< longest time between events of a paced stream, in eventInterval

    /// @return a number derived from the id of an attempt, another one for each purpose
    std::size_t attemptNumber(const std::string& attempt, const char* purpose)
    {
        return std::hash<std::string> {}(attempt + "/" + purpose);
    }

    std::string headerValue(const FrontRequest& request, const char* name)
    {
        const std::string* value = request.head.find(name);
        return value ? *value : std::string {};
    }

} // namespace

std::string pieceBytes(std::uint64_t version, int index)
{
    std::string bytes;
    while (bytes.size() < pieceSize)
        bytes += std::to_string(version) + "/" + std::to_string(index) + ";";
    bytes.resize(pieceSize);
    return bytes;
}

Upstream::Upstream(asio::io_context& io, Store& store, Ledger& ledger, std::string name, const std::string& address,
    std::string registeredAddress, bool engine)
    : service(engine ? "engines" : "desk")
    , io(io)
    , store(store)
    , ledger(ledger)
    , name(std::move(name))
    , address(address)
    , registeredAddress(std::move(registeredAddress))
    , engine(engine)
    , front(io, {},
          { .onRequest = [this](FrontRequest&& request) { this->onRequest(std::move(request)); },
              .onCallerDisconnected = [this](CallId call) { this->onDisconnected(call); } })
    , timer(io)
{
    this->onStepTimer();
}

void Upstream::start(bool withWeights)
{
    if (!this->listening)
        if (const auto port = this->front.listen(this->address); !port)
            throw std::runtime_error(this->name + " cannot listen: " + port.error().text());
    this->listening = true;
    this->restartAt = {};
    if (!this->crashedId.empty())
        this->store.remove("servers", this->crashedId);
    this->crashedId.clear();
    this->id = this->name + "-" + std::to_string(++this->startCount);
    this->processStartedAt = wallNow().value;
    this->reports = 0;
    this->version = withWeights ? 1 : 0;
    if (withWeights)
        for (int index = 0; index < pieceCount; ++index)
            this->staged[index] = pieceBytes(1, index);
    this->publishState("ready");
}

void Upstream::crash()
{
    for (const CallId call : std::set<CallId>(this->openCalls)) {
        this->failRun(call);
        // The kernel closes the connections of a process that ends; a reset of half an answer would show that.
        const auto stream = this->streams.find(call);
        const bool unframed = this->halves.contains(call)
            || (stream != this->streams.end() && this->ledger.endsWithConnection(stream->second.attempt));
        if (unframed)
            this->front.finish(call);
        else
            this->front.abort(call);
    }
    this->front.closeIdle();
    this->listening = false;
    this->halves.clear();
    this->slowAnswers.clear();
    this->openCalls.clear();
    this->streams.clear();
    this->endless.clear();
    this->staged.clear();
    this->store.remove("servers", this->id);
    this->id.clear();
    this->version = this->loading = this->acceptedOrders = 0;
}

void Upstream::crashOnRequest()
{
    for (const CallId call : std::set<CallId>(this->openCalls)) {
        this->failRun(call);
        this->front.abort(call);
    }
    this->openCalls.clear();
    this->streams.clear();
    this->endless.clear();
    this->front.closeIdle();
    this->listening = false;
    this->crashedId = std::exchange(this->id, {});
    this->version = this->loading = this->acceptedOrders = 0;
    const Milliseconds now = monotonicNow();
    this->restartAt = now + downTime;
    this->ledger.crashes.push_back(now);
}

void Upstream::cutStreams()
{
    if (!this->streams.empty())
        this->ledger.addViolation(
            "LOST a load order cut off " + std::to_string(this->streams.size()) + " streams of " + this->id);
    for (const auto& [call, stream] : this->streams) {
        this->openCalls.erase(call);
        this->endRun(call);
        this->front.abort(call);
    }
    this->streams.clear();
}

void Upstream::onDisconnected(CallId call)
{
    if (this->still) {
        this->unnoticed.push_back(call);
        return;
    }
    this->streams.erase(call);
    this->endless.erase(call);
    this->halves.erase(call);
    this->slowAnswers.erase(call);
    this->openCalls.erase(call);
    if (Run* run = this->endRun(call))
        run->closedAt = monotonicNow();
}

bool Upstream::hasEnded(CallId call) const
{
    return std::find(this->unnoticed.begin(), this->unnoticed.end(), call) != this->unnoticed.end();
}

void Upstream::beginRun(CallId call, const std::string& attempt)
{
    if (this->hasEnded(call))
        return;
    std::vector<Run>& all = this->ledger.attempts.at(attempt).runs;
    this->runs[call] = { .attempt = attempt, .index = all.size() };
    all.push_back({ .upstream = this->name, .beganAt = monotonicNow(), .completedAt = {}, .closedAt = {} });
}

Run* Upstream::endRun(CallId call)
{
    const auto found = this->runs.find(call);
    if (found == this->runs.end())
        return nullptr;
    Run* run = &this->ledger.attempts.at(found->second.attempt).runs[found->second.index];
    this->runs.erase(found);
    return run;
}

void Upstream::completeRun(CallId call)
{
    if (Run* run = this->endRun(call))
        run->completedAt = monotonicNow();
}

void Upstream::failRun(CallId call)
{
    if (Run* run = this->endRun(call))
        run->failed = true;
}

void Upstream::turnAway(std::string seconds, std::size_t every)
{
    this->retryAfter = std::move(seconds);
    this->turnAwayEvery = every;
    this->offered = 0;
}

bool Upstream::isTurnedAway(const FrontRequest& request, const std::vector<WireHeader>& echo)
{
    if (this->turnAwayEvery == 0 || ++this->offered % this->turnAwayEvery != 0)
        return false;
    constexpr double millisecondsPerSecond = 1000;
    const Milliseconds now = monotonicNow();
    const Milliseconds time { static_cast<std::int64_t>(std::stod(this->retryAfter) * millisecondsPerSecond) };
    const auto attempt = this->ledger.attempts.find(headerValue(request, "Attempt-Id"));
    if (attempt != this->ledger.attempts.end() && !this->hasEnded(request.id))
        this->ledger.pauses.push_back({ .upstream = this->name,
            .server = this->id,
            .entry = attempt->second.entry,
            .span = { .from = now, .until = now + time } });
    std::vector<WireHeader> headers = echo;
    headers.push_back({ "Not-Executed", "1" });
    headers.push_back({ "Retry-After", this->retryAfter });
    this->openCalls.erase(request.id);
    this->front.answer(request.id, 503, headers, "");
    return true;
}

void Upstream::nameLimit(int requestsPerSecond)
{
    if (this->limit != 0)
        this->checkLimit();
    this->limit = requestsPerSecond;
    this->limitNamedAt.reset();
    this->arrivals.clear();
}

void Upstream::checkLimit()
{
    constexpr Milliseconds window { 4000 };
    const auto allowed = static_cast<std::ptrdiff_t>(this->limit * 6 + 5);
    for (const Milliseconds first : this->arrivals) {
        if (!this->limitNamedAt || first < *this->limitNamedAt + stableWindow)
            continue;
        const auto count = std::count_if(this->arrivals.begin(), this->arrivals.end(),
            [&](Milliseconds at) { return at >= first && at < first + window; });
        if (count > allowed) {
            this->ledger.addViolation("LIMIT " + this->name + " takes " + std::to_string(this->limit)
                + " requests a second and got " + std::to_string(count) + " in 4 s");
            return;
        }
    }
}

void Upstream::standStill(bool stopped)
{
    constexpr Milliseconds goneAfter { 500 };
    constexpr int allowedRuns = 3;
    if (stopped && !this->still)
        this->stillSince = monotonicNow();
    this->still = stopped;
    if (stopped)
        return;
    this->ledger.silences[this->name].push_back({ .from = this->stillSince, .until = monotonicNow() });
    int gone = 0;
    for (FrontRequest& request : std::exchange(this->deferred, {})) {
        const auto attempt = this->ledger.attempts.find(headerValue(request, "Attempt-Id"));
        const bool left = attempt != this->ledger.attempts.end() && attempt->second.leftAt
            && monotonicNow() - *attempt->second.leftAt > goneAfter;
        gone += left && this->running() ? 1 : 0;
        this->handleRequest(std::move(request));
    }
    for (const CallId call : std::exchange(this->unnoticed, {}))
        this->onDisconnected(call);
    if (gone > allowedRuns)
        this->ledger.addViolation(
            "GONE " + this->name + " began " + std::to_string(gone) + " requests whose callers had left");
}

void Upstream::drain() { this->publishState("draining"); }

void Upstream::registerAgain()
{
    if (this->running())
        this->publishState(this->state);
}

void Upstream::publishState(const std::string& newState)
{
    this->state = newState;
    Json entry { { "service", this->service }, { "address", this->registeredAddress }, { "zone", "a" },
        { "version", 1 }, { "slots", 8 }, { "state", this->state }, { "sequence", ++this->reports },
        { "born", this->processStartedAt } };
    if (this->engine) {
        entry["models"] = Json::array();
        if (this->version != 0)
            entry["models"].push_back({ { "name", modelName }, { "version", this->version } });
    }
    this->store.put("servers", this->id, entry.dump());
}

void Upstream::answerJson(CallId call, int status, const std::string& body)
{
    this->openCalls.erase(call);
    this->front.answer(call, static_cast<std::uint16_t>(status), {}, body);
}

void Upstream::onRequest(FrontRequest&& request)
{
    const auto attempt = this->ledger.attempts.find(headerValue(request, "Attempt-Id"));
    if (this->running() && attempt != this->ledger.attempts.end())
        this->ledger.arrivals.push_back({ .server = this->id, .entry = attempt->second.entry, .at = monotonicNow() });
    if (this->still)
        this->deferred.push_back(std::move(request));
    else
        this->handleRequest(std::move(request));
}

void Upstream::handleRequest(FrontRequest&& request)
{
    this->openCalls.insert(request.id);
    if (!this->running()) {
        this->openCalls.erase(request.id);
        this->front.abort(request.id);
    } else if (request.head.target.starts_with("/api/"))
        this->onEngineCall(request);
    else
        this->runRequest(std::move(request));
}

void Upstream::onEngineCall(const FrontRequest& request)
{
    const std::string& target = request.head.target;
    if (target == "/api/report") {
        Json report { { "phase", "colocated" }, { "models", Json::array() }, { "busy", this->loading != 0 },
            { "sequence", this->acceptedOrders }, { "waiting", 0 }, { "running", this->streams.size() },
            { "kv_used", 0 }, { "kv_total", 1000 }, { "pace", 1.0 }, { "born", this->processStartedAt } };
        if (this->version != 0)
            report["models"].push_back({ { "name", modelName }, { "version", this->version } });
        this->answerJson(request.id, 200, report.dump());
    } else if (target.starts_with("/api/stage-put/")) {
        this->staged[static_cast<int>(queryNumber(target, "quantity"))] = request.body;
        this->answerJson(request.id, 200, "{}");
    } else if (target.starts_with("/api/stage-get/")) {
        const auto piece = this->staged.find(static_cast<int>(queryNumber(target, "quantity")));
        this->answerJson(request.id, piece == this->staged.end() ? 404 : 200,
            piece == this->staged.end() ? std::string {} : piece->second);
    } else if (target == "/api/order") {
        const Json order = Json::parse(request.body);
        const auto wanted = order.at("version").get<std::uint64_t>();
        if (order.contains("expected") && order.at("expected") != this->acceptedOrders) {
            this->answerJson(request.id, 409, "{}");
            return;
        }
        for (int index = 0; index < pieceCount; ++index)
            if (this->staged[index] != pieceBytes(wanted, index))
                this->ledger.addViolation("WHOLE " + this->id + " was ordered to load version " + std::to_string(wanted)
                    + " with a missing or wrong piece " + std::to_string(index));
        ++this->acceptedOrders;
        if (order.value("mode", "queue") == "cut")
            this->cutStreams();
        this->loading = wanted;
        this->loadedAt = monotonicNow() + loadTime;
        this->answerJson(request.id, 202, "{}");
    } else if (target == "/api/health" && !this->engine) {
        this->openCalls.erase(request.id);
        this->front.answer(request.id, 200, { { "Replica-Id", this->id } }, "");
    } else
        this->answerJson(request.id, 404, "{}");
}

void Upstream::runRequest(FrontRequest&& request)
{
    const std::string attempt = headerValue(request, "Attempt-Id");
    const auto attemptEntry = this->ledger.attempts.find(attempt);
    const bool deadly = attemptEntry != this->ledger.attempts.end() && attemptEntry->second.deadly;
    if (deadly)
        this->ledger.deadlyArrivals.push_back(monotonicNow());
    std::vector<WireHeader> echo { { "Attempt-Id", attempt }, { "At-Server", this->id } };
    echo.insert(echo.end(), this->says.begin(), this->says.end());
    if (this->limit != 0) {
        this->arrivals.push_back(monotonicNow());
        if (!this->limitNamedAt)
            this->limitNamedAt = monotonicNow();
        echo.push_back({ "Server-Limit", std::to_string(this->limit) });
    }
    const std::string expected = headerValue(request, "Expect-Replica");
    const std::string wantedVersion = headerValue(request, "Expect-Version");
    const bool wrongVersion = !wantedVersion.empty() && wantedVersion != std::to_string(this->version);
    if ((!expected.empty() && expected != this->id) || wrongVersion) {
        this->openCalls.erase(request.id);
        this->front.answer(request.id, 421, echo, "");
        return;
    }
    if (this->isTurnedAway(request, echo))
        return;
    if (this->engine && (this->version == 0 || this->loading != 0)) {
        std::vector<WireHeader> headers = echo;
        headers.push_back({ "Not-Executed", "1" });
        this->openCalls.erase(request.id);
        this->front.answer(request.id, 503, headers, "");
        return;
    }
    if (attemptEntry == this->ledger.attempts.end()) {
        this->ledger.addViolation("UNASKED " + attempt + " is no caller's request and reached " + this->id);
        return;
    }
    if (!headerValue(request, "Authorization").empty() || headerValue(request, "Tenant") != "callers")
        this->ledger.addViolation(
            "UNASKED " + attempt + " arrived with an Authorization header or without its workspace");
    if (headerValue(request, "Prefix-Hash") != attemptEntry->second.promptParts)
        this->ledger.addViolation("UNASKED " + attempt + " arrived with other prompt parts");
    const std::string lastEventId = headerValue(request, "Last-Event-Id");
    attemptEntry->second.executions += lastEventId.empty() ? 1 : 0;
    this->beginRun(request.id, attempt);
    std::vector<WireHeader> sealedHeaders = echo;
    sealedHeaders.push_back({ "Replica-Seal", "seal." + attempt });
    const bool first = lastEventId.empty() && attemptEntry->second.executions == 1;
    const AnswerFault fault = first ? attemptEntry->second.fault : AnswerFault::None;
    if (fault != AnswerFault::None)
        this->failRun(request.id);
    if (!this->engine && fault == AnswerFault::Endless) {
        this->front.begin(request.id, 200, sealedHeaders);
        this->endless[request.id] = { .attempt = attempt, .unit = "endless " };
        return;
    }
    const BodyFraming framing
        = this->ledger.endsWithConnection(attempt) ? BodyFraming::Connection : BodyFraming::Chunks;
    if (!this->engine && framing == BodyFraming::Connection) {
        const std::string answer = "answer of " + attempt + " " + request.body;
        this->front.begin(request.id, 200, sealedHeaders, framing);
        this->front.body(request.id, answer.substr(0, answer.size() / 2));
        this->halves[request.id] = answer.substr(answer.size() / 2);
        return;
    }
    if (!this->engine && this->paced) {
        SlowAnswer slow { .headers = std::move(sealedHeaders),
            .rest = "answer of " + attempt + " " + request.body,
            .dueAt = monotonicNow() + minServiceTime
                + Milliseconds { static_cast<std::int64_t>(attemptNumber(attempt, "time") % serviceTimeRange) } };
        if (attemptNumber(attempt, "half") % 2 == 0) {
            this->front.begin(request.id, 200, std::exchange(slow.headers, {}));
            this->front.body(request.id, slow.rest.substr(0, slow.rest.size() / 2));
            slow.rest.erase(0, slow.rest.size() / 2);
        }
        this->slowAnswers[request.id] = std::move(slow);
        return;
    }
    if (!this->engine) {
        this->openCalls.erase(request.id);
        this->completeRun(request.id);
        this->front.answer(request.id, 200, sealedHeaders, "answer of " + attempt + " " + request.body);
        return;
    }
    sealedHeaders.push_back({ "Content-Type", "text/event-stream" });
    sealedHeaders.push_back({ "Weight-Versions", std::to_string(this->version) });
    const bool hasParts = !attemptEntry->second.promptParts.empty();
    if (!hasParts)
        this->front.begin(request.id, 200, std::exchange(sealedHeaders, {}), framing);
    this->streams[request.id] = { .attempt = attempt,
        .headers = std::move(sealedHeaders),
        .beginsAt = monotonicNow() + (hasParts ? readTime : Milliseconds {}),
        .deadly = deadly,
        .next = lastEventId.empty() ? 1 : std::stoi(lastEventId) + 1,
        .fault = fault,
        .nextAt = {} };
}

void Upstream::onStepTimer()
{
    if (this->still) {
        this->timer.expires_after(std::chrono::milliseconds(eventInterval.value));
        this->timer.async_wait([this](const std::error_code& code) {
            if (!code)
                this->onStepTimer();
        });
        return;
    }
    if (this->loading != 0 && this->streams.empty() && monotonicNow() > this->loadedAt) {
        this->version = this->loading;
        this->loading = 0;
        this->publishState("ready");
    }
    if (this->restartAt.value != 0 && monotonicNow() > this->restartAt)
        this->start(false);
    this->sendEvents();
    this->sendHalves();
    this->sendSlow();
    this->sendEndless();
    this->timer.expires_after(std::chrono::milliseconds(eventInterval.value));
    this->timer.async_wait([this](const std::error_code& code) {
        if (!code)
            this->onStepTimer();
    });
}

void Upstream::sendHalves()
{
    for (const auto& [call, half] : std::exchange(this->halves, {})) {
        this->front.body(call, half);
        this->openCalls.erase(call);
        this->completeRun(call);
        this->front.finish(call);
    }
}

void Upstream::sendSlow()
{
    const Milliseconds now = monotonicNow();
    std::erase_if(this->slowAnswers, [&](const auto& item) {
        const auto& [call, answer] = item;
        if (now < answer.dueAt)
            return false;
        this->openCalls.erase(call);
        this->completeRun(call);
        if (answer.headers.empty()) {
            this->front.body(call, answer.rest);
            this->front.finish(call);
        } else
            this->front.answer(call, 200, answer.headers, answer.rest);
        return true;
    });
}

void Upstream::sendEndless()
{
    std::vector<CallId> tooLong;
    for (auto& [call, answer] : this->endless) {
        std::string block;
        while (block.size() < endlessBlock)
            block += answer.unit;
        while (this->front.pending(call) < maxUnread && answer.sent <= maxEndlessBytes) {
            this->front.body(call, block);
            answer.sent += block.size();
            this->ledger.longestEndless = std::max(this->ledger.longestEndless, answer.sent);
        }
        if (answer.sent > maxEndlessBytes)
            tooLong.push_back(call);
    }
    for (const CallId call : tooLong) {
        this->ledger.addViolation("ENDLESS an entry reads on after " + std::to_string(maxEndlessBytes)
            + " bytes of an endless answer to " + this->endless[call].attempt);
        this->endless.erase(call);
        this->openCalls.erase(call);
        this->front.abort(call);
    }
}

void Upstream::sendEvents()
{
    for (auto stream = this->streams.begin(); stream != this->streams.end();) {
        if (!stream->second.headers.empty()) {
            if (monotonicNow() < stream->second.beginsAt) {
                ++stream;
                continue;
            }
            if (stream->second.deadly) {
                this->crashOnRequest();
                return;
            }
            this->front.begin(stream->first, 200, std::exchange(stream->second.headers, {}),
                this->ledger.endsWithConnection(stream->second.attempt) ? BodyFraming::Connection
                                                                        : BodyFraming::Chunks);
        }
        const AnswerFault fault = stream->second.next == 2 ? stream->second.fault : AnswerFault::None;
        if (fault == AnswerFault::Endless || fault == AnswerFault::EndlessEvents) {
            const bool events = fault == AnswerFault::EndlessEvents;
            this->endless[stream->first]
                = { .attempt = stream->second.attempt, .unit = events ? "data: endless\n\n" : "endless " };
            this->front.body(stream->first, events ? "" : "id: 2\ndata: ");
            stream = this->streams.erase(stream);
            continue;
        }
        if (fault == AnswerFault::EndsInsideEvent) {
            const std::string event = eventText(stream->second.attempt, 2);
            this->front.body(stream->first, std::string_view(event).substr(0, event.size() / 2));
            this->openCalls.erase(stream->first);
            this->front.finish(stream->first);
            stream = this->streams.erase(stream);
            continue;
        }
        if (monotonicNow() < stream->second.nextAt) {
            ++stream;
            continue;
        }
        if (stream->second.next <= eventCount(stream->second.attempt))
            this->front.body(stream->first, eventText(stream->second.attempt, stream->second.next++));
        if (this->paced)
            stream->second.nextAt = monotonicNow()
                + eventInterval
                    * static_cast<std::int64_t>(1 + attemptNumber(stream->second.attempt, "pace") % maxPace);
        if (stream->second.next <= eventCount(stream->second.attempt)) {
            ++stream;
            continue;
        }
        this->openCalls.erase(stream->first);
        this->completeRun(stream->first);
        this->front.finish(stream->first);
        stream = this->streams.erase(stream);
    }
}

Origin::Origin(asio::io_context& io, const std::string& address)
    : front(io, {},
        { .onRequest =
                [this](FrontRequest&& request) {
                    const std::string& target = request.head.target;
                    const std::uint64_t version = queryNumber(target, "version");
                    if (version > this->newestVersion || version + 2 <= this->newestVersion) {
                        this->front.answer(request.id, version > this->newestVersion ? 404 : 410, {}, "");
                        return;
                    }
                    if (target.starts_with("/api/piece/")) {
                        this->front.answer(request.id, 200, {},
                            pieceBytes(version, static_cast<int>(queryNumber(target, "quantity"))));
                        return;
                    }
                    Json digests = Json::array();
                    for (int index = 0; index < pieceCount; ++index)
                        digests.push_back(sha256Hex(pieceBytes(version, index)));
                    this->front.answer(request.id, 200, {},
                        Json { { "model", modelName }, { "version", version }, { "chunk_bytes", pieceSize },
                            { "layers", 4 }, { "digests", digests } }
                            .dump());
                },
            .onCallerDisconnected = [](CallId) {} })
{
    if (!this->front.listen(address))
        throw std::runtime_error("the origin cannot listen at " + address);
}

} // namespace hickory::soak
