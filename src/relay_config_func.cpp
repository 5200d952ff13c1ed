#include "relay_config_type.h"

#include <algorithm>
#include <cctype>

namespace hickory {

const RelayRoute* findRoute(const RelayConfig& config, const std::string& host, const std::string& target)
{
    std::string name = host.substr(0, host.find(':'));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
    const std::string path = target.substr(0, target.find('?'));
    const RelayRoute* best = nullptr;
    for (const RelayRoute& route : config.routes)
        if (route.host == name && path.starts_with(route.prefix)
            && (!best || route.prefix.size() > best->prefix.size()))
            best = &route;
    return best;
}

} // namespace hickory
