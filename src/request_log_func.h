#pragma once

#include "entry_effect_type.h"
#include "request_state_type.h"

#include <string>

namespace hickory {

/// @return the id as 16 lower-case hex digits, the form used in log lines
std::string requestIdText(RequestId request);

/// Increments a counter by one.
/// @param effects receives the sample
/// @param name metric name without prefix
/// @param labels `key="value",...` or empty
void countMetric(EntryEffects& effects, std::string name, std::string labels);

/// Records a duration in a histogram, in ms.
/// @param effects receives the sample
/// @param name metric name without prefix
/// @param labels `key="value",...` or empty
/// @param value duration
void observeMetric(EntryEffects& effects, std::string name, std::string labels, Milliseconds value);

/// @param event name of the log event
/// @return a log line with the id, service, rank and workspace of the request
LogLine requestLine(std::string event, const Request& request);

} // namespace hickory
