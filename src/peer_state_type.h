#pragma once

#include "peer_type.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickory {

/// An entry and when it was last heard from.
struct KnownPeer {
    PeerInfo entry; ///< from its last beacon, or from another entry until it sends one
    /// Arrival of its last beacon, or when `indirect` of the last summary that lists it. Being named as known by
    /// another entry does not count. Long ago by default, so that the entry is not live.
    Milliseconds lastHeardAt { -1000000 };
    Milliseconds firstSeenAt { 0 }; ///< when it became known, 0 before
    bool indirect { false }; ///< its beacons reach the entry that represents its data centre, but not this process
    Milliseconds listedAt { -1000000 }; ///< when another entry last named it as live; starts far in the past
    /// When an agent first sent it a report that it has not answered by a beacon yet, 0 when there is none.
    Milliseconds unansweredSince { 0 };
};

/// Entries and agents that one process knows.
struct PeerTable {
    std::map<HostId, KnownPeer> entries; ///< other entries
    std::map<std::string, Milliseconds> agents; ///< arrival of the last beacon of each agent, by ip
    std::set<std::string> seeds; ///< ips of the entries in the settings
    Milliseconds liveTimeout { 1000 }; ///< an entry that is silent for longer is not live: ten beacons
};

/// Records the sender of a beacon and the entries that it names as known. The latter become beacon targets, but are
/// not live until they send a beacon themselves.
/// @param self name of this host, whose own beacons are ignored
/// @param ip source address of the datagram
void recordBeacon(
    PeerTable& table, const HostId& self, const PeerBeacon& beacon, const std::string& ip, Milliseconds now);

/// Chooses the entries that an agent reports to. They follow from a hash of agent and entry, so that agents spread over
/// the entries of their data centre and only those of an entry that is gone choose another one. Entries elsewhere are
/// chosen when none here is live. One that does not answer is left out for a while.
/// @param agent host of the agent
/// @return at most homesPerAgent live entries, the first one first; none until an entry was heard
std::vector<PeerInfo> homeEntries(
    const PeerTable& table, const HostId& agent, const DataCentreId& dataCentre, Milliseconds now);
/// Records that an agent sent these entries a report.
void recordReportSent(PeerTable& table, const std::vector<PeerInfo>& homes, Milliseconds now);

/// Lists entries for a beacon: all live ones of the data centre, and some of the others in turn, so that the beacon
/// does not grow with the fleet.
/// @param round counts the lists that were sent
std::vector<PeerInfo> peerList(
    const PeerTable& table, const DataCentreId& dataCentre, std::uint32_t round, Milliseconds now);

/// Removes peers that have been silent for longer than a host takes to restart.
void removeSilentPeers(PeerTable& table, Milliseconds now);

/// @return ips of all seeds and known entries, without this host
std::vector<std::string> beaconTargets(const PeerTable& table, const std::string& selfIp);

/// @return ips of the known entries of a data centre and of seeds whose data centre is unknown, without this host
std::vector<std::string> dataCentreTargets(
    const PeerTable& table, const DataCentreId& dataCentre, const std::string& selfIp);
/// @param targets entries of the data centre, without this one
/// @return time between beacons of an entry to these, which grows with them
Milliseconds dataCentreBeaconPeriod(std::size_t targets);
/// @return ips of the known entries of all data centres but this one
std::vector<std::string> otherDataCentreTargets(const PeerTable& table, const DataCentreId& dataCentre);

/// @param self this entry
/// @return whether it represents its data centre to the others: true for the live entry there that is first by name
bool representsDataCentre(const PeerTable& table, const PeerInfo& self, Milliseconds now);

/// Decides who tells other data centres about crashes at once. That is the entry that represents its data centre; while
/// it misses beacons but still counts as live, the next one by name does so too.
/// @param self this entry
/// @return whether no entry of the same data centre that is earlier by name was heard from lately
bool announcesToOtherDataCentres(const PeerTable& table, const PeerInfo& self, Milliseconds now);

/// Records entries of another data centre from the summary of the entry that represents it. Entries that are heard
/// directly are left as they are.
void recordIndirectEntries(
    PeerTable& table, const DataCentreId& dataCentre, const std::vector<PeerInfo>& entries, Milliseconds now);

/// @return other live entries that became known recently, to be named in beacons
std::vector<PeerInfo> recentEntries(const PeerTable& table, Milliseconds now);

/// @return other live entries of one data centre
std::vector<PeerInfo> liveEntriesIn(const PeerTable& table, const DataCentreId& dataCentre, Milliseconds now);

/// @param before previous report of an engine
/// @param after later report of the same engine
/// @param slowdownVaries the engines state their slowdown, which varies many times a second: it does not count then, as
/// where the later report says so itself
/// @return whether they differ in more than the number of requests: in weights, orders, restart or slowdown
bool changedBeyondLoad(const EngineReported& before, const EngineReported& after, bool slowdownVaries);

/// @return other entries that were heard from within the live timeout, or a longer one if heard indirectly
std::vector<PeerInfo> liveEntries(const PeerTable& table, Milliseconds now);

/// @param self name of a host
/// @param entries names of the ready live entries, and self
/// @return whether self is a store follower: one of the few entries that poll the store; the others copy the tables
/// from them. Every entry keeps its copy of a table in a platform::TableFollower, store follower or not.
bool isStorePoller(const HostId& self, const std::vector<HostId>& entries);

/// Load pattern: the store is away, and all entries' copies become stale together.
/// @param isPoller the entry polls the store on behalf of others
/// @param entries live entries, this one included
/// @return delay between requests to a store that does not answer. The others wait longer the more entries there are:
/// the pollers notice the store's return, and copies come from them
Milliseconds storeRetryDelay(bool isPoller, std::size_t entries);

/// Load pattern: the followers' answers are late for a moment, all copies of a data centre become too old together, and
/// all its entries read a configuration of thousands of routes from the store at once, over a link that is too narrow
/// for that.
/// @param live other live entries
/// @return the entry of this data centre that polls the store first when copies are too old, and from which the others
/// copy then; empty if that is this entry
std::optional<PeerInfo> tableReader(const std::vector<PeerInfo>& live, const PeerInfo& self);

/// Load pattern: operators add thousands of routes, and the entries of a data centre without a follower fetch them at
/// the same moment over the link between data centres.
/// @param live other live entries
/// @param told entry that told of large rows
/// @param attempts requests for large rows since the copy last changed
/// @return entry to request the rows from: the reader of this data centre, or `told` if that is here, if this entry is
/// the reader or if the reader did not have them after maxReaderAttempts
PeerInfo largeRowsSource(
    const std::vector<PeerInfo>& live, const PeerInfo& self, const PeerInfo& told, std::uint32_t attempts);

/// @param live other live entries
/// @param dataCentre data centre of the requesting entry
/// @return entries to request copies of the store's tables from: followers of the same data centre, or all followers
/// when it has none, or all live entries when no entry is ready
std::vector<PeerInfo> tableSources(const std::vector<PeerInfo>& live, const DataCentreId& dataCentre);

} // namespace hickory
