#include "upstream_entry_type.h"

#include <map>

namespace hickory {

std::vector<UpstreamEntry> currentUpstreams(const std::vector<UpstreamEntry>& listed)
{
    std::map<std::string, std::int64_t> latest;
    for (const UpstreamEntry& entry : listed) {
        std::int64_t& born = latest[entry.address];
        born = std::max(born, entry.processStartedAt);
    }
    std::vector<UpstreamEntry> current;
    for (const UpstreamEntry& entry : listed)
        if (entry.processStartedAt == latest[entry.address])
            current.push_back(entry);
    return current;
}

} // namespace hickory
