#pragma once

#include "clock_type.h"
#include "config_type.h"
#include "operator_type.h"
#include "status_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickory {

/// Last report of an agent whose home is this entry.
struct HomeAgent {
    AgentStatus status; ///< as reported
    Milliseconds reported; ///< when it arrived
};

/// The store operation that an acceptance waits for.
enum class ApplyStep : std::uint8_t {
    ReadCurrent, ///< read of the row, to learn its version and generation
    WriteHistory, ///< write of the current generation's history row
    WriteCurrent, ///< compare-and-set of the row
    ConfirmWrite, ///< read of the row after the answer to the compare-and-set was lost
    ReadConflicting, ///< read of the history row of the generation that the change wanted to become
};

/// An operator's change on its way into the store.
struct PendingApply {
    std::uint64_t call { 0 }; ///< operator's call
    ConfigRecord proposed; ///< what is to be accepted; its generation is the base plus one
    ApplyStep step { ApplyStep::ReadCurrent }; ///< operation in progress
    RowVersion rowVersion; ///< version of the row that the change replaces
    ConfigRecord seen; ///< record last read from the row
    bool written { false }; ///< a compare-and-set was sent, so the change may have taken effect
    std::uint32_t unconfirmedWrites { 0 }; ///< compare-and-sets whose answer was lost
    bool waiting { false }; ///< no operation is in progress: the next one starts at `retryAt`
    Milliseconds retryAt { 0 }; ///< next read while the store does not answer
    Milliseconds deadline { 0 }; ///< afterwards the operator is told that the store does not answer
};

/// An operator's wish to see an older generation.
struct PendingShow {
    std::uint64_t call { 0 }; ///< operator's call
    Generation generation; ///< generation whose history row is read
};

/// One line of the history.
struct HistoryEntry {
    Generation generation; ///< accepted generation
    bool known { false }; ///< its history row was read
    ChangeId changeId; ///< set when known
    std::string digest; ///< set when known
};

/// An operator's wish to see the history.
struct PendingHistory {
    std::uint64_t call { 0 }; ///< operator's call
    std::vector<HistoryEntry> entries; ///< newest first
    std::size_t outstanding { 0 }; ///< reads in progress
};

/// An operator's wish to see the status of the fleet.
struct PendingStatus {
    std::uint64_t call { 0 }; ///< operator's call
    std::vector<EntryStatus> answers; ///< from entries that answered
    std::set<HostId> waiting; ///< entries that did not answer yet
    Milliseconds deadline { 0 }; ///< afterwards those count as unreachable
};

/// Acceptance and spreading of configurations, operator calls and home reports at an entry.
struct ControlState {
    std::uint64_t lastOperation { 0 }; ///< number of the newest operation below
    std::map<std::uint64_t, PendingApply> applies; ///< by operation
    std::map<std::uint64_t, PendingShow> shows; ///< by operation
    std::map<std::uint64_t, PendingHistory> histories; ///< by operation
    std::map<std::uint64_t, PendingStatus> statuses; ///< by operation
    std::map<HostId, HomeAgent> homeAgents; ///< agents that reported lately
    std::map<HostId, Milliseconds> unreachable; ///< entries that gossip did not reach, and until when that counts
    Milliseconds nextPoll { 0 }; ///< next read of `config/current`
    Milliseconds nextGossip { 0 }; ///< next gossip round
    Milliseconds nextFetch { 0 }; ///< earliest time of the next fetch of a configuration from a peer
};

} // namespace hickory
