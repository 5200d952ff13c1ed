#pragma once

#include "entry_effect_type.h"
#include "request_state_type.h"

#include <string>

namespace hickory {

/// @return id as 16 hex digits, the form used in logs and answers
std::string requestText(RequestId request);

/// Adds a counter increment.
/// @param effects receives it
/// @param name metric name without prefix
/// @param labels `key="value",...` or empty
void countMetric(EntryEffects& effects, std::string name, std::string labels);

/// Adds a histogram observation in ms.
void observeMetric(EntryEffects& effects, std::string name, std::string labels, Milliseconds value);

/// @return a log line about one request with its id, service, rank and workspace
LogLine requestLine(std::string event, const Request& request);

} // namespace hickory
