#include "admission_queue_func.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Requests without an estimate still take a slot.
    std::uint64_t costOf(const QueuedItem& item) { return std::max<std::uint64_t>(item.tokens, 1); }

    void link(FairQueue& queue, const WorkspaceId& name, const Flow& flow)
    {
        queue.order.emplace(flow.tag, flow.items.begin()->first, name);
        queue.bySize.emplace(flow.tokens, name);
        if (flow.fresh)
            queue.freshTokens += costOf(flow.items.begin()->second);
    }

    /// @pre the flow waits and was linked in its present state
    void unlink(FairQueue& queue, const WorkspaceId& name, const Flow& flow)
    {
        queue.order.erase({ flow.tag, flow.items.begin()->first, name });
        queue.bySize.erase({ flow.tokens, name });
        if (flow.fresh)
            queue.freshTokens -= costOf(flow.items.begin()->second);
    }

    /// Takes one item from an unlinked flow and links the flow again while it waits.
    QueuedItem take(
        FairQueue& queue, const WorkspaceId& name, Flow& flow, std::map<std::uint64_t, QueuedItem>::iterator position)
    {
        const QueuedItem item = position->second;
        flow.items.erase(position);
        flow.tokens -= costOf(item);
        queue.tokens -= costOf(item);
        --queue.queued;
        if (!flow.items.empty())
            link(queue, name, flow);
        else
            queue.activeWeight = std::max(0.0, queue.activeWeight - flow.weight);
        return item;
    }

    /// Forgets past service once nothing waits, so that unused capacity is not held against those who used it.
    void resetWhenEmpty(FairQueue& queue)
    {
        if (queue.queued > 0)
            return;
        queue.flows.clear();
        queue.virtualTime = 0;
        queue.activeWeight = 0;
    }

} // namespace

void pushItem(FairQueue& queue, const WorkspaceId& flow, double weight, std::uint64_t sequence, const QueuedItem& item)
{
    Flow& target = queue.flows[flow];
    if (target.items.empty()) {
        target.weight = weight;
        target.fresh = target.tag <= queue.virtualTime;
        target.tag = std::max(target.tag, queue.virtualTime);
        queue.activeWeight += weight;
    } else {
        unlink(queue, flow, target);
    }
    target.items.emplace(sequence, item);
    target.tokens += costOf(item);
    queue.tokens += costOf(item);
    ++queue.queued;
    link(queue, flow, target);
}

std::optional<QueuedItem> frontItem(const FairQueue& queue)
{
    if (queue.order.empty())
        return std::nullopt;
    return queue.flows.at(std::get<WorkspaceId>(*queue.order.begin())).items.begin()->second;
}

QueuedItem popItem(FairQueue& queue)
{
    const WorkspaceId name = std::get<WorkspaceId>(*queue.order.begin());
    Flow& flow = queue.flows.at(name);
    unlink(queue, name, flow);
    queue.virtualTime = std::max(queue.virtualTime, flow.tag);
    const QueuedItem& first = flow.items.begin()->second;
    if (!first.charged)
        flow.tag += static_cast<double>(costOf(first)) / flow.weight;
    flow.fresh = false;
    const QueuedItem item = take(queue, name, flow, flow.items.begin());
    resetWhenEmpty(queue);
    return item;
}

bool removeItem(FairQueue& queue, const WorkspaceId& flow, std::uint64_t sequence)
{
    const auto found = queue.flows.find(flow);
    if (found == queue.flows.end())
        return false;
    const auto position = found->second.items.find(sequence);
    if (position == found->second.items.end())
        return false;
    unlink(queue, flow, found->second);
    take(queue, flow, found->second, position);
    resetWhenEmpty(queue);
    return true;
}

std::optional<QueuedItem> newestOfLargestFlow(const FairQueue& queue)
{
    if (queue.bySize.empty())
        return std::nullopt;
    return queue.flows.at(queue.bySize.rbegin()->second).items.rbegin()->second;
}

double tokensAhead(const FairQueue& queue, const WorkspaceId& flow, double weight)
{
    const auto found = queue.flows.find(flow);
    const bool waits = found != queue.flows.end() && !found->second.items.empty();
    const double total = static_cast<double>(queue.tokens);
    const double fresh = static_cast<double>(queue.freshTokens);
    if (found == queue.flows.end())
        return fresh;
    // What the flow was served ahead of virtual time, or still has waiting, is matched by all others' shares first.
    const double lead = std::max(0.0, found->second.tag - queue.virtualTime);
    const double own = waits ? static_cast<double>(found->second.tokens) : 0.0;
    const double active = waits ? queue.activeWeight : queue.activeWeight + weight;
    return std::min(total, fresh + (lead * weight + own) / weight * active);
}

} // namespace hickory
