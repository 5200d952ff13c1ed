#include "beacon_count_func.h"

#include <string>

namespace hickory {

namespace {

    constexpr std::array<const char*, beaconKindCount> kindNames { "load", "summary", "news", "hello", "engine-report",
        "pieces" };

    void appendSamples(std::vector<MetricSample>& samples, std::array<BeaconCounts::Count, beaconKindCount>& counts,
        const char* direction)
    {
        for (std::size_t kind = 0; kind < counts.size(); ++kind) {
            BeaconCounts::Count& count = counts[kind];
            if (count.datagrams == 0)
                continue;
            const std::string labels = std::string("kind=\"") + kindNames[kind] + "\",direction=\"" + direction + "\"";
            samples.push_back(
                { .name = "beacon_datagrams_total", .labels = labels, .value = static_cast<double>(count.datagrams) });
            samples.push_back(
                { .name = "beacon_bytes_total", .labels = labels, .value = static_cast<double>(count.bytes) });
            count = {};
        }
    }

} // namespace

BeaconKind beaconKind(const PeerBeacon& beacon)
{
    const bool fromAgent = beacon.from.front.empty();
    if (fromAgent && beacon.engine)
        return BeaconKind::EngineReport;
    if (fromAgent)
        return beacon.pieces.empty() && !beacon.wantsPieces ? BeaconKind::Hello : BeaconKind::Pieces;
    if (beacon.dataCentreSummary)
        return BeaconKind::Summary;
    if (!beacon.crashNews.empty() || !beacon.notices.empty())
        return BeaconKind::News;
    return beacon.loads.empty() && beacon.engines.empty() ? BeaconKind::Hello : BeaconKind::Load;
}

void countBeacon(std::array<BeaconCounts::Count, beaconKindCount>& counts, const PeerBeacon& beacon,
    std::size_t datagrams, std::size_t bytesEach)
{
    BeaconCounts::Count& count = counts.at(static_cast<std::size_t>(beaconKind(beacon)));
    count.datagrams += datagrams;
    count.bytes += datagrams * bytesEach;
}

std::vector<MetricSample> takeSamples(BeaconCounts& counts)
{
    std::vector<MetricSample> samples;
    appendSamples(samples, counts.sent, "sent");
    appendSamples(samples, counts.received, "received");
    return samples;
}

} // namespace hickory
