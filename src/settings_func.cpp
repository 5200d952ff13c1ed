#include "settings_func.h"

#include "table/settings_limits.h"
#include "toml_func.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace hickory {

namespace {

    using Problem = std::optional<TomlProblem>;

    Error settingsError(const std::string& path, const std::string& detail)
    {
        return {
            .code = make_error_code(ErrorCode::InvalidSettings), .step = "load-settings", .peer = path, .detail = detail
        };
    }

    Result<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return settingsError(path, "cannot be read");
        return std::string { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

    bool isPort(std::string_view text, bool zeroAllowed)
    {
        constexpr std::size_t maxDigits = 5;
        constexpr int maxPort = 65535;
        if (text.empty() || text.size() > maxDigits || text.find_first_not_of("0123456789") != std::string_view::npos)
            return false;
        const int port = std::stoi(std::string(text));
        return port <= maxPort && (zeroAllowed || port > 0);
    }

    bool isAddress(std::string_view text, bool zeroAllowed)
    {
        const std::size_t colon = text.rfind(':');
        return colon != std::string_view::npos && colon > 0
            && text.substr(0, colon).find_first_of("/ \t") == std::string_view::npos
            && isPort(text.substr(colon + 1), zeroAllowed);
    }

    std::string readAddress(TomlReader& reader, std::string_view key, const std::string& fallback)
    {
        std::string value = reader.text(key, fallback);
        if (!isAddress(value, true))
            reader.fail(key, "\"" + value + "\" is not an address; expected \"ip:port\", port 0 to 65535");
        return value;
    }

    bool isUrl(const std::string& value, bool secureAllowed)
    {
        const std::size_t scheme = value.starts_with("http://") ? 7
            : secureAllowed && value.starts_with("https://")    ? 8
                                                                : 0;
        return scheme > 0 && isAddress(std::string_view(value).substr(scheme), false);
    }

    std::string readUrl(TomlReader& reader, std::string_view key)
    {
        std::string value = reader.text(key, {}, Presence::Required);
        if (!isUrl(value, false))
            reader.fail(key, "\"" + value + "\" is not a valid URL; expected \"http://ip:port\", port 1 to 65535");
        return value;
    }

    /// Reads the operator token from the file named by operator_token_file.
    /// @param settingsPath settings file; a relative path of the token file starts from its directory
    /// @return first line of the token file, empty when the key is absent
    std::string readTokenFile(TomlReader& reader, const std::string& settingsPath)
    {
        constexpr std::string_view key = "operator_token_file";
        const std::string name = reader.text(key, {});
        if (name.empty())
            return {};
        const std::filesystem::path path = std::filesystem::path(settingsPath).parent_path() / name;
        std::ifstream file(path);
        std::string token;
        constexpr std::size_t minTokenLength = 16; // shorter tokens can be guessed
        if (!std::getline(file, token) || token.size() < minTokenLength)
            reader.fail(
                key, "\"" + path.string() + "\" cannot be read or its first line is shorter than 16 characters");
        return token;
    }

    /// @return the table that the key names, or the empty one, so that defaults apply and missing required keys are
    /// reported
    const TomlNode& tableOrEmpty(TomlReader& root, std::string_view key, const TomlNode& empty)
    {
        const TomlNode* table = root.table(key);
        return table ? *table : empty;
    }

    /// Converts an array of any size, so that TomlReader::choice can deduce its argument.
    template <typename Value> std::span<const NamedValue<Value>> asSpan(const auto& table) { return table; }

    ProcessSettings readProcess(const TomlNode& table, Problem& problem)
    {
        TomlReader reader(table, "process", problem);
        ProcessSettings process;
        process.host = { reader.name("host") };
        process.dataCentre = { reader.name("place") };
        process.region = { reader.name("region") };
        process.rpcListen = readAddress(reader, "rpc_listen", process.rpcListen);
        process.httpListen = readAddress(reader, "http_listen", process.httpListen);
        process.platform = readUrl(reader, "platform");
        process.logLevel = reader.choice("log_level", process.logLevel, asSpan<LogLevel>(logLevelNames));
        process.logFile = reader.text("log_file", {});
        process.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, seedRange));
        reader.finish();
        return process;
    }

    void readHttp(const TomlNode& table, const std::string& path, EntrySettings& settings, Problem& problem)
    {
        TomlReader reader(table, "http", problem);
        settings.operatorToken = readTokenFile(reader, path);
        settings.tlsCertificate = reader.text("tls_certificate", {});
        settings.tlsKey = reader.text("tls_key", {});
        if (settings.tlsCertificate.empty() != settings.tlsKey.empty())
            reader.fail("tls_certificate", "tls_certificate and tls_key must be set together");
        settings.httpWorkers
            = static_cast<std::uint32_t>(reader.integer("workers", settings.httpWorkers, httpWorkersRange));
        settings.maxBody.value = static_cast<std::uint64_t>(
            reader.integer("max_body_bytes", static_cast<std::int64_t>(settings.maxBody.value), maxBodyRange));
        settings.entriesTimeToLive
            = { reader.integer("entries_ttl_ms", settings.entriesTimeToLive.value, timeToLiveRange) };
        reader.finish();
    }

    void readEntryPolicy(const TomlNode& table, EntrySettings& settings, Problem& problem)
    {
        TomlReader reader(table, "policy", problem);
        settings.routePolicy = reader.choice("route", settings.routePolicy, asSpan<RoutePolicy>(routePolicyNames));
        settings.queuePolicy = reader.choice("queue", settings.queuePolicy, asSpan<QueuePolicy>(queuePolicyNames));
        settings.growthPolicy = reader.choice("growth", settings.growthPolicy, asSpan<GrowthPolicy>(growthPolicyNames));
        settings.subsetSize = static_cast<std::uint32_t>(reader.integer("subset", settings.subsetSize, subsetRange));
        settings.retryBudget = reader.number("retry_budget", settings.retryBudget, retryBudgetRange);
        settings.maxQueued
            = static_cast<std::uint32_t>(reader.integer("max_queued", settings.maxQueued, entryQueueRange));
        settings.agentSilenceTimeout
            = { reader.integer("accept_timeout_ms", settings.agentSilenceTimeout.value, agentSilenceTimeoutRange) };
        settings.defaultTimeout
            = { reader.integer("default_timeout_ms", settings.defaultTimeout.value, defaultTimeoutRange) };
        reader.finish();
    }

    void readUpstream(const TomlNode& table, AgentSettings& settings, Problem& problem)
    {
        TomlReader reader(table, "upstream", problem);
        settings.upstream = readUrl(reader, "url");
        settings.engine = reader.choice("kind", false, asSpan<bool>(upstreamKindNames), Presence::Required);
        settings.service = { reader.name("service", Presence::Optional) };
        if (settings.engine && !settings.service.empty())
            reader.fail("service", "must not be set for an engine; placement chooses its service");
        if (!settings.engine && settings.service.empty())
            reader.fail("service", "is missing; a plain upstream requires a service");
        reader.finish();
    }

    void readWeights(const TomlNode& table, AgentSettings& settings, Problem& problem)
    {
        TomlReader reader(table, "weights", problem);
        settings.weightsDirectory = reader.text("directory", {});
        if (settings.engine && settings.weightsDirectory.empty())
            reader.fail("directory", "is missing; an engine requires a memory-backed directory for weights");
        settings.weightsLimit.value = static_cast<std::uint64_t>(
            reader.integer("max_bytes", static_cast<std::int64_t>(settings.weightsLimit.value), weightsLimitRange));
        settings.linkRate.value = static_cast<std::uint64_t>(reader.integer("link_bytes_per_s", 0, linkRateRange));
        settings.linkShare = reader.number("link_share", settings.linkShare, linkShareRange);
        settings.fetchPolicy = reader.choice("fetch", settings.fetchPolicy, asSpan<FetchPolicy>(fetchPolicyNames));
        settings.storeRegion = { reader.name("store_region", Presence::Optional) };
        reader.finish();
    }

    void readAgentPolicy(const TomlNode& table, AgentSettings& settings, Problem& problem)
    {
        TomlReader reader(table, "policy", problem);
        settings.slotPolicy = reader.choice("slots", settings.slotPolicy, asSpan<SlotPolicy>(slotPolicyNames));
        settings.maxQueued
            = static_cast<std::uint32_t>(reader.integer("max_queued", settings.maxQueued, agentQueueRange));
        settings.lease = { reader.integer("lease_ms", settings.lease.value, leaseRange) };
        constexpr std::int64_t millisecondsPerSecond = 1000;
        settings.callRowTimeToLive = Milliseconds { millisecondsPerSecond }
            * reader.integer(
                "call_row_ttl_s", settings.callRowTimeToLive.value / millisecondsPerSecond, callRowTimeToLiveRange);
        reader.finish();
    }

    HostSettings readHost(const TomlNode& table, Problem& problem)
    {
        TomlReader reader(table, "host", problem);
        HostSettings host;
        host.host = { reader.name("name") };
        host.dataCentre = { reader.name("place") };
        host.region = { reader.name("region") };
        host.ip = reader.text("ip", {}, Presence::Required);
        host.peerPort = static_cast<std::uint16_t>(reader.integer("peer_port", 0, peerPortRange));
        host.store = readAddress(reader, "store", {});
        host.seeds = reader.texts("seeds");
        for (const std::string& seed : host.seeds)
            if (!isAddress(seed, false))
                reader.fail("seeds", "\"" + seed + "\" is not an address; expected \"ip:port\"");
        for (const std::string& region : reader.texts("regions")) {
            const std::size_t split = region.find('=');
            if (split == std::string::npos || split == 0 || split + 1 == region.size())
                reader.fail("regions", "\"" + region + "\" is not of the form \"DATA-CENTRE=REGION\"");
            else
                host.regions[{ region.substr(0, split) }] = { region.substr(split + 1) };
        }
        host.logLevel = reader.choice("log_level", host.logLevel, asSpan<LogLevel>(logLevelNames));
        host.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, seedRange));
        reader.finish();
        return host;
    }

    void readRelay(const TomlNode& table, RelaySettings& settings, Problem& problem)
    {
        constexpr std::int64_t millisecondsPerSecond = 1000;
        TomlReader reader(table, "relay", problem);
        settings.front = readAddress(reader, "front", {});
        settings.readiness = readAddress(reader, "readiness", {});
        settings.lookup = readAddress(reader, "lookup", {});
        settings.control = readAddress(reader, "control", {});
        settings.lookupTimeToLive
            = { reader.integer("lookup_ttl_ms", settings.lookupTimeToLive.value, timeToLiveRange) };
        settings.maxRevocationDelay = { reader.integer("revoke_ms", settings.maxRevocationDelay.value, maxDelayRange) };
        settings.maxWeightsDelay = { reader.integer("weights_ms", settings.maxWeightsDelay.value, maxDelayRange) };
        settings.gracePeriod = Milliseconds { millisecondsPerSecond }
            * static_cast<std::int64_t>(reader.number("grace_s", 8, durationSecondsRange));
        settings.retryRatio = reader.number("retry_ratio", settings.retryRatio, retryBudgetRange);
        settings.retryExtra = reader.number("retry_extra", settings.retryExtra, retryExtraRange);
        settings.retryWindow = Milliseconds { millisecondsPerSecond }
            * static_cast<std::int64_t>(reader.number("retry_window_s", 10, durationSecondsRange));
        const std::int64_t evacuationDelay = reader.integer("evacuate_ms", 0, maxDelayRange);
        settings.evacuationsConfigured = evacuationDelay != 0;
        if (settings.evacuationsConfigured)
            settings.maxEvacuationDelay = { evacuationDelay };
        settings.coldOverage = reader.number("cold_overage", settings.coldOverage, coldOverageRange);
        settings.coldSlack = reader.number("cold_slack", settings.coldSlack, coldSlackRange);
        settings.memoryMb = reader.number("memory_mb", settings.memoryMb, memoryMbRange);
        settings.maxDescriptors
            = static_cast<std::uint32_t>(reader.integer("max_fds", settings.maxDescriptors, descriptorsRange));
        reader.finish();
    }

    void readLoader(const TomlNode& table, LoaderSettings& settings, Problem& problem)
    {
        TomlReader reader(table, "loader", problem);
        settings.engine = readAddress(reader, "engine", {});
        settings.service = { reader.name("service") };
        settings.linkMbps = reader.number("link_mbps", settings.linkMbps, linkMbpsRange);
        settings.maxWeightsDelay = { reader.integer("weights_ms", settings.maxWeightsDelay.value, maxDelayRange) };
        reader.finish();
    }

    /// Reads and parses a settings file, lets `fill` read its tables, and returns the first problem as an error.
    template <typename Settings, typename Fill> Result<Settings> loadSettings(const std::string& path, Fill fill)
    {
        const Result<std::string> content = readFile(path);
        if (!content)
            return content.error();
        const std::variant<TomlNode, TomlProblem> parsed = parseToml(content.value());
        if (const auto* syntax = std::get_if<TomlProblem>(&parsed))
            return settingsError(path, syntax->text());
        Problem problem;
        Settings settings;
        TomlReader root(std::get<TomlNode>(parsed), {}, problem);
        fill(root, settings, problem);
        root.finish();
        if (problem)
            return settingsError(path, problem->text());
        return settings;
    }

    /// Used in place of a table that is absent from the file.
    const TomlNode emptyTable { .line = 1 };

} // namespace

Result<EntrySettings> loadEntrySettings(const std::string& path)
{
    return loadSettings<EntrySettings>(path, [&](TomlReader& root, EntrySettings& settings, Problem& problem) {
        settings.process = readProcess(tableOrEmpty(root, "process", emptyTable), problem);
        readHttp(tableOrEmpty(root, "http", emptyTable), path, settings, problem);
        readEntryPolicy(tableOrEmpty(root, "policy", emptyTable), settings, problem);
    });
}

Result<AgentSettings> loadAgentSettings(const std::string& path)
{
    return loadSettings<AgentSettings>(path, [](TomlReader& root, AgentSettings& settings, Problem& problem) {
        settings.process = readProcess(tableOrEmpty(root, "process", emptyTable), problem);
        readUpstream(tableOrEmpty(root, "upstream", emptyTable), settings, problem);
        readWeights(tableOrEmpty(root, "weights", emptyTable), settings, problem);
        readAgentPolicy(tableOrEmpty(root, "policy", emptyTable), settings, problem);
    });
}

bool hasSettingsTable(const std::string& path, std::string_view table)
{
    const Result<std::string> content = readFile(path);
    if (!content)
        return false;
    const std::variant<TomlNode, TomlProblem> parsed = parseToml(content.value());
    const auto* root = std::get_if<TomlNode>(&parsed);
    return root && root->find(table);
}

Result<RelaySettings> loadRelaySettings(const std::string& path)
{
    return loadSettings<RelaySettings>(path, [](TomlReader& root, RelaySettings& settings, Problem& problem) {
        settings.host = readHost(tableOrEmpty(root, "host", emptyTable), problem);
        readRelay(tableOrEmpty(root, "relay", emptyTable), settings, problem);
    });
}

Result<LoaderSettings> loadLoaderSettings(const std::string& path)
{
    return loadSettings<LoaderSettings>(path, [](TomlReader& root, LoaderSettings& settings, Problem& problem) {
        settings.host = readHost(tableOrEmpty(root, "host", emptyTable), problem);
        readLoader(tableOrEmpty(root, "loader", emptyTable), settings, problem);
    });
}

Result<CtlSettings> loadCtlSettings(const std::string& path)
{
    return loadSettings<CtlSettings>(path, [&](TomlReader& root, CtlSettings& settings, Problem&) {
        settings.entries = root.texts("entries");
        if (settings.entries.empty())
            root.fail("entries", "expected at least one entry address");
        for (const std::string& entry : settings.entries)
            if (!isUrl(entry, true))
                root.fail("entries",
                    "\"" + entry + "\" is not a valid URL; expected \"http://ip:port\" or \"https://ip:port\"");
        settings.operatorToken = readTokenFile(root, path);
        const std::string authority = root.text("tls_ca", {});
        if (authority.empty())
            return;
        settings.tlsAuthority = (std::filesystem::path(path).parent_path() / authority).string();
        if (!std::ifstream(settings.tlsAuthority))
            root.fail("tls_ca", "\"" + settings.tlsAuthority + "\" cannot be read");
    });
}

} // namespace hickory
