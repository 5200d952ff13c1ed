#include "scenario_fleet.h"

#include "digest_func.h"
#include "manifest_func.h"

#include <csignal>
#include <filesystem>
#include <fnmatch.h>
#include <fstream>
#include <random>

namespace hickory::scenario {

namespace {

    bool matches(const std::string& pattern, const std::string& name)
    {
        return fnmatch(pattern.c_str(), name.c_str(), 0) == 0;
    }

    std::string quoted(const std::string& text) { return "\"" + text + "\""; }

} // namespace

Fleet::Fleet(std::string givenBuildDirectory, std::string givenDirectory, std::uint64_t seed, Json givenPlan)
    : buildDirectory(std::move(givenBuildDirectory))
    , directory(std::move(givenDirectory))
    , seed(seed)
    , plan(std::move(givenPlan))
{
    this->addHosts();
}

void Fleet::addHosts()
{
    const Json& dataCentres = this->plan.at("places");
    const auto addHost = [&](const std::string& name, const std::string& kind, const std::string& service, int index) {
        const Json& dataCentre = dataCentres.at(static_cast<std::size_t>(index) % dataCentres.size());
        const std::string runs = kind == "entry" ? "" : this->directory + "/" + name + ".runs";
        this->hosts.push_back({ .name = name,
            .kind = kind,
            .service = service,
            .dataCentre = dataCentre.at("place"),
            .region = dataCentre.at("region"),
            .runsLog = runs });
    };
    for (int index = 0; index < this->plan.value("entries", 2); ++index)
        addHost("entry-" + std::to_string(index), "entry", "", index);
    for (int index = 0; index < this->plan.value("engines", 0); ++index)
        addHost("eng-" + std::to_string(index), "engine", "", index);
    const Json plain = this->plan.value("plain", Json::object());
    for (const auto& [service, count] : plain.items())
        for (int index = 0; index < count.get<int>(); ++index)
            addHost(service + "-" + std::to_string(index), "plain", service, index);
}

void Fleet::addLinks()
{
    const auto post = [&](const Json& link) {
        const Json response = this->call("proxy", "POST", "/links", link.dump());
        this->linkAddresses[link.at("name")] = Json::parse(response.at("body").get<std::string>()).at("listen");
    };
    for (const Json& view : this->plan.at("places")) {
        const std::string dataCentre = view.at("place");
        const std::string region = view.at("region");
        const std::string platform = this->processes["platform"].listening("view-" + dataCentre);
        post({ { "name", dataCentre + ">platform" }, { "target", platform } });
        for (const FleetHost& host : this->hosts) {
            const std::string name = dataCentre + ">" + host.name;
            const bool sameRegion = region == host.region;
            const double delay = dataCentre == host.dataCentre ? 0.0
                : sameRegion                                   ? this->plan.value("place_delay_ms", 0.0)
                                                               : this->plan.value("region_delay_ms", 0.0);
            post({ { "name", name }, { "delay_ms", static_cast<std::uint64_t>(delay) } });
            if (sameRegion || !this->plan.contains("region_bytes_per_s"))
                continue;
            const Json rate = this->plan["region_bytes_per_s"];
            this->setLinks(name,
                { { "direction", "to_target" }, { "rate_group", region + ">" + host.region },
                    { "rate_bytes_per_s", rate } });
            this->setLinks(name,
                { { "direction", "from_target" }, { "rate_group", host.region + ">" + region },
                    { "rate_bytes_per_s", rate } });
        }
    }
}

void Fleet::start()
{
    this->launch("platform");
    this->launch("proxy");
    this->addLinks();
    std::vector<std::string> names;
    for (const FleetHost& host : this->hosts) {
        if (host.kind == "entry")
            names.push_back(host.name);
        else
            names.insert(names.end(), { host.name + ".upstream", host.name + ".agent" });
    }
    this->startProcesses(names);
}

void Fleet::startProcesses(const std::vector<std::string>& names)
{
    // Upstreams are started first, because the settings of an agent contain the address of its upstream.
    const auto isUpstream = [](const std::string& name) { return matches("*.upstream", name); };
    for (const bool upstreams : { true, false }) {
        std::vector<std::string> started;
        for (const std::string& name : names)
            if (isUpstream(name) == upstreams && !this->processes[name].running()) {
                this->launch(name);
                started.push_back(name);
            }
        for (const std::string& name : started)
            if (!upstreams)
                this->registerMember(this->hostOfProcess(name));
    }
}

void Fleet::launch(const std::string& name)
{
    Process& process = this->processes[name];
    const auto tool = [&](const std::string& program) { return this->buildDirectory + "/tests/" + program; };
    std::vector<std::string> command;
    const auto addFlags = [&](const char* key) {
        for (const Json& flag : this->plan.value(key, Json::array()))
            command.push_back(flag);
    };
    // A restarted stand-in listens on its previous address, like a service with a fixed port.
    const std::string address = process.logs.empty() ? "127.0.0.1:0" : process.listening("http");
    if (name == "platform") {
        command = { tool("standin-platform"), "--listen", address };
        for (const Json& dataCentre : this->plan.at("places"))
            command.insert(command.end(), { "--view", dataCentre.at("place") });
        addFlags("platform_flags");
    } else if (name == "proxy") {
        command = { tool("fault-proxy") };
    } else {
        const FleetHost& host = this->hostOfProcess(name);
        if (host.kind == "entry")
            command = { this->buildDirectory + "/hickory-entry", "--settings", this->writeSettings(host, name) };
        else if (matches("*.agent", name))
            command = { this->buildDirectory + "/hickory-agent", "--settings", this->writeSettings(host, name) };
        else if (host.kind == "engine") {
            command = { tool("standin-engine"), "--listen", address, "--runs-log", host.runsLog };
            addFlags("engine_flags");
        } else {
            command
                = { tool("standin-plain"), "--listen", address, "--runs-log", host.runsLog, "--service", host.service };
            addFlags("plain_flags");
        }
    }
    process.start(command, this->directory + "/" + name + "." + std::to_string(process.logs.size()) + ".log");
}

std::string Fleet::writeSettings(const FleetHost& host, const std::string& process)
{
    const std::string path = this->directory + "/" + process + ".toml";
    std::ofstream file(path);
    file << "[process]\nhost = " << quoted(host.name) << "\nplace = " << quoted(host.dataCentre)
         << "\nregion = " << quoted(host.region)
         << "\nplatform = " << quoted("http://" + this->linkAddresses.at(host.dataCentre + ">platform"))
         << "\nseed = " << this->seed * 1000 + this->processes.size()
         << "\nlog_level = " << quoted(this->plan.value("log_level", "info")) << "\n";
    if (host.kind == "entry") {
        file << this->plan.value("entry_settings", "");
        return path;
    }
    file << "[upstream]\nurl = " << quoted("http://" + this->httpAddress(host.name + ".upstream"))
         << "\nkind = " << quoted(host.kind) << "\n";
    if (host.kind == "engine")
        file << "[weights]\ndirectory = " << quoted(this->directory + "/" + host.name + ".weights") << "\n"
             << this->plan.value("weights_settings", "");
    else
        file << "service = " << quoted(host.service) << "\n";
    file << this->plan.value("agent_settings", "");
    return path;
}

void Fleet::registerMember(const FleetHost& host)
{
    const std::string name = host.kind == "entry" ? host.name : host.name + ".agent";
    const std::string address = this->processes[name].listening("rpc");
    Json addresses = Json::object();
    for (const Json& view : this->plan.at("places")) {
        const std::string link = view.at("place").get<std::string>() + ">" + host.name;
        this->setLinks(link, { { "target", address } });
        addresses[view.at("place").get<std::string>()] = this->linkAddresses.at(link);
    }
    Json member { { "host", host.name }, { "role", host.kind == "entry" ? "entry" : "upstream" },
        { "service", host.service }, { "place", host.dataCentre }, { "region", host.region }, { "address", address },
        { "addresses", addresses }, { "state", "live" }, { "http", "" } };
    if (host.kind == "entry")
        member["http"] = this->httpAddress(name);
    else
        member["kind"] = host.kind;
    this->call("platform", "POST", "/admin/members", Json::array({ member }).dump());
}

const FleetHost& Fleet::hostOfProcess(const std::string& process) const
{
    for (const FleetHost& host : this->hosts)
        if (process == host.name || process == host.name + ".agent" || process == host.name + ".upstream")
            return host;
    throw std::runtime_error("no host runs a process named " + process);
}

std::string Fleet::httpAddress(const std::string& process) { return this->processes.at(process).listening("http"); }

std::vector<std::string> Fleet::stop()
{
    constexpr auto timeout = std::chrono::seconds(30);
    std::vector<std::string> problems;
    for (const bool hickoryProcess : { true, false }) {
        const auto belongsToPhase = [&](const std::string& name) {
            return hickoryProcess == (matches("entry-*", name) || matches("*.agent", name));
        };
        std::vector<std::string> stopping;
        for (auto& [name, process] : this->processes) {
            if (belongsToPhase(name) && process.running()) {
                process.signal(SIGCONT);
                process.signal(SIGTERM);
                stopping.push_back(name);
            } else if (hickoryProcess && belongsToPhase(name) && !process.exitExpected) {
                problems.push_back(name + " exited unexpectedly with " + std::to_string(process.status.value_or(0)));
            }
        }
        const auto end = std::chrono::steady_clock::now() + timeout;
        for (const std::string& name : stopping) {
            Process& process = this->processes[name];
            const auto left
                = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
            const auto status = process.wait(std::max(left, std::chrono::milliseconds(1)));
            if (!status)
                process.signal(SIGKILL);
            if (hickoryProcess && status != 0)
                problems.push_back(
                    name + (status ? " exited with " + std::to_string(*status) : " did not exit after SIGTERM"));
        }
    }
    return problems;
}

std::vector<std::string> Fleet::matchProcesses(const std::string& pattern) const
{
    std::vector<std::string> names;
    for (const auto& [name, process] : this->processes)
        if (matches(pattern, name))
            names.push_back(name);
    if (names.empty())
        throw std::runtime_error("no process matches " + pattern);
    return names;
}

void Fleet::setLinks(const std::string& pattern, const Json& change)
{
    bool found = false;
    for (const auto& [name, address] : this->linkAddresses)
        if (matches(pattern, name)) {
            this->call("proxy", "PUT", "/links/" + name, change.dump());
            found = true;
        }
    if (!found)
        throw std::runtime_error("no link matches " + pattern);
}

Json Fleet::call(const std::string& process, const std::string& method, const std::string& path,
    const std::string& body, const httplib::Headers& headers)
{
    constexpr int timeoutSeconds = 30;
    httplib::Client client("http://" + this->httpAddress(process));
    client.set_connection_timeout(1);
    client.set_read_timeout(timeoutSeconds);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = headers;
    request.body = body;
    const auto response = client.send(request);
    Json result { { "status", response ? response->status : 0 }, { "body", response ? response->body : "" },
        { "headers", Json::object() } };
    if (response)
        for (const auto& [name, value] : response->headers)
            result["headers"][name] = value;
    return result;
}

std::string Fleet::publish(const std::string& model, const std::string& version, std::size_t bytes, std::size_t chunk)
{
    std::mt19937_64 random(this->seed + std::hash<std::string> {}(model + version));
    std::string content(bytes, '\0');
    for (char& byte : content)
        byte = static_cast<char>(random());
    const std::string object = model + "-" + version;
    const Manifest manifest = buildManifest({ model }, { version }, object, content, { chunk });
    this->weightDigests[version] = manifest.totalDigest;
    this->call("platform", "PUT", "/weights/" + object, content);
    this->call("platform", "PUT", "/objects/" + manifestObject(manifest.digest), manifestJson(manifest));
    return manifest.digest.value;
}

} // namespace hickory::scenario
