#pragma once

#include "peer_type.h"

#include <map>
#include <string>
#include <vector>

namespace hickory {

// Reports of engines on their way through entries. An agent sends its reports to two entries of its data centre, its
// homes; each of them passes them on to the other entries there, several reports in one datagram. So the datagrams of
// an entry grow with the entries of its data centre, not with entries times engines.

/// Last report of one engine.
struct KnownEngine {
    EngineReported reported; ///< its age is that at readAt, i.e. 0
    Milliseconds readAt { 0 }; ///< when the agent read it, on this process's clock
    bool toRelay { false }; ///< came from the agent itself, and was not passed on yet
    bool changed { true }; ///< differs in more than load from what other data centres were sent
};

/// Reports that one entry knows.
struct EngineNews {
    std::map<std::string, KnownEngine> engines; ///< by address of the engine
    bool relayAtOnce { false }; ///< one of toRelay differs in more than load from the one before
    bool summarizeAtOnce { false }; ///< a report differs in more than load from what other data centres were sent
    /// Engines state their slowdown in answers to this entry: changes of it travel with regular beacons only, also
    /// where the agent is of an older program, whose reports do not say that it was stated.
    bool slowdownVaries { false };
};

/// Records reports. One that is not newer than the report known is dropped: two homes pass on the same report, and one
/// that was frozen passes on old ones. After reportMaxAge any report replaces a known one, so that an agent whose time
/// of day went back is heard again.
/// @param fromAgent they came from the agent itself, not from another entry
/// @return those that were not dropped
std::vector<EngineReported> recordReports(
    EngineNews& news, const std::vector<EngineReported>& reports, bool fromAgent, Milliseconds now);

/// Takes the reports for the other entries of the data centre: those that came from agents since the last call.
std::vector<EngineReported> takeReportsToRelay(EngineNews& news, Milliseconds now);

/// Takes the reports for other data centres.
/// @param full whether to include reports that did not change
std::vector<EngineReported> takeReportsForSummary(EngineNews& news, bool full, Milliseconds now);

/// Removes reports that are too old to be used.
void removeOldReports(EngineNews& news, Milliseconds now);

} // namespace hickory
