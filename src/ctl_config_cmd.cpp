#include "config_func.h"
#include "ctl_call_io.h"
#include "ctl_cmd.h"
#include "ctl_file_func.h"
#include "ctl_text_func.h"
#include "program_func.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace hickory {

namespace {

    using Json = nlohmann::json;

    /// Exceeds the 15 s timeout of the entry's HTTP layer, so that an entry can still resolve a store write whose
    /// response was lost.
    constexpr Milliseconds operatorTimeout { 20000 };
    /// Interval between status calls while waiting. Each call makes an entry query all other entries.
    constexpr std::chrono::milliseconds pollInterval { 200 };

    constexpr std::uint16_t statusNotFound = 404;

    /// Posts a configuration to an entry.
    /// @return the response, whatever its status, or the error if no entry could be reached
    Result<HttpReply> postConfig(const CtlOptions& options, const std::string& path, const std::string& text)
    {
        return callFirstReachableEntry(options,
            { .method = "POST",
                .path = path,
                .body = text,
                .contentType = "application/toml",
                .timeout = operatorTimeout });
    }

    /// @return the newest generation known to an entry, 0 if no configuration was accepted yet
    Result<Generation> currentGeneration(const CtlOptions& options)
    {
        const Result<HttpReply> reply
            = callFirstReachableEntry(options, { .path = "/v1/config", .timeout = operatorTimeout });
        if (!reply)
            return reply.error();
        if (reply.value().status == statusNotFound)
            return Generation {};
        if (!succeeded(reply.value()))
            return Error { .code = make_error_code(ErrorCode::Unavailable),
                .step = "read-generation",
                .detail = failureResult(options, reply.value()).message };
        return Generation { replyJson(reply.value()).value("generation", std::uint64_t { 0 }) };
    }

    /// @return a change id of the user's name and a random number
    ChangeId generateChangeId()
    {
        const char* user = std::getenv("USER");
        constexpr std::uint64_t maxNumber = 1000000000000;
        std::random_device device;
        const std::uint64_t number = std::uniform_int_distribution<std::uint64_t>(0, maxNumber)(device);
        return { std::string(user && *user ? user : "operator") + "-" + std::to_string(number) };
    }

    /// Polls the status until the generation is in force on every live host and prints each host that adopts it.
    /// @param started start of the measured time, before the configuration was sent
    /// @param result response body of the apply; "in_force_ms" and "hosts" are added
    /// @return exitFailure if the generation is not in force within options.timeout
    CtlResult waitUntilInForce(const CtlOptions& options, Generation generation, Milliseconds started, Json result)
    {
        std::map<std::string, std::int64_t> elapsedByHost;
        std::string missing = "every host";
        while (monotonicNow() - started < options.timeout) {
            const Result<HttpReply> reply
                = callFirstReachableEntry(options, { .path = "/v1/status", .timeout = operatorTimeout });
            const Json status = reply && succeeded(reply.value()) ? replyJson(reply.value()) : Json::object();
            const std::int64_t elapsed = (monotonicNow() - started).value;
            const auto recordHost = [&](const Json& host) {
                if (host.value("generation", std::uint64_t { 0 }) < generation.value
                    || !elapsedByHost.try_emplace(host.value("host", std::string()), elapsed).second)
                    return;
                if (!options.json)
                    std::cout << "in force on " << host.value("host", std::string()) << " after " << elapsed << " ms"
                              << std::endl;
            };
            for (const Json& entry : status.value("entries", Json::array())) {
                if (entry.value("reachable", true))
                    recordHost(entry);
                for (const Json& agent : entry.value("agents", Json::array()))
                    recordHost(agent);
            }
            const bool newest = status.value("generation", std::uint64_t { 0 }) >= generation.value;
            if (newest && status.value("in_force", false)) {
                result["in_force_ms"] = elapsed;
                result["hosts"] = elapsedByHost;
                return { .output = options.json ? result.dump() + "\n"
                                                : "generation " + std::to_string(generation.value)
                            + " is in force on every live host after " + std::to_string(elapsed) + " ms\n" };
            }
            if (status.contains("waiting_for"))
                missing = status["waiting_for"].dump();
            std::this_thread::sleep_for(pollInterval);
        }
        result["in_force_ms"] = nullptr;
        return { .exitCode = exitFailure,
            .output = options.json ? result.dump() + "\n" : "",
            .message = "accepted, but not in force on every host before the timeout; waiting for " + missing };
    }

} // namespace

CtlResult runCheck(const CtlOptions& options)
{
    const Result<std::string> text = readWholeFile(options.arguments.at(0));
    if (!text)
        return { .exitCode = exitUsage, .message = text.error().text() };
    const Result<Config> config = parseConfig(text.value());
    if (config)
        return { .output = options.json ? "{\"ok\":true}\n"
                                        : "ok: " + std::to_string(config.value().services.size()) + " services, "
                    + std::to_string(config.value().ranks.size()) + " ranks, "
                    + std::to_string(config.value().workspaces.size()) + " workspaces\n" };
    const Json body { { "ok", false }, { "error", "invalid-config" }, { "detail", config.error().detail } };
    return { .exitCode = exitFailure,
        .output = options.json ? body.dump() + "\n" : "",
        .message = options.arguments.at(0) + ": " + config.error().detail };
}

CtlResult runDiff(const CtlOptions& options)
{
    const Result<std::string> text = readWholeFile(options.arguments.at(0));
    if (!text)
        return { .exitCode = exitUsage, .message = text.error().text() };
    const Result<HttpReply> reply = postConfig(options, "/v1/config/diff", text.value());
    if (!reply)
        return unreachableResult(reply.error());
    if (!succeeded(reply.value()))
        return failureResult(options, reply.value());
    if (options.json)
        return { .output = reply.value().body + "\n" };
    const Json body = replyJson(reply.value());
    std::string output = "against generation " + std::to_string(body.value("generation", std::uint64_t { 0 })) + "\n";
    for (const Json& line : body.value("changes", Json::array()))
        output += line.get<std::string>() + "\n";
    if (body.value("changes", Json::array()).empty())
        output += "no change in services, ranks or workspaces\n";
    return { .output = output };
}

CtlResult runApply(const CtlOptions& options)
{
    const Result<std::string> text = readWholeFile(options.arguments.at(0));
    if (!text)
        return { .exitCode = exitUsage, .message = text.error().text() };
    Generation base = options.base;
    if (!options.hasBase) {
        const Result<Generation> current = currentGeneration(options);
        if (!current)
            return unreachableResult(current.error());
        base = current.value();
    }
    const ChangeId change = options.changeId.empty() ? generateChangeId() : options.changeId;
    if (!options.json)
        std::cout << "change id " << change.value << ", based on generation " << base.value << std::endl;
    const Milliseconds started = monotonicNow();
    const Result<HttpReply> reply = callFirstReachableEntry(options,
        { .method = "POST",
            .path = "/v1/config",
            .headers = { { "X-Base-Generation", std::to_string(base.value) }, { "X-Change-Id", change.value } },
            .body = text.value(),
            .contentType = "application/toml",
            .timeout = operatorTimeout });
    if (!reply)
        return unreachableResult(reply.error());
    if (!succeeded(reply.value()))
        return failureResult(options, reply.value());
    const Json body = replyJson(reply.value());
    const Generation generation { body.value("generation", std::uint64_t { 0 }) };
    if (!options.json)
        std::cout << "accepted as generation " << generation.value << std::endl;
    if (options.wait)
        return waitUntilInForce(options, generation, started, body);
    return { .output = options.json ? body.dump() + "\n" : "" };
}

CtlResult runShow(const CtlOptions& options)
{
    const std::string query
        = options.generation.value == 0 ? "" : "?generation=" + std::to_string(options.generation.value);
    const Result<HttpReply> reply
        = callFirstReachableEntry(options, { .path = "/v1/config" + query, .timeout = operatorTimeout });
    if (!reply)
        return unreachableResult(reply.error());
    if (!succeeded(reply.value()))
        return failureResult(options, reply.value());
    // Only the configuration goes to standard output, so that the output can be edited and applied again.
    const Json body = replyJson(reply.value());
    if (options.json)
        return { .output = body.dump() + "\n" };
    return { .output = body.value("text", std::string()),
        .message = "generation " + std::to_string(body.value("generation", std::uint64_t { 0 })) + ", change "
            + body.value("change_id", std::string()) };
}

CtlResult runHistory(const CtlOptions& options)
{
    const Result<HttpReply> reply
        = callFirstReachableEntry(options, { .path = "/v1/config/history", .timeout = operatorTimeout });
    if (!reply)
        return unreachableResult(reply.error());
    if (!succeeded(reply.value()))
        return failureResult(options, reply.value());
    return { .output = options.json ? reply.value().body + "\n" : formatHistory(replyJson(reply.value())) };
}

} // namespace hickory
