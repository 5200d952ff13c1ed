#include "ctl_call_io.h"
#include "ctl_cmd.h"
#include "ctl_file_func.h"
#include "program_func.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

    /// Callers' addresses in the order in which the system prefers them.
    Result<std::vector<std::string>> findEntries(const CtlOptions& options)
    {
        constexpr Milliseconds entriesTimeout { 3000 };
        for (const std::string& known : options.entries) {
            CtlOptions one = options;
            one.entries = { known };
            const Result<HttpReply> reply = callEntries(one, { .path = "/v1/entries", .timeout = entriesTimeout });
            if (!reply || !succeeded(reply.value()))
                continue;
            const std::string scheme = known.substr(0, known.find("://") + 3);
            std::vector<std::string> urls;
            for (const nlohmann::json& entry : replyJson(reply.value()).value("entries", nlohmann::json::array()))
                urls.push_back(scheme + entry.value("address", std::string()));
            if (!urls.empty())
                return urls;
        }
        return Error {
            .code = make_error_code(ErrorCode::Unavailable), .step = "find-entries", .detail = "no entry answered"
        };
    }

    HttpCall makeCall(const CtlOptions& options, const std::string& body)
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

    CtlResult refusal(const HttpReply& reply)
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
    const Result<std::vector<std::string>> entries = findEntries(options);
    if (!entries)
        return unreachableResult(entries.error());
    const HttpCall call = makeCall(options, body);
    Error last;
    for (const std::string& url : entries.value()) {
        const Result<HttpReply> reply = HttpConnection(url, options.tlsAuthority).send(call);
        if (reply && succeeded(reply.value()))
            return {};
        if (reply)
            return refusal(reply.value());
        last = reply.error();
        // Only a request that was never sent goes to the next entry; any other may have run.
        if (last.step != connectStep)
            return { .exitCode = exitFailure,
                .message = "the answer broke off, so the request may have run (outcome unknown): " + last.text() };
    }
    return unreachableResult(last);
}

} // namespace hickory
