#pragma once

#include "log_type.h"

#include <cstdint>
#include <string>

namespace hickory {

/// Applies a sample to the metrics of this process. A sample that would create a series beyond the limit of series is
/// dropped and counted in metric_samples_dropped_total. Safe from any thread.
void recordMetric(const MetricSample& sample);

/// @return all metrics in the Prometheus text format, with names prefixed by "hickory_"
std::string metricsPage();

/// Resource usage of a process.
struct ProcessUsage {
    double cpuSeconds { 0 }; ///< user and system CPU time since the process started, in seconds
    std::uint64_t residentBytes { 0 }; ///< resident memory, 0 when it could not be read
};

/// @return resource usage of this process; the metrics page shows it as process_cpu_seconds_total and
/// process_resident_memory_bytes
ProcessUsage processUsage();

} // namespace hickory
