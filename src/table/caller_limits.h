#pragma once

#include "clock_type.h"

#include <cstddef>
#include <cstdint>

namespace hickory {

// Limits of what callers may hold in a process. Ordinary traffic of an entry is some hundred requests of a few KB.

/// Bytes held for callers are at most this many eighths of the memory of the process. The rest is for the process
/// itself (20 MB with 100 upstreams), answers of upstreams, and blocks that the allocator keeps.
constexpr std::size_t callerMemoryEighths = 3;
/// Part of these bytes that only small connections use: 1 / this.
constexpr std::size_t smallReserveDivisor = 4;
/// Further bytes that only connections at the ports for readiness, lookups and peers use: 1 / this of the callers'.
constexpr std::size_t internalReserveDivisor = 8;
/// Answers of upstreams that are not forwarded yet hold at most 1 / this of the memory of the process.
constexpr std::size_t answerMemoryDivisor = 10;
/// Bytes that a small connection holds at most: many times an ordinary request.
constexpr std::size_t smallConnection = 64U << 10U;
/// Bytes that an open connection costs: 8 KB to read into, its parser, sockets and entries of tables.
constexpr std::size_t connectionCost = 12U << 10U;
/// Descriptors that the platform keeps for files, or a quarter of all if that is less.
constexpr std::size_t fileDescriptors = 200;
/// Callers' connections use 1 / this of the other descriptors: each request in flight needs one to an upstream as well.
constexpr std::size_t callerDescriptorDivisor = 2;
/// Connections at the ports for readiness, lookups and peers use 1 / this of them.
constexpr std::size_t internalDescriptorDivisor = 8;
/// Bytes of a request that count as progress. A caller at 1 Mbit/s sends them in 130 ms.
constexpr std::size_t progressBytes = 16U << 10U;
/// A connection without progress for longer may be closed if memory or descriptors are short.
constexpr Milliseconds stalledTime { 500 };
/// If no connection could be closed, none is looked for again for this long: a search visits all connections.
constexpr Milliseconds searchInterval { 20 };
/// Connections that are closed at once when memory is short.
constexpr std::size_t maxClosedAtOnce = 16;
/// Idle connections closed for memory that are read on for a moment without being counted: 768 KB at most.
constexpr std::size_t maxUncounted = 64;
/// Bytes received behind a request in progress, above which its connection is not read: one read.
constexpr std::size_t maxPipelined = 8U << 10U;
/// Bytes of answers that a caller has not taken, above which its next request is not read.
constexpr std::size_t maxUnsentAnswers = 64U << 10U;
/// When a caller that was refused since memory or descriptors are short may try again.
/// Callers wait for a third of their remaining time at most: longer, and most would give up.
constexpr Milliseconds shortageRetryAfter { 200 };
/// Bytes read from ended connections between two sweeps, all together. Above it those that go on sending are closed.
constexpr std::size_t maxDiscardedTogether = 16U << 20U;
/// Time until connections are accepted again after the kernel had no descriptor left.
constexpr Milliseconds acceptPause { 20 };
/// An agent's memory in MB, and its descriptors: the platform gives agents of all deployments the same.
constexpr double agentMemoryMb = 128;
constexpr std::uint32_t agentDescriptors = 2048;
/// Blocks of memory above this go back to the kernel when they are freed. The allocator would raise this limit with
/// each large body and then keep freed ones.
constexpr int mmapThreshold = 128 << 10;

} // namespace hickory
