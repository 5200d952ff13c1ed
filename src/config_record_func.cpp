#include "config_record_func.h"

#include "config_func.h"
#include "digest_func.h"

#include <nlohmann/json.hpp>

namespace hickory {

namespace {

    Error recordError(ErrorCode code, const std::string& detail)
    {
        return { .code = make_error_code(code), .step = "read-config-record", .detail = detail };
    }

    LogLine rejectionLine(const ConfigRecord& record, const std::string& from, const std::string& reason)
    {
        return { .level = LogLevel::Error,
            .event = "config-refused",
            .fields
            = { { "generation", std::to_string(record.generation.value) }, { "from", from }, { "reason", reason } } };
    }

} // namespace

std::string historyKey(Generation generation) { return "config/g/" + std::to_string(generation.value); }

std::string recordToJson(const ConfigRecord& record)
{
    return nlohmann::json {
        { "generation", record.generation.value }, { "digest", record.digest }, { "change_id", record.changeId.value },
        { "text", record.text }
    }.dump();
}

Result<ConfigRecord> recordFromJson(std::string_view json)
{
    const nlohmann::json body = nlohmann::json::parse(json, nullptr, false);
    if (!body.is_object())
        return recordError(ErrorCode::Protocol, "expected a JSON object");
    try {
        ConfigRecord record { .generation = { body.at("generation").get<std::uint64_t>() },
            .digest = body.at("digest").get<std::string>(),
            .changeId = { body.at("change_id").get<std::string>() },
            .text = body.at("text").get<std::string>() };
        if (digestHex(record.text) != record.digest)
            return recordError(ErrorCode::Corrupt, "the text does not match its digest");
        return record;
    } catch (const nlohmann::json::exception& error) {
        return recordError(ErrorCode::Protocol, error.what());
    }
}

bool adoptConfig(ConfigState& state, const ConfigRecord& record, const std::string& from, std::vector<LogLine>& log)
{
    if (record.generation <= state.record.generation || record.generation == state.rejected)
        return false;
    if (digestHex(record.text) != record.digest) {
        log.push_back(rejectionLine(record, from, "the text does not match its digest"));
        return false;
    }
    Result<Config> config = parseConfig(record.text);
    if (!config) {
        // An entry of another release may have accepted a configuration that this release cannot parse. The active
        // configuration stays.
        state.rejected = record.generation;
        log.push_back(rejectionLine(record, from, config.error().detail));
        return false;
    }
    log.push_back({ .event = "config-in-force",
        .fields = { { "generation", std::to_string(record.generation.value) }, { "from", from },
            { "change_id", record.changeId.value }, { "previous", std::to_string(state.record.generation.value) } } });
    state.record = record;
    state.config = std::make_shared<const Config>(std::move(config.value()));
    return true;
}

} // namespace hickory
