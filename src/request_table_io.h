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

/// How the answer to a caller ended.
using AnswerEnd = std::variant<FinishRequest, FailRequest, AbortRequest>;

/// A caller's request and the answer that arrives for it. Shared by the HTTP worker, the RPC thread and the thread of
/// the reducer.
struct PendingRequest {
    RequestId request;
    RequestPayload payload; ///< request to dispatch; not changed once the request is in the table

    std::mutex mutex; ///< guards the fields below
    std::condition_variable changed; ///< notified when parts or end change
    Attempt attempt; ///< attempt whose parts are accepted, 0 for none
    std::uint32_t nextSequence { 0 }; ///< number of the next part: parts accepted so far over all attempts
    std::deque<std::string> parts; ///< accepted parts that are not yet written to the caller
    std::size_t bufferedBytes { 0 }; ///< total size of parts
    std::size_t acceptedBytes { 0 }; ///< total size of the parts accepted so far over all attempts
    std::uint32_t resumedAt { 0 }; ///< nextSequence when the open attempt began
    std::uint16_t status { 200 }; ///< HTTP status of the answer, valid once a part was accepted
    std::string contentType; ///< Content-Type of the answer, valid once a part was accepted
    std::optional<AnswerEnd> end; ///< how the answer ended; set at most once, empty before
};

/// Result of offering a part of an answer.
enum class PartResult : std::uint8_t {
    Taken, ///< accepted and queued for the caller
    First, ///< accepted as the first part of the answer
    Full, ///< the buffer is full because the caller reads slowly; offer the part again later
    Dropped, ///< belongs to another attempt, is out of sequence, or the request has ended
};

/// All requests of an entry that are in progress. Thread-safe.
class RequestTable {
public:
    /// Adds a request under a new random id.
    std::shared_ptr<PendingRequest> add(RequestPayload payload);
    /// @return the request, or nullptr when it is not in the table
    std::shared_ptr<PendingRequest> find(RequestId request) const;
    /// Removes a request. Threads that hold it may go on using it.
    void remove(RequestId request);

    /// Accepts parts of this attempt from now on, and of no other.
    /// @return false when the request is not in the table
    bool openAttempt(RequestId request, Attempt attempt);

    /// Accepts no more parts of an attempt.
    /// @return parts accepted so far over all attempts, 0 when the request is not in the table
    std::uint32_t closeAttempt(RequestId request, Attempt attempt);

    /// @return whether a part of the answer was accepted, over all attempts
    bool hasBegun(RequestId request) const;

    /// @return whether no request is in the table
    bool empty() const;

    /// Accepts a part of an answer if it is the next one of the open attempt.
    /// A recorded answer arrives as a whole in part 0; what the caller has of it is left out.
    /// @param sequence number of the part in the answer, counted from 0 over all attempts
    /// @param status HTTP status of the answer, used with the first part
    /// @param contentType Content-Type of the answer, used with the first part
    PartResult takePart(RequestId request, Attempt attempt, std::uint32_t sequence, std::string data,
        std::uint16_t status, const std::string& contentType);

    /// Ends the answer to a request. Only the first end counts.
    void finish(RequestId request, AnswerEnd end);

private:
    mutable std::mutex mutex; ///< guards requests
    std::map<RequestId, std::shared_ptr<PendingRequest>> requests; ///< by id
};

} // namespace hickory
