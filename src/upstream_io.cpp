#include "upstream_io.h"

#include "answer_end_func.h"
#include "probe_io.h"
#include "table/answer_limits.h"
#include "worker_pool_func.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <mutex>

namespace hickory {

namespace {

    /// Time in which an upstream that runs accepts a connection.
    constexpr Milliseconds probeTimeout { 400 };

    /// Limit for opening a connection to the upstream, which runs on the same host.
    constexpr Milliseconds connectTimeout { 1000 };

    /// Time limit of a state poll or a cancel order.
    constexpr Milliseconds stateTimeout { 1000 };

    /// Time limit of a load order. Engines read the weights from memory, so a load that takes longer has failed.
    constexpr Milliseconds loadTimeout { 600000 };

    /// Largest answer that is recorded in a call row. The row of a call with a longer answer says only that it ran.
    constexpr std::size_t maxRecordedBytes = 64 * 1024;

    /// Threads for state polls and cancel orders, next to a load order that may occupy one for minutes.
    constexpr unsigned controlThreads = 4;

    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;
    constexpr int firstServerError = 500;

    /// Separator that ends each server-sent event.
    constexpr std::string_view eventEnd = "\n\n";

    /// Start of the last event of an engine's stream.
    constexpr std::string_view doneEvent = "data: [DONE]";

    /// @param read longest wait for data from the upstream
    void setTimeouts(httplib::Client& client, Milliseconds read)
    {
        client.set_connection_timeout(std::chrono::milliseconds(connectTimeout.value));
        client.set_read_timeout(std::chrono::milliseconds(std::max<std::int64_t>(read.value, 1)));
        client.set_tcp_nodelay(true);
    }

    /// @return id of an attempt in X-Request-Id and in cancel orders
    std::string engineRequestId(const AttemptKey& key)
    {
        return key.entry.value + "-" + std::to_string(key.request.value) + "-" + std::to_string(key.attempt.value);
    }

    /// A request in progress at the upstream.
    struct ActiveRequest {
        explicit ActiveRequest(const std::string& url)
            : client(url)
        {
        }

        httplib::Client client; ///< connection used for this request only
        std::atomic<bool> cancelled { false }; ///< cancel() was called
    };

    /// Splits one answer of the upstream into parts and sends them to the entry.
    class AnswerReader {
    public:
        AnswerReader(bool engine, bool record, PartChannel& channel, std::function<void()> onFirst)
            : engine(engine)
            , record(record)
            , channel(channel)
            , onFirst(std::move(onFirst))
        {
        }

        /// Takes the response header.
        void receiveHeader(const httplib::Response& response)
        {
            this->status = response.status;
            this->contentType = response.get_header_value("Content-Type");
            this->transfer = completeTransfer(static_cast<std::uint16_t>(response.status),
                response.has_header("Content-Length"), response.get_header_value("Transfer-Encoding"));
        }

        /// Takes a piece of the response body.
        /// @return false to abort the request
        bool receiveBody(const char* data, std::size_t size)
        {
            // The library takes an interim answer for the answer, and what follows it for its body.
            if (this->transfer == AnswerTransfer::Broken)
                return true;
            if (this->record)
                this->recordPiece(data, size);
            // A server error or a refusal is reported as the result of the attempt; its body is not sent to the caller.
            if (this->status >= firstServerError || (this->engine && this->status == statusConflict))
                return true;
            if (!this->engine)
                return this->sendPart(std::string(data, size));
            this->pendingEvent.append(data, size);
            std::size_t end = 0;
            while ((end = this->pendingEvent.find(eventEnd)) != std::string::npos) {
                std::string event = this->pendingEvent.substr(0, end + eventEnd.size());
                this->pendingEvent.erase(0, end + eventEnd.size());
                this->finalEventRead = this->finalEventRead || event.starts_with(doneEvent);
                if (!this->sendPart(std::move(event)))
                    return false;
            }
            this->eventTooLong = this->pendingEvent.size() > maxEvent;
            return !this->eventTooLong;
        }

        /// Adds a piece to the answer that is recorded in the call row. An answer that grows too long is discarded as a
        /// whole, because a truncated one must never be replayed as a complete one.
        void recordPiece(const char* data, std::size_t size)
        {
            this->tooLong = this->tooLong || this->answer.size() + size > maxRecordedBytes;
            if (this->tooLong)
                this->answer.clear();
            else
                this->answer.append(data, size);
        }

        /// Sends a part to the entry.
        /// @return false to abort the request
        bool sendPart(std::string part)
        {
            // When the channel is closed, a recorded call still runs to its end, so that its outcome can be stored. An
            // engine's stream is read until the cancel order that follows is confirmed; the slot is in use until then.
            if (!this->channel.send(std::move(part), static_cast<std::uint16_t>(this->status), this->contentType))
                return this->record || this->engine;
            if (this->parts++ == 0)
                this->onFirst();
            return true;
        }

        bool engine; ///< make one part of each server-sent event and expect the final one
        bool record; ///< record the answer
        PartChannel& channel; ///< carries the parts to the entry
        std::function<void()> onFirst; ///< called after the first part was sent
        int status { 0 }; ///< HTTP status, 0 until the header was read
        std::string contentType; ///< Content-Type of the answer
        AnswerTransfer transfer { AnswerTransfer::Broken }; ///< how the answer ends if it is read to its end
        std::string answer; ///< recorded answer, empty when too long
        bool tooLong { false }; ///< the answer exceeds maxRecordedBytes
        std::string pendingEvent; ///< start of an event whose end was not read yet
        bool eventTooLong { false }; ///< the engine sent an event longer than maxEvent
        std::uint32_t parts { 0 }; ///< parts sent
        bool finalEventRead { false }; ///< the final event was read
    };

    /// @return whether the upstream accepts a connection and keeps it
    bool stillRuns(const std::string& url)
    {
        const std::size_t scheme = url.find("//");
        asio::io_context io;
        ProbeResult result = ProbeResult::Unreachable;
        probeConnection(io,
            { .address = scheme == std::string::npos ? url : url.substr(scheme + 2), .timeout = probeTimeout },
            [&](ProbeResult probed) { result = probed; });
        io.run();
        return result == ProbeResult::Accepted;
    }

    /// @param timedOut the deadline of the attempt passed while the request was in progress
    /// @return how the attempt ended
    UpstreamResult classify(const AnswerReader& reader, const httplib::Result& result, const ActiveRequest& active,
        bool timedOut, const std::string& url)
    {
        if (reader.engine && reader.finalEventRead)
            return UpstreamResult::Completed;
        if (active.cancelled)
            return UpstreamResult::Cancelled;
        if (reader.eventTooLong)
            return UpstreamResult::Crashed;
        if (!result) {
            const auto error = result.error();
            if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout)
                return UpstreamResult::ConnectFailed;
            return timedOut                         ? UpstreamResult::TimedOut
                : error == httplib::Error::Canceled ? UpstreamResult::Cancelled
                                                    : UpstreamResult::Crashed;
        }
        if (reader.transfer == AnswerTransfer::Broken)
            return UpstreamResult::Crashed;
        if (reader.engine && (reader.status == statusConflict || reader.status == statusUnavailable))
            return UpstreamResult::Refused;
        if (reader.status >= firstServerError)
            return UpstreamResult::Failed;
        if (reader.engine && reader.status < 300)
            return UpstreamResult::Crashed;
        const AnswerVerdict verdict = judgeAnswer({ .transfer = reader.transfer });
        const bool isWhole
            = verdict == AnswerVerdict::Complete || (verdict == AnswerVerdict::Unconfirmed && stillRuns(url));
        return isWhole ? UpstreamResult::Completed : UpstreamResult::Crashed;
    }

} // namespace

struct UpstreamClient::State {
    explicit State(UpstreamOptions settings)
        : options(std::move(settings))
        , requestPool(this->options.maxThreads)
        , controlPool(controlThreads)
    {
    }

    /// Sends one request and reads its answer to the end. Called on a thread of the pool.
    void run(const StartUpstream& effect, const RequestPayload& payload, PartChannel& channel, ActiveRequest& active);

    UpstreamOptions options; ///< does not change
    std::mutex mutex; ///< guards `activeRequests`
    std::map<AttemptKey, std::shared_ptr<ActiveRequest>> activeRequests; ///< requests queued or in progress
    WorkerPool requestPool; ///< threads of the requests
    WorkerPool controlPool; ///< threads of state polls, cancel orders and load orders
};

UpstreamClient::UpstreamClient(UpstreamOptions options)
    : state(std::make_unique<State>(std::move(options)))
{
}

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::State::run(
    const StartUpstream& effect, const RequestPayload& payload, PartChannel& channel, ActiveRequest& active)
{
    const Milliseconds started = monotonicNow();
    setTimeouts(active.client, effect.timeout);
    AnswerReader reader(this->options.engine, effect.recordAnswer, channel,
        [this, &effect] { this->options.onEvent(UpstreamFirstPart { .key = effect.key }); });
    httplib::Request request;
    request.method = payload.method;
    request.path = payload.path;
    request.body = payload.body;
    request.set_header("Content-Type", payload.contentType.empty() ? "application/octet-stream" : payload.contentType);
    request.set_header("X-Request-Id", engineRequestId(effect.key));
    request.set_header("X-Priority", std::to_string(effect.rank.value));
    if (!payload.idempotencyKey.empty())
        request.set_header("Idempotency-Key", payload.idempotencyKey);
    request.set_header("Connection", "close");
    if (this->options.engine) {
        request.set_header("X-Model-Version", effect.version.value);
        request.set_header("X-Resume-From", std::to_string(effect.resumeFrom));
    }
    request.response_handler = [&](const httplib::Response& response) {
        reader.receiveHeader(response);
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        return reader.receiveBody(data, size);
    };
    const httplib::Result result = active.client.send(request);
    const bool timedOut = monotonicNow() - started >= effect.timeout;
    UpstreamEnded ended { .key = effect.key,
        .result = classify(reader, result, active, timedOut, this->options.url),
        .status = static_cast<std::uint16_t>(reader.status) };
    // The status reaches the caller with the first part, so an answer without a body needs an empty part.
    if (ended.result == UpstreamResult::Completed && reader.parts == 0)
        reader.sendPart({});
    ended.parts = reader.parts;
    ended.answer = std::move(reader.answer);
    ended.answerTooLong = reader.tooLong;
    ended.contentType = reader.contentType;
    {
        const std::lock_guard lock(this->mutex);
        this->activeRequests.erase(effect.key);
    }
    this->options.onEvent(std::move(ended));
}

void UpstreamClient::start(
    const StartUpstream& effect, std::shared_ptr<RequestPayload> payload, std::shared_ptr<PartChannel> channel)
{
    auto active = std::make_shared<ActiveRequest>(this->state->options.url);
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->activeRequests[effect.key] = active;
    }
    this->state->requestPool.enqueue(
        [data = this->state.get(), effect, payload = std::move(payload), channel = std::move(channel), active] {
            if (active->cancelled) {
                const std::lock_guard lock(data->mutex);
                data->activeRequests.erase(effect.key);
                data->options.onEvent(UpstreamEnded { .key = effect.key, .result = UpstreamResult::Cancelled });
                return;
            }
            data->run(effect, *payload, *channel, *active);
        });
}

void UpstreamClient::cancel(const CancelUpstream& effect)
{
    std::shared_ptr<ActiveRequest> active;
    {
        const std::lock_guard lock(this->state->mutex);
        const auto found = this->state->activeRequests.find(effect.key);
        if (found == this->state->activeRequests.end())
            return;
        active = found->second;
    }
    active->cancelled = true;
    if (!this->state->options.engine) {
        active->client.stop();
        return;
    }
    // The stream is closed only after the engine has confirmed the cancel order. If the slot looked free while the
    // engine still ran the request, a load order could follow and interrupt it.
    this->state->controlPool.enqueue([data = this->state.get(), key = effect.key, active] {
        httplib::Client client(data->options.url);
        setTimeouts(client, stateTimeout);
        client.Delete(("/v1/requests/" + engineRequestId(key)).c_str());
        active->client.stop();
    });
}

void UpstreamClient::pollState()
{
    this->state->controlPool.enqueue([data = this->state.get()] {
        httplib::Client client(data->options.url);
        setTimeouts(client, stateTimeout);
        UpstreamState polled;
        const auto answer = client.Get(data->options.engine ? "/admin/state" : "/healthz");
        polled.reachable = static_cast<bool>(answer);
        polled.ready = polled.reachable;
        if (polled.reachable && data->options.engine) {
            const auto json = nlohmann::json::parse(answer->body, nullptr, false);
            const auto text = [&json](const char* key) {
                return json.is_object() ? json.value(key, std::string {}) : std::string {};
            };
            polled.ready = json.is_object() && json.value("ready", false);
            polled.model = { text("model") };
            polled.version = { text("version") };
            polled.manifest = { text("manifest") };
            polled.weightsDigest = text("digest");
            polled.role = text("role");
            if (json.is_object()) {
                polled.adapters = json.value("adapters", std::vector<std::string> {});
                polled.fence = { json.value("fence", std::uint64_t { 0 }) };
            }
        }
        data->options.onEvent(UpstreamStateReceived { .state = std::move(polled) });
    });
}

void UpstreamClient::orderLoad(const OrderLoad& effect, const std::string& path)
{
    this->state->controlPool.enqueue([data = this->state.get(), effect, path] {
        httplib::Client client(data->options.url);
        setTimeouts(client, loadTimeout);
        const nlohmann::json order {
            { "model", effect.model.value },
            { "version", effect.version.value },
            { "manifest", effect.manifest.value },
            { "path", path },
            { "adapters", effect.adapters },
            { "role", effect.role },
            { "fence", effect.fence.value },
        };
        const auto answer = client.Post("/admin/load", order.dump(), "application/json");
        LoadEnded ended { .order = effect.order,
            .ok = answer && answer->status == 200,
            .staleFence = answer && answer->status == statusConflict };
        if (!ended.ok)
            ended.detail = answer ? "status " + std::to_string(answer->status) + " " + answer->body.substr(0, 200)
                                  : httplib::to_string(answer.error());
        data->options.onEvent(std::move(ended));
    });
}

} // namespace hickory
