#include "peer_table_func.h"

#include "query_func.h"

#include <nlohmann/json.hpp>
#include <numeric>

namespace hickory {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maxToldVersions = 8; ///< of a model; older ones have long been replaced
    /// Bytes of the operators' rows that are sent along with the list of upstreams: a configuration of 400 routes. Six
    /// entries fetch so many over 24 Mbit/s in a quarter of a second.
    constexpr std::size_t maxPromptOperatorRows = 128U << 10U;
    constexpr Milliseconds clockResolution { 1 }; ///< the difference of two rounded times may be that much too small

    /// @param held version of the requesting process
    Json encodeTable(const platform::TableSnapshot& copy, const StoreVersion& held, Milliseconds now)
    {
        const platform::TableChanges changes = platform::changesSince(copy, held);
        Json table { { "era", changes.version.era }, { "revision", changes.version.revision },
            { "era_start", changes.eraStart }, { "last_removal", changes.lastRemovalRevision },
            { "age_ms", (now - changes.asOf).value } };
        if (!changes.rows.empty()) {
            Json rows = Json::array();
            for (const platform::TableRow& row : changes.rows)
                rows.push_back({ { "key", row.key }, { "value", row.value }, { "revision", row.revision } });
            table["rows"] = std::move(rows);
        }
        if (changes.keys)
            table["keys"] = *changes.keys;
        return table;
    }

    platform::TableChanges decodeTable(const Json& table, Milliseconds sentAt)
    {
        platform::TableChanges changes { .version
            = { .era = table.value("era", std::uint64_t { 0 }), .revision = table.at("revision").get<std::uint64_t>() },
            .eraStart = table.value("era_start", std::uint64_t { 0 }),
            .lastRemovalRevision = table.value("last_removal", table.at("revision").get<std::uint64_t>()),
            .asOf = sentAt - Milliseconds { table.at("age_ms").get<std::int64_t>() } };
        if (table.contains("rows"))
            for (const Json& row : table.at("rows"))
                changes.rows.push_back({ .key = row.at("key").get<std::string>(),
                    .value = row.at("value").get<std::string>(),
                    .revision = row.at("revision").get<std::uint64_t>() });
        if (table.contains("keys"))
            changes.keys = table.at("keys").get<std::set<std::string>>();
        return changes;
    }

    /// @return bytes of the rows that changed since a version
    std::size_t changedBytes(const platform::TableSnapshot& copy, const StoreVersion& held)
    {
        const platform::TableChanges changes = platform::changesSince(copy, held);
        return std::accumulate(changes.rows.begin(), changes.rows.end(), std::size_t { 0 },
            [](std::size_t sum, const platform::TableRow& row) { return sum + row.value.size(); });
    }

    Json encodeDeclared(const std::map<ModelId, DeclaredWeights>& declared, Milliseconds now)
    {
        Json encoded = Json::array();
        for (const auto& [model, versions] : declared) {
            std::size_t count = 0;
            for (auto known = versions.rbegin(); known != versions.rend() && count < maxToldVersions;
                 ++known, ++count) {
                Json told { { "model", model.value }, { "version", known->first.value } };
                if (known->second.notBefore)
                    told["unseen_ms"] = (now - *known->second.notBefore + clockResolution).value;
                encoded.push_back(std::move(told));
            }
        }
        return encoded;
    }

    std::vector<PeerWeights> decodeDeclared(const Json& encoded, Milliseconds sentAt)
    {
        std::vector<PeerWeights> declared;
        for (const Json& known : encoded) {
            PeerWeights told { .model = { known.at("model").get<std::string>() },
                .version = { known.at("version").get<std::uint64_t>() } };
            if (known.contains("unseen_ms"))
                told.notBefore = sentAt - Milliseconds { known.at("unseen_ms").get<std::int64_t>() };
            declared.push_back(std::move(told));
        }
        return declared;
    }

} // namespace

bool hasLaterConfig(const PeerBeacon& beacon, const RelayState& state)
{
    return !state.config
        || isWrittenLater(
            beacon.configWrittenIn, beacon.configVersion.value, state.configWrittenIn, state.config->version.value);
}

std::string peerTablesTarget(const PeerVersions& held)
{
    return std::string(peerTablesPath) + "?operators=" + std::to_string(held.operators.revision) + "&operators_era="
        + std::to_string(held.operators.era) + "&upstreams=" + std::to_string(held.upstreams.revision)
        + "&upstreams_era=" + std::to_string(held.upstreams.era) + (held.large ? "&large=1" : "");
}

PeerVersions decodePeerVersions(const std::string& target)
{
    const auto read = [&](const std::string& name) {
        return StoreVersion { .era = queryNumber(target, name + "_era"), .revision = queryNumber(target, name) };
    };
    return {
        .operators = read("operators"), .upstreams = read("upstreams"), .large = queryNumber(target, "large") == 1
    };
}

std::string encodePeerTables(const ServedTables& tables, const PeerVersions& held, Milliseconds now)
{
    Json document { { "upstreams", encodeTable(tables.upstreams, held.upstreams, now) },
        { "weights", encodeDeclared(tables.declared, now) } };
    const bool isLeftOut = !held.large
        && changedBytes(tables.operators, held.operators) + (tables.lostConfig ? tables.lostConfig->text.size() : 0)
            > maxPromptOperatorRows;
    if (isLeftOut)
        document["operators_large"] = true;
    else
        document["operators"] = encodeTable(tables.operators, held.operators, now);
    if (const auto& lost = tables.lostConfig; lost && !isLeftOut)
        document["lost_config"]
            = { { "text", lost->text }, { "era", lost->writtenIn.era }, { "exact", lost->writtenIn.isExact } };
    // Rows written by other programs may contain bytes that are not UTF-8, which JSON cannot hold.
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<PeerTables> decodePeerTables(const Result<FetchResponse>& answer, Milliseconds sentAt)
{
    if (!answer)
        return answer.error();
    try {
        const Json document = Json::parse(answer.value().body);
        std::optional<LostConfig> lostConfig;
        if (document.contains("lost_config")) {
            const Json& lost = document.at("lost_config");
            lostConfig = { .text = lost.at("text").get<std::string>(),
                .writtenIn = { .era = lost.at("era").get<std::uint64_t>(), .isExact = lost.at("exact").get<bool>() } };
        }
        const bool isLarge = document.value("operators_large", false);
        return PeerTables { .operators
            = isLarge ? platform::TableChanges {} : decodeTable(document.at("operators"), sentAt),
            .operatorsLarge = isLarge,
            .upstreams = decodeTable(document.at("upstreams"), sentAt),
            .lostConfig = std::move(lostConfig),
            .declared = decodeDeclared(document.value("weights", Json::array()), sentAt) };
    } catch (const Json::exception& problem) {
        return Error { .code = make_error_code(ErrorCode::Protocol),
            .step = "decode-peer-tables",
            .peer = {},
            .detail = problem.what() };
    }
}

} // namespace hickory
