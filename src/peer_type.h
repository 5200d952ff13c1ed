#pragma once

#include "relay_type.h"
#include "store_version_type.h"

#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// An entry or agent as its peers know it.
struct PeerInfo {
    HostId host; ///< name of its host, unique in the fleet
    Incarnation incarnation; ///< start of the process, Unix ms; a later one supersedes earlier ones
    std::string ip; ///< source address of its datagrams; not sent, set by the receiver or derived from `control`
    std::string front; ///< "ip:port" where callers connect, empty for agents
    std::string control; ///< "ip:port" for HTTP between peers, empty for agents
    DataCentreId dataCentre;
    bool ready { false }; ///< it accepts requests from callers
};

/// Pieces of one version of weights that an agent holds and offers to other agents.
struct PieceSet {
    WeightsVersion version;
    std::vector<bool> held; ///< by piece index: the piece can be fetched from the agent

    bool operator==(const PieceSet&) const = default;
};

/// Summary of one data centre, sent to entries of other data centres by the entry that represents it.
struct DataCentreSummary {
    std::vector<PeerLoad> totals; ///< requests in flight from all known entries, at each upstream of the data centre
    std::vector<EngineReported> engines; ///< engine reports that changed; periodically all of them
    std::vector<PeerInfo> entries; ///< live entries of the data centre
};

/// State of a process, sent to its peers several times a second.
struct PeerBeacon {
    PeerInfo from; ///< sender
    ConfigVersion configVersion; ///< configuration in force at the sender, 0 while it has not been compared with others
    WrittenEra configWrittenIn; ///< era of the store in which that configuration was written
    StoreVersion operatorTable; ///< newest row that operators wrote in the sender's copy of their table, entries only
    std::vector<PeerLoad> loads; ///< requests in flight from the sender to each upstream, entries only
    std::optional<EngineReported> engine; ///< last report of the sender's engine, agents only
    std::vector<EngineReported> engines; ///< reports that agents sent to this entry, for its data centre
    std::vector<PieceSet> pieces; ///< weights that the sender offers to other agents, agents only
    bool wantsPieces { false }; ///< the sender asks the receiver which pieces it holds, agents only
    std::vector<PeerInfo> known; ///< other live entries; empty in most beacons
    std::optional<DataCentreSummary> dataCentreSummary; ///< only in beacons to other data centres
    std::vector<UpstreamNoticeReport> notices; ///< what upstreams said of themselves, entries only
    CrashNews crashNews; ///< crashes of upstreams that the sender knows, entries only; empty in most beacons
};

} // namespace hickory
