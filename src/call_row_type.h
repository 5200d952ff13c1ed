#pragma once

#include "dispatch_type.h"
#include "id_type.h"

#include <cstdint>
#include <string>

namespace hickory {

/// State of a non-repeatable call as recorded in its call row.
enum class CallRowState : std::uint8_t {
    Started, ///< an agent has given the call to its upstream or is about to
    Done, ///< the row holds the upstream's answer
    Cancelled, ///< the attempt did not start and never will; a new attempt may start
};

/// Content of the table row `calls/{service}/{workspace}/{key}`. It ensures that a non-repeatable call runs at most
/// once: every update is a compare-and-set on the version that was last read.
struct CallRow {
    CallRowState state { CallRowState::Started };
    AttemptKey attempt; ///< attempt that the state refers to
    Incarnation incarnation; ///< agent process that started it; 0 when an entry cancelled it or its outcome is lost
    std::uint64_t dispatchNumber { 0 }; ///< assigned by the agent; distinguishes dispatches of one attempt
    RequestDigest requestDigest; ///< digest of method, path and body
    std::uint16_t status { 0 }; ///< HTTP status of the recorded answer, 0 when the answer was too long to be recorded
    std::string contentType; ///< Content-Type of the recorded answer
    std::string answer; ///< body of the recorded answer; may hold any bytes
};

} // namespace hickory
