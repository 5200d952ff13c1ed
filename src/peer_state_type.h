#pragma once

#include "peer_type.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickory {

/// A peer and when it was last heard.
struct KnownPeer {
    PeerInfo entry; ///< as it said itself
    Milliseconds lastHeardAt { -1000000 }; ///< its own last beacon; hearsay does not count
    Milliseconds firstSeenAt { 0 }; ///< when it became known
    bool indirect { false }; ///< heard by the entry that speaks for its data centre, not by this one
};

/// Live processes of the fleet as one of them knows them.
struct PeerTable {
    std::map<HostId, KnownPeer> entries; ///< other entries
    std::map<std::string, Milliseconds> agents; ///< ips of agents and when they were last heard
    std::set<std::string> seeds; ///< ips from the settings
    Milliseconds liveTimeout { 1000 }; ///< a process that was silent for longer is taken as gone: ten beacons
};

/// Notes a beacon: its sender, and entries that the sender knows.
/// @param self name of this host
/// @param ip where the datagram came from
void notePeer(PeerTable& table, const HostId& self, const PeerBeacon& beacon, const std::string& ip, Milliseconds now);

/// Forgets peers that were silent for so long that they were replaced.
void forgetSilentPeers(PeerTable& table, Milliseconds now);

/// @return ips to which an entry or agent tells its beacons: seeds and known entries, without this host
std::vector<std::string> beaconTargets(const PeerTable& table, const std::string& selfIp);

/// @return ips of the known entries of one data centre, or of all others; seeds while none is known
std::vector<std::string> dataCentreTargets(
    const PeerTable& table, const DataCentreId& dataCentre, const std::string& selfIp);
std::vector<std::string> otherDataCentreTargets(const PeerTable& table, const DataCentreId& dataCentre);

/// @param self this entry
/// @return whether it speaks for its data centre to the others: the live entry there that is first by name
bool representsDataCentre(const PeerTable& table, const PeerInfo& self, Milliseconds now);

/// Notes entries of another data centre that the one which speaks for it has heard lately.
void noteDataCentreEntries(
    PeerTable& table, const DataCentreId& dataCentre, const std::vector<PeerInfo>& entries, Milliseconds now);

/// @return other live entries that became known lately, so that others can be told of them
std::vector<PeerInfo> recentEntries(const PeerTable& table, Milliseconds now);

/// @return other entries of one data centre that were heard lately
std::vector<PeerInfo> liveEntriesOf(const PeerTable& table, const DataCentreId& dataCentre, Milliseconds now);

/// @param before last report of an engine
/// @return whether a later one says more than a new number of requests
bool changedBeyondLoad(const EngineReported& before, const EngineReported& after);

/// @return other entries that were heard lately
std::vector<PeerInfo> liveEntries(const PeerTable& table, Milliseconds now);

/// @param self name of a host
/// @param entries names of live entries, self included
/// @return whether self is one of the few that ask the store on behalf of all
bool isStoreFollower(const HostId& self, const std::vector<HostId>& entries);

/// @param live other live entries
/// @param dataCentre of the entry that asks
/// @return the entries to ask for copies of the store's tables: followers, of the same data centre where there are some
std::vector<PeerInfo> tableSources(const std::vector<PeerInfo>& live, const DataCentreId& dataCentre);

} // namespace hickory
