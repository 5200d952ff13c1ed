#pragma once

#include "config_record_func.h"
#include "digest_func.h"
#include "entry_reduce_func.h"

#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace hickory::test {

/// @param name rank name, to make configurations differ
/// @return a minimal valid configuration
inline std::string configText(const std::string& name) { return "[[rank]]\nname = \"" + name + "\"\n"; }

/// @return a valid configuration record with one rank named after the generation
inline ConfigRecord makeRecord(std::uint64_t generation, const std::string& change)
{
    const std::string text = configText("rank-" + std::to_string(generation));
    return { .generation = { generation }, .digest = digestHex(text), .changeId = { change }, .text = text };
}

/// @return membership list of entries e1, e2, ... and agents a1, a2, ..., all live in data centre p1
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

/// Drives the reducer of an entry and keeps the effects of its last event.
struct EntryHarness {
    EntryState state;
    EntryEffects effects; ///< effects of the last event

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

    /// Advances the time and sends one Tick.
    void advance(std::int64_t milliseconds)
    {
        this->state.now += Milliseconds { milliseconds };
        this->send(Tick {});
    }

    /// Delivers a configuration as if a peer had pushed it.
    void adopt(const ConfigRecord& record, const std::string& from = "e2")
    {
        this->send(ConfigReceived { .record = record, .from = { from } });
    }

    /// Submits a configuration change as operator call 42.
    /// @param base generation that the change replaces
    void apply(std::uint64_t base, const std::string& change, const std::string& text)
    {
        this->send(OperatorCalled { .call = { .call = 42,
                                        .kind = OperatorCallKind::ApplyConfig,
                                        .body = text,
                                        .generation = { base },
                                        .changeId = { change } } });
    }

    /// @return effects of one type among those of the last event
    template <typename Effect> std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (const EntryEffect& effect : this->effects)
            if (const auto* body = std::get_if<Effect>(&effect))
                found.push_back(*body);
        return found;
    }

    /// @return body of the first operator answer with the HTTP status added as member "http"; null without an answer
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

/// Fake of the platform's table service with compare-and-set. Each write increments the version of its row.
struct FakeTable {
    struct Row {
        std::uint64_t version { 0 }; ///< 0 when the row is absent
        std::string value;
    };
    std::map<std::string, Row> rows; ///< rows by key; also keys that were only written to in vain, at version 0

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
