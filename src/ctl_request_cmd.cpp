#include "ctl_call_io.h"
#include "ctl_cmd.h"
#include "ctl_file_func.h"
#include "program_func.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

    /// Asks the configured entries in order for the list of entries.
    /// @return URLs of the entries in the order of preference that the first response gives
    Result<std::vector<std::string>> fetchEntryUrls(const CtlOptions& options)
    {
        constexpr Milliseconds entriesTimeout { 3000 };
        for (const std::string& known : options.entries) {
            CtlOptions singleEntry = options;
            singleEntry.entries = { known };
            const Result<HttpReply> reply
                = callFirstReachableEntry(singleEntry, { .path = "/v1/entries", .timeout = entriesTimeout });
            if (!reply || !succeeded(reply.value()))
                continue;
            const std::string scheme = known.substr(0, known.find("://") + 3);
            std::vector<std::string> urls;
            for (const nlohmann::json& entry : replyJson(reply.value()).value("entries", nlohmann::json::array()))
                urls.push_back(scheme + entry.value("address", std::string()));
            if (!urls.empty())
                return urls;
        }
        return Error { .code = make_error_code(ErrorCode::Unavailable),
            .step = "find-entries",
            .detail = "no configured entry returned a list of entries" };
    }

    /// Builds the call of a request; its successful response is printed as it arrives.
    HttpCall makeRequestCall(const CtlOptions& options, const std::string& body)
    {
        const std::string& path = options.arguments.at(1);
        HttpCall call { .method = options.method,
            .path = "/v1/services/" + percentEncode(options.arguments.at(0), false) + (path.starts_with("/") ? "" : "/")
                + path,
            .headers = { { "X-Workspace", options.workspace }, { "X-Rank", options.rank },
                { "X-Timeout-Ms", std::to_string(options.timeout.value) } },
            .body = body,
            .timeout = options.timeout };
        if (!options.key.empty())
            call.headers.emplace_back("Idempotency-Key", options.key);
        call.onPart = [](std::string_view part) {
            std::cout << part << std::flush;
            return true;
        };
        return call;
    }

    /// Builds the result for a response with an error status; the message names outcome, reason, step and peer.
    CtlResult errorResult(const HttpReply& reply)
    {
        const nlohmann::json body = replyJson(reply);
        std::string message = "HTTP status " + std::to_string(reply.status);
        for (const char* key : { "outcome", "reason", "step", "peer" })
            if (body.contains(key) && body[key].is_string() && !body[key].get<std::string>().empty())
                message += std::string(" ") + key + "=" + body[key].get<std::string>();
        return { .exitCode = exitCodeFor(reply), .output = reply.body + "\n", .message = message };
    }

} // namespace

CtlResult runRequest(const CtlOptions& options)
{
    std::string body = options.data;
    if (body.starts_with("@")) {
        const Result<std::string> content = readWholeFile(body.substr(1));
        if (!content)
            return { .exitCode = exitUsage, .message = content.error().text() };
        body = content.value();
    }
    const Result<std::vector<std::string>> entries = fetchEntryUrls(options);
    if (!entries)
        return unreachableResult(entries.error());
    const HttpCall call = makeRequestCall(options, body);
    Error last;
    for (const std::string& url : entries.value()) {
        const Result<HttpReply> reply = HttpConnection(url, options.tlsAuthority).send(call);
        if (reply && succeeded(reply.value()))
            return {};
        if (reply)
            return errorResult(reply.value());
        last = reply.error();
        // Only a request that was never sent is retried at the next entry; any other may have been executed.
        if (last.step != connectStep)
            return { .exitCode = exitFailure,
                .message = "the response was interrupted, the request may have been executed (outcome unknown): "
                    + last.text() };
    }
    return unreachableResult(last);
}

} // namespace hickory
