#pragma once

#include "clock_type.h"
#include "id_type.h"
#include "limit_share_func.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace hickory {

/// Why an upstream counts as cold.
enum class ColdCause : std::uint8_t {
    Listed, ///< it was added to a list that had been read before
    Restarted, ///< its process started again
    Silence, ///< it answers, or is tried, again after it was silent or accepted no connection
    Evacuation, ///< its data centre was evacuated until now
    Row, ///< its row states it
    Answer, ///< it stated that itself in an answer
};

/// What an entry knows of an upstream that started lately. The upstream is cold first, then it warms up.
struct ColdStart {
    Milliseconds since; ///< when this entry last saw a reason for it; statements from before do not end it
    Milliseconds until; ///< end of the cold time
    bool stated { false }; ///< the upstream stated that it is cold; otherwise it is assumed
    /// Nothing is known but that this process stood still, and may not have been told: not logged, without warm-up.
    bool unconfirmed { false };
    bool warming { false }; ///< the end of the cold time was logged
    Milliseconds sendsFrom; ///< gets nothing from this entry before
    /// Entries known lately that share the upstream's limit before this one does.
    std::uint32_t entriesBefore { 0 };
    LimitAllowance allowance; ///< of this entry's share
};

/// What an upstream stated about its cold time.
struct ColdStatement {
    Milliseconds left { 0 }; ///< how much longer it is cold, 0 if it is warm
    Milliseconds madeAfter; ///< earliest moment at which it may have stated that
    ColdCause cause { ColdCause::Row };
};

/// What an entry knew of an upstream of a service with cold starts when it left the list.
struct DelistedCold {
    std::int64_t processStartedAt { 0 }; ///< start of its process, Unix ms
    std::optional<ColdStart> cold; ///< empty if it was warm
    DataCentreId dataCentre; ///< where it runs
    Milliseconds delistedAt; ///< when it left the list
};

/// Entries that share the limits of cold upstreams, as this one knows them.
struct ColdSharers {
    std::map<std::uint64_t, Milliseconds> others; ///< when each other one was last heard, by hash of its host
    std::uint32_t highestCount { 1 }; ///< most entries lately, this one included
    Milliseconds highestCountAt { -1000000 }; ///< when that many were last counted; starts far in the past
    std::deque<Milliseconds> lostAt; ///< when others were given up, within coldEntryMemory; oldest first
    /// Most of the others vanished together and have not come back: highestCount stays.
    bool isCutOff { false };
    std::optional<Milliseconds> lastEventAt; ///< last event of the reducer, empty before the first
    Milliseconds mayShareFrom; ///< this entry sends nothing to cold upstreams before
    Milliseconds settlesUntil; ///< until then each entry that is heard for the first time defers mayShareFrom
};

} // namespace hickory
