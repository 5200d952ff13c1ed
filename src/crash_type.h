#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <vector>

namespace hickory {

/// Hash of something that requests can have in common and that may crash the upstreams that run them: a shared part of
/// the prompt, or the whole request. The lowest bit tells the two kinds apart.
using RequestTrait = NumberId<struct RequestTraitTag>;

/// @return the trait of requests whose prompt holds a part
constexpr RequestTrait asPromptPart(std::uint64_t hash) { return { hash & ~std::uint64_t { 1 } }; }
/// @return the trait of repeats of one request
constexpr RequestTrait asWholeRequest(std::uint64_t hash) { return { hash | 1U }; }
constexpr bool isWholeRequest(RequestTrait trait) { return (trait.value & 1U) != 0; }

/// Hash of an upstream's id and the start of its process: identifies the end of that process in messages between
/// entries.
using CrashId = NumberId<struct CrashTag>;

/// A process of an upstream that crashed, as one entry tells the others.
struct CrashReport {
    CrashId crash;
    Milliseconds age { 0 }; ///< time since the crash
    std::vector<RequestTrait> traits; ///< of requests that it was about to begin, without those known to be sound

    bool operator==(const CrashReport&) const = default;
};

/// A quarantine, as one entry tells the others.
struct QuarantineReport {
    std::vector<RequestTrait> traits; ///< requests that have all of them are refused
    Milliseconds age { 0 }; ///< time since the quarantine began
    std::uint32_t count { 1 }; ///< quarantines of these traits so far, this one included

    bool operator==(const QuarantineReport&) const = default;
};

/// A suspected trait with which a request has begun since, as one entry tells the others.
struct SoundTraitReport {
    RequestTrait trait;
    Milliseconds age { 0 }; ///< time since the request began

    bool operator==(const SoundTraitReport&) const = default;
};

/// What an entry knows about crashes of upstreams. Receivers merge it into their own knowledge.
struct CrashNews {
    std::vector<CrashReport> crashes;
    std::vector<QuarantineReport> quarantines;
    std::vector<SoundTraitReport> sound;

    bool empty() const { return this->crashes.empty() && this->quarantines.empty() && this->sound.empty(); }
    bool operator==(const CrashNews&) const = default;
};

} // namespace hickory
