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
    LogLevel level { LogLevel::Info };
    std::string event; ///< name of the event, e.g. "route"
    std::vector<std::pair<std::string, std::string>> fields; ///< further key and value pairs, in order of output
};

/// One update of a metric, as an effect of a reducer.
struct MetricSample {
    enum class Kind : std::uint8_t {
        Count, ///< counter increment
        Observe, ///< histogram observation
        Gauge ///< new value of a gauge
    };
    Kind kind { Kind::Count };
    std::string name; ///< metric name without prefix, e.g. "requests_total"
    std::string labels; ///< `key="value",...` or empty
    double value { 1.0 }; ///< increment, observed value (ms for latencies) or gauge value
};

} // namespace hickory
