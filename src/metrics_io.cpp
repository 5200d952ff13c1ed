#include "metrics_io.h"

#include <array>
#include <boost/histogram.hpp>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

namespace hickory {

namespace {

    namespace histogram = boost::histogram;

    constexpr unsigned histogramBins = 28; ///< four bins per decade
    constexpr double histogramLow = 0.1; ///< lower edge of the first bin, ms
    constexpr double histogramHigh = 1000000.0; ///< upper edge of the last bin, ms
    /// Limit of all series together. It bounds memory if a label takes unexpectedly many values.
    constexpr std::size_t maxSeries = 4096;

    using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
    using Histogram = decltype(histogram::make_histogram(LogAxis(histogramBins, histogramLow, histogramHigh)));

    /// Data of one histogram series.
    struct HistogramSeries {
        Histogram bins { histogram::make_histogram(LogAxis(histogramBins, histogramLow, histogramHigh)) };
        double sum { 0.0 }; ///< sum of the samples
    };

    /// All series of the process.
    struct Metrics {
        std::mutex lock; ///< guards the other members
        std::map<std::pair<std::string, std::string>, double> counters; ///< sums of increments, by name and labels
        std::map<std::pair<std::string, std::string>, double> gauges; ///< last values, by name and labels
        std::map<std::pair<std::string, std::string>, HistogramSeries> histograms; ///< histograms, by name and labels
        double dropped { 0.0 }; ///< samples dropped because maxSeries was reached
    };

    Metrics& metrics()
    {
        static Metrics value;
        return value;
    }

    /// @return the value of a series, created if needed; nullptr when maxSeries is reached
    template <typename Series> typename Series::mapped_type* findSeries(Metrics& all, Series& series, auto key)
    {
        const auto found = series.find(key);
        if (found != series.end())
            return &found->second;
        if (all.counters.size() + all.gauges.size() + all.histograms.size() >= maxSeries) {
            all.dropped += 1.0;
            return nullptr;
        }
        return &series[std::move(key)];
    }

    void writeSample(std::ostream& page, const std::string& name, const std::string& labels, double value)
    {
        page << "hickory_" << name;
        if (!labels.empty())
            page << '{' << labels << '}';
        page << ' ' << value << '\n';
    }

    /// Writes the type of a metric before its first sample.
    void writeType(std::ostream& page, const std::string& name, const char* type, std::string& previous)
    {
        if (name != previous)
            page << "# TYPE hickory_" << name << ' ' << type << '\n';
        previous = name;
    }

    void writeSeries(std::ostream& page, const auto& series, const char* type)
    {
        std::string previous;
        for (const auto& [key, value] : series) {
            writeType(page, key.first, type, previous);
            writeSample(page, key.first, key.second, value);
        }
    }

    void writeHistogram(std::ostream& page, const std::string& name, const std::string& labels, const auto& value)
    {
        const std::string prefix = labels.empty() ? "" : labels + ",";
        const auto& axis = value.bins.axis(0);
        // Index -1 is the underflow bin, index size() the overflow bin.
        double count = value.bins.at(-1);
        for (int bin = 0; bin < axis.size(); ++bin) {
            count += value.bins.at(bin);
            std::ostringstream edge;
            edge << axis.bin(bin).upper();
            writeSample(page, name + "_bucket", prefix + "le=\"" + edge.str() + "\"", count);
        }
        count += value.bins.at(axis.size());
        writeSample(page, name + "_bucket", prefix + "le=\"+Inf\"", count);
        writeSample(page, name + "_sum", labels, value.sum);
        writeSample(page, name + "_count", labels, count);
    }

} // namespace

void recordMetric(const MetricSample& sample)
{
    Metrics& all = metrics();
    const std::lock_guard guard(all.lock);
    const std::pair<std::string, std::string> key { sample.name, sample.labels };
    switch (sample.kind) {
    case MetricSample::Kind::Count:
        if (double* counter = findSeries(all, all.counters, key))
            *counter += sample.value;
        break;
    case MetricSample::Kind::Gauge:
        if (double* gauge = findSeries(all, all.gauges, key))
            *gauge = sample.value;
        break;
    case MetricSample::Kind::Observe:
        if (HistogramSeries* histogramSeries = findSeries(all, all.histograms, key)) {
            histogramSeries->bins(sample.value);
            histogramSeries->sum += sample.value;
        }
    }
}

std::string metricsPage()
{
    const ProcessUsage usage = processUsage();
    std::ostringstream page;
    constexpr int digits = 15; // counters stay exact up to 10^15
    page.precision(digits);
    Metrics& all = metrics();
    const std::lock_guard guard(all.lock);
    writeSeries(page, all.counters, "counter");
    writeSeries(page, all.gauges, "gauge");
    std::string previous;
    for (const auto& [key, value] : all.histograms) {
        writeType(page, key.first, "histogram", previous);
        writeHistogram(page, key.first, key.second, value);
    }
    writeType(page, "metric_samples_dropped_total", "counter", previous);
    writeSample(page, "metric_samples_dropped_total", {}, all.dropped);
    writeType(page, "process_cpu_seconds_total", "counter", previous);
    writeSample(page, "process_cpu_seconds_total", {}, usage.cpuSeconds);
    writeType(page, "process_resident_memory_bytes", "gauge", previous);
    writeSample(page, "process_resident_memory_bytes", {}, static_cast<double>(usage.residentBytes));
    return page.str();
}

ProcessUsage processUsage()
{
    ProcessUsage usage;
    rusage resources {};
    if (getrusage(RUSAGE_SELF, &resources) == 0) {
        constexpr double microsecond = 1e-6;
        usage.cpuSeconds = static_cast<double>(resources.ru_utime.tv_sec + resources.ru_stime.tv_sec)
            + static_cast<double>(resources.ru_utime.tv_usec + resources.ru_stime.tv_usec) * microsecond;
    }
    // The second field of statm is the resident memory in pages.
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    if (file >> total >> resident)
        usage.residentBytes = resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return usage;
}

} // namespace hickory
