#include "caller_memory_func.h"

#include "table/answer_limits.h"
#include "table/caller_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    constexpr double bytesPerMb = 1e6;

    bool isStalled(const HoldingConnection& connection, Milliseconds now)
    {
        return connection.use != ConnectionUse::Waiting && now - connection.progressAt >= stalledTime;
    }

    /// @return order in which connections are closed for their descriptors, lowest first
    int replaceRank(ConnectionUse use)
    {
        if (use == ConnectionUse::Ended)
            return 0;
        return use == ConnectionUse::Idle ? 1 : 2;
    }

} // namespace

CallerBudget callerBudget(double memoryMb, std::uint32_t descriptors)
{
    constexpr std::size_t eighths = 8;
    const auto bytes = static_cast<std::size_t>(memoryMb * bytesPerMb) / eighths * callerMemoryEighths;
    constexpr std::size_t leastShareOfFiles = 4;
    const std::size_t usable = descriptors - std::min<std::size_t>(fileDescriptors, descriptors / leastShareOfFiles);
    return { .bytes = bytes,
        .smallReserve = bytes / smallReserveDivisor,
        .internalReserve = bytes / internalReserveDivisor,
        .connections = usable / callerDescriptorDivisor,
        .internalConnections = usable / internalDescriptorDivisor };
}

std::size_t answerBudget(double memoryMb)
{
    return std::min(maxHeldAnswers, static_cast<std::size_t>(memoryMb * bytesPerMb) / answerMemoryDivisor);
}

HeldForCaller::HeldForCaller(std::shared_ptr<CallerMemory> total, bool internal)
    : total(std::move(total))
    , internal(internal)
{
    ++(internal ? this->total->internalConnections : this->total->connections);
}

HeldForCaller::~HeldForCaller()
{
    this->set(0);
    --(this->internal ? this->total->internalConnections : this->total->connections);
}

void HeldForCaller::set(std::size_t newBytes)
{
    this->total->held = this->total->held - this->own + newBytes;
    this->own = newBytes;
}

std::size_t headCost(const WireHead& head)
{
    std::size_t bytes = head.target.capacity() + head.headers.capacity() * sizeof(WireHeader);
    for (const WireHeader& header : head.headers)
        bytes += header.name.capacity() + header.value.capacity();
    return bytes;
}

bool mayHold(const CallerMemory& memory, std::size_t own, std::size_t more, bool internal)
{
    const CallerBudget& budget = memory.budget;
    std::size_t limit = budget.bytes;
    if (own > smallConnection || more > smallConnection - own)
        limit -= budget.smallReserve;
    else if (internal)
        limit += budget.internalReserve;
    return memory.held <= limit && more <= limit - memory.held;
}

bool mayOpen(const CallerMemory& memory, bool internal)
{
    return internal ? memory.internalConnections < memory.budget.internalConnections
                    : memory.connections < memory.budget.connections;
}

std::optional<std::uint64_t> connectionToFree(const std::vector<HoldingConnection>& connections, Milliseconds now)
{
    const HoldingConnection* most = nullptr;
    for (const HoldingConnection& connection : connections) {
        const bool isFree = connection.use == ConnectionUse::Ended || connection.use == ConnectionUse::Idle;
        if ((isFree || isStalled(connection, now)) && (!most || connection.bytes > most->bytes))
            most = &connection;
    }
    return most ? std::optional(most->number) : std::nullopt;
}

std::optional<std::uint64_t> connectionToReplace(
    const std::vector<HoldingConnection>& connections, bool internal, Milliseconds now)
{
    const HoldingConnection* first = nullptr;
    const auto isBefore = [](const HoldingConnection& left, const HoldingConnection& right) {
        const int leftRank = replaceRank(left.use);
        const int rightRank = replaceRank(right.use);
        return leftRank != rightRank ? leftRank < rightRank : left.progressAt < right.progressAt;
    };
    for (const HoldingConnection& connection : connections) {
        const bool isFree = connection.use == ConnectionUse::Ended || connection.use == ConnectionUse::Idle;
        if (connection.internal == internal && (isFree || isStalled(connection, now))
            && (!first || isBefore(connection, *first)))
            first = &connection;
    }
    return first ? std::optional(first->number) : std::nullopt;
}

} // namespace hickory
