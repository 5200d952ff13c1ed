#pragma once

#include "call_pool_io.h"
#include "platform_table_io.h"

#include <string>

namespace hickory {

constexpr const char* peerTablesPath = "/v1/peer/tables"; ///< copies of the store's tables, for peers that lost it

/// Revisions of the copies that the asking process holds.
struct PeerRevisions {
    std::uint64_t operators { 0 }; ///< configuration and declared weights
    std::uint64_t upstreams { 0 }; ///< list of upstreams
};

/// What changed in a peer's copies of both tables since the revisions that it was asked with.
struct PeerTables {
    platform::TableChanges operators; ///< configuration and declared weights
    platform::TableChanges upstreams; ///< list of upstreams
};

/// @return path and query of the question
std::string peerTablesTarget(const PeerRevisions& have);
/// @return the revisions in a question; 0 for one that is missing
PeerRevisions decodePeerRevisions(const std::string& target);

/// @return JSON with the age of each copy and what changed since the peer's revisions
std::string encodePeerTables(const platform::TableSnapshot& operators, const platform::TableSnapshot& upstreams,
    const PeerRevisions& have, Milliseconds now);

/// @param answer of a peer
/// @param sentAt when it was asked: a copy is no newer than its age before that
/// @return the changes
Result<PeerTables> decodePeerTables(const Result<FetchAnswer>& answer, Milliseconds sentAt);

} // namespace hickory
