#pragma once

#include "ctl_type.h"
#include "error_type.h"
#include "http_client_io.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hickory {

/// Sends a call to the configured entries in order and returns the first response, whatever its status. A call that
/// failed at one entry is repeated at the next; this is safe because an entry recognises a repeated apply by its change
/// id.
/// @param options entry addresses, operator token and TLS authority
/// @param call the authorization header is added if there is a token
/// @return the first response, or the last connection error
Result<HttpReply> callFirstReachableEntry(const CtlOptions& options, HttpCall call);

/// Maps an HTTP status to the exit code of hickoryctl.
/// @return exitSuccess for 2xx, exitConflict for 409, exitUnavailable for 429, 503 and 504, otherwise exitFailure
int exitCodeFor(const HttpReply& reply);

/// Builds the result of a command for which no entry could be reached.
CtlResult unreachableResult(const Error& error);

/// Builds the result of a command from a response that reports an error.
/// @param options --json selects whether the response body is printed too
CtlResult failureResult(const CtlOptions& options, const HttpReply& reply);

/// @return the response body as JSON, or an empty object if it is not valid JSON
nlohmann::json replyJson(const HttpReply& reply);

/// @return true for HTTP status 200 to 299
bool succeeded(const HttpReply& reply);

} // namespace hickory
