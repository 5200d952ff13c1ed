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
/// Bytes of an answer of our own processes or the store that is collected before it is used: pages of the store, tables
/// of peers (up to 1 MB), views of the fleet.
constexpr std::size_t maxFetchedBody = 8U << 20U;
/// Bytes of a document from an engine, the origin or another agent: reports (0.3 KB), answers to orders, manifests (70
/// bytes a piece). Parsed, it takes some forty times as much memory at worst.
constexpr std::size_t maxFetchedDocument = 512U << 10U;
/// Bytes of a piece of the weights (32 KB). Smaller, because an agent fetches several pieces at a time.
constexpr std::size_t maxFetchedPiece = 4U << 20U;
/// Bytes of an answer to a blocking call: configurations, states of the fleet for operators.
constexpr std::size_t maxReplyBody = 64U << 20U;
/// Bytes of a plain answer that is forwarded to a caller, or of a stream that cannot be forwarded.
constexpr std::size_t maxPlainAnswer = 1U << 20U;
/// Bytes of answers that an entry holds for all callers together: plain answers until they end, events of streams that
/// are not forwarded yet. Above it the large ones among them are broken off.
constexpr std::size_t maxHeldAnswers = 16U << 20U;
/// Bytes of one answer that may be held even then.
constexpr std::size_t maxHeldWhenShort = 64U << 10U;
/// Bytes of one event of a stream.
constexpr std::size_t maxEvent = 256U << 10U;
/// Bytes of an upstream's stream that its caller has not taken yet.
constexpr std::size_t maxUnsentStream = 1U << 20U;

} // namespace hickory
