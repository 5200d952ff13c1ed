#include "caller_memory_func.h"

#include "table/answer_limits.h"
#include "table/caller_limits.h"

#include <algorithm>
#include <iterator>

namespace hickory {

namespace {

    constexpr double bytesPerMb = 1e6;

    bool isStalled(const HoldingConnection& connection, Milliseconds now)
    {
        return connection.use != ConnectionUse::Waiting && now - connection.progressAt >= stalledTime;
    }

    /// @return bytes over the limit if `more` are added to `held`
    std::size_t excess(std::size_t held, std::size_t more, std::size_t limit)
    {
        if (held <= limit)
            return more - std::min(more, limit - held);
        return held - limit + std::min(more, std::numeric_limits<std::size_t>::max() - held);
    }

    bool mayClose(const HoldingConnection& connection, Milliseconds now)
    {
        return connection.use == ConnectionUse::Ended || connection.use == ConnectionUse::Idle
            || isStalled(connection, now);
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
    const auto large = [](std::size_t bytes) { return bytes > smallConnection ? bytes : 0; };
    this->total->held = this->total->held - this->own + newBytes;
    this->total->large = this->total->large - large(this->own) + large(newBytes);
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
    const MissingMemory missing = missingMemory(memory, own, more, internal);
    return missing.bytes == 0 && missing.large == 0;
}

MissingMemory missingMemory(const CallerMemory& memory, std::size_t own, std::size_t more, bool internal)
{
    const CallerBudget& budget = memory.budget;
    if (own <= smallConnection && more <= smallConnection - own)
        return { .bytes = excess(memory.held, more, budget.bytes + (internal ? budget.internalReserve : 0)) };
    // A connection that becomes large counts there with all that it holds.
    const std::size_t before = own > smallConnection ? 0 : own;
    const std::size_t newLarge = more + std::min(before, std::numeric_limits<std::size_t>::max() - more);
    return { .bytes = excess(memory.held, more, budget.bytes),
        .large = excess(memory.large, newLarge, budget.bytes - budget.smallReserve) };
}

bool mayOpen(const CallerMemory& memory, bool internal)
{
    return internal ? memory.internalConnections < memory.budget.internalConnections
                    : memory.connections < memory.budget.connections;
}

std::vector<HoldingConnection> connectionsToFree(const std::vector<HoldingConnection>& connections, Milliseconds now)
{
    std::vector<HoldingConnection> order;
    std::copy_if(connections.begin(), connections.end(), std::back_inserter(order),
        [&](const HoldingConnection& connection) { return connection.bytes > 0 && mayClose(connection, now); });
    std::sort(order.begin(), order.end(), [](const HoldingConnection& left, const HoldingConnection& right) {
        return left.bytes != right.bytes ? left.bytes > right.bytes : left.progressAt < right.progressAt;
    });
    return order;
}

std::optional<std::size_t> closesNeeded(
    const std::vector<HoldingConnection>& order, const MissingMemory& missing, std::size_t most)
{
    MissingMemory freed;
    for (std::size_t count = 0;; ++count) {
        if (freed.bytes >= missing.bytes && freed.large >= missing.large)
            return count;
        if (count == std::min(most, order.size()))
            return std::nullopt;
        freed.bytes += order[count].bytes;
        freed.large += order[count].bytes > smallConnection ? order[count].bytes : 0;
    }
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
        if (connection.internal == internal && mayClose(connection, now) && (!first || isBefore(connection, *first)))
            first = &connection;
    }
    return first ? std::optional(first->number) : std::nullopt;
}

} // namespace hickory
