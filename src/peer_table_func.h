#pragma once

#include "call_pool_io.h"
#include "platform_table_io.h"
#include "relay_state_type.h"

#include <map>
#include <string>
#include <vector>

namespace hickory {

/// Path at which an entry serves its copies of the store's tables to peers that do not poll or cannot reach the store.
constexpr const char* peerTablesPath = "/v1/peer/tables";

/// Revisions of the table copies that the requesting process holds; 0 for none.
struct PeerRevisions {
    std::uint64_t operators { 0 }; ///< operators' table: configuration and declared weights
    std::uint64_t upstreams { 0 }; ///< table of live upstreams
};

/// What an entry serves to peers.
struct ServedTables {
    const platform::TableSnapshot& operators; ///< operators' table: configuration and declared weights
    const platform::TableSnapshot& upstreams; ///< table of live upstreams
    const std::map<ModelId, DeclaredWeights>& declared; ///< declared weights by model
};

/// Changes in a peer's copies of both tables since the revisions in the request.
struct PeerTables {
    platform::TableChanges operators; ///< operators' table: configuration and declared weights
    platform::TableChanges upstreams; ///< table of live upstreams
    std::vector<PeerWeights> declared; ///< declared weights that the peer knows; none if it runs an older program
};

/// @param held revisions of the requesting process
/// @return path and query of the request
std::string peerTablesTarget(const PeerRevisions& held);
/// @param target path and query of a request
/// @return the revisions in it; 0 for one that is missing
PeerRevisions decodePeerRevisions(const std::string& target);

/// @param held revisions of the requesting process
/// @return JSON with the age of each copy, the changes since these revisions, and the newest versions of each model
/// with the time since they are known not to have been declared yet
std::string encodePeerTables(const ServedTables& tables, const PeerRevisions& held, Milliseconds now);

/// @param answer response of a peer
/// @param sentAt when the request was sent; ages are subtracted from it, so that the moments are never too late
/// @return the changes, the error of the request, or Protocol when the body is not such a document
Result<PeerTables> decodePeerTables(const Result<FetchResponse>& answer, Milliseconds sentAt);

} // namespace hickory
