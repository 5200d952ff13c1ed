#include "call_row_func.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <array>
#include <optional>

namespace hickory {

namespace {

    /// Name of a state in the stored row.
    struct StateName {
        CallRowState state;
        std::string_view name;
    };

    constexpr std::array<StateName, 3> stateNames { { { CallRowState::Started, "started" },
        { CallRowState::Done, "done" }, { CallRowState::Cancelled, "cancelled" } } };

    std::string_view stateName(CallRowState state)
    {
        for (const StateName& entry : stateNames)
            if (entry.state == state)
                return entry.name;
        return "started";
    }

    std::optional<CallRowState> parseState(std::string_view name)
    {
        for (const StateName& entry : stateNames)
            if (entry.name == name)
                return entry.state;
        return std::nullopt;
    }

    std::string toBase64(const std::string& data)
    {
        const std::size_t size = sodium_base64_encoded_len(data.size(), sodium_base64_VARIANT_ORIGINAL);
        std::string text(size, '\0');
        sodium_bin2base64(text.data(), size, reinterpret_cast<const unsigned char*>(data.data()), data.size(),
            sodium_base64_VARIANT_ORIGINAL);
        text.resize(size - 1); // drop the terminating null
        return text;
    }

    std::optional<std::string> fromBase64(const std::string& text)
    {
        std::string data(text.size(), '\0');
        std::size_t size = 0;
        const char* end = nullptr;
        const int failed = sodium_base642bin(reinterpret_cast<unsigned char*>(data.data()), data.size(), text.data(),
            text.size(), nullptr, &size, &end, sodium_base64_VARIANT_ORIGINAL);
        if (failed != 0 || end != text.data() + text.size())
            return std::nullopt;
        data.resize(size);
        return data;
    }

    Error decodeError(std::string detail)
    {
        return { .code = make_error_code(ErrorCode::Protocol),
            .step = "decode-call-row",
            .peer = "",
            .detail = std::move(detail) };
    }

} // namespace

std::string callRowKey(const ServiceId& service, const WorkspaceId& workspace, std::string_view idempotencyKey)
{
    return "calls/" + service.value + "/" + workspace.value + "/" + std::string(idempotencyKey);
}

std::string encodeCallRow(const CallRow& row)
{
    const nlohmann::json json { { "state", stateName(row.state) }, { "entry", row.attempt.entry.value },
        { "request", row.attempt.request.value }, { "attempt", row.attempt.attempt.value },
        { "incarnation", row.incarnation.value }, { "move", row.dispatchNumber },
        { "body_digest", row.requestDigest.value }, { "status", row.status }, { "content_type", row.contentType },
        { "answer", toBase64(row.answer) } };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<CallRow> decodeCallRow(std::string_view value)
{
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object())
        return decodeError("call row is not a JSON object");
    try {
        const auto state = parseState(json.at("state").get<std::string>());
        if (!state)
            return decodeError("call row has an unknown state");
        auto answer = fromBase64(json.at("answer").get<std::string>());
        if (!answer)
            return decodeError("answer in the call row is not valid base64");
        return CallRow { .state = *state,
            .attempt = { .entry = { json.at("entry").get<std::string>() },
                .request = { json.at("request").get<std::uint64_t>() },
                .attempt = { json.at("attempt").get<std::uint32_t>() } },
            .incarnation = { json.at("incarnation").get<std::uint64_t>() },
            .dispatchNumber = json.value("move", std::uint64_t { 0 }),
            .requestDigest = { json.at("body_digest").get<std::string>() },
            .status = json.at("status").get<std::uint16_t>(),
            .contentType = json.at("content_type").get<std::string>(),
            .answer = std::move(*answer) };
    } catch (const nlohmann::json::exception& error) {
        return decodeError(error.what());
    }
}

} // namespace hickory
