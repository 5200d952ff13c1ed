#pragma once

#include "clock_type.h"
#include "wire_head_type.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <vector>

namespace hickory {

/// What callers may hold in a process. Without limits by default.
struct CallerBudget {
    std::size_t bytes { std::numeric_limits<std::size_t>::max() / 4 }; ///< for all connections together
    std::size_t smallReserve { 0 }; ///< of these, for small connections only
    std::size_t internalReserve { 0 }; ///< in addition, for connections at internal ports only
    std::size_t connections { std::numeric_limits<std::size_t>::max() }; ///< callers' connections
    std::size_t internalConnections { std::numeric_limits<std::size_t>::max() }; ///< those at internal ports
};

/// @param memoryMb memory of the process, MB
/// @param descriptors file descriptors of the process
CallerBudget callerBudget(double memoryMb, std::uint32_t descriptors);

/// @param memoryMb memory of the process, MB
/// @return bytes of answers of upstreams that may be held before they are forwarded
std::size_t answerBudget(double memoryMb);

/// What callers hold in a process.
struct CallerMemory {
    CallerBudget budget;
    std::size_t held { 0 }; ///< bytes of all connections
    std::size_t large { 0 }; ///< of these, bytes of connections that hold more than smallConnection
    std::size_t connections { 0 }; ///< callers' connections
    std::size_t internalConnections { 0 }; ///< those at internal ports
};

/// Bytes held for one connection. Counts them and the connection in a CallerMemory for as long as it exists.
class HeldForCaller {
public:
    /// @param internal the connection is at an internal port
    HeldForCaller(std::shared_ptr<CallerMemory> total, bool internal);
    ~HeldForCaller();
    HeldForCaller(const HeldForCaller&) = delete;
    HeldForCaller& operator=(const HeldForCaller&) = delete;

    void set(std::size_t newBytes);
    std::size_t bytes() const { return this->own; }

private:
    std::shared_ptr<CallerMemory> total; ///< shared, since handlers of the loop keep connections alive
    bool internal;
    std::size_t own { 0 };
};

/// @return bytes that a head takes in memory, with what its containers have allocated
std::size_t headCost(const WireHead& head);

/// @param own bytes that the connection holds, counted in the memory
/// @param more bytes that it is about to hold in addition
/// @param internal it is at an internal port
/// @return whether it may hold them
bool mayHold(const CallerMemory& memory, std::size_t own, std::size_t more, bool internal);

/// Bytes that must be freed before a connection may hold more.
struct MissingMemory {
    std::size_t bytes { 0 }; ///< of any connections
    std::size_t large { 0 }; ///< of connections that hold more than smallConnection
};

/// @return what is missing for mayHold() with the same arguments to be true
MissingMemory missingMemory(const CallerMemory& memory, std::size_t own, std::size_t more, bool internal);

/// @param internal the connection is at an internal port
/// @return whether another connection may be open
bool mayOpen(const CallerMemory& memory, bool internal);

/// What a connection is doing.
enum class ConnectionUse : std::uint8_t {
    Ended, ///< ended by the server, read on for a moment
    Idle, ///< between requests
    Reading, ///< a request has arrived in part
    Unsent, ///< its caller has not taken all of its answers
    Waiting, ///< its request is being served
};

/// A connection that may be closed.
struct HoldingConnection {
    std::uint64_t number { 0 };
    ConnectionUse use { ConnectionUse::Idle };
    std::size_t bytes { 0 }; ///< held for it that closing it frees
    Milliseconds progressAt { 0 }; ///< when its caller last made progress, or when it became idle or was ended
    bool internal { false }; ///< it is at an internal port
};

/// Chooses connections to close if memory is short: those that were ended, are idle, or made no progress for
/// stalledTime. One whose request is being served is never chosen.
/// @return the one that holds most first; among equals, the one without progress for longest
std::vector<HoldingConnection> connectionsToFree(const std::vector<HoldingConnection>& connections, Milliseconds now);

/// @param order see connectionsToFree()
/// @param most connections that may be closed at once
/// @return how many of the first to close so that nothing is missing, or nothing if `most` of them do not suffice
std::optional<std::size_t> closesNeeded(
    const std::vector<HoldingConnection>& order, const MissingMemory& missing, std::size_t most);

/// Chooses the connection to close if descriptors are short: an ended one, else the one that has been idle longest,
/// else the one that made no progress for longest, if that is stalledTime.
/// @param internal whether those at internal ports are chosen from, or the others
/// @return its number, or nothing
std::optional<std::uint64_t> connectionToReplace(
    const std::vector<HoldingConnection>& connections, bool internal, Milliseconds now);

} // namespace hickory
