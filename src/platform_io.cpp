#include "platform_io.h"

#include "http_client_io.h"
#include "member_func.h"
#include "metrics_io.h"
#include "table/store_purpose.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace hickory {

namespace {

    constexpr std::uint16_t statusOk = 200;
    constexpr std::uint16_t statusNotFound = 404;
    constexpr std::uint16_t statusConflict = 409;

    /// A read of the membership list.
    struct MembersRead {
        std::uint64_t since { 0 }; ///< version that the caller holds
    };

    using Operation = std::variant<StoreRead, StoreWrite, ObjectRead, MembersRead>;

    /// @return value of the metric label `status`
    const char* statusName(StoreStatus status)
    {
        switch (status) {
        case StoreStatus::Ok:
            return "ok";
        case StoreStatus::Absent:
            return "absent";
        case StoreStatus::Conflict:
            return "conflict";
        case StoreStatus::Unavailable:
            break;
        }
        return "unavailable";
    }

    void countOperation(StorePurpose purpose, const char* kind, const char* status)
    {
        recordMetric({ .name = "store_operations_total",
            .labels = std::string("purpose=\"") + storePurposeNames.at(static_cast<std::size_t>(purpose)) + "\",kind=\""
                + kind + "\",status=\"" + status + "\"" });
    }

    /// Parses version and value of a row from the body of an answer.
    /// @return false when the body is malformed or lacks a required value
    bool readRow(const std::string& body, StoreAnswer& answer, bool valueRequired)
    {
        const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
        if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned())
            return false;
        answer.version.value = json["version"].get<std::uint64_t>();
        const auto value = json.find("value");
        if (value != json.end() && value->is_string())
            answer.value = value->get<std::string>();
        else if (valueRequired)
            return false;
        return true;
    }

    std::string tablePath(const std::string& key) { return "/table/" + percentEncode(key, true); }

    StoreAnswer perform(HttpConnection& connection, const StoreRead& operation, Milliseconds timeout)
    {
        StoreAnswer answer { .token = operation.token };
        const Result<HttpReply> reply = connection.send({ .path = tablePath(operation.key), .timeout = timeout });
        if (reply && reply.value().status == statusNotFound)
            answer.status = StoreStatus::Absent;
        else if (reply && reply.value().status == statusOk && readRow(reply.value().body, answer, true))
            answer.status = StoreStatus::Ok;
        countOperation(operation.token.purpose, "read", statusName(answer.status));
        return answer;
    }

    StoreAnswer perform(HttpConnection& connection, const StoreWrite& operation, Milliseconds timeout)
    {
        StoreAnswer answer { .token = operation.token };
        std::string path = tablePath(operation.key) + "?if_version=" + std::to_string(operation.ifVersion.value);
        if (operation.timeToLive.value > 0) {
            constexpr std::int64_t millisecondsPerSecond = 1000;
            path += "&ttl_s="
                + std::to_string((operation.timeToLive.value + millisecondsPerSecond - 1) / millisecondsPerSecond);
        }
        const Result<HttpReply> reply = connection.send({ .method = "PUT",
            .path = path,
            .body = operation.value,
            .contentType = "application/octet-stream",
            .timeout = timeout });
        if (reply && reply.value().status == statusOk && readRow(reply.value().body, answer, false))
            answer.status = StoreStatus::Ok;
        else if (reply && reply.value().status == statusConflict && readRow(reply.value().body, answer, false))
            answer.status = StoreStatus::Conflict;
        if (answer.status == StoreStatus::Ok)
            answer.value = operation.value;
        countOperation(operation.token.purpose, "write", statusName(answer.status));
        return answer;
    }

    StoreAnswer perform(HttpConnection& connection, const ObjectRead& operation, Milliseconds timeout)
    {
        StoreAnswer answer { .token = operation.token };
        const Result<HttpReply> reply
            = connection.send({ .path = "/objects/" + percentEncode(operation.name, true), .timeout = timeout });
        if (reply && reply.value().status == statusNotFound)
            answer.status = StoreStatus::Absent;
        else if (reply && reply.value().status == statusOk) {
            answer.status = StoreStatus::Ok;
            answer.value = reply.value().body;
        }
        countOperation(operation.token.purpose, "read", statusName(answer.status));
        return answer;
    }

    /// @return the membership list, or nothing when it is unchanged or could not be read
    std::optional<MemberList> perform(HttpConnection& connection, const MembersRead& operation, Milliseconds timeout)
    {
        const Result<HttpReply> reply
            = connection.send({ .path = "/members?since=" + std::to_string(operation.since), .timeout = timeout });
        countOperation(StorePurpose::Members, "read", reply ? "ok" : "unavailable");
        if (!reply || reply.value().status != statusOk)
            return std::nullopt;
        Result<MemberList> list = parseMembers(reply.value().body);
        if (!list || list.value().version == operation.since)
            return std::nullopt;
        return std::move(list.value());
    }

    /// @return true, or the error
    Result<bool> upload(const std::string& platformUrl, const std::string& path, const std::string& content)
    {
        constexpr Milliseconds uploadTimeout { 600000 }; // uploads may run over a slow link to the origin
        HttpConnection connection(platformUrl);
        const Result<HttpReply> reply = connection.send({ .method = "PUT",
            .path = path,
            .body = content,
            .contentType = "application/octet-stream",
            .timeout = uploadTimeout });
        if (!reply)
            return reply.error();
        constexpr std::uint16_t statusCreated = 201;
        if (reply.value().status == statusOk || reply.value().status == statusCreated)
            return true;
        return Error { .code = make_error_code(ErrorCode::Unavailable),
            .step = "upload",
            .peer = platformUrl + path,
            .detail = "HTTP status " + std::to_string(reply.value().status) };
    }

} // namespace

struct PlatformClient::State {
    PlatformOptions options; ///< fixed at construction
    std::mutex lock; ///< guards pending and stopping
    std::condition_variable ready; ///< signalled for each queued operation and on shutdown
    std::deque<Operation> pending; ///< queued operations
    bool stopping { false }; ///< set by the destructor
    std::vector<std::thread> threads; ///< workers; each has a connection of its own

    explicit State(PlatformOptions options)
        : options(std::move(options))
    {
    }

    /// Answers an operation as Unavailable without contacting the platform. A read of the membership list is dropped.
    void refuse(const Operation& operation) const
    {
        std::visit(
            [this](const auto& body) {
                if constexpr (requires { body.token; })
                    this->options.onAnswer({ .token = body.token });
            },
            operation);
    }

    /// Queues an operation, or refuses it when the queue is full.
    void submit(Operation operation)
    {
        {
            const std::lock_guard guard(this->lock);
            if (!this->stopping && this->pending.size() < this->options.maxPending) {
                this->pending.push_back(std::move(operation));
                this->ready.notify_one();
                return;
            }
        }
        this->refuse(operation);
    }

    /// Body of a worker thread.
    void run()
    {
        HttpConnection connection(this->options.url);
        while (true) {
            std::unique_lock guard(this->lock);
            this->ready.wait(guard, [this] { return this->stopping || !this->pending.empty(); });
            if (this->pending.empty())
                return;
            const Operation operation = std::move(this->pending.front());
            this->pending.pop_front();
            const bool stopping = this->stopping;
            guard.unlock();
            if (stopping)
                this->refuse(operation);
            else
                this->execute(connection, operation);
        }
    }

    void execute(HttpConnection& connection, const Operation& operation) const
    {
        if (const auto* members = std::get_if<MembersRead>(&operation)) {
            std::optional<MemberList> list = perform(connection, *members, this->options.timeout);
            if (list)
                this->options.onMembers(std::move(*list));
            return;
        }
        std::visit(
            [&](const auto& body) {
                if constexpr (requires { body.token; })
                    this->options.onAnswer(perform(connection, body, this->options.timeout));
            },
            operation);
    }
};

PlatformClient::PlatformClient(PlatformOptions options)
    : state(std::make_unique<State>(std::move(options)))
{
    for (unsigned index = 0; index < this->state->options.threads; ++index)
        this->state->threads.emplace_back([state = this->state.get()] { state->run(); });
}

PlatformClient::~PlatformClient()
{
    {
        const std::lock_guard guard(this->state->lock);
        this->state->stopping = true;
    }
    this->state->ready.notify_all();
    for (std::thread& thread : this->state->threads)
        thread.join();
}

void PlatformClient::read(StoreRead operation) { this->state->submit(std::move(operation)); }

void PlatformClient::write(StoreWrite operation) { this->state->submit(std::move(operation)); }

void PlatformClient::readObject(ObjectRead operation) { this->state->submit(std::move(operation)); }

void PlatformClient::readMembers(std::uint64_t since) { this->state->submit(MembersRead { .since = since }); }

Result<bool> putObject(const std::string& platformUrl, const std::string& name, const std::string& content)
{
    return upload(platformUrl, "/objects/" + percentEncode(name, true), content);
}

Result<bool> putWeights(const std::string& platformUrl, const std::string& name, const std::string& content)
{
    return upload(platformUrl, "/weights/" + percentEncode(name, true), content);
}

} // namespace hickory
