#include "fixed_seed.h"
#include "unit_control_fixture.h"

#include <deque>
#include <map>

using namespace hickory;
using namespace hickory::test;

namespace {

/// What an operator was told about one change.
struct Change {
    std::uint64_t call { 0 }; ///< number of the call
    std::string id; ///< change id
    std::string text; ///< text
    int answers { 0 }; ///< answers so far
    std::uint16_t status { 0 }; ///< HTTP status of the answer
    std::uint64_t generation { 0 }; ///< generation of an accepting answer
};

/// Three entries, one table and a network between them that loses, delays and reorders.
class Race {
public:
    explicit Race(std::vector<std::uint32_t> choices)
        : choices(std::move(choices))
    {
        for (int index = 1; index <= 3; ++index)
            this->entries.emplace_back("e" + std::to_string(index), 3, 0);
    }

    /// Takes random steps until the choices are used up, then lets everything arrive.
    void run()
    {
        while (this->next < this->choices.size())
            this->step();
        this->outage = false;
        // Bounded, so that entries that push the same configuration back and forth fail instead of running on.
        constexpr int mostDeliveries = 3000;
        int deliveries = 0;
        for (int round = 0; round < 1000; ++round) {
            while (!this->mail.empty() && ++deliveries < mostDeliveries)
                this->deliver(0, 0);
            for (std::size_t index = 0; index < this->entries.size(); ++index)
                this->tick(index, 50);
        }
        this->endless = deliveries >= mostDeliveries;
    }

    std::vector<EntryHarness> entries; ///< the entries
    TableModel table; ///< the store
    std::map<std::uint64_t, std::string> committed; ///< change id by generation, as written to the row
    std::vector<Change> changes; ///< what operators asked for
    bool endless { false }; ///< messages went on without end
    bool fell { false }; ///< a generation in force fell, or one generation had two texts

private:
    struct Mail {
        std::size_t entry { 0 }; ///< sender of a store operation, receiver of an event
        std::variant<StoreRead, StoreWrite, EntryEventBody> content; ///< what is on its way
    };

    std::uint32_t choose(std::uint32_t bound)
    {
        return this->next < this->choices.size() ? this->choices[this->next++] % bound : 0;
    }

    std::size_t indexOf(const HostId& host) const { return static_cast<std::size_t>(host.value.back() - '1'); }

    void step()
    {
        const std::uint32_t kind = this->choose(8);
        const std::size_t entry = this->choose(3);
        if (kind == 0)
            this->apply(entry);
        else if (kind == 1)
            this->tick(entry, 50 + 50 * this->choose(60));
        else if (kind == 2) // a peer that comes back from a long pause with something old
            this->send(
                entry, ConfigReceived { .record = this->old[this->choose(100) % this->old.size()], .from = { "e2" } });
        else if (kind == 3) // a restart forgets everything; calls in progress are not answered
            this->restart(entry);
        else if (kind == 4)
            this->outage = this->choose(3) == 0;
        else if (!this->mail.empty())
            this->deliver(this->choose(1000) % this->mail.size(), this->choose(5));
    }

    void apply(std::size_t entry)
    {
        Change change { .call = this->changes.size() + 1 };
        change.id = "c" + std::to_string(change.call);
        change.text = configText(change.id);
        this->changes.push_back(change);
        const Generation base { this->entries[entry].state.config.record.generation.value + this->choose(2) / 2 };
        this->send(entry,
            OperatorCalled { .call = { .call = change.call,
                                 .kind = OperatorCallKind::ApplyConfig,
                                 .body = change.text,
                                 .generation = base,
                                 .changeId = { change.id } } });
    }

    void restart(std::size_t entry)
    {
        this->entries[entry] = EntryHarness("e" + std::to_string(entry + 1), 3, 0);
        this->held.erase(entry);
        std::erase_if(this->mail,
            [&](const Mail& mail) { return mail.entry == entry && !std::holds_alternative<StoreWrite>(mail.content); });
    }

    void tick(std::size_t entry, std::int64_t milliseconds)
    {
        this->entries[entry].state.now += Milliseconds { milliseconds };
        this->send(entry, Tick {});
    }

    /// @param fate 0 to 1 arrives, 2 is lost before it takes effect, 3 takes effect but its answer is lost, 4 is
    /// reported as lost and takes effect later
    void deliver(std::size_t index, std::uint32_t fate)
    {
        const Mail item = this->mail[index];
        if (this->outage && !std::holds_alternative<EntryEventBody>(item.content) && fate < 2)
            fate += 2;
        this->mail.erase(this->mail.begin() + static_cast<std::ptrdiff_t>(index));
        if (const auto* event = std::get_if<EntryEventBody>(&item.content)) {
            if (fate < 2)
                this->send(item.entry, *event);
            return;
        }
        if (const auto* read = std::get_if<StoreRead>(&item.content))
            return this->send(item.entry, fate < 2 ? this->table.perform(*read) : StoreAnswer { .token = read->token });
        const StoreWrite& write = std::get<StoreWrite>(item.content);
        if (fate == 4)
            this->mail.push_back({ .entry = 99, .content = write });
        const StoreAnswer answer = fate < 2 || fate == 3 ? this->write(write) : StoreAnswer {};
        if (item.entry != 99)
            this->send(item.entry, fate < 2 ? answer : StoreAnswer { .token = write.token });
    }

    StoreAnswer write(const StoreWrite& write)
    {
        const StoreAnswer answer = this->table.perform(write);
        if (answer.status == StoreStatus::Ok && write.key == currentConfigKey) {
            const ConfigRecord record = recordFromJson(write.value).value();
            this->fell
                = this->fell || !this->committed.try_emplace(record.generation.value, record.changeId.value).second;
            this->old.push_back(record);
        }
        return answer;
    }

    void send(std::size_t entry, EntryEventBody body)
    {
        EntryHarness& target = this->entries[entry];
        target.send(std::move(body));
        const ConfigRecord& record = target.state.config.record;
        this->fell = this->fell || record.generation < this->held[entry];
        this->held[entry] = record.generation;
        const auto known = this->committed.find(record.generation.value);
        this->fell = this->fell || (known != this->committed.end() && known->second != record.changeId.value);
        for (const EntryEffect& effect : target.effects)
            this->forward(entry, effect);
    }

    void forward(std::size_t entry, const EntryEffect& effect)
    {
        if (const auto* read = std::get_if<StoreRead>(&effect))
            this->mail.push_back({ .entry = entry, .content = *read });
        else if (const auto* write = std::get_if<StoreWrite>(&effect))
            this->mail.push_back({ .entry = entry, .content = *write });
        else if (const auto* push = std::get_if<PushConfig>(&effect))
            this->post(this->indexOf(push->peer), ConfigReceived { .record = push->record, .from = this->host(entry) });
        else if (const auto* fetch = std::get_if<FetchConfig>(&effect)) {
            const ConfigRecord& theirs = this->entries[this->indexOf(fetch->peer)].state.config.record;
            if (theirs.generation > fetch->known)
                this->post(entry, ConfigReceived { .record = theirs, .from = fetch->peer });
        } else if (const auto* gossip = std::get_if<SendGossip>(&effect))
            this->post(this->indexOf(gossip->peer), GossipReceived { .message = gossip->message });
        else if (const auto* answer = std::get_if<OperatorAnswer>(&effect)) {
            Change& change = this->changes[answer->call - 1];
            ++change.answers;
            change.status = answer->status;
            change.generation = nlohmann::json::parse(answer->body).value("generation", std::uint64_t { 0 });
        }
    }

    HostId host(std::size_t entry) const { return { "e" + std::to_string(entry + 1) }; }
    void post(std::size_t entry, EntryEventBody body)
    {
        this->mail.push_back({ .entry = entry, .content = std::move(body) });
    }

    std::vector<std::uint32_t> choices; ///< decide every step
    std::size_t next { 0 }; ///< next choice
    bool outage { false }; ///< the store answers nothing, but a write may take effect
    std::deque<Mail> mail; ///< on its way
    std::map<std::size_t, Generation> held; ///< generation in force at each entry
    std::vector<ConfigRecord> old { ConfigRecord {} }; ///< every configuration there ever was
};

bool holdsCommitted(const Race& race, const std::string& id)
{
    for (const auto& [generation, change] : race.committed)
        if (change == id)
            return true;
    return false;
}

} // namespace

// Guards against a generation that falls or has two texts, an operator who is told something untrue, a call that is
// answered twice, and a fleet that does not converge, under any order of losses, delays, races and restarts.
TEST_CASE("Acceptance is true, monotone and converges under any order of events")
{
    std::size_t accepted = 0;
    std::size_t conflicts = 0;
    checkProperty("races of operators", 20261204, 300, [&] {
        const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(
            *rc::gen::inRange<std::size_t>(50, 600), rc::gen::inRange<std::uint32_t>(0, 1000000));
        Race race(choices);
        race.run();
        RC_ASSERT_FALSE(race.fell);
        RC_ASSERT_FALSE(race.endless);
        for (const Change& change : race.changes) {
            RC_ASSERT(change.answers <= 1);
            const bool committed = holdsCommitted(race, change.id);
            if (change.status == 200) {
                RC_ASSERT(race.committed.at(change.generation) == change.id);
                ++accepted;
            }
            if (change.status == 409 || change.status == 503)
                RC_ASSERT_FALSE(committed);
            conflicts += change.status == 409 ? 1 : 0;
        }
        const std::uint64_t newest = race.committed.empty() ? 0 : race.committed.rbegin()->first;
        for (const EntryHarness& entry : race.entries) {
            RC_ASSERT(entry.state.config.record.generation.value == newest);
            RC_ASSERT(entry.state.control.applies.empty());
        }
    });
    // The property is empty if the choices never lead to an acceptance or a race.
    REQUIRE(accepted > 100);
    REQUIRE(conflicts > 20);
}
