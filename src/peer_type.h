#pragma once

#include "relay_type.h"

#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// A process as its peers see it.
struct PeerInfo {
    HostId host; ///< name
    Incarnation incarnation; ///< start of the process, Unix ms; a later one replaces an earlier one
    std::string ip; ///< where its datagrams come from, filled in by the receiver or from `control`
    std::string front; ///< "ip:port" for callers, empty for agents
    std::string control; ///< "ip:port" for HTTP between peers, empty for agents
    DataCentreId dataCentre; ///< data centre
    bool ready { false }; ///< callers may be sent there
};

/// Pieces of one version of weights that an agent holds and gives to others.
struct PieceSet {
    WeightsVersion version; ///< of the weights
    std::vector<bool> held; ///< by index

    bool operator==(const PieceSet&) const = default;
};

/// What one entry of a data centre tells the entries of the others on behalf of all there.
struct DataCentreSummary {
    std::vector<PeerLoad> totals; ///< requests of all known entries at each upstream there
    std::vector<EngineReported> engines; ///< reports that changed, now and then all
    std::vector<PeerInfo> entries; ///< live entries there
};

/// What a process tells its peers several times a second.
struct PeerBeacon {
    PeerInfo from; ///< the sender
    ConfigVersion configVersion; ///< that the sender acts on
    std::uint64_t operatorsRevision { 0 }; ///< of the sender's copy of what operators wrote, entries only
    std::vector<PeerLoad> loads; ///< requests under way, entries only
    std::optional<EngineReported> engine; ///< agents only
    std::vector<PieceSet> pieces; ///< agents only
    std::vector<PeerInfo> known; ///< other live entries, sent now and then
    std::optional<DataCentreSummary> dataCentreSummary; ///< sent to other data centres by one entry of each
};

} // namespace hickory
