#pragma once

#include "entry_effect_type.h"
#include "rpc_codec_func.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace hickory {

/// How a caller's answer ended.
using AnswerEnd = std::variant<FinishRequest, RefuseRequest, AbortRequest>;

/// One caller's request and the answer that arrives for it. Shared by the HTTP worker, the RPC thread and the reducer's
/// thread.
struct PendingRequest {
    RequestId request; ///< identity
    RequestPayload payload; ///< what is dispatched

    std::mutex mutex; ///< guards the fields below
    std::condition_variable changed; ///< signals a change of them
    Attempt attempt; ///< attempt whose parts are taken, 0 for none
    std::uint32_t nextSequence { 0 }; ///< parts taken so far, over all attempts
    std::deque<std::string> parts; ///< taken and not yet written to the caller
    std::size_t bufferedBytes { 0 }; ///< bytes in parts
    std::uint16_t status { 200 }; ///< HTTP status, valid once a part was taken
    std::string contentType; ///< valid once a part was taken
    std::optional<AnswerEnd> end; ///< set once
};

/// What became of a part.
enum class PartVerdict : std::uint8_t {
    Taken, ///< queued for the caller
    First, ///< queued, and the first of its attempt
    Full, ///< the caller reads slowly; offer it again
    Dropped, ///< it belongs to an earlier attempt, was seen before, or nobody waits
};

/// All requests of an entry that are in progress. Safe from any thread.
class RequestTable {
public:
    std::shared_ptr<PendingRequest> add(RequestPayload payload);
    std::shared_ptr<PendingRequest> find(RequestId request) const;
    void remove(RequestId request);

    /// Takes parts of this attempt from now on, and of no other.
    /// @return false when the request is gone
    bool openAttempt(RequestId request, Attempt attempt);

    /// Takes no more parts of an attempt.
    /// @return parts taken so far, over all attempts
    std::uint32_t closeAttempt(RequestId request, Attempt attempt);

    /// Offers a part of an answer.
    PartVerdict takePart(RequestId request, Attempt attempt, std::uint32_t sequence, std::string data,
        std::uint16_t status, const std::string& contentType);

    /// Ends a request; a second end is ignored.
    void finish(RequestId request, AnswerEnd end);

private:
    mutable std::mutex mutex; ///< guards requests
    std::map<RequestId, std::shared_ptr<PendingRequest>> requests; ///< by id
};

} // namespace hickory
