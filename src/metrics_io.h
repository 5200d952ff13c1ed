#pragma once

#include "log_type.h"

#include <cstdint>
#include <string>

namespace hickory {

/// Applies a sample to the process's metrics. Histograms are Boost.Histogram with logarithmic bins. Safe from any
/// thread.
void recordMetric(const MetricSample& sample);

/// @return all metrics as the text page for scrapers, with names prefixed by "hickory_"
std::string metricsPage();

/// Process figures read from the operating system.
struct ProcessUsage {
    double cpuSeconds { 0 }; ///< user and system time since start
    std::uint64_t residentBytes { 0 }; ///< resident memory
};

/// @return usage of this process, also on the metrics page as process_cpu_seconds_total and
/// process_resident_memory_bytes
ProcessUsage processUsage();

} // namespace hickory
