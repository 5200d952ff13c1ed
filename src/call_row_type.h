#pragma once

#include "dispatch_type.h"
#include "id_type.h"

#include <cstdint>
#include <string>

namespace hickory {

/// What a call row says about a non-repeatable call.
enum class CallRowState : std::uint8_t {
    Started, ///< an agent gave the call to its upstream, or is about to
    Done, ///< the upstream's answer is recorded
    Cancelled, ///< the attempt did not start and never will; a new attempt may
};

/// Row `calls/{service}/{workspace}/{key}`. Every move of the row is a compare-and-set from the version seen.
struct CallRow {
    CallRowState state { CallRowState::Started }; ///< what happened to the call
    AttemptKey attempt; ///< attempt that the row is about
    Incarnation incarnation; ///< life of the agent that started the attempt, 0 in a row cancelled by an entry
    std::uint64_t dispatchNumber {
        0
    }; ///< number of the dispatch at that agent; tells two dispatches of one attempt apart
    BodyDigest bodyDigest; ///< digest of method, path and body
    std::uint16_t status { 0 }; ///< HTTP status of the recorded answer, 0 when the answer was too long to record
    std::string contentType; ///< of the recorded answer
    std::string answer; ///< body of the recorded answer, any bytes
};

} // namespace hickory
