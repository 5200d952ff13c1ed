#pragma once

#include <cstddef>

namespace hickory {

// Limits of what a server may send in answer to a request. An answer past one of them counts as broken, and its
// connection is closed. Plain answers are about 1 KB long, streams some KB.

/// Bytes of an answer's status line and headers.
constexpr std::size_t maxAnswerHead = 64U << 10U;
/// Bytes that a connection may carry beyond twice the body of the answer while it waits for the answer's end: interim
/// answers, answers to earlier requests, heads, chunk sizes, extensions and trailers.
constexpr std::size_t maxAnswerOverhead = 256U << 10U;
/// Bytes of an answer that is collected before it is used: pages of the store, tables of peers (up to 1 MB), manifests,
/// reports.
constexpr std::size_t maxFetchedBody = 8U << 20U;
/// Bytes of a piece of the weights (32 KB). Smaller, because an agent fetches several pieces at a time.
constexpr std::size_t maxFetchedPiece = 4U << 20U;
/// Bytes of an answer to a blocking call: configurations, states of the fleet for operators.
constexpr std::size_t maxReplyBody = 64U << 20U;
/// Bytes of a plain answer that is forwarded to a caller, or of a stream that cannot be forwarded.
constexpr std::size_t maxPlainAnswer = 1U << 20U;
/// Bytes of one event of a stream.
constexpr std::size_t maxEvent = 256U << 10U;
/// Bytes of an upstream's stream that its caller has not taken yet.
constexpr std::size_t maxUnsentStream = 1U << 20U;

} // namespace hickory
