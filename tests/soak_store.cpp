#include "soak_store.h"

#include "query_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sodium.h>

namespace hickory::soak {

namespace {

    using Json = nlohmann::json;

    std::string base64(const std::string& bytes)
    {
        std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
        sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
            sodium_base64_VARIANT_ORIGINAL);
        text.resize(text.size() - 1);
        return text;
    }

} // namespace

Store::Store(asio::io_context& io, const std::string& address)
    : front(io, {},
        { .onRequest = [this](FrontRequest&& request) { this->onRequest(std::move(request)); },
            .onCallerDisconnected =
                [this](CallId call) {
                    std::erase_if(this->pendingPolls, [&](const PendingPoll& poll) { return poll.call == call; });
                } })
    , timer(io)
{
    if (!this->front.listen(address))
        throw std::runtime_error("the store cannot listen at " + address);
    this->onPollTimer();
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    this->tables[table][key] = { .value = value, .revision = ++this->revision };
    this->answerDuePolls();
}

void Store::remove(const std::string& table, const std::string& key)
{
    const auto row = this->tables[table].find(key);
    if (row == this->tables[table].end() || row->second.deleted)
        return;
    row->second = { .revision = ++this->revision, .deleted = true };
    this->answerDuePolls();
}

void Store::keepCopy()
{
    this->copy = this->tables;
    this->copyRevision = this->revision;
}

std::vector<std::string> Store::keys(const std::string& table) const
{
    std::vector<std::string> keys;
    if (const auto found = this->tables.find(table); found != this->tables.end())
        for (const auto& [key, row] : found->second)
            if (!row.deleted)
                keys.push_back(key);
    return keys;
}

void Store::restore()
{
    this->tables = this->copy;
    this->revision = this->copyRevision;
    ++this->era;
    this->answerDuePolls();
}

void Store::answerRows(CallId call, const std::string& body)
{
    this->front.answer(call, 200, { { "Store-Era", std::to_string(this->era) } }, body);
}

std::string Store::rowsJson(const std::string& table, std::uint64_t after, bool withDeleted) const
{
    Json rows = Json::array();
    const auto found = this->tables.find(table);
    if (found != this->tables.end())
        for (const auto& [key, row] : found->second) {
            if (row.revision <= after || (row.deleted && !withDeleted))
                continue;
            Json rowJson { { "table", table }, { "part", "" }, { "key", key }, { "ver", row.revision } };
            if (row.deleted)
                rowJson["deleted"] = true;
            else
                rowJson["value"] = base64(row.value);
            rows.push_back(std::move(rowJson));
        }
    return Json { { "rows", rows }, { "ver", this->revision }, { "has_more", false } }.dump();
}

void Store::onRequest(FrontRequest&& request)
{
    const std::string& target = request.head.target;
    if (this->mode == Mode::Silent)
        return;
    if (this->mode == Mode::Busy) {
        this->front.answer(request.id, 503, {}, "");
        return;
    }
    const std::string table = queryValue(target, "table");
    if (target.starts_with("/api/rows-get"))
        this->answerRows(request.id, this->rowsJson(table, 0, false));
    else if (this->mode == Mode::NoHistory || queryNumber(target, "after_rev") > this->revision)
        this->front.answer(request.id, 410, { { "Store-Era", std::to_string(this->era) } }, "");
    else {
        this->pendingPolls.push_back({ .call = request.id,
            .table = table,
            .after = queryNumber(target, "after_rev"),
            .until = monotonicNow() + Milliseconds { static_cast<std::int64_t>(queryNumber(target, "wait_ms")) } });
        this->answerDuePolls();
    }
}

void Store::answerDuePolls()
{
    if (this->mode == Mode::Silent)
        return;
    const Milliseconds now = monotonicNow();
    std::erase_if(this->pendingPolls, [&](const PendingPoll& poll) {
        const auto& rows = this->tables[poll.table];
        const bool changed
            = std::any_of(rows.begin(), rows.end(), [&](const auto& row) { return row.second.revision > poll.after; });
        if (!changed && now < poll.until)
            return false;
        this->answerRows(poll.call, this->rowsJson(poll.table, poll.after, true));
        return true;
    });
}

void Store::onPollTimer()
{
    this->answerDuePolls();
    this->timer.expires_after(std::chrono::milliseconds(20));
    this->timer.async_wait([this](const std::error_code& code) {
        if (!code)
            this->onPollTimer();
    });
}

} // namespace hickory::soak
