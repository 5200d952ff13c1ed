#include "upstream_io.h"

#include "worker_pool_func.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <mutex>

namespace hickory {

namespace {

    /// The upstream runs on this host: a connection that takes longer will not be made.
    constexpr Milliseconds connectTimeout { 1000 };

    constexpr Milliseconds stateTimeout { 1000 };

    /// An engine reads its weights from memory; a load that takes longer has failed.
    constexpr Milliseconds loadTimeout { 600000 };

    /// Longer answers are not recorded in the table service; their rows say only that the call ran.
    constexpr std::size_t maxRecordedBytes = 64 * 1024;

    /// State polls, cancel orders and a load order that takes long.
    constexpr unsigned controlThreads = 4;

    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;
    constexpr int firstServerError = 500;

    /// Ends each server-sent event.
    constexpr std::string_view eventEnd = "\n\n";
    constexpr std::string_view doneEvent = "data: [DONE]";

    void setTimeouts(httplib::Client& client, Milliseconds read)
    {
        client.set_connection_timeout(std::chrono::milliseconds(connectTimeout.value));
        client.set_read_timeout(std::chrono::milliseconds(std::max<std::int64_t>(read.value, 1)));
        client.set_tcp_nodelay(true);
    }

    std::string engineRequestId(const AttemptKey& key)
    {
        return key.entry.value + "-" + std::to_string(key.request.value) + "-" + std::to_string(key.attempt.value);
    }

    /// A request at the upstream.
    struct Running {
        explicit Running(const std::string& url)
            : client(url)
        {
        }

        httplib::Client client; ///< connection of this request alone
        std::atomic<bool> cancelled { false }; ///< CancelUpstream was seen
    };

    /// Reads one answer and passes it on.
    class AnswerReader {
    public:
        AnswerReader(bool engine, bool record, PartChannel& channel, std::function<void()> onFirst)
            : engine(engine)
            , record(record)
            , channel(channel)
            , onFirst(std::move(onFirst))
        {
        }

        void begin(int status, const std::string& contentType)
        {
            this->status = status;
            this->contentType = contentType;
        }

        /// @return false to abort
        bool receive(const char* data, std::size_t size)
        {
            if (this->record)
                this->keep(data, size);
            // Server errors are reported as outcomes, not passed on.
            if (this->status >= firstServerError || (this->engine && this->status == statusConflict))
                return true;
            if (!this->engine)
                return this->pass(std::string(data, size));
            this->pendingEvent.append(data, size);
            std::size_t end = 0;
            while ((end = this->pendingEvent.find(eventEnd)) != std::string::npos) {
                std::string event = this->pendingEvent.substr(0, end + eventEnd.size());
                this->pendingEvent.erase(0, end + eventEnd.size());
                this->done = this->done || event.starts_with(doneEvent);
                if (!this->pass(std::move(event)))
                    return false;
            }
            return true;
        }

        /// Keeps a piece of the answer for the call row. A cut answer must never be replayed as a whole one.
        void keep(const char* data, std::size_t size)
        {
            this->tooLong = this->tooLong || this->answer.size() + size > maxRecordedBytes;
            if (this->tooLong)
                this->answer.clear();
            else
                this->answer.append(data, size);
        }

        bool pass(std::string part)
        {
            // A recorded call runs to its end even when nobody waits, so that its outcome can be stored. An engine's
            // stream ends by the cancel order that follows; until the engine has confirmed it, the slot is in use.
            if (!this->channel.send(std::move(part), static_cast<std::uint16_t>(this->status), this->contentType))
                return this->record || this->engine;
            if (this->parts++ == 0)
                this->onFirst();
            return true;
        }

        bool engine; ///< split into events and expect the final one
        bool record; ///< keep the answer
        PartChannel& channel; ///< where parts go
        std::function<void()> onFirst; ///< called after the first part
        int status { 0 }; ///< HTTP status, 0 before the header
        std::string contentType; ///< of the answer
        std::string answer; ///< recorded bytes
        bool tooLong { false }; ///< the answer exceeds maxRecordedBytes
        std::string pendingEvent; ///< incomplete event
        std::uint32_t parts { 0 }; ///< parts passed on
        bool done { false }; ///< the final event was seen
    };

    UpstreamResult classify(
        const AnswerReader& reader, const httplib::Result& result, const Running& running, bool timedOut)
    {
        if (reader.engine && reader.done)
            return UpstreamResult::Completed;
        if (running.cancelled)
            return UpstreamResult::Cancelled;
        if (!result) {
            const auto error = result.error();
            if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout)
                return UpstreamResult::ConnectFailed;
            return timedOut                         ? UpstreamResult::TimedOut
                : error == httplib::Error::Canceled ? UpstreamResult::Cancelled
                                                    : UpstreamResult::Crashed;
        }
        if (reader.engine && (reader.status == statusConflict || reader.status == statusUnavailable))
            return UpstreamResult::Refused;
        if (reader.status >= firstServerError)
            return UpstreamResult::Failed;
        if (reader.engine && reader.status < 300)
            return UpstreamResult::Crashed;
        return UpstreamResult::Completed;
    }

} // namespace

struct UpstreamClient::State {
    explicit State(UpstreamOptions settings)
        : options(std::move(settings))
        , pool(this->options.maxThreads)
        , control(controlThreads)
    {
    }

    void run(const StartUpstream& effect, const RequestPayload& payload, PartChannel& channel, Running& running);

    UpstreamOptions options; ///< fixed
    std::mutex mutex; ///< guards running
    std::map<AttemptKey, std::shared_ptr<Running>> running; ///< requests in progress
    WorkerPool pool; ///< threads of the requests
    WorkerPool control; ///< threads of state polls and orders
};

UpstreamClient::UpstreamClient(UpstreamOptions options)
    : state(std::make_unique<State>(std::move(options)))
{
}

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::State::run(
    const StartUpstream& effect, const RequestPayload& payload, PartChannel& channel, Running& running)
{
    const Milliseconds started = monotonicNow();
    setTimeouts(running.client, effect.timeout);
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
        reader.begin(response.status, response.get_header_value("Content-Type"));
        return true;
    };
    request.content_receiver
        = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) { return reader.receive(data, size); };
    const httplib::Result result = running.client.send(request);
    const bool timedOut = monotonicNow() - started >= effect.timeout;
    UpstreamEnded ended { .key = effect.key,
        .result = classify(reader, result, running, timedOut),
        .status = static_cast<std::uint16_t>(reader.status) };
    // An answer without a body still has to carry its status to the caller.
    if (ended.result == UpstreamResult::Completed && reader.parts == 0)
        reader.pass({});
    ended.parts = reader.parts;
    ended.answer = std::move(reader.answer);
    ended.answerTooLong = reader.tooLong;
    ended.contentType = reader.contentType;
    {
        const std::lock_guard lock(this->mutex);
        this->running.erase(effect.key);
    }
    this->options.onEvent(std::move(ended));
}

void UpstreamClient::start(
    const StartUpstream& effect, std::shared_ptr<RequestPayload> payload, std::shared_ptr<PartChannel> channel)
{
    auto running = std::make_shared<Running>(this->state->options.url);
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->running[effect.key] = running;
    }
    this->state->pool.enqueue(
        [data = this->state.get(), effect, payload = std::move(payload), channel = std::move(channel), running] {
            if (running->cancelled) {
                const std::lock_guard lock(data->mutex);
                data->running.erase(effect.key);
                data->options.onEvent(UpstreamEnded { .key = effect.key, .result = UpstreamResult::Cancelled });
                return;
            }
            data->run(effect, *payload, *channel, *running);
        });
}

void UpstreamClient::cancel(const CancelUpstream& effect)
{
    std::shared_ptr<Running> running;
    {
        const std::lock_guard lock(this->state->mutex);
        const auto found = this->state->running.find(effect.key);
        if (found == this->state->running.end())
            return;
        running = found->second;
    }
    running->cancelled = true;
    if (!this->state->options.engine) {
        running->client.stop();
        return;
    }
    // The engine confirms before the stream is closed: a slot that looks free while the engine still runs the request
    // could be followed by a load order that cuts it off.
    this->state->control.enqueue([data = this->state.get(), key = effect.key, running] {
        httplib::Client client(data->options.url);
        setTimeouts(client, stateTimeout);
        client.Delete(("/v1/requests/" + engineRequestId(key)).c_str());
        running->client.stop();
    });
}

void UpstreamClient::pollState()
{
    this->state->control.enqueue([data = this->state.get()] {
        httplib::Client client(data->options.url);
        setTimeouts(client, stateTimeout);
        UpstreamState seen;
        const auto answer = client.Get(data->options.engine ? "/admin/state" : "/healthz");
        seen.reachable = static_cast<bool>(answer);
        seen.ready = seen.reachable;
        if (seen.reachable && data->options.engine) {
            const auto json = nlohmann::json::parse(answer->body, nullptr, false);
            const auto text = [&json](const char* key) {
                return json.is_object() ? json.value(key, std::string {}) : std::string {};
            };
            seen.ready = json.is_object() && json.value("ready", false);
            seen.model = { text("model") };
            seen.version = { text("version") };
            seen.manifest = { text("manifest") };
            seen.weightsDigest = text("digest");
            seen.role = text("role");
            if (json.is_object()) {
                seen.adapters = json.value("adapters", std::vector<std::string> {});
                seen.fence = { json.value("fence", std::uint64_t { 0 }) };
            }
        }
        data->options.onEvent(UpstreamStateReceived { .state = std::move(seen) });
    });
}

void UpstreamClient::orderLoad(const OrderLoad& effect, const std::string& path)
{
    this->state->control.enqueue([data = this->state.get(), effect, path] {
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
