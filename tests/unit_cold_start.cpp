#include "cold_start_func.h"
#include "relay_fixture.h"
#include "table/cold_start_limits.h"
#include "upstream_notice_func.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

using namespace hickory;

namespace {

constexpr double rate = 17;
constexpr double overage = 1.5;
constexpr double slack = 5;
constexpr double bearable = rate * overage + slack; ///< requests in any one second
constexpr Milliseconds coldPeriod { 8000 };
constexpr Milliseconds tick { 20 };

std::shared_ptr<RelayConfig> coldConfig(std::uint64_t version, double requestsPerSecond = rate)
{
    auto config = RelayFixture::config(version);
    for (const char* service : { "plain", "engine" }) {
        config->services[{ service }].coldPeriod = coldPeriod;
        config->services[{ service }].coldRequestsPerSecond = requestsPerSecond;
    }
    return config;
}

UpstreamEntry coldUpstream(const std::string& id, Milliseconds coldLeft = {}, std::int64_t startedAt = 1)
{
    UpstreamEntry entry = RelayFixture::upstream(id, "plain");
    entry.slots = 1000;
    entry.coldLeft = coldLeft;
    entry.processStartedAt = startedAt;
    return entry;
}

HostId hostOf(std::size_t index) { return { "entry-" + std::to_string(index) }; }

RelayFixture coldRelay(std::size_t index = 0, double requestsPerSecond = rate)
{
    RelayFixture relay({ .host = hostOf(index), .coldOverage = overage, .coldSlack = slack, .seed = index + 1 });
    relay.event(ConfigUpdated { .config = coldConfig(2, requestsPerSecond) });
    return relay;
}

/// Lets time pass with ticks, as in a process that runs.
std::vector<RelayEffect> wait(RelayFixture& relay, Milliseconds time)
{
    std::vector<RelayEffect> all;
    for (const Milliseconds end = relay.now + time; relay.now < end;) {
        relay.now += tick;
        relay.confirmConfig();
        const auto effects = relay.event(RelayTick {});
        all.insert(all.end(), effects.begin(), effects.end());
    }
    return all;
}

const LogLine* findLine(const std::vector<RelayEffect>& effects, const std::string& event)
{
    for (const RelayEffect& effect : effects)
        if (const auto* line = std::get_if<LogLine>(&effect); line && line->event == event)
            return line;
    return nullptr;
}

std::size_t countLines(const std::vector<RelayEffect>& effects, const std::string& event)
{
    return static_cast<std::size_t>(std::count_if(effects.begin(), effects.end(), [&](const RelayEffect& effect) {
        const auto* line = std::get_if<LogLine>(&effect);
        return line && line->event == event;
    }));
}

const RelayUpstream& viewOf(const RelayFixture& relay, const std::string& id)
{
    return relay.state.upstreams.at({ id });
}

bool isCold(const RelayFixture& relay, const std::string& id)
{
    const RelayUpstream& view = viewOf(relay, id);
    return view.cold && relay.now < view.cold->until;
}

/// Answers what effects send, at once, and what is sent for it.
/// @return sends
std::size_t answerAll(RelayFixture& relay, const std::vector<RelayEffect>& effects)
{
    std::size_t sends = 0;
    for (const RelayEffect& effect : effects)
        if (const auto* send = std::get_if<SendToUpstream>(&effect)) {
            relay.event(ResponseStarted { .call = send->call, .send = send->send, .status = 200, .sealed = true });
            sends += 1 + answerAll(relay, relay.event(ResponseEnded { .call = send->call, .send = send->send }));
        }
    return sends;
}

/// Entries before one plain upstream. They hear of each other and of the upstream's rows with delays. Each gets far
/// more requests than it may send.
struct ColdFleet {
    explicit ColdFleet(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->start(index);
    }

    void start(std::size_t index)
    {
        RelayFixture relay = coldRelay(index);
        relay.now = this->now;
        relay.state.coldSharers.lastEventAt.reset();
        relay.confirmConfig();
        this->entries.insert_or_assign(index, Entry { .relay = std::move(relay), .startedAt = this->now });
        this->deliver(this->entries.at(index));
    }

    struct Entry {
        RelayFixture relay;
        Milliseconds startedAt;
        Milliseconds frozenUntil { 0 };
        /// Hears no other entry from and until.
        Milliseconds deafFrom { 0 };
        Milliseconds deafUntil { 0 };
    };

    /// Writes the upstream's row. Entries read it up to 800 ms later, each at another time.
    void write(const UpstreamEntry& row)
    {
        this->row = row;
        this->rowWrittenAt = this->now;
        this->rowAt.clear();
        std::size_t order = 0;
        for (const auto& [index, entry] : this->entries)
            this->rowAt[index] = this->now + Milliseconds { static_cast<std::int64_t>(order++ * 20) };
    }

    void deliver(Entry& entry)
    {
        UpstreamEntry row = this->row;
        entry.relay.event(UpstreamsUpdated { .entries = { row } });
    }

    /// @return hosts of live entries as one of them knows them: a frozen one is missed after 1 s, a new one is heard
    /// after 0.5 s, and each new one knows only a few others at first
    std::vector<HostId> othersOf(std::size_t own)
    {
        std::vector<HostId> others;
        const Entry& self = this->entries.at(own);
        if (this->now < self.deafUntil && this->now >= self.deafFrom + Milliseconds { 1000 })
            return others;
        if (this->discovery.value > 0) {
            const auto known = static_cast<std::size_t>((this->now - self.startedAt).value / this->discovery.value);
            for (std::size_t step = 1; step < this->entries.size() && step <= known; ++step)
                others.push_back(hostOf((own + step) % this->entries.size()));
            return others;
        }
        const bool isNew = this->now - self.startedAt < Milliseconds { 1000 } && this->now > Milliseconds { 101000 };
        for (const auto& [index, entry] : this->entries) {
            const bool isGone = entry.frozenUntil > this->now && this->now - entry.relay.now > Milliseconds { 1000 };
            const bool isHeard
                = this->now - entry.startedAt >= Milliseconds { 500 } || this->now <= Milliseconds { 101000 };
            if (index != own && !isGone && isHeard && !(isNew && index % 8 != 0))
                others.push_back(hostOf(index));
        }
        return others;
    }

    void play(Milliseconds time)
    {
        for (const Milliseconds end = this->now + time; this->now < end;) {
            this->now += tick;
            ++this->ticks;
            for (auto& [index, entry] : this->entries) {
                if (this->now < entry.frozenUntil)
                    continue;
                const bool wakes = std::exchange(entry.frozenUntil, Milliseconds {}).value != 0;
                entry.relay.now = this->now;
                // The first thing that a woken entry does is to send and to count entries that it has not heard.
                if (wakes) {
                    this->sendOne(entry);
                    entry.relay.event(EntryCountUpdated { .entryCount = 1 });
                }
                if (this->ticks % 25 == index % 25) {
                    EntryCountUpdated counted { .others = this->othersOf(index) };
                    counted.entryCount = static_cast<std::uint32_t>(counted.others.size() + 1);
                    entry.relay.event(counted);
                }
                if (const auto due = this->rowAt.find(index); due != this->rowAt.end() && due->second <= this->now) {
                    this->deliver(entry);
                    this->rowAt.erase(due);
                }
                entry.relay.confirmConfig();
                this->count(answerAll(entry.relay, entry.relay.event(RelayTick {})));
                if (this->wantsRequest(index))
                    this->sendOne(entry);
            }
        }
    }

    bool wantsRequest(std::size_t index) const
    {
        // The multiple spreads the entries over the period.
        return this->ticks % this->ticksPerRequest == index * 29 % this->ticksPerRequest;
    }

    void sendOne(Entry& entry) { this->count(answerAll(entry.relay, entry.relay.request("/read/"))); }

    void count(std::size_t sends)
    {
        for (std::size_t sent = 0; sent < sends; ++sent)
            this->sends.push_back(this->now);
    }

    /// @return most sends in one second that begins at or after a moment
    std::size_t mostSends(Milliseconds from) const
    {
        std::size_t most = 0;
        for (auto first = this->sends.begin(); first != this->sends.end(); ++first)
            if (*first >= from)
                most = std::max(most,
                    static_cast<std::size_t>(
                        std::lower_bound(first, this->sends.end(), *first + Milliseconds { 1000 }) - first));
        return most;
    }

    std::size_t sendsSince(Milliseconds from) const
    {
        return static_cast<std::size_t>(
            this->sends.end() - std::lower_bound(this->sends.begin(), this->sends.end(), from));
    }

    Milliseconds now { 100000 };
    std::size_t ticks { 0 };
    std::size_t ticksPerRequest { 5 };
    Milliseconds discovery { 0 }; ///< for each other entry that one hears after the other, 0 to hear all at once
    UpstreamEntry row { coldUpstream("p1") };
    Milliseconds rowWrittenAt;
    std::map<std::size_t, Milliseconds> rowAt; ///< when an entry reads the newest row
    std::map<std::size_t, Entry> entries;
    std::vector<Milliseconds> sends; ///< in order
};

} // namespace

// Guards against shares that add up to more than a cold upstream bears, or to far less than it takes.
TEST_CASE("Shares of a cold limit keep within it whenever they are used", "[relay][cold]")
{
    for (const double perSecond : { 0.5, 1.0, 3.0, 17.0, 40.0, 250.0 })
        for (std::uint32_t entries = 1; entries <= 400; ++entries) {
            const double bound = perSecond * overage + slack;
            std::uint32_t sharing = 0;
            SharedLimit limit;
            for (std::uint32_t before = 0; before < entries; ++before) {
                const SharedLimit own = shareColdLimit(perSecond, bound, entries, before);
                sharing += own.sharesHere ? 1 : 0;
                limit = own.sharesHere ? own : limit;
            }
            // Requests of one entry are 1 / share apart, so a second holds at most the share, rounded up.
            const double most = sharing * std::ceil(shareOf(limit));
            CAPTURE(perSecond, entries, sharing, limit.requestsPerSecond);
            CHECK(sharing == limit.sharers);
            CHECK(limit.most == 1.0);
            CHECK(most <= std::max(1.0, perSecond + 1));
            CHECK(most <= bound);
            CHECK(limit.requestsPerSecond <= perSecond);
            CHECK(limit.requestsPerSecond >= std::min(perSecond, 1.0) * 0.75);
            CHECK(limit.requestsPerSecond >= 0.75 * perSecond);
        }
    CHECK(shareColdLimit(1, 1, 40, 0).sharers == 1);
}

// Guards against an upstream that crashes when it starts during traffic. Load pattern: far more requests than it takes,
// at every entry.
TEST_CASE("All entries together keep to a cold upstream's limit", "[relay][cold]")
{
    const std::size_t entries = GENERATE(1U, 5U, 16U, 41U, 56U);
    ColdFleet fleet(entries);
    fleet.ticksPerRequest = entries == 1 ? 1 : 5;
    fleet.write(coldUpstream("p1", { 20000 }));
    fleet.play({ 3000 });
    const Milliseconds from = fleet.now;
    fleet.play({ 6000 });
    CAPTURE(entries, fleet.mostSends(from));
    CHECK(static_cast<double>(fleet.mostSends(from)) <= rate + 1);
    CHECK(static_cast<double>(fleet.sendsSince(from)) >= 0.6 * rate * 6);
}

// Guards against shares that overlap while entries come and go, or that a stopped entry or one that hears nobody takes.
TEST_CASE("A cold limit holds while entries join, die, stand still and lose each other", "[relay][cold]")
{
    constexpr std::size_t entries = 41;
    ColdFleet fleet(entries);
    fleet.write(coldUpstream("p1", { 60000 }));
    fleet.play({ 2500 });
    const Milliseconds from = fleet.now;
    const auto renew = [&] { fleet.write(coldUpstream("p1", Milliseconds { 160000 } - fleet.now)); };
    fleet.play({ 1000 });
    // Five die at once, and one that has a share stands still for 5 s.
    for (const std::size_t dead : { 3U, 11U, 19U, 27U, 35U })
        fleet.entries.erase(dead);
    std::size_t frozen = 0;
    for (const auto& [index, entry] : fleet.entries)
        if (viewOf(entry.relay, "p1").cold->entriesBefore == 4)
            frozen = index;
    fleet.entries.at(frozen).frozenUntil = fleet.now + Milliseconds { 5000 };
    fleet.play({ 2000 });
    renew();
    // One hears nobody for 8 s, and 15 spare entries start.
    fleet.entries.at(frozen == 8 ? 9 : 8).deafFrom = fleet.now;
    fleet.entries.at(frozen == 8 ? 9 : 8).deafUntil = fleet.now + Milliseconds { 8000 };
    for (std::size_t spare = entries; spare < entries + 15; ++spare)
        fleet.start(spare);
    fleet.play({ 6000 });
    renew();
    // A tenth stand still together and wake together; restarted ones take the places of the dead.
    for (auto& [index, entry] : fleet.entries)
        if (index % 10 == 2)
            entry.frozenUntil = fleet.now + Milliseconds { 12000 };
    for (const std::size_t dead : { 3U, 11U, 19U, 27U, 35U }) {
        fleet.start(dead);
        fleet.play({ 700 });
    }
    fleet.play({ 14000 });
    CAPTURE(fleet.mostSends(from));
    CHECK(static_cast<double>(fleet.mostSends(from)) <= bearable);
    CHECK(static_cast<double>(fleet.sendsSince(from)) >= 0.6 * rate * 26);
}

// Guards against an upstream that turns cold in mid-load and gets the requests of a warm one beside its cold share.
TEST_CASE("An upstream that turns cold gets no more than its warm load, then its cold limit", "[relay][cold]")
{
    ColdFleet fleet(41);
    fleet.ticksPerRequest = 74; // 28 requests a second over all entries
    fleet.play({ 3000 });
    const std::size_t warm = fleet.mostSends({ 100000 });
    REQUIRE(static_cast<double>(warm) > rate);
    REQUIRE(static_cast<double>(warm) <= bearable);
    fleet.write(coldUpstream("p1", coldPeriod));
    const Milliseconds from = fleet.now;
    fleet.play({ 5000 });
    CAPTURE(warm, fleet.mostSends(from - Milliseconds { 1000 }));
    CHECK(static_cast<double>(fleet.mostSends(from - Milliseconds { 1000 })) <= bearable);
    // From the second after the last entry has read the row.
    CHECK(static_cast<double>(fleet.mostSends(from + Milliseconds { 820 })) <= rate + 1);
}

// Guards against a limit from a configuration that means none.
TEST_CASE("A cold rate that is no positive number means never cold", "[relay][cold]")
{
    const double bad
        = GENERATE(0.0, -17.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity());
    CHECK(coldRate({ .coldRequestsPerSecond = bad }) == 0);
    RelayFixture relay = coldRelay(0, bad);
    relay.list({ coldUpstream("p1") });
    relay.list({ coldUpstream("p1", { 5000 }), coldUpstream("p2"), coldUpstream("p3", { 5000 }) });
    relay.list({ coldUpstream("p1", {}, 2), coldUpstream("p2"), coldUpstream("p3", { 5000 }) });
    for (int count = 0; count < 50; ++count)
        CHECK(findEffect<SendToUpstream>(relay.request("/read/")));
    CHECK(countLines(wait(relay, { 1000 }), "upstream-warm") == 0);
}

// Guards against upstreams that are held back although they have run for long, and against new ones that are not.
TEST_CASE("Upstreams of the first list are warm, later ones are cold until their rows say otherwise", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    relay.list({ coldUpstream("p1"), coldUpstream("p2", { 3000 }) });
    CHECK_FALSE(isCold(relay, "p1"));
    CHECK(isCold(relay, "p2"));
    const auto effects = relay.list({ coldUpstream("p1"), coldUpstream("p2", { 3000 }), coldUpstream("p3") });
    CHECK(isCold(relay, "p3"));
    REQUIRE(findLine(effects, "upstream-cold"));
    CHECK(viewOf(relay, "p3").cold->until == relay.now + coldPeriod);
    const std::vector<UpstreamEntry> rows = { coldUpstream("p1"), coldUpstream("p2"), coldUpstream("p3") };
    SECTION("a row from before it was listed does not count")
    {
        wait(relay, { 1000 });
        relay.list(rows);
        CHECK(isCold(relay, "p3"));
        relay.event(UpstreamsUpdated { .entries = rows, .rewritten = {}, .writtenAfter = relay.now - coldRowLag });
        CHECK(isCold(relay, "p3"));
    }
    SECTION("a list without a new row of it does not count")
    {
        wait(relay, { 3000 });
        relay.event(UpstreamsUpdated { .entries = rows, .rewritten = std::set<UpstreamId> { { "p1" } } });
        CHECK(isCold(relay, "p3"));
    }
    SECTION("a row from afterwards does")
    {
        wait(relay, { 3000 });
        const auto told = relay.list(rows);
        CHECK_FALSE(viewOf(relay, "p3").cold);
        CHECK(findLine(told, "upstream-warm"));
    }
    SECTION("without any the cold time ends by itself")
    {
        const auto passed = wait(relay, coldPeriod * 2 + Milliseconds { 100 });
        CHECK_FALSE(viewOf(relay, "p3").cold);
        CHECK(countLines(passed, "upstream-warm") == 2);
    }
}

// Guards against a cold time that a list which repeats an old row renews, or that ends before the upstream's own.
TEST_CASE("A row's cold time ends late rather than early", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    relay.list({ coldUpstream("p1") });
    relay.list({ coldUpstream("p1", { 3000 }) });
    const Milliseconds until = viewOf(relay, "p1").cold->until;
    CHECK(until == relay.now + Milliseconds { 3000 } + coldRowLag);
    wait(relay, { 1000 });
    relay.event(UpstreamsUpdated { .entries = { coldUpstream("p1", { 3000 }) }, .rewritten = std::set<UpstreamId> {} });
    CHECK(viewOf(relay, "p1").cold->until == until);
    wait(relay, { 1500 });
    relay.list({ coldUpstream("p1", { 200 }) });
    CHECK(viewOf(relay, "p1").cold->until == relay.now + Milliseconds { 200 } + coldRowLag);
}

// Guards against a process that starts again under the same id and gets a warm one's load.
TEST_CASE("A process that started again is cold", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    relay.list({ coldUpstream("p1") });
    wait(relay, { 2000 });
    const auto effects = relay.list({ coldUpstream("p1", {}, 2) });
    CHECK(isCold(relay, "p1"));
    REQUIRE(findLine(effects, "upstream-cold"));
    CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/read/")));
    // What was sent in the second before still counts there, although the share of a single entry would allow one
    // sooner.
    CHECK(countEffects<SendToUpstream>(wait(relay, { 980 })) == 0);
    CHECK(countEffects<SendToUpstream>(wait(relay, { 120 })) == 1);
}

// Guards against upstreams that count as new when the store lost their leases, and against a cold one that is
// forgotten.
TEST_CASE("An upstream that is listed again is as cold as before", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    relay.list({ coldUpstream("p1"), coldUpstream("p2") });
    relay.list({ coldUpstream("p1"), coldUpstream("p2", { 6000 }) });
    relay.list({});
    wait(relay, { 1000 });
    relay.list({ coldUpstream("p1"), coldUpstream("p2") });
    CHECK_FALSE(isCold(relay, "p1"));
    CHECK(isCold(relay, "p2"));
    relay.list({});
    relay.list({ coldUpstream("p1", {}, 2) });
    CHECK(isCold(relay, "p1"));
}

// Guards against a full load for engines that started while nothing was sent to them.
TEST_CASE("Upstreams of an evacuated data centre are cold when it returns", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    UpstreamEntry elsewhere = coldUpstream("p2");
    elsewhere.dataCentre = { "b" };
    relay.list({ coldUpstream("p1"), elsewhere });
    relay.event(EvacuationsUpdated { .dataCentres = { { "a" }, { "c" } } });
    wait(relay, { 3000 });
    relay.event(EvacuationsUpdated { .dataCentres = { { "c" } } });
    CHECK(isCold(relay, "p1"));
    CHECK_FALSE(isCold(relay, "p2"));
    wait(relay, { 2500 });
    relay.list({ coldUpstream("p1"), elsewhere });
    CHECK_FALSE(isCold(relay, "p1"));
}

// Guards against an upstream that was silent while it started again.
TEST_CASE("An upstream that accepted no connection or was silent is cold", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    relay.list({ coldUpstream("p1") });
    wait(relay, { 2000 });
    const auto effects = relay.request("/read/");
    const auto* send = findEffect<SendToUpstream>(effects);
    REQUIRE(send);
    SECTION("no connection")
    {
        relay.event(ResponseEnded { .call = send->call, .send = send->send, .end = SendResult::NotSent });
        CHECK(isCold(relay, "p1"));
    }
    SECTION("a probe after a standstill")
    {
        const UpstreamProbed probe { .upstream = { "p1" }, .startedAt = relay.now, .mustAnswer = true };
        relay.now += tick;
        relay.event(probe);
        REQUIRE(viewOf(relay, "p1").standsStill);
        UpstreamProbed answered {
            .upstream = { "p1" }, .result = ProbeResult::Accepted, .startedAt = relay.now, .mustAnswer = true
        };
        SECTION("that states nothing")
        {
            relay.event(answered);
            CHECK(isCold(relay, "p1"));
        }
        SECTION("that states that it is cold")
        {
            answered.notice.coldLeft = Milliseconds { 1234 };
            relay.event(answered);
            REQUIRE(isCold(relay, "p1"));
            CHECK(viewOf(relay, "p1").cold->until == relay.now + Milliseconds { 1234 });
        }
        SECTION("that states that it is warm")
        {
            answered.notice.coldLeft = Milliseconds { 0 };
            relay.event(answered);
            CHECK_FALSE(isCold(relay, "p1"));
        }
    }
}

// Guards against an entry that wakes and sends what callers asked for meanwhile to an upstream that has turned cold.
TEST_CASE("After a standstill upstreams get few requests until rows may have told of them", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    EntryCountUpdated counted { .entryCount = 16 };
    for (std::size_t other = 1; other < 16; ++other)
        counted.others.push_back(hostOf(other));
    relay.event(counted);
    relay.list({ coldUpstream("p1") });
    wait(relay, { 2000 });
    CHECK_FALSE(viewOf(relay, "p1").cold);
    relay.now += Milliseconds { 3000 };
    relay.confirmConfig();
    std::size_t sends = 0;
    for (int count = 0; count < 30; ++count)
        sends += answerAll(relay, relay.request("/read/"));
    CHECK(sends == 1);
    SECTION("it has turned cold")
    {
        CHECK(findLine(relay.list({ coldUpstream("p1", { 5000 }) }), "upstream-cold"));
        CHECK(countEffects<SendToUpstream>(wait(relay, { 900 })) == 0);
        CHECK(isCold(relay, "p1"));
    }
    SECTION("it has not")
    {
        for (const Milliseconds end = relay.now + coldSettleTime; relay.now < end;) {
            const auto effects = wait(relay, tick);
            CHECK_FALSE(findLine(effects, "upstream-warm"));
            answerAll(relay, effects);
        }
        CHECK_FALSE(viewOf(relay, "p1").cold);
        for (int count = 0; count < 30; ++count)
            CHECK(answerAll(relay, relay.request("/read/")) == 1);
    }
}

// Guards against a limit that ends at once, so that every entry chooses the same empty upstream.
TEST_CASE("After the cold time the limit rises step by step and ends", "[relay][cold]")
{
    const RelayService service { .coldPeriod = coldPeriod, .coldRequestsPerSecond = rate };
    const ColdStart cold { .until = { 1000 } };
    CHECK(coldRateAt(service, cold, { 999 }) == rate);
    double before = rate;
    for (std::int64_t step = 0; step < warmUpSteps; ++step) {
        const Milliseconds at { 1000 + coldPeriod.value * step / warmUpSteps };
        const std::optional<double> raised = coldRateAt(service, cold, at);
        REQUIRE(raised);
        CHECK(*raised > before);
        CHECK(*raised <= before + rate);
        before = *raised;
    }
    CHECK_FALSE(coldRateAt(service, cold, { 1000 + coldPeriod.value }));
    CHECK_FALSE(coldRateAt({ .coldRequestsPerSecond = rate }, cold, { 1000 }));
}

// Guards against requests that are refused because some upstreams are cold while others have room, and against
// requests that are held to their deadlines where all are cold.
TEST_CASE("Admission counts the rate of cold upstreams only where all are cold", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    relay.list({ coldUpstream("p1"), coldUpstream("p2", { 30000 }) });
    CHECK_FALSE(limitedRate(relay.state, { "plain" }, std::nullopt, relay.now));
    relay.list({ coldUpstream("p1", { 30000 }), coldUpstream("p2", { 30000 }) });
    const std::optional<double> limited = limitedRate(relay.state, { "plain" }, std::nullopt, relay.now);
    REQUIRE(limited);
    CHECK(*limited <= 2 * rate);
    CHECK(*limited >= 1.8 * rate);
    wait(relay, { 2000 });
    std::size_t refused = 0;
    std::size_t held = 0;
    for (int count = 0; count < 400; ++count) {
        const auto effects = relay.request("/read/");
        refused += countEffects<RefuseCall>(effects);
        for (const RelayEffect& effect : effects)
            if (const auto* sample = std::get_if<MetricSample>(&effect); sample && sample->name == "cold_held_total")
                ++held;
    }
    CHECK(refused > 200);
    CHECK(held > 390);
}

// Guards against entries without a share that hold requests for an upstream which stays cold.
TEST_CASE("An entry without a share refuses what only a cold upstream could run", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    EntryCountUpdated counted { .entryCount = 400 };
    for (std::size_t other = 1; other < 400; ++other)
        counted.others.push_back(hostOf(other));
    relay.event(counted);
    std::vector<UpstreamEntry> rows;
    for (int index = 0; index < 40; ++index)
        rows.push_back(coldUpstream("p" + std::to_string(index), { 60000 }));
    relay.list(rows);
    const auto without = std::find_if(relay.state.upstreams.begin(), relay.state.upstreams.end(),
        [&](const auto& item) { return !coldLimit(relay.state, item.second, relay.now)->sharesHere; });
    REQUIRE(without != relay.state.upstreams.end());
    CHECK_FALSE(maySendBefore(relay.state, without->second, relay.now + Milliseconds { 6000 }));
    CHECK(maySendBefore(relay.state, without->second, relay.now + Milliseconds { 90000 }));
    // Not held for the end of the cold time either.
    const std::string id = without->first.value;
    relay.list({ coldUpstream(id, { 2000 }) });
    const auto effects = relay.request("/read/");
    REQUIRE(findEffect<RefuseCall>(effects));
    CHECK(findEffect<RefuseCall>(effects)->status == 503);
}

namespace {

/// Counts these others and itself, as each sweep does.
void hear(RelayFixture& relay, std::size_t firstOther, std::size_t lastOther)
{
    EntryCountUpdated counted;
    for (std::size_t other = firstOther; other <= lastOther; ++other)
        counted.others.push_back(hostOf(other));
    counted.entryCount = static_cast<std::uint32_t>(counted.others.size() + 1);
    relay.event(counted);
}

} // namespace

// Guards against entries that take the shares of those that they don't hear, who go on sending.
TEST_CASE("An entry that is cut off from others keeps the size of its share", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    hear(relay, 1, 15);
    const auto listen = [&](std::size_t lastOther, int sweeps) {
        for (int sweep = 0; sweep < sweeps; ++sweep) {
            wait(relay, { 500 });
            hear(relay, 1, lastOther);
        }
    };
    SECTION("from all")
    {
        listen(0, 300);
        CHECK(relay.state.coldSharers.highestCount == 16);
    }
    SECTION("from half")
    {
        listen(7, 300);
        CHECK(relay.state.coldSharers.highestCount == 16);
    }
    SECTION("and hears them again before some are stopped")
    {
        listen(7, 60);
        listen(15, 10);
        for (std::size_t left = 14; left >= 10; --left)
            listen(left, 30);
        listen(10, 300);
        CHECK(relay.state.coldSharers.highestCount == 11);
    }
}

// Guards against shares sized for the few entries that each has heard 1.5 s after all started together.
TEST_CASE("Entries that start together and hear of each other slowly keep to a cold limit", "[relay][cold]")
{
    ColdFleet fleet(16);
    fleet.discovery = Milliseconds { 400 };
    fleet.write(coldUpstream("p1", { 20000 }));
    const Milliseconds from = fleet.now;
    fleet.play({ 12000 });
    CAPTURE(fleet.mostSends(from));
    CHECK(static_cast<double>(fleet.mostSends(from)) <= bearable);
    CHECK(fleet.sendsSince(fleet.now - Milliseconds { 3000 }) > 0);
}

// Guards against a full load for an engine that left the list while its data centre was evacuated, and may have turned
// cold like the others there.
TEST_CASE("What was delisted is cold as well when its data centre returns", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    UpstreamEntry elsewhere = coldUpstream("p2");
    elsewhere.dataCentre = { "b" };
    relay.list({ coldUpstream("p1"), elsewhere });
    relay.event(EvacuationsUpdated { .dataCentres = { { "a" } } });
    relay.list({ elsewhere });
    relay.event(EvacuationsUpdated {});
    wait(relay, { 3000 });
    relay.list({ coldUpstream("p1"), elsewhere });
    CHECK(isCold(relay, "p1"));
    CHECK_FALSE(isCold(relay, "p2"));
}

// Guards against sound upstreams that get a cold share because this process or a single packet failed.
TEST_CASE("Only what shows that an upstream accepts no connections makes it cold", "[relay][cold]")
{
    RelayFixture relay = coldRelay();
    relay.list({ coldUpstream("p1") });
    wait(relay, { 2000 });
    const auto fail = [&](ConnectFailure failure) {
        const auto effects = relay.request("/read/");
        const auto* send = findEffect<SendToUpstream>(effects);
        REQUIRE(send);
        relay.event(
            ResponseEnded { .call = send->call, .send = send->send, .end = SendResult::NotSent, .failure = failure });
        const bool cold = isCold(relay, "p1");
        wait(relay, { 5000 });
        return cold;
    };
    SECTION("local failures never")
    {
        CHECK_FALSE(fail(ConnectFailure::Local));
        CHECK_FALSE(fail(ConnectFailure::Local));
    }
    SECTION("a second time-out in a row")
    {
        CHECK_FALSE(fail(ConnectFailure::Unanswered));
        CHECK(fail(ConnectFailure::Unanswered));
    }
    SECTION("no time-outs between which it answered")
    {
        CHECK_FALSE(fail(ConnectFailure::Unanswered));
        CHECK(answerAll(relay, relay.request("/read/")) == 1);
        CHECK_FALSE(fail(ConnectFailure::Unanswered));
    }
    SECTION("no time-outs of a process that stood still")
    {
        CHECK_FALSE(fail(ConnectFailure::Unanswered));
        const auto effects = relay.request("/read/");
        const auto* send = findEffect<SendToUpstream>(effects);
        REQUIRE(send);
        relay.now += Milliseconds { 700 };
        relay.event(ResponseEnded { .call = send->call,
            .send = send->send,
            .end = SendResult::NotSent,
            .failure = ConnectFailure::Unanswered });
        CHECK((!viewOf(relay, "p1").cold || viewOf(relay, "p1").cold->unconfirmed));
    }
    SECTION("a refusal at once") { CHECK(fail(ConnectFailure::Refused)); }
}
