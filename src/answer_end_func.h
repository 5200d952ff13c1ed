#pragma once

#include "wire_head_type.h"

namespace hickory {

/// How the transfer of an answer ended.
enum class AnswerTransfer : std::uint8_t {
    Framed, ///< a length or a last chunk showed the end
    Closed, ///< it has neither, and its sender closed the connection without a reset
    Broken, ///< anything else
};

/// What is known of an answer when its transfer has ended.
struct AnswerEnd {
    AnswerTransfer transfer { AnswerTransfer::Broken };
    bool stream { false }; ///< it is a stream of events
    bool hasEvents { false }; ///< streams only: at least one whole event arrived
    bool insideEvent { false }; ///< streams only: bytes of another event follow the last whole one
    /// Its bytes themselves show whether any are missing: a document that does not parse without its end, bytes that
    /// are compared with a digest, or a stream whose last event says so.
    bool checked { false };
};

/// Whether an answer may be passed on as complete.
enum class AnswerVerdict : std::uint8_t {
    Complete, ///< its sender ended it
    Unconfirmed, ///< its sender ended it if it still runs: the connections of a process that ends are closed as well
    BrokenOff, ///< a part of it is missing
};

/// The only place that decides whether an answer is complete, for all clients in these programs.
AnswerVerdict judgeAnswer(const AnswerEnd& end);

/// @param hasLength whether the answer has a Content-Length
/// @param transferEncoding value of its Transfer-Encoding, empty for none
/// @return how an answer that was read to its end ended
AnswerTransfer completeTransfer(std::uint16_t status, bool hasLength, std::string_view transferEncoding);

/// @param head of a successful answer
/// @param expected whether the request asked for a stream of events; decides when the answer states no type
/// @return whether the body of the answer is a stream of events
bool isEventStream(const WireHead& head, bool expected);

} // namespace hickory
