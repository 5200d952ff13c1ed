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

    /// @param changes without rows
    Json encodeChanges(const platform::TableChanges& changes, Milliseconds now)
    {
        Json table { { "era", changes.version.era }, { "revision", changes.version.revision },
            { "era_start", changes.eraStart }, { "last_removal", changes.lastRemovalRevision },
            { "age_ms", (now - changes.asOf).value } };
        if (changes.keys)
            table["keys"] = *changes.keys;
        return table;
    }

    Json encodeRow(const platform::TableRow& row)
    {
        return { { "key", row.key }, { "value", row.value }, { "revision", row.revision } };
    }

    Json encodeUpstreams(const platform::TableSnapshot& copy, const StoreVersion& held, Milliseconds now)
    {
        const platform::TableChanges changes = platform::changesSince(copy, held);
        Json table = encodeChanges(changes, now);
        for (const platform::TableRow& row : changes.rows)
            table["rows"].push_back(encodeRow(row));
        return table;
    }

    /// @return a list of copies as [offset, length] and of new bytes as text
    Json encodePatch(const RowPatch& patch)
    {
        Json steps = Json::array();
        for (const TextPatchStep& step : patch.steps)
            steps.push_back(step.text.empty() ? Json::array({ step.offset, step.length }) : Json(step.text));
        return { { "key", patch.key }, { "revision", patch.revision }, { "base", patch.base },
            { "digest", patch.digest }, { "steps", std::move(steps) } };
    }

    RowPatch decodePatch(const Json& row)
    {
        RowPatch patch { .key = row.at("key").get<std::string>(),
            .revision = row.at("revision").get<std::uint64_t>(),
            .base = row.at("base").get<std::uint64_t>(),
            .digest = row.at("digest").get<std::string>(),
            .steps = {} };
        for (const Json& step : row.at("steps"))
            if (step.is_string())
                patch.steps.push_back({ .text = step.get<std::string>() });
            else
                patch.steps.push_back(
                    { .offset = step.at(0).get<std::size_t>(), .length = step.at(1).get<std::size_t>(), .text = {} });
        return patch;
    }

    /// Operators' rows, and the bytes of their contents.
    struct EncodedOperators {
        Json table;
        std::size_t bytes { 0 };
    };

    EncodedOperators encodeOperators(const ServedTables& tables, const PeerVersions& held, Milliseconds now)
    {
        const platform::TableChanges changes = platform::changesSince(tables.operators, held.operators);
        EncodedOperators encoded { .table = encodeChanges(changes, now) };
        for (const platform::TableRow& row : changes.rows) {
            const bool mayPatch = held.patches && !held.large && tables.config && tables.config->current
                && row.key == tables.config->current->key;
            const std::optional<RowPatch> patch
                = mayPatch ? makeRowPatch(*tables.config, row, held.operators) : std::nullopt;
            encoded.bytes += patch ? patchBytes(patch->steps) : row.value.size();
            if (patch)
                encoded.table["patches"].push_back(encodePatch(*patch));
            else
                encoded.table["rows"].push_back(encodeRow(row));
        }
        return encoded;
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
        + "&upstreams_era=" + std::to_string(held.upstreams.era) + (held.large ? "&large=1" : "")
        + (held.patches ? "&patches=1" : "");
}

PeerVersions decodePeerVersions(const std::string& target)
{
    const auto read = [&](const std::string& name) {
        return StoreVersion { .era = queryNumber(target, name + "_era"), .revision = queryNumber(target, name) };
    };
    return { .operators = read("operators"),
        .upstreams = read("upstreams"),
        .large = queryNumber(target, "large") == 1,
        .patches = queryNumber(target, "patches") == 1 };
}

std::string encodePeerTables(const ServedTables& tables, const PeerVersions& held, Milliseconds now)
{
    Json document { { "upstreams", encodeUpstreams(tables.upstreams, held.upstreams, now) },
        { "weights", encodeDeclared(tables.declared, now) } };
    EncodedOperators operators = encodeOperators(tables, held, now);
    const std::size_t lostBytes = tables.lostConfig ? tables.lostConfig->text.size() : 0;
    const bool isLeftOut = !held.large && operators.bytes + lostBytes > maxPromptOperatorRows;
    if (isLeftOut)
        document["operators_large"] = true;
    else
        document["operators"] = std::move(operators.table);
    if (const auto& lost = tables.lostConfig; lost && !isLeftOut)
        document["lost_config"]
            = { { "text", lost->text }, { "era", lost->writtenIn.era }, { "exact", lost->writtenIn.isExact } };
    // Rows written by other programs may contain bytes that are not UTF-8, which JSON cannot hold.
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool resolvePatches(PeerTables& tables, const platform::TableSnapshot& copy)
{
    for (const RowPatch& patch : tables.operatorPatches) {
        // It came meanwhile, from another entry.
        if (tables.operators.version.era == copy.version.era && isApplied(copy, patch))
            continue;
        std::optional<platform::TableRow> row = applyRowPatch(copy, patch);
        if (!row)
            return false;
        tables.operators.rows.push_back(std::move(*row));
    }
    return true;
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
        std::vector<RowPatch> patches;
        if (!isLarge)
            for (const Json& row : document.at("operators").value("patches", Json::array()))
                patches.push_back(decodePatch(row));
        return PeerTables { .operators
            = isLarge ? platform::TableChanges {} : decodeTable(document.at("operators"), sentAt),
            .operatorPatches = std::move(patches),
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
