#include "rollout_row_func.h"

#include "placement_row_func.h"

#include <algorithm>

namespace hickory {

namespace {

    /// @return a value that changes with each renewal and each restart of the holder
    std::uint64_t renewalMark(const PermitHolder& holder) { return holder.incarnation.value + holder.renewal; }

} // namespace

PermitRow beginRollout(
    const PermitRow& before, Generation generation, const ModelConfig& model, const std::optional<ModelConfig>& served)
{
    PermitRow row { .generation = generation, .model = model, .holders = before.holders };
    const bool present = before.generation.value > 0;
    if (present && before.passed && !before.stopped)
        row.previous = before.model;
    else
        row.previous = present && before.previous ? before.previous : served;
    if (row.previous && sameTarget(*row.previous, model))
        row.previous.reset();
    return row;
}

std::string permitRefusal(
    const PermitRow& row, const ModelConfig& model, const HostId& host, std::uint32_t maxUnavailable)
{
    const auto others = static_cast<std::size_t>(std::count_if(
        row.holders.begin(), row.holders.end(), [&](const PermitHolder& holder) { return holder.host != host; }));
    if (others >= maxUnavailable)
        return "max-out";
    if (!sameTarget(row.model, model))
        return {};
    if (row.stopped)
        return "stopped";
    // When all hosts of the first wave are done or gone, one host that serves the model is sufficient.
    const bool firstWaveOver = row.passed || (others == 0 && !row.done.empty());
    if (!firstWaveOver && others + row.done.size() >= maxUnavailable)
        return "first-wave";
    return {};
}

void addHolder(PermitRow& row, const PermitHolder& holder)
{
    removeHolder(row, holder.host);
    row.passed = row.passed || (row.holders.empty() && !row.done.empty());
    row.holders.push_back(holder);
}

void removeHolder(PermitRow& row, const HostId& host)
{
    std::erase_if(row.holders, [&](const PermitHolder& holder) { return holder.host == host; });
}

void finishHost(PermitRow& row, const HostId& host, bool held, std::uint32_t maxUnavailable)
{
    removeHolder(row, host);
    insertHost(row.done, host);
    eraseHost(row.failed, host);
    if (held && (row.holders.empty() || row.done.size() >= maxUnavailable))
        row.passed = true;
}

void failHost(PermitRow& row, const HostId& host, const std::string& reason, std::uint32_t maxUnavailable)
{
    eraseHost(row.done, host);
    insertHost(row.failed, host);
    if (row.stopped || (row.passed && row.failed.size() < maxUnavailable))
        return;
    row.stopped = true;
    row.reason = host.value + ": " + reason;
}

void adoptPermitRow(PermitView& view, RowVersion version, PermitRow row, Milliseconds now)
{
    std::map<HostId, std::pair<std::uint64_t, Milliseconds>> seen;
    for (const PermitHolder& holder : row.holders) {
        const auto before = view.seen.find(holder.host);
        const bool same = before != view.seen.end() && before->second.first == renewalMark(holder);
        seen[holder.host] = { renewalMark(holder), same ? before->second.second : now };
    }
    view.known = true;
    view.version = version;
    view.row = std::move(row);
    view.readAt = now;
    view.seen = std::move(seen);
}

std::vector<HostId> removeExpired(PermitRow& row, const PermitView& view, Milliseconds now)
{
    std::vector<HostId> removed;
    std::erase_if(row.holders, [&](const PermitHolder& holder) {
        const auto seen = view.seen.find(holder.host);
        if (seen == view.seen.end() || seen->second.first != renewalMark(holder)
            || now - seen->second.second < permitLifetime)
            return false;
        removed.push_back(holder.host);
        return true;
    });
    return removed;
}

} // namespace hickory
