#pragma once

#include "config_record_func.h"
#include "digest_func.h"
#include "entry_reduce_func.h"

#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace hickory::test {

/// @param name rank name, so that texts differ
inline std::string configText(const std::string& name) { return "[[rank]]\nname = \"" + name + "\"\n"; }

/// @return an accepted configuration as a peer would send it
inline ConfigRecord makeRecord(std::uint64_t generation, const std::string& change)
{
    const std::string text = configText("rank-" + std::to_string(generation));
    return { .generation = { generation }, .digest = digestHex(text), .changeId = { change }, .text = text };
}

/// @return a list of entries e1.. and agents a1.., all live in place p1
inline MemberList makeMembers(int entries, int agents)
{
    MemberList list { .version = 1 };
    for (int index = 1; index <= agents; ++index)
        list.members.push_back({ .host = { "a" + std::to_string(index) },
            .role = MemberRole::Upstream,
            .service = { "s" },
            .dataCentre = { "p1" },
            .region = { "r1" },
            .address = "10.0.1." + std::to_string(index) + ":1" });
    for (int index = 1; index <= entries; ++index)
        list.members.push_back({ .host = { "e" + std::to_string(index) },
            .dataCentre = { "p1" },
            .region = { "r1" },
            .address = "10.0.0." + std::to_string(index) + ":1",
            .http = "10.0.0." + std::to_string(index) + ":80" });
    return list;
}

/// An entry's reducer with what it last emitted.
struct EntryHarness {
    EntryState state; ///< the entry
    EntryEffects effects; ///< of the last event

    explicit EntryHarness(const std::string& host = "e1", int entries = 3, int agents = 2)
    {
        this->state.settings.process = { .host = { host }, .dataCentre = { "p1" }, .region = { "r1" } };
        this->state.random.seed(7);
        this->send(MembersUpdated { .list = makeMembers(entries, agents) });
    }

    void send(EntryEventBody body)
    {
        this->effects = reduce(this->state, { .now = this->state.now, .body = std::move(body) });
    }

    void advance(std::int64_t milliseconds)
    {
        this->state.now += Milliseconds { milliseconds };
        this->send(Tick {});
    }

    void adopt(const ConfigRecord& record, const std::string& from = "e2")
    {
        this->send(ConfigReceived { .record = record, .from = { from } });
    }

    void apply(std::uint64_t base, const std::string& change, const std::string& text)
    {
        this->send(OperatorCalled { .call = { .call = 42,
                                        .kind = OperatorCallKind::ApplyConfig,
                                        .body = text,
                                        .generation = { base },
                                        .changeId = { change } } });
    }

    /// @return effects of one kind among the last
    template <typename Effect> std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (const EntryEffect& effect : this->effects)
            if (const auto* body = std::get_if<Effect>(&effect))
                found.push_back(*body);
        return found;
    }

    /// @return the JSON of the operator's answer and its status as member "http"; null without an answer
    nlohmann::json answer() const
    {
        for (const OperatorAnswer& reply : this->all<OperatorAnswer>()) {
            nlohmann::json body = nlohmann::json::parse(reply.body);
            body["http"] = reply.status;
            return body;
        }
        return nullptr;
    }
};

/// The table service in memory. Versions rise with each write.
struct TableModel {
    struct Row {
        std::uint64_t version { 0 }; ///< of the row
        std::string value; ///< content
    };
    std::map<std::string, Row> rows; ///< by key

    StoreAnswer perform(const StoreRead& read) const
    {
        const auto found = this->rows.find(read.key);
        if (found == this->rows.end())
            return { .token = read.token, .status = StoreStatus::Absent };
        return { .token = read.token,
            .status = StoreStatus::Ok,
            .version = { found->second.version },
            .value = found->second.value };
    }

    StoreAnswer perform(const StoreWrite& write)
    {
        Row& row = this->rows[write.key];
        if (row.version != write.ifVersion.value)
            return {
                .token = write.token, .status = StoreStatus::Conflict, .version = { row.version }, .value = row.value
            };
        row = { .version = row.version + 1, .value = write.value };
        return { .token = write.token, .status = StoreStatus::Ok, .version = { row.version }, .value = row.value };
    }
};

} // namespace hickory::test
