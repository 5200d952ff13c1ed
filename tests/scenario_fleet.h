#pragma once

#include "scenario_process.h"
#include "standin_http.h"

#include <map>
#include <string>
#include <vector>

namespace hickory::scenario {

using Json = nlohmann::json;

/// One simulated host of the fleet.
struct FleetHost {
    std::string name; ///< host name in the membership list
    std::string kind; ///< "entry", "engine" or "plain"
    std::string service; ///< service of a plain host, empty for other kinds
    std::string dataCentre;
    std::string region; ///< region of the data centre
    std::string runsLog; ///< file in which the upstream logs a line for each run, empty for an entry
};

/// Entries, agents and stand-in upstreams as real processes, connected to each other and to a stand-in platform through
/// a fault proxy.
///
/// Processes are named "platform", "proxy", "entry-0", "eng-0.agent", "eng-0.upstream", "ledger-api-0.agent" and so on.
/// Each pair of a data centre and a host has a link "place>host" and each data centre a link "place>platform". The
/// platform serves each data centre a membership list with the addresses of that data centre's links, so that faults
/// can be injected between any two data centres.
class Fleet {
public:
    /// @param buildDirectory build directory with the programs
    /// @param directory directory for settings, logs and weights
    /// @param seed base of the seeds of all processes and of the published weights
    /// @param plan table [fleet] of a scenario
    Fleet(std::string buildDirectory, std::string directory, std::uint64_t seed, Json plan);

    /// Starts all processes and registers the hosts in the membership list.
    void start();
    /// Starts those of the named processes that are not running, all upstreams before the agents.
    void startProcesses(const std::vector<std::string>& names);
    /// Stops entries and agents with SIGTERM, then the stand-ins. A process that does not exit within 30 s is killed.
    /// @return a message for each entry or agent that did not exit with status 0, or had exited unexpectedly before
    std::vector<std::string> stop();
    /// @param pattern shell pattern, e.g. "eng-*.agent"
    /// @return names of the matching processes; throws std::runtime_error if there are none
    std::vector<std::string> matchProcesses(const std::string& pattern) const;
    /// Changes faults or targets of links; throws std::runtime_error if no link matches.
    /// @param pattern shell pattern of link names, e.g. "*>eng-3"
    /// @param change body of the fault proxy's PUT /links/{name}
    void setLinks(const std::string& pattern, const Json& change);
    /// Sends an HTTP request to a process.
    /// @return {"status","headers","body"}; status 0 if there was no response within 30 s
    Json call(const std::string& process, const std::string& method, const std::string& path,
        const std::string& body = "", const httplib::Headers& headers = {});
    /// Publishes a model version with pseudorandom weights derived from the seed.
    /// @param bytes size of the weights
    /// @param chunk chunk size in bytes
    /// @return digest of the manifest
    std::string publish(const std::string& model, const std::string& version, std::size_t bytes, std::size_t chunk);
    /// @return "ip:port" of the HTTP listener of a process since its last start
    std::string httpAddress(const std::string& process);

    const std::string buildDirectory; ///< directory with the programs
    const std::string directory; ///< directory of all files that the run writes
    const std::uint64_t seed; ///< base of all seeds
    const Json plan; ///< table [fleet] of the scenario: numbers of hosts, data centres and settings
    std::vector<FleetHost> hosts; ///< entries first, then engine hosts, then plain hosts
    std::map<std::string, Process> processes; ///< processes started at least once, by name
    std::map<std::string, std::string> weightDigests; ///< digest of the weights by model version

private:
    void addHosts();
    void addLinks();
    void launch(const std::string& name);
    std::string writeSettings(const FleetHost& host, const std::string& process);
    void registerMember(const FleetHost& host);
    const FleetHost& hostOfProcess(const std::string& process) const;

    std::map<std::string, std::string> linkAddresses; ///< "ip:port" on which the proxy listens, by link name
};

} // namespace hickory::scenario
