#include "http_io.h"

#include "digest_func.h"
#include "http_server_func.h"
#include "outcome_func.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace hickory {

namespace {

    /// How often a waiting caller's connection is checked for a disconnect.
    constexpr Milliseconds disconnectCheckInterval { 500 };

    /// An operator's request that is not answered within this time gets status 504.
    constexpr Milliseconds operatorTimeout { 15000 };

    /// Longest wait for slow callers to read the answers that stand ready when the server stops.
    constexpr Milliseconds maxDrainTime { 30000 };

    /// Interval of looks at the table while the server stops.
    constexpr Milliseconds drainCheckInterval { 10 };

    /// Idle time after which a kept connection is closed. Short, because an idle connection occupies a worker thread.
    constexpr int keepAliveSeconds = 2;

    /// Requests served on one connection before it is closed.
    constexpr std::size_t keepAliveRequests = 10000;

    /// Length of the start of a prompt that is hashed, in bytes: requests with the same start can reuse the same cached
    /// prompt prefix.
    constexpr std::size_t prefixBytes = 64;

    /// Average bytes per token, for estimating the cost of a prompt from the size of the request body.
    constexpr std::uint64_t bytesPerToken = 4;

    /// Writes the JSON answer of a refused request.
    void writeRefusal(const FailRequest& refusal, httplib::Response& response)
    {
        constexpr std::int64_t millisecondsPerSecond = 1000;
        response.status = refusal.status;
        response.set_header("X-Outcome", outcomeName(refusal.outcome));
        response.set_header("X-Request-Id", std::to_string(refusal.request.value));
        if (refusal.retryAfter.value > 0)
            response.set_header("Retry-After",
                std::to_string((refusal.retryAfter.value + millisecondsPerSecond - 1) / millisecondsPerSecond));
        const nlohmann::json body {
            { "outcome", outcomeName(refusal.outcome) },
            { "reason", refusal.reason },
            { "step", refusal.step },
            { "peer", refusal.peer.value },
            { "request_id", refusal.request.value },
        };
        response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
    }

    /// Properties of a request body that routing depends on.
    struct PromptEstimate {
        std::uint64_t prefixHash { 0 }; ///< 0 when the body has no prompt
        Tokens cost { 1 }; ///< estimated tokens of prompt and answer
    };

    PromptEstimate estimatePrompt(const std::string& body)
    {
        PromptEstimate result { .cost = { 1 + body.size() / bytesPerToken } };
        const auto json = nlohmann::json::parse(body, nullptr, false);
        if (!json.is_object())
            return result;
        const auto tokens = json.find("max_tokens");
        if (tokens != json.end() && tokens->is_number_unsigned())
            result.cost.value += tokens->get<std::uint64_t>();
        const auto prompt = json.find("prompt");
        if (prompt != json.end() && prompt->is_string())
            result.prefixHash = stableHash("prompt", prompt->get_ref<const std::string&>().substr(0, prefixBytes));
        return result;
    }

    bool isLoopback(const std::string& address) { return address.starts_with("127.") || address == "::1"; }

} // namespace

struct EntryHttp::State {
    State(EntryHttpOptions settings, RequestTable& requests)
        : options(std::move(settings))
        , table(requests)
    {
    }

    void addRoutes();
    void serveCaller(const httplib::Request& request, httplib::Response& response);
    void streamAnswer(const std::shared_ptr<PendingRequest>& pending, httplib::Response& response);
    void serveOperator(const httplib::Request& request, httplib::Response& response, OperatorCallKind kind);
    bool authorised(const httplib::Request& request) const;
    void reportCallerDisconnected(const PendingRequest& pending);

    EntryHttpOptions options;
    RequestTable& table; ///< requests in progress
    std::unique_ptr<httplib::Server> server; ///< plain HTTP or TLS, created by start()
    std::atomic<HttpTaskQueue*> queue { nullptr }; ///< owned by the server, set before it accepts connections
    std::thread thread; ///< accepts connections
    std::atomic<bool> refusing { false }; ///< callers' requests are refused
    std::mutex mutex; ///< guards nextCall and calls
    std::uint64_t nextCall { 1 }; ///< number of the next operator call
    std::map<std::uint64_t, std::promise<OperatorAnswer>> calls; ///< operator calls that wait for an answer, by number
};

EntryHttp::EntryHttp(EntryHttpOptions options, RequestTable& table)
    : state(std::make_unique<State>(std::move(options), table))
{
}

EntryHttp::~EntryHttp() { this->stop(); }

unsigned EntryHttp::start()
{
    State& data = *this->state;
    if (data.options.tlsCertificate.empty())
        data.server = std::make_unique<httplib::Server>();
    else
        data.server
            = std::make_unique<httplib::SSLServer>(data.options.tlsCertificate.c_str(), data.options.tlsKey.c_str());
    if (!data.server->is_valid())
        throw std::runtime_error("cannot load the TLS certificate or its key: " + data.options.tlsCertificate);
    data.server->new_task_queue = [&data] {
        auto* queue = new HttpTaskQueue(data.options.workers);
        data.queue = queue;
        return queue;
    };
    data.server->set_tcp_nodelay(true);
    data.server->set_keep_alive_timeout(keepAliveSeconds);
    data.server->set_keep_alive_max_count(keepAliveRequests);
    data.server->set_payload_max_length(data.options.maxBody.value);
    data.addRoutes();
    const unsigned port = bindServer(*data.server, data.options.listen);
    data.thread = std::thread([&data] { data.server->listen_after_bind(); });
    return port;
}

void EntryHttp::stop()
{
    State& data = *this->state;
    if (!data.thread.joinable())
        return;
    this->refuseArrivals();
    // A stopped server breaks off answers that have not been written to their end.
    for (const Milliseconds until = monotonicNow() + maxDrainTime; !data.table.empty() && monotonicNow() < until;)
        std::this_thread::sleep_for(std::chrono::milliseconds(drainCheckInterval.value));
    data.server->stop();
    data.thread.join();
}

void EntryHttp::refuseArrivals() { this->state->refusing = true; }

void EntryHttp::answerOperator(const OperatorAnswer& answer)
{
    const std::lock_guard lock(this->state->mutex);
    const auto found = this->state->calls.find(answer.call);
    if (found == this->state->calls.end())
        return;
    found->second.set_value(answer);
    this->state->calls.erase(found);
}

void EntryHttp::State::addRoutes()
{
    this->server->set_post_routing_handler([this](const httplib::Request&, httplib::Response& response) {
        if (this->refusing || HttpTaskQueue::overloaded() || this->queue.load()->busy())
            response.set_header("Connection", "close");
    });
    const auto caller = [this](const httplib::Request& request, httplib::Response& response) {
        this->serveCaller(request, response);
    };
    constexpr const char* servicePattern = R"(/v1/services/([^/]+)(/.*)?)";
    this->server->Post(servicePattern, caller);
    this->server->Put(servicePattern, caller);
    this->server->Get(servicePattern, caller);
    this->server->Delete(servicePattern, caller);
    const auto operatorRoute = [this](OperatorCallKind kind) {
        return [this, kind](const httplib::Request& request, httplib::Response& response) {
            this->serveOperator(request, response, kind);
        };
    };
    this->server->Get("/v1/entries", operatorRoute(OperatorCallKind::Entries));
    this->server->Post("/v1/config/check", operatorRoute(OperatorCallKind::CheckConfig));
    this->server->Post("/v1/config/diff", operatorRoute(OperatorCallKind::DiffConfig));
    this->server->Post("/v1/config", operatorRoute(OperatorCallKind::ApplyConfig));
    this->server->Get("/v1/config", operatorRoute(OperatorCallKind::ShowConfig));
    this->server->Get("/v1/config/history", operatorRoute(OperatorCallKind::History));
    this->server->Get("/v1/status", operatorRoute(OperatorCallKind::Status));
    this->server->Get("/v1/upstreams", operatorRoute(OperatorCallKind::Upstreams));
    this->server->Get("/v1/rollout", operatorRoute(OperatorCallKind::Rollout));
    addStatusPages(*this->server, this->options.health);
}

void EntryHttp::State::reportCallerDisconnected(const PendingRequest& pending)
{
    this->options.onEvent(CallerDisconnected { .request = pending.request });
}

void EntryHttp::State::serveCaller(const httplib::Request& request, httplib::Response& response)
{
    // Refused only after the body was read: an answer sent earlier is lost when the connection is closed.
    if (HttpTaskQueue::overloaded()) {
        writeRefusal({ .outcome = Outcome::NotRun,
                         .status = 503,
                         .reason = "too-many-callers",
                         .retryAfter = { 1000 },
                         .step = "accept" },
            response);
        return;
    }
    const std::string path = request.matches[2].matched ? request.matches[2].str() : "/";
    Milliseconds timeout = this->options.defaultTimeout;
    if (request.has_header("X-Timeout-Ms")) {
        timeout = { std::atoll(request.get_header_value("X-Timeout-Ms").c_str()) };
        if (timeout.value <= 0) {
            writeRefusal({ .outcome = Outcome::NotRun, .status = 400, .reason = "bad-timeout", .step = "read-request" },
                response);
            return;
        }
        timeout = std::min(timeout, this->options.defaultTimeout);
    }
    const auto pending = this->table.add({
        .method = request.method,
        .path = path,
        .contentType = request.get_header_value("Content-Type"),
        .body = request.body,
    });
    // Checked after add(): when this reads false, the table shows the request to those that wait for the table to be
    // empty.
    if (this->refusing) {
        this->table.remove(pending->request);
        writeRefusal({ .outcome = Outcome::NotRun,
                         .status = 503,
                         .reason = "leaving",
                         .retryAfter = { 1000 },
                         .step = "accept" },
            response);
        return;
    }
    const PromptEstimate prompt = estimatePrompt(request.body);
    this->options.onEvent(RequestArrived {
        .request = pending->request,
        .service = { request.matches[1].str() },
        .workspace = { request.get_header_value("X-Workspace") },
        .rank = request.get_header_value("X-Rank"),
        .path = path,
        .idempotencyKey = request.get_header_value("Idempotency-Key"),
        .requestDigest = { digestHex(request.method + "\n" + path + "\n" + request.body) },
        .prefixHash = prompt.prefixHash,
        .cost = prompt.cost,
        .timeout = timeout,
    });

    ConnectionProbe probe(request);
    std::unique_lock lock(pending->mutex);
    while (!pending->changed.wait_for(lock, std::chrono::milliseconds(disconnectCheckInterval.value),
        [&] { return pending->end || !pending->parts.empty(); })) {
        lock.unlock();
        const bool disconnected = probe.closed();
        lock.lock();
        if (!disconnected)
            continue;
        lock.unlock();
        this->reportCallerDisconnected(*pending);
        this->table.remove(pending->request);
        return;
    }
    if (pending->end && std::holds_alternative<FailRequest>(*pending->end) && pending->nextSequence == 0) {
        writeRefusal(std::get<FailRequest>(*pending->end), response);
        lock.unlock();
        this->table.remove(pending->request);
        return;
    }
    lock.unlock();
    this->streamAnswer(pending, response);
}

void EntryHttp::State::streamAnswer(const std::shared_ptr<PendingRequest>& pending, httplib::Response& response)
{
    {
        const std::lock_guard lock(pending->mutex);
        response.status = pending->status;
        response.set_header("X-Request-Id", std::to_string(pending->request.value));
    }
    const auto provide = [this, pending](std::size_t, httplib::DataSink& sink) {
        std::string data;
        bool ended = false;
        bool complete = false;
        {
            std::unique_lock lock(pending->mutex);
            pending->changed.wait_for(lock, std::chrono::milliseconds(disconnectCheckInterval.value),
                [&] { return pending->end || !pending->parts.empty(); });
            while (!pending->parts.empty()) {
                data += pending->parts.front();
                pending->parts.pop_front();
            }
            pending->bufferedBytes = 0;
            ended = pending->end.has_value();
            complete = ended && std::holds_alternative<FinishRequest>(*pending->end);
        }
        const bool alive = data.empty() ? sink.is_writable() : sink.write(data.data(), data.size());
        if (!alive) {
            this->reportCallerDisconnected(*pending);
            return false;
        }
        if (complete)
            sink.done();
        // Returning false omits the last chunk, so that the caller cannot take a broken answer for a complete one.
        return complete || !ended;
    };
    const std::string type = pending->contentType.empty() ? "application/octet-stream" : pending->contentType;
    response.set_chunked_content_provider(
        type, provide, [this, pending](bool) { this->table.remove(pending->request); });
}

bool EntryHttp::State::authorised(const httplib::Request& request) const
{
    if (this->options.operatorToken.empty())
        return isLoopback(request.remote_addr);
    return equalSecrets(request.get_header_value("Authorization"), "Bearer " + this->options.operatorToken);
}

void EntryHttp::State::serveOperator(
    const httplib::Request& request, httplib::Response& response, OperatorCallKind kind)
{
    const auto refuse = [&response](int status, const char* reason) {
        response.status = status;
        response.set_content(nlohmann::json { { "error", reason } }.dump(), "application/json");
    };
    if (kind != OperatorCallKind::Entries && !this->authorised(request)) {
        refuse(403, "not authorised");
        return;
    }
    OperatorCall call { .kind = kind, .body = request.body, .changeId = { request.get_header_value("X-Change-Id") } };
    const std::string generation = kind == OperatorCallKind::ApplyConfig ? request.get_header_value("X-Base-Generation")
                                                                         : request.get_param_value("generation");
    call.generation = { std::strtoull(generation.c_str(), nullptr, 10) };
    std::future<OperatorAnswer> answered;
    {
        const std::lock_guard lock(this->mutex);
        call.call = this->nextCall++;
        answered = this->calls[call.call].get_future();
    }
    const std::uint64_t number = call.call;
    this->options.onEvent(OperatorCalled { .call = std::move(call) });
    if (answered.wait_for(std::chrono::milliseconds(operatorTimeout.value)) != std::future_status::ready) {
        const std::lock_guard lock(this->mutex);
        this->calls.erase(number);
        refuse(504, "no answer in time");
        return;
    }
    const OperatorAnswer answer = answered.get();
    response.status = answer.status;
    response.set_content(answer.body, "application/json");
}

struct StatusHttp::State {
    httplib::Server server;
    std::thread thread; ///< accepts connections
};

StatusHttp::StatusHttp()
    : state(std::make_unique<State>())
{
}

StatusHttp::~StatusHttp() { this->stop(); }

unsigned StatusHttp::start(const std::string& listen, std::function<ProcessHealth()> health)
{
    constexpr unsigned statusWorkers = 2;
    this->state->server.new_task_queue = [] { return new HttpTaskQueue(statusWorkers); };
    this->state->server.set_keep_alive_timeout(keepAliveSeconds);
    addStatusPages(this->state->server, std::move(health));
    const unsigned port = bindServer(this->state->server, listen);
    this->state->thread = std::thread([this] { this->state->server.listen_after_bind(); });
    return port;
}

void StatusHttp::stop()
{
    if (!this->state->thread.joinable())
        return;
    this->state->server.stop();
    this->state->thread.join();
}

} // namespace hickory
