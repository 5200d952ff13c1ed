#pragma once

#include "call_row_type.h"
#include "error_type.h"

#include <string>
#include <string_view>

namespace hickory {

/// @param service service of the call
/// @param workspace caller's workspace
/// @param idempotencyKey caller's key
/// @return key of the call's row in the table service
std::string callRowKey(const ServiceId& service, const WorkspaceId& workspace, std::string_view idempotencyKey);

/// Encodes a call row as JSON. The answer is written as base64 because it may hold any bytes.
/// @param row the row
/// @return value for the table service
std::string encodeCallRow(const CallRow& row);

/// Decodes a call row.
/// @param value content of the row
/// @return the row, or Protocol with the step "decode-call-row"
Result<CallRow> decodeCallRow(std::string_view value);

} // namespace hickory
