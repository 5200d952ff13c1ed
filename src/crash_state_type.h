#pragma once

#include "crash_type.h"
#include "upstream_entry_type.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_set>

namespace hickory {

using RequestTraits = std::set<RequestTrait>;

/// A process of an upstream that crashed, and what may have caused it.
struct KnownCrash {
    Milliseconds at; ///< when the process ended, on this process's clock
    Milliseconds changedAt; ///< when this entry last learned something new about it
    Milliseconds trialAt; ///< suspected traits may be tried from then on
    RequestTraits traits; ///< of requests that the process was about to begin, without those known to be sound
};

/// Connections to an upstream broke with requests in flight. The process or the network may be the cause.
struct BrokenUpstream {
    Milliseconds at; ///< when the first connection broke
    CrashId process; ///< the process that ended, if it did
    std::uint32_t broken { 0 }; ///< sends that were cut off
    /// The process is known to have ended: it refuses connections, left the list or was restarted.
    bool ended { false };
    bool probing { true }; ///< whether it accepts connections is not known yet
    bool recorded { false }; ///< recorded as a crash
    RequestTraits traits; ///< of requests that had not begun
};

/// Traits whose requests are refused.
struct Quarantine {
    RequestTraits traits; ///< requests that have all of them are refused
    Milliseconds since; ///< when it began
    Milliseconds changedAt; ///< when this entry last learned something new about it
    std::uint32_t count { 1 }; ///< quarantines of these traits so far, this one included
    Milliseconds trialAt; ///< after the end, one request may be tried from then on
};

/// Traits with which a request began lately, in two generations so that the oldest are dropped together.
struct SoundTraits {
    std::unordered_set<RequestTrait> current; ///< since `since`
    std::unordered_set<RequestTrait> previous; ///< of the generation before
    Milliseconds since { 0 }; ///< when the current generation began
};

/// What an entry knows about crashes of upstreams and the requests behind them. All containers are bounded.
struct CrashState {
    std::map<CrashId, KnownCrash> crashes;
    std::map<UpstreamId, BrokenUpstream> broken; ///< upstreams whose connections broke lately
    std::vector<Quarantine> quarantines;
    SoundTraits sound;
    std::map<RequestTrait, Milliseconds> soundNews; ///< suspected traits found sound lately, to tell the other entries
    std::optional<CallId> trial; ///< last request that was sent in spite of a suspicion
};

} // namespace hickory
