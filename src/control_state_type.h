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

/// Last status report of an agent that has this entry as its home, i.e. sends its reports here.
struct HomeAgent {
    AgentStatus status;
    Milliseconds reported; ///< monotonic time at which the report arrived
};

/// Store operation that a pending apply has sent or sends next.
enum class ApplyStep : std::uint8_t {
    ReadCurrent, ///< read `config/current`, to learn its row version and generation
    WriteHistory, ///< write the history row of the current generation
    WriteCurrent, ///< compare-and-set `config/current`
    ConfirmWrite, ///< read `config/current` after the answer to the compare-and-set was lost
    ReadConflicting, ///< read the history row of the proposed generation, which another change may have taken
};

/// A configuration change that an operator submitted and that is being written to the store.
struct PendingApply {
    std::uint64_t call { 0 }; ///< operator call to answer
    ConfigRecord proposed; ///< configuration to commit; its generation is the operator's base generation plus one
    ApplyStep step { ApplyStep::ReadCurrent };
    RowVersion rowVersion; ///< version of `config/current` that the compare-and-set expects
    ConfigRecord lastRead; ///< content of `config/current` when last read
    bool writeSent { false }; ///< a compare-and-set was sent, so the change may have been committed
    std::uint32_t unconfirmedWrites { 0 }; ///< compare-and-sets whose answer was lost
    bool retryPending { false }; ///< no operation is in progress; the current step is repeated at `retryAt`
    Milliseconds retryAt { 0 }; ///< time of the next retry, valid while retryPending is set
    Milliseconds deadline { 0 }; ///< time after which retries stop and the operator gets an error
};

/// A pending operator call for an older generation.
struct PendingShow {
    std::uint64_t call { 0 }; ///< operator call to answer
    Generation generation; ///< generation asked for; its history row is being read
};

/// One generation in the answer to a History call.
struct HistoryEntry {
    Generation generation;
    bool known { false }; ///< its record was read; the fields below are set
    ChangeId changeId;
    std::string digest;
};

/// A pending operator call for the history.
struct PendingHistory {
    std::uint64_t call { 0 }; ///< operator call to answer
    std::vector<HistoryEntry> entries; ///< newest first
    std::size_t outstanding { 0 }; ///< reads of history rows not yet answered
};

/// A pending operator call for the status of all hosts.
struct PendingStatus {
    std::uint64_t call { 0 }; ///< operator call to answer
    std::vector<EntryStatus> answers; ///< statuses received so far
    std::set<HostId> waiting; ///< entries that have not answered yet
    Milliseconds deadline { 0 }; ///< time after which `waiting` entries are reported as unreachable
};

/// State of an entry for configuration changes and their propagation, operator calls and agent reports.
struct ControlState {
    std::uint64_t lastOperation { 0 }; ///< last number used as a key of the four maps below
    std::map<std::uint64_t, PendingApply> applies; ///< by operation number
    std::map<std::uint64_t, PendingShow> shows; ///< by operation number
    std::map<std::uint64_t, PendingHistory> histories; ///< by operation number
    std::map<std::uint64_t, PendingStatus> statuses; ///< by operation number
    std::map<HostId, HomeAgent> homeAgents; ///< agents with a recent report
    /// Entries that gossip could not reach, with the time at which this expires.
    std::map<HostId, Milliseconds> unreachable;
    Milliseconds nextPoll { 0 }; ///< time of the next poll of `config/current`
    Milliseconds nextGossip { 0 }; ///< time of the next gossip round
    Milliseconds nextFetch { 0 }; ///< earliest time of the next configuration fetch from a peer
};

} // namespace hickory
