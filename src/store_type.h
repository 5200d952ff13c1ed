#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// What a request to the platform is for. Metrics count store traffic by purpose.
enum class StorePurpose : std::uint8_t {
    ConfigPoll, ///< read of config/current by the designated pollers or at start
    ConfigHistory, ///< history rows of accepted configurations
    ConfigWrite, ///< compare-and-set of config/current
    CallRow, ///< rows of non-repeatable calls
    Fence, ///< fencing numbers
    Placement, ///< placement rows
    Permit, ///< rollout permits
    Members, ///< the membership list
    Manifest, ///< weight manifests in the object store
};

/// Identifies a store operation to the reducer that asked for it.
struct StoreToken {
    StorePurpose purpose { StorePurpose::ConfigPoll }; ///< which reducer part asked, and why
    std::string subject; ///< chosen by the asker, e.g. a service name
    std::uint64_t number { 0 }; ///< chosen by the asker, e.g. a request id or a step

    auto operator<=>(const StoreToken&) const = default;
};

/// Outcome of a store operation.
enum class StoreStatus : std::uint8_t {
    Ok, ///< read: the row exists; write: it took effect
    Absent, ///< read: no such row
    Conflict, ///< write: the version differed; version and value are those of the row
    Unavailable, ///< no answer: a write may or may not have taken effect
};

/// Answer to a store operation.
struct StoreAnswer {
    StoreToken token; ///< as given with the operation
    StoreStatus status { StoreStatus::Unavailable }; ///< outcome
    RowVersion version; ///< version of the row after the operation
    std::string value; ///< row or object content
};

/// Reads one table row.
struct StoreRead {
    StoreToken token; ///< returned with the answer
    std::string key; ///< row key
};

/// Writes one table row by compare-and-set.
struct StoreWrite {
    StoreToken token; ///< returned with the answer
    std::string key; ///< row key
    RowVersion ifVersion; ///< version that the row must have, 0 when it must be absent
    std::string value; ///< new content
    Milliseconds timeToLive { 0 }; ///< 0 keeps the row for good
};

/// Reads one object.
struct ObjectRead {
    StoreToken token; ///< returned with the answer
    std::string name; ///< object name
};

} // namespace hickory
