#pragma once

#include "call_pool_io.h"
#include "peer_type.h"
#include "platform_table_io.h"
#include "relay_state_type.h"
#include "row_history_func.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Path at which an entry serves its copies of the store's tables to peers that do not poll or cannot reach the store.
constexpr const char* peerTablesPath = "/v1/peer/tables";

/// Versions of the table copies that the requesting process holds; 0 for none.
struct PeerVersions {
    StoreVersion operators; ///< operators' table: configuration and declared weights
    StoreVersion upstreams; ///< table of live upstreams
    /// The operators' rows are wanted even if they are large. The list of upstreams must not wait behind them.
    bool large { false };
    bool patches {
        true
    }; ///< rows may come as changes of what the requesting process holds; older programs want whole ones
};

/// A configuration in force that the store has lost. Processes that start learn it from the others only.
struct LostConfig {
    std::string text; ///< as operators wrote it
    WrittenEra writtenIn;
};

/// What an entry serves to peers.
struct ServedTables {
    const platform::TableSnapshot& operators; ///< operators' table: configuration and declared weights
    const platform::TableSnapshot& upstreams; ///< table of live upstreams
    const std::map<ModelId, DeclaredWeights>& declared; ///< declared weights by model
    std::optional<LostConfig> lostConfig; ///< empty unless the store has lost the configuration in force
    RowHistory* config { nullptr }; ///< of the configuration's row; without it the row is always sent whole
};

/// Changes in a peer's copies of both tables since the versions in the request.
struct PeerTables {
    platform::TableChanges operators; ///< operators' table: configuration and declared weights
    std::vector<RowPatch> operatorPatches; ///< rows of the operators' table as changes of the former ones
    bool operatorsLarge { false }; ///< the changes of the operators' table were left out; to be requested as large
    platform::TableChanges upstreams; ///< table of live upstreams
    std::optional<LostConfig> lostConfig; ///< as in ServedTables
    std::vector<PeerWeights> declared; ///< declared weights that the peer knows; none if it runs an older program
};

/// @param beacon of an entry with a configuration
/// @return whether the sender has a configuration in force that was written later than the one in force here
bool hasLaterConfig(const PeerBeacon& beacon, const RelayState& state);

/// @param held versions of the requesting process
/// @return path and query of the request
std::string peerTablesTarget(const PeerVersions& held);
/// @param target path and query of a request
/// @return the versions in it; 0 for one that is missing
PeerVersions decodePeerVersions(const std::string& target);

/// Load pattern: all entries fetch a configuration of thousands of routes at the same moment, over links that the list
/// of upstreams needs as well, and operators change it again before all have it. A changed configuration is sent as a
/// patch where the requesting process may hold the former one. Operators' rows of more than maxPromptOperatorRows are
/// left out unless they were asked for; then they are sent whole.
/// @param held versions of the requesting process
/// @return JSON with the age of each copy, the changes since these versions, and the newest versions of each model
/// with the time since they are known not to have been declared yet
std::string encodePeerTables(const ServedTables& tables, const PeerVersions& held, Milliseconds now);

/// Adds the rows that patches make of this process's copy to the changes.
/// @return whether all could be made; if not, the rows are to be requested as large
bool resolvePatches(PeerTables& tables, const platform::TableSnapshot& copy);

/// @param answer response of a peer
/// @param sentAt when the request was sent; ages are subtracted from it, so that the moments are never too late
/// @return the changes, the error of the request, or Protocol when the body is not such a document
Result<PeerTables> decodePeerTables(const Result<FetchResponse>& answer, Milliseconds sentAt);

} // namespace hickory
