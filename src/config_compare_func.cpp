#include "config_compare_func.h"

#include "config_check_func.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace hickory {

namespace {

    /// How much a difference matters to callers, in the order of the output.
    enum class Weight : std::uint8_t {
        Removed, ///< callers lose a route, key, workspace or service
        Access, ///< who may call, and where requests may run
        Routing, ///< which requests go to which service
        Limit, ///< times, ranks, attempts and sizes
        Added, ///< nothing that works today changes
    };

    struct Difference {
        Weight weight { Weight::Limit };
        std::string line;
    };

    using Differences = std::vector<Difference>;

    template <typename Number> std::string textOf(const Number& value)
    {
        std::ostringstream stream;
        stream << value;
        return stream.str();
    }

    std::string textOf(const std::string& value) { return value.empty() ? "none" : value; }
    std::string textOf(Milliseconds value) { return std::to_string(value.value) + " ms"; }
    std::string textOf(Bytes value) { return std::to_string(value.value) + " bytes"; }
    std::string textOf(bool value) { return value ? "yes" : "no"; }

    std::string textOf(CallKind kind)
    {
        return kind == CallKind::Stream ? "streaming" : kind == CallKind::Idempotent ? "idempotent" : "non_idempotent";
    }

    /// @return names in order, so that the order of a list is no difference
    template <typename Id> std::string nameList(const std::vector<Id>& ids, const char* whenEmpty)
    {
        std::set<Id> sorted(ids.begin(), ids.end());
        std::string text;
        for (const Id& id : sorted)
            text += (text.empty() ? "" : ",") + (id.empty() ? "(no region)" : id.value);
        return text.empty() ? whenEmpty : text;
    }

    /// @return services with their weights, or the service alone if there is only one
    std::string shareList(const RelayRoute& route)
    {
        std::map<ServiceId, double> weights;
        for (const RouteShare& share : route.shares)
            weights[share.service] += share.weight;
        if (weights.size() == 1)
            return weights.begin()->first.value;
        std::string text;
        for (const auto& [service, weight] : weights)
            text += (text.empty() ? "" : ",") + service.value + "=" + textOf(weight);
        return text;
    }

    std::set<ServiceId> servicesOf(const RelayRoute& route)
    {
        std::set<ServiceId> services;
        for (const RouteShare& share : route.shares)
            services.insert(share.service);
        return services;
    }

    /// Compares the fields of one row.
    struct FieldComparison {
        std::string place; ///< kind and name of the row
        Differences& differences; ///< receives the fields that differ

        template <typename Value>
        void compare(Weight weight, const char* field, const Value& before, const Value& after)
        {
            const std::string from = textOf(before);
            const std::string to = textOf(after);
            if (from != to)
                this->differences.push_back(
                    { .weight = weight, .line = "changed " + this->place + ": " + field + " " + from + " -> " + to });
        }
    };

    std::string address(const RelayRoute& route) { return route.host + route.prefix; }
    std::string keyOf(const RelayRoute& route) { return route.name.empty() ? address(route) : route.name; }

    void compareRoute(const RelayRoute& before, const RelayRoute& after, Differences& differences)
    {
        FieldComparison fields { .place = "route " + keyOf(after), .differences = differences };
        fields.compare(Weight::Routing, "address", address(before), address(after));
        fields.compare(Weight::Access, "public", before.keyless, after.keyless);
        fields.compare(Weight::Access, "allowed_regions", nameList(before.homes, "any"), nameList(after.homes, "any"));
        const bool moved = servicesOf(before) != servicesOf(after);
        fields.compare(
            Weight::Routing, moved ? "moved to other services," : "shares", shareList(before), shareList(after));
        fields.compare(Weight::Routing, "kind", before.kind, after.kind);
        fields.compare(Weight::Routing, "resumable", before.resumable, after.resumable);
        fields.compare(Weight::Limit, "timeout_ms", before.timeout, after.timeout);
        fields.compare(Weight::Limit, "target_latency_ms", before.objective, after.objective);
        fields.compare(Weight::Limit, "target_gap_ms", before.gapObjective, after.gapObjective);
        fields.compare(Weight::Limit, "priority", unsigned { before.rank }, unsigned { after.rank });
        fields.compare(Weight::Limit, "max_attempts", before.maxAttempts, after.maxAttempts);
    }

    void compareEngine(const EngineProfile& before, const EngineProfile& after, FieldComparison& fields)
    {
        fields.compare(Weight::Routing, "models", nameList(before.models, "none"), nameList(after.models, "none"));
        fields.compare(Weight::Limit, "slots", before.slots, after.slots);
        fields.compare(Weight::Limit, "kv_capacity", before.kvCacheTokens, after.kvCacheTokens);
        fields.compare(Weight::Limit, "step_ms", before.stepMs, after.stepMs);
        fields.compare(Weight::Limit, "per_seq_ms", before.stepPerRequestMs, after.stepPerRequestMs);
        fields.compare(Weight::Limit, "context_per_k", before.stepPerKiloContextMs, after.stepPerKiloContextMs);
        fields.compare(Weight::Limit, "read tokens per ms", before.prefillTokensPerMs, after.prefillTokensPerMs);
        fields.compare(Weight::Limit, "pairs_per_m", before.prefillPerMegaPairMs, after.prefillPerMegaPairMs);
        fields.compare(Weight::Limit, "stride", before.stride, after.stride);
        fields.compare(Weight::Limit, "layers", before.layers, after.layers);
        fields.compare(Weight::Limit, "chunks", before.pieceCount, after.pieceCount);
        fields.compare(Weight::Limit, "chunk_bytes", before.pieceBytes, after.pieceBytes);
        fields.compare(Weight::Limit, "usual prompt tokens", before.meanPromptTokens, after.meanPromptTokens);
        fields.compare(Weight::Limit, "usual answer tokens", before.meanOutputTokens, after.meanOutputTokens);
        fields.compare(Weight::Limit, "warmup", before.loadTime, after.loadTime);
    }

    void compareService(const RelayService& before, const RelayService& after, Differences& differences)
    {
        FieldComparison fields { .place = "service " + after.name.value, .differences = differences };
        fields.compare(Weight::Routing, "engine", before.engine.has_value(), after.engine.has_value());
        if (before.engine && after.engine)
            compareEngine(*before.engine, *after.engine, fields);
        fields.compare(Weight::Routing, "origin", before.originAddress, after.originAddress);
        fields.compare(Weight::Limit, "link_mbps", before.originMbps, after.originMbps);
        fields.compare(Weight::Limit, "status path", before.statusPath, after.statusPath);
        fields.compare(Weight::Limit, "max_conns", before.maxConnections, after.maxConnections);
        fields.compare(Weight::Limit, "cold period", before.coldPeriod, after.coldPeriod);
        fields.compare(Weight::Limit, "cold_per_s", before.coldRequestsPerSecond, after.coldRequestsPerSecond);
    }

    /// Pairs the rows of two lists.
    /// @param describe text of a row that is removed or added
    template <typename Rows, typename Describe, typename Compare>
    void pairRows(const Rows& before, const Rows& after, const char* kind, Differences& differences,
        const Describe& describe, const Compare& compare)
    {
        for (const auto& [key, row] : before) {
            if (const auto found = after.find(key); found != after.end())
                compare(*row, *found->second);
            else
                differences.push_back(
                    { .weight = Weight::Removed, .line = std::string("removed ") + kind + " " + describe(*row) });
        }
        for (const auto& [key, row] : after)
            if (!before.contains(key))
                differences.push_back(
                    { .weight = Weight::Added, .line = std::string("added ") + kind + " " + describe(*row) });
    }

    /// @return rows by key; of rows with the same key the first
    template <typename Row, typename KeyOf>
    std::map<std::string, const Row*> byKey(const std::vector<Row>& rows, const KeyOf& key)
    {
        std::map<std::string, const Row*> map;
        for (const Row& row : rows)
            map.emplace(key(row), &row);
        return map;
    }

    void compareWorkspaces(const RelayConfig& before, const RelayConfig& after, Differences& differences)
    {
        const auto name = [](const RelayWorkspace& workspace) { return workspace.name.value; };
        pairRows(byKey(before.workspaces, name), byKey(after.workspaces, name), "workspace", differences, name,
            [&](const RelayWorkspace& old, const RelayWorkspace& now) {
                FieldComparison fields { .place = "workspace " + now.name.value, .differences = differences };
                fields.compare(
                    Weight::Access, "allowed_regions", nameList(old.homes, "any"), nameList(now.homes, "any"));
                const auto rank = [](const RelayWorkspace& workspace) {
                    return workspace.rank ? std::to_string(*workspace.rank) : std::string();
                };
                fields.compare(Weight::Limit, "priority", rank(old), rank(now));
            });
        if (before.needsKeys != after.needsKeys)
            differences.push_back({ .weight = Weight::Access,
                .line = after.needsKeys ? "changed keys: routes that are not public now need a key"
                                        : "changed keys: no route needs a key any more" });
        const auto allowsNoKey = [](const RelayConfig& config) { return config.needsKeys && config.keys.empty(); };
        if (allowsNoKey(after) && !allowsNoKey(before))
            differences.push_back({ .weight = Weight::Access, .line = "changed keys: no key is valid any more" });
    }

    void compareKeys(const RelayConfig& before, const RelayConfig& after, Differences& differences)
    {
        const std::map<std::string, std::size_t> old(before.keys.begin(), before.keys.end());
        const std::map<std::string, std::size_t> now(after.keys.begin(), after.keys.end());
        for (const auto& [key, owner] : old) {
            const std::string& from = before.workspaces.at(owner).name.value;
            const auto found = now.find(key);
            if (found == now.end())
                differences.push_back(
                    { .weight = Weight::Removed, .line = "removed key " + shortenKey(key) + " of workspace " + from });
            else if (const std::string& to = after.workspaces.at(found->second).name.value; to != from)
                differences.push_back({ .weight = Weight::Access,
                    .line = "changed key " + shortenKey(key) + ": workspace " + from + " -> " + to });
        }
        for (const auto& [key, owner] : now)
            if (!old.contains(key))
                differences.push_back({ .weight = Weight::Added,
                    .line
                    = "added key " + shortenKey(key) + " of workspace " + after.workspaces.at(owner).name.value });
    }

} // namespace

std::vector<std::string> compareConfigs(const RelayConfig& before, const RelayConfig& after)
{
    Differences differences;
    pairRows(
        byKey(before.routes, keyOf), byKey(after.routes, keyOf), "route", differences,
        [](const RelayRoute& route) {
            return keyOf(route) + " (" + address(route) + ", service " + shareList(route) + ")";
        },
        [&](const RelayRoute& old, const RelayRoute& now) { compareRoute(old, now, differences); });
    compareWorkspaces(before, after, differences);
    compareKeys(before, after, differences);
    const auto services = [](const RelayConfig& config) {
        std::map<std::string, const RelayService*> map;
        for (const auto& [name, service] : config.services)
            map.emplace(name.value, &service);
        return map;
    };
    pairRows(
        services(before), services(after), "service", differences,
        [](const RelayService& service) { return service.name.value; },
        [&](const RelayService& old, const RelayService& now) { compareService(old, now, differences); });
    FieldComparison limits { .place = "limits", .differences = differences };
    limits.compare(Weight::Limit, "max_header_bytes", before.limits.headBytes, after.limits.headBytes);
    limits.compare(Weight::Limit, "max_body_bytes", before.limits.bodyBytes, after.limits.bodyBytes);
    limits.compare(Weight::Limit, "header_timeout_ms", before.limits.headTimeout, after.limits.headTimeout);
    limits.compare(Weight::Limit, "idle_timeout_ms", before.limits.idleTimeout, after.limits.idleTimeout);
    std::stable_sort(differences.begin(), differences.end(),
        [](const Difference& left, const Difference& right) { return left.weight < right.weight; });
    std::vector<std::string> lines;
    for (const Difference& difference : differences)
        lines.push_back(difference.line);
    return lines;
}

} // namespace hickory
