#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// Purpose of an operation on the table service or the object store ("the store"). Metrics count operations by purpose.
enum class StorePurpose : std::uint8_t {
    ConfigPoll, ///< read of config/current, by the designated pollers or at the start
    ConfigHistory, ///< history rows of accepted configurations
    ConfigWrite, ///< compare-and-set of config/current
    CallRow, ///< rows of non-repeatable calls
    Fence, ///< rows of fencing numbers
    Placement, ///< placement rows
    Permit, ///< rows of rollout permits
    Members, ///< reads of the membership list
    Manifest, ///< reads of weight manifests from the object store
};

/// Matches the answer of a store operation to the part of the reducer that requested it.
struct StoreToken {
    StorePurpose purpose { StorePurpose::ConfigPoll }; ///< selects the part that handles the answer
    std::string subject; ///< chosen by the requester, e.g. a service name
    std::uint64_t number { 0 }; ///< chosen by the requester, e.g. a request id or a step number

    auto operator<=>(const StoreToken&) const = default;
};

/// Outcome of a store operation.
enum class StoreStatus : std::uint8_t {
    Ok, ///< read: the row exists; write: it took effect
    Absent, ///< read: no such row
    Conflict, ///< write: the row had another version; the answer holds the version and value of the row
    Unavailable, ///< no answer: a write may or may not have taken effect
};

/// Answer to a store operation.
struct StoreAnswer {
    StoreToken token; ///< as given with the operation
    StoreStatus status { StoreStatus::Unavailable };
    RowVersion version; ///< version of the row after the operation
    std::string value; ///< content of the row or object
};

/// Read one row of the table service. Answered by StoreAnswer.
struct StoreRead {
    StoreToken token; ///< returned in StoreAnswer
    std::string key;
};

/// Write one row of the table service by compare-and-set. Answered by StoreAnswer.
struct StoreWrite {
    StoreToken token; ///< returned in StoreAnswer
    std::string key; ///< key of the row
    RowVersion ifVersion; ///< version that the row must have, 0 when it must be absent
    std::string value; ///< new content
    Milliseconds timeToLive { 0 }; ///< time until the row expires, 0 for never
};

/// Read one object of the object store. Answered by StoreAnswer.
struct ObjectRead {
    StoreToken token; ///< returned in StoreAnswer
    std::string name;
};

} // namespace hickory
