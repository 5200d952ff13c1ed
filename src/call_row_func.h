#pragma once

#include "call_row_type.h"
#include "error_type.h"

#include <string>
#include <string_view>

namespace hickory {

/// @param service service that the call is for
/// @param workspace workspace of the caller
/// @param idempotencyKey Idempotency-Key chosen by the caller
/// @return key of the call's row in the table service
std::string callRowKey(const ServiceId& service, const WorkspaceId& workspace, std::string_view idempotencyKey);

/// Encodes a call row as JSON. The answer is written as base64 because it may hold any bytes.
/// @return content of the row in the table service
std::string encodeCallRow(const CallRow& row);

/// Decodes a call row written by encodeCallRow().
/// @param value content of the row in the table service
/// @return the row, or an error with code Protocol and the step "decode-call-row"
Result<CallRow> decodeCallRow(std::string_view value);

} // namespace hickory
