#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

/// Severity of a log line.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// One structured log line, written as key=value pairs.
struct LogLine {
    LogLevel level { LogLevel::Info }; ///< severity
    std::string event; ///< what happened, e.g. "route"
    std::vector<std::pair<std::string, std::string>> fields; ///< further pairs in order
};

/// A change of a counter, or an observation of a histogram, as data.
struct MetricSample {
    enum class Kind : std::uint8_t { Count, Observe, Gauge };
    Kind kind { Kind::Count }; ///< counter increment, histogram observation or gauge value
    std::string name; ///< metric name without prefix, e.g. "requests_total"
    std::string labels; ///< `key="value",...` or empty
    double value { 1.0 }; ///< increment, observed value (ms for latencies) or gauge value
};

} // namespace hickory
