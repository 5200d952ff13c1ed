#pragma once

#include "scenario_process.h"
#include "standin_http.h"

#include <map>
#include <string>
#include <vector>

namespace hickory::scenario {

using Json = nlohmann::json;

/// One host of the fleet.
struct FleetHost {
    std::string name; ///< name in the membership list
    std::string kind; ///< "entry", "engine" or "plain"
    std::string service; ///< plain hosts
    std::string dataCentre; ///< data centre
    std::string region; ///< region of the place
    std::string runsLog; ///< upstream hosts: a line for each run
};

/// Real processes with a stand-in platform behind a fault proxy.
///
/// Processes are named "platform", "proxy", "entry-0", "eng-0.agent", "eng-0.upstream", "ledger-api-0.agent" and so on.
/// Each pair of a place and a host has a link "place>host" and each place a link "place>platform"; the platform shows
/// each place the addresses of its own links.
class Fleet {
public:
    /// @param bin build directory
    /// @param directory for settings, logs and weights
    /// @param seed of every process
    /// @param plan table [fleet] of a scenario
    Fleet(std::string bin, std::string directory, std::uint64_t seed, Json plan);

    /// Starts everything and fills the membership list.
    void start();
    /// Starts processes that do not run; an upstream before its agent.
    void startProcesses(const std::vector<std::string>& names);
    /// Ends all product processes by SIGTERM, then the stand-ins.
    /// @return names of product processes that did not exit with 0 in time
    std::vector<std::string> stop();
    /// @param pattern shell pattern, e.g. "eng-*.agent"; throws when nothing matches
    std::vector<std::string> match(const std::string& pattern) const;
    /// Changes links.
    /// @param pattern shell pattern of link names, e.g. "*>eng-3"
    void setLinks(const std::string& pattern, const Json& change);
    /// Sends an HTTP request to a process.
    /// @return {"status","headers","body"}; status 0 without an answer
    Json call(const std::string& process, const std::string& method, const std::string& path,
        const std::string& body = "", const httplib::Headers& headers = {});
    /// Publishes a model version made from the seed.
    /// @return digest of the manifest
    std::string publish(const std::string& model, const std::string& version, std::size_t bytes, std::size_t chunk);
    /// @return "ip:port" of a process's HTTP listener in its present life
    std::string http(const std::string& process);

    const std::string bin; ///< build directory
    const std::string directory; ///< everything that is written
    const std::uint64_t seed; ///< of every process
    const Json plan; ///< table [fleet]
    std::vector<FleetHost> hosts; ///< all hosts
    std::map<std::string, Process> processes; ///< by name
    std::map<std::string, std::string> weightDigests; ///< digest of the bytes by version

private:
    void addHosts();
    void addLinks();
    void launch(const std::string& name);
    std::string writeSettings(const FleetHost& host, const std::string& process);
    void announce(const FleetHost& host);
    const FleetHost& hostOf(const std::string& process) const;

    std::map<std::string, std::string> links; ///< listening address by link name
};

} // namespace hickory::scenario
