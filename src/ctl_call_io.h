#pragma once

#include "ctl_type.h"
#include "error_type.h"
#include "http_client_io.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hickory {

/// Calls the entries in order until one answers. Operators' calls may be sent again: an apply is recognised by its
/// change id.
/// @param options entries and token
/// @param call method, path, headers and body
/// @return the first answer, or the last error
Result<HttpReply> callEntries(const CtlOptions& options, HttpCall call);

/// @param reply an entry's answer
/// @return exit code for its HTTP status
int exitCodeFor(const HttpReply& reply);

/// @param error why no entry answered
CtlResult unreachableResult(const Error& error);

/// Turns an answer that is not a success into a result.
/// @param options for --json
/// @param reply the answer
CtlResult failureResult(const CtlOptions& options, const HttpReply& reply);

/// @return the body as JSON, or an empty object when it is none
nlohmann::json replyJson(const HttpReply& reply);

/// @param reply an entry's answer
/// @return true for HTTP status 200 to 299
bool succeeded(const HttpReply& reply);

} // namespace hickory
