#include "ctl_call_io.h"

#include "program_func.h"

#include <nlohmann/json.hpp>

namespace hickory {

Result<HttpReply> callFirstReachableEntry(const CtlOptions& options, HttpCall call)
{
    if (!options.token.empty())
        call.headers.emplace_back("Authorization", "Bearer " + options.token);
    Result<HttpReply> last = Error { .code = make_error_code(ErrorCode::Unavailable),
        .step = "call-entry",
        .detail = "no entry address is configured; use --entries, HICKORY_ENTRIES or a settings file" };
    for (const std::string& entry : options.entries) {
        last = HttpConnection(entry, options.tlsAuthority).send(call);
        if (last)
            return last;
    }
    return last;
}

int exitCodeFor(const HttpReply& reply)
{
    constexpr int conflict = 409;
    constexpr int tooMany = 429;
    constexpr int unavailable = 503;
    constexpr int timeout = 504;
    if (succeeded(reply))
        return exitSuccess;
    if (reply.status == conflict)
        return exitConflict;
    if (reply.status == tooMany || reply.status == unavailable || reply.status == timeout)
        return exitUnavailable;
    return exitFailure;
}

CtlResult unreachableResult(const Error& error) { return { .exitCode = exitUnavailable, .message = error.text() }; }

CtlResult failureResult(const CtlOptions& options, const HttpReply& reply)
{
    const nlohmann::json body = replyJson(reply);
    std::string message = body.value("error", "HTTP status " + std::to_string(reply.status));
    const std::string detail = body.value("detail", std::string());
    if (!detail.empty())
        message += ": " + detail;
    return { .exitCode = exitCodeFor(reply), .output = options.json ? body.dump() + "\n" : "", .message = message };
}

nlohmann::json replyJson(const HttpReply& reply)
{
    nlohmann::json body = nlohmann::json::parse(reply.body, nullptr, false);
    return body.is_discarded() ? nlohmann::json::object() : body;
}

bool succeeded(const HttpReply& reply)
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    return reply.status >= firstSuccess && reply.status < firstRedirect;
}

} // namespace hickory
