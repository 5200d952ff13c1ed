#include "upstream_entry_type.h"

#include <map>

namespace hickory {

std::vector<UpstreamEntry> currentUpstreams(const std::vector<UpstreamEntry>& listed)
{
    std::map<std::string, std::int64_t> latestStart;
    for (const UpstreamEntry& entry : listed) {
        std::int64_t& startedAt = latestStart[entry.address];
        startedAt = std::max(startedAt, entry.processStartedAt);
    }
    std::vector<UpstreamEntry> current;
    for (const UpstreamEntry& entry : listed)
        if (entry.processStartedAt == latestStart[entry.address])
            current.push_back(entry);
    return current;
}

} // namespace hickory
