#pragma once

#include "relay_config_type.h"

#include <map>
#include <string>
#include <vector>

namespace hickory {

/// What a caller tells when it asks where to connect.
struct LookupQuery {
    std::string host; ///< that it is about to send requests to, empty when not told
    RegionId region; ///< where the caller is, empty when not told
    DataCentreId dataCentre; ///< where the caller is, empty when not told
};

/// An entry that is ready.
struct LookupEntry {
    std::string front; ///< "ip:port" where callers connect
    DataCentreId dataCentre; ///< where it is
};

/// @param target path and query of the request
LookupQuery decodeLookupQuery(const std::string& target);

/// Chooses the entries that an answer names. A body may cross into a region that is neither its home nor the caller's
/// only to the entry that the caller connects to, so callers of hosts whose routes have homes are told entries in these
/// homes and in their own region. A host with a route without homes may be served anywhere.
/// @param config in force; null when there is none
/// @param regions region of each data centre
/// @param entries in the order in which an answer names them
/// @return those of the homes of all routes of the host and of the caller's region; all, if that leaves none or the
/// host is not restricted
std::vector<LookupEntry> chooseLookupEntries(const RelayConfig* config, const std::map<DataCentreId, RegionId>& regions,
    const LookupQuery& query, const std::vector<LookupEntry>& entries);

} // namespace hickory
