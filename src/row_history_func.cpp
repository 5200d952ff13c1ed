#include "row_history_func.h"

#include "digest_func.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Peers ask several times between two changes of operators, and after each change at once.
    constexpr std::size_t maxFormerRows = 4;
    constexpr std::size_t minPatchGain = 2; ///< a patch is at most this part of the contents

} // namespace

void recordRow(RowHistory& history, const platform::TableRow& row, std::uint64_t era)
{
    if (history.era != era)
        history = { .era = era };
    if (history.current && history.current->revision >= row.revision)
        return;
    history.patches.clear();
    if (history.current)
        history.former.push_back(std::move(*history.current));
    if (history.former.size() > maxFormerRows)
        history.former.pop_front();
    history.current = row;
}

std::optional<RowPatch> makeRowPatch(RowHistory& history, const platform::TableRow& row, const StoreVersion& held)
{
    const auto isHeld = [&](const platform::TableRow& known) { return known.revision <= held.revision; };
    const auto base = std::find_if(history.former.rbegin(), history.former.rend(), isHeld);
    if (held.era != history.era || !history.current || history.current->revision != row.revision
        || base == history.former.rend())
        return std::nullopt;
    const auto [known, isNew] = history.patches.try_emplace(base->revision);
    if (isNew)
        known->second = makeTextPatch(base->value, row.value);
    if (patchBytes(known->second) * minPatchGain > row.value.size())
        return std::nullopt;
    return RowPatch { .key = row.key,
        .revision = row.revision,
        .base = base->revision,
        .digest = digestHex(row.value),
        .steps = known->second };
}

bool isApplied(const platform::TableSnapshot& copy, const RowPatch& patch)
{
    const auto known = copy.rows.find(patch.key);
    return known != copy.rows.end() && known->second.revision >= patch.revision;
}

std::optional<platform::TableRow> applyRowPatch(const platform::TableSnapshot& copy, const RowPatch& patch)
{
    const auto known = copy.rows.find(patch.key);
    if (known == copy.rows.end() || known->second.revision != patch.base)
        return std::nullopt;
    std::optional<std::string> text = applyTextPatch(known->second.value, patch.steps);
    if (!text || digestHex(*text) != patch.digest)
        return std::nullopt;
    return platform::TableRow { .key = patch.key, .value = std::move(*text), .revision = patch.revision };
}

} // namespace hickory
