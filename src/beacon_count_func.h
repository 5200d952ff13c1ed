#pragma once

#include "log_type.h"
#include "peer_type.h"

#include <array>
#include <cstdint>
#include <vector>

namespace hickory {

/// What a datagram between our own processes is sent for. Each kind has a mechanism that bounds how it grows with the
/// fleet (docs/CAPACITY.md).
enum class BeaconKind : std::uint8_t {
    Load, ///< an entry's requests at upstreams, with the reports of agents that it passes on
    Summary, ///< what the entry that represents a data centre tells the others
    News, ///< crashes, quarantines and what upstreams said of themselves
    Hello, ///< an entry to its agents, or a process that is not known yet
    EngineReport, ///< an agent to its home entries
    Pieces, ///< an agent to other agents: pieces that it holds or asks for
};
constexpr std::size_t beaconKindCount = 6;

/// Datagrams and bytes by kind, since the last call of takeSamples().
struct BeaconCounts {
    struct Count {
        std::uint64_t datagrams { 0 };
        std::uint64_t bytes { 0 };
    };
    std::array<Count, beaconKindCount> sent;
    std::array<Count, beaconKindCount> received;
};

/// @return what a beacon is sent for; the first kind that applies, if several do
BeaconKind beaconKind(const PeerBeacon& beacon);
/// Adds datagrams of the same content.
void countBeacon(std::array<BeaconCounts::Count, beaconKindCount>& counts, const PeerBeacon& beacon,
    std::size_t datagrams, std::size_t bytesEach);
/// Takes what was counted, as increments of the counters beacon_datagrams_total and beacon_bytes_total.
std::vector<MetricSample> takeSamples(BeaconCounts& counts);

} // namespace hickory
