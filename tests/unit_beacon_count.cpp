#include "beacon_count_func.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

PeerBeacon fromEntry()
{
    PeerBeacon beacon;
    beacon.from.front = "10.0.0.1:8000";
    return beacon;
}

} // namespace

TEST_CASE("Datagrams are counted by what they are sent for", "[beacon]")
{
    PeerBeacon report;
    report.engine = EngineReported {};
    PeerBeacon pieces;
    pieces.wantsPieces = true;
    PeerBeacon summary = fromEntry();
    summary.dataCentreSummary = DataCentreSummary {};
    summary.loads.push_back({ .upstream = 1, .sent = 2 });
    PeerBeacon news = fromEntry();
    news.notices.emplace_back();
    PeerBeacon load = fromEntry();
    load.loads.push_back({ .upstream = 1, .sent = 2 });
    CHECK(beaconKind(report) == BeaconKind::EngineReport);
    CHECK(beaconKind(pieces) == BeaconKind::Pieces);
    CHECK(beaconKind(PeerBeacon {}) == BeaconKind::Hello);
    CHECK(beaconKind(summary) == BeaconKind::Summary);
    CHECK(beaconKind(news) == BeaconKind::News);
    CHECK(beaconKind(load) == BeaconKind::Load);
    CHECK(beaconKind(fromEntry()) == BeaconKind::Hello);

    BeaconCounts counts;
    countBeacon(counts.sent, load, 7, 100);
    countBeacon(counts.sent, load, 1, 50);
    countBeacon(counts.received, report, 1, 90);
    const std::vector<MetricSample> samples = takeSamples(counts);
    REQUIRE(samples.size() == 4);
    CHECK(samples[0].name == "beacon_datagrams_total");
    CHECK(samples[0].labels == "kind=\"load\",direction=\"sent\"");
    CHECK(samples[0].value == 8);
    CHECK(samples[1].value == 750);
    CHECK(samples[3].labels == "kind=\"engine-report\",direction=\"received\"");
    CHECK(takeSamples(counts).empty());
}
