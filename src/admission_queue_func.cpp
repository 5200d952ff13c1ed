#include "admission_queue_func.h"

#include <algorithm>

namespace hickory {

namespace {

    /// @return cost of a request in tokens, at least 1: a request without an estimate occupies a slot too
    std::uint64_t costOf(const QueuedItem& item) { return std::max<std::uint64_t>(item.tokens, 1); }

    /// Adds a backlogged flow to the queue's indexes.
    void addToIndexes(FairQueue& queue, const WorkspaceId& name, const Flow& flow)
    {
        queue.byStartTag.emplace(flow.startTag, flow.items.begin()->first, name);
        queue.byTokens.emplace(flow.tokens, name);
        if (flow.newlyBacklogged)
            queue.newlyBackloggedTokens += costOf(flow.items.begin()->second);
    }

    /// Removes a flow from the queue's indexes. Must be called before its start tag, cost or first request changes.
    /// @pre the flow is indexed in its present state
    void removeFromIndexes(FairQueue& queue, const WorkspaceId& name, const Flow& flow)
    {
        queue.byStartTag.erase({ flow.startTag, flow.items.begin()->first, name });
        queue.byTokens.erase({ flow.tokens, name });
        if (flow.newlyBacklogged)
            queue.newlyBackloggedTokens -= costOf(flow.items.begin()->second);
    }

    /// Removes a request from a flow that is not indexed, and indexes the flow again unless it is empty.
    QueuedItem takeItem(
        FairQueue& queue, const WorkspaceId& name, Flow& flow, std::map<std::uint64_t, QueuedItem>::iterator position)
    {
        const QueuedItem item = position->second;
        flow.items.erase(position);
        flow.tokens -= costOf(item);
        queue.tokens -= costOf(item);
        --queue.queued;
        if (!flow.items.empty())
            addToIndexes(queue, name, flow);
        else
            queue.backloggedWeight = std::max(0.0, queue.backloggedWeight - flow.weight);
        return item;
    }

    /// Resets virtual time and start tags when the queue is empty, so that a flow isn't penalised for capacity that it
    /// used while nobody else needed it.
    void resetWhenEmpty(FairQueue& queue)
    {
        if (queue.queued > 0)
            return;
        queue.flows.clear();
        queue.virtualTime = 0;
        queue.backloggedWeight = 0;
    }

} // namespace

void pushItem(FairQueue& queue, const WorkspaceId& flow, double weight, std::uint64_t sequence, const QueuedItem& item)
{
    Flow& target = queue.flows[flow];
    if (target.items.empty()) {
        target.weight = weight;
        target.newlyBacklogged = target.startTag <= queue.virtualTime;
        target.startTag = std::max(target.startTag, queue.virtualTime);
        queue.backloggedWeight += weight;
    } else {
        removeFromIndexes(queue, flow, target);
    }
    target.items.emplace(sequence, item);
    target.tokens += costOf(item);
    queue.tokens += costOf(item);
    ++queue.queued;
    addToIndexes(queue, flow, target);
}

std::optional<QueuedItem> frontItem(const FairQueue& queue)
{
    if (queue.byStartTag.empty())
        return std::nullopt;
    return queue.flows.at(std::get<WorkspaceId>(*queue.byStartTag.begin())).items.begin()->second;
}

QueuedItem popItem(FairQueue& queue)
{
    const WorkspaceId name = std::get<WorkspaceId>(*queue.byStartTag.begin());
    Flow& flow = queue.flows.at(name);
    removeFromIndexes(queue, name, flow);
    queue.virtualTime = std::max(queue.virtualTime, flow.startTag);
    const QueuedItem& first = flow.items.begin()->second;
    if (!first.charged)
        flow.startTag += static_cast<double>(costOf(first)) / flow.weight;
    flow.newlyBacklogged = false;
    const QueuedItem item = takeItem(queue, name, flow, flow.items.begin());
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
    removeFromIndexes(queue, flow, found->second);
    takeItem(queue, flow, found->second, position);
    resetWhenEmpty(queue);
    return true;
}

std::optional<QueuedItem> newestOfLargestFlow(const FairQueue& queue)
{
    if (queue.byTokens.empty())
        return std::nullopt;
    return queue.flows.at(queue.byTokens.rbegin()->second).items.rbegin()->second;
}

double tokensAhead(const FairQueue& queue, const WorkspaceId& flow, double weight)
{
    const auto found = queue.flows.find(flow);
    const bool isBacklogged = found != queue.flows.end() && !found->second.items.empty();
    const double total = static_cast<double>(queue.tokens);
    const double newlyBacklogged = static_cast<double>(queue.newlyBackloggedTokens);
    if (found == queue.flows.end())
        return newlyBacklogged;
    // The start tag of a flow that was served more than its share is ahead of virtual time. Before the new request is
    // served, the other flows receive their shares for this lead and for the flow's queued requests.
    const double lead = std::max(0.0, found->second.startTag - queue.virtualTime);
    const double own = isBacklogged ? static_cast<double>(found->second.tokens) : 0.0;
    const double active = isBacklogged ? queue.backloggedWeight : queue.backloggedWeight + weight;
    return std::min(total, newlyBacklogged + (lead * weight + own) / weight * active);
}

} // namespace hickory
