// Runs entries before stand-in upstreams, one of which says something of itself in its answers: the requests a second
// that it takes, that it leaves, or that it wants a pause. Checks what reaches it afterwards, also from entries that
// start or freeze meanwhile, and that callers are still served. Exit code 1 otherwise.

#include "entry_rig.h"
#include "front_io.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>

using namespace hickory;
using Json = nlohmann::json;

namespace {

constexpr int entryCount = 3;
constexpr int upstreamCount = 3;
constexpr Milliseconds requestInterval { 16 }; ///< between two requests, over all entries
constexpr Milliseconds stableWindow { 3000 }; ///< a limit binds from this long after it was first named
constexpr Milliseconds limitWindow { 4000 }; ///< over which what a limit allows is counted
constexpr Milliseconds drainTime { 2000 }; ///< no request reaches a leaving upstream from this long after it said so
constexpr Milliseconds pauseLead { 500 }; ///< a pause binds from this long after it was asked for

/// A request that reached an upstream.
struct Arrival {
    Milliseconds at;
    std::string attempt; ///< its id
};

/// A stand-in plain upstream.
class Upstream {
public:
    Upstream(asio::io_context& io, const std::string& address)
        : front(io, {},
            { .onRequest = [this](FrontRequest&& request) { this->onRequest(request); },
                .onCallerDisconnected = [](CallId) {} })
    {
        if (!this->front.listen(address))
            throw std::runtime_error("an upstream cannot listen at " + address);
    }

    std::vector<WireHeader> says; ///< header fields of its answers
    std::uint16_t status { 200 }; ///< of its answers; 503 says that it did not run the request
    std::vector<Arrival> arrivals;

private:
    void onRequest(const FrontRequest& request)
    {
        const std::string* attempt = request.head.find("Attempt-Id");
        std::vector<WireHeader> headers = this->says;
        if (attempt) {
            this->arrivals.push_back({ .at = monotonicNow(), .attempt = *attempt });
            headers.push_back({ "Attempt-Id", *attempt });
            headers.push_back({ this->status == 200 ? "Replica-Seal" : "Not-Executed", "1" });
        }
        this->front.answer(request.id, this->status, headers, "answer");
    }

    FrontServer front;
};

class UpstreamNoticeTest {
public:
    UpstreamNoticeTest(const std::string& buildFolder, const std::string& logFolder)
        : rig(buildFolder, logFolder, entryCount)
    {
        for (int number = 0; number < upstreamCount; ++number) {
            const std::string address = this->rig.hostAddress(20 + number) + ":8081";
            this->upstreams.push_back(std::make_unique<Upstream>(this->rig.io, address));
            this->rig.listUpstream("upstream-" + std::to_string(number), "desk", address);
        }
        const Json route { { "name", "read" }, { "host", "desk.example" }, { "prefix", "/read/" },
            { "kind", "idempotent" }, { "timeout_ms", 2000 }, { "target_latency_ms", 300 }, { "priority", 1 },
            { "max_attempts", 2 }, { "service", "desk" } };
        this->rig.store.put("op", "config",
            Json { { "version", 1 }, { "routes", { route } }, { "services", { { { "name", "desk" } } } } }.dump());
        for (int number = 1; number < entryCount; ++number)
            this->rig.startEntry(number);
        this->running = { 1, 2 };
    }

    /// @return whether all checks held
    bool run(const std::string& what)
    {
        this->load({ 500 });
        if (what == "limit")
            this->checkLimit();
        else if (what == "leaving")
            this->checkLeaving();
        else
            this->checkPause();
        std::size_t served = 0;
        for (const auto& [attempt, sent] : this->requests)
            served += sent.caller->head.status == 200 ? 1 : 0;
        std::cout << this->requests.size() << " requests, " << served << " served, " << this->failures << " failures\n";
        if (served * 100 < this->requests.size() * 97)
            this->fail("too few requests were served");
        return this->failures == 0;
    }

private:
    struct Sent {
        int entry { 0 }; ///< number of the entry that it was sent to
        Milliseconds at;
        std::shared_ptr<RigCaller> caller;
    };

    /// One upstream names a limit, then no more.
    void checkLimit()
    {
        constexpr double limit = 2.0;
        const auto allowed = static_cast<std::size_t>(1.5 * limit * static_cast<double>(limitWindow.value) / 1000 + 5);
        Upstream& limited = *this->upstreams[0];
        limited.says = { { "Server-Limit", "2.0" } };
        const Milliseconds namedAt = monotonicNow();
        this->load(stableWindow);
        // A new entry learns the limit from the others, and shares it.
        this->rig.startEntry(entryCount);
        this->running.push_back(entryCount);
        this->load({ 2500 });
        this->rig.entries[1].signal(SIGSTOP);
        this->running = { 2, entryCount };
        this->load({ 1500 });
        this->rig.entries[1].signal(SIGCONT);
        this->load({ 500 });
        this->running = { 1, 2, entryCount };
        this->load({ 4000 });
        const std::vector<Arrival> arrivals = limited.arrivals;
        std::size_t most = 0;
        for (const Arrival& first : arrivals)
            if (first.at >= namedAt + stableWindow)
                most = std::max(most,
                    static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& other) {
                        return other.at >= first.at && other.at < first.at + limitWindow;
                    })));
        std::cout << "most requests in " << limitWindow.value << " ms: " << most << ", allowed " << allowed << "\n";
        if (most > allowed)
            this->fail("more requests than the limit allows");
        if (most < static_cast<std::size_t>(limit * 2))
            this->fail("the limit is hardly used");
        limited.says.clear();
        this->load({ 2000 });
        const Milliseconds from = monotonicNow();
        this->load({ 1000 });
        const auto later = std::count_if(
            limited.arrivals.begin(), limited.arrivals.end(), [&](const Arrival& each) { return each.at >= from; });
        std::cout << "in a second without a limit: " << later << "\n";
        if (later < 10)
            this->fail("the limit binds although the upstream names it no more");
    }

    /// One upstream says that it leaves; the store does not know.
    void checkLeaving()
    {
        Upstream& leaving = *this->upstreams[0];
        leaving.says = { { "Server-Leaving", "1" } };
        const Milliseconds saidAt = monotonicNow();
        this->load({ 3000 });
        this->rig.startEntry(entryCount);
        this->running.push_back(entryCount);
        this->load({ 2500 });
        std::size_t late = 0;
        for (const Arrival& arrival : leaving.arrivals)
            late += this->requests.at(arrival.attempt).at > saidAt + drainTime ? 1 : 0;
        std::cout << late << " requests reach it that were sent later than " << drainTime.value << " ms after\n";
        if (late > 0)
            this->fail("requests reach a leaving upstream");
    }

    /// One upstream turns requests away and asks for a pause.
    void checkPause()
    {
        constexpr Milliseconds pause { 3000 };
        constexpr std::size_t allowed = 2;
        Upstream& pausing = *this->upstreams[0];
        pausing.says = { { "Retry-After", "3" } };
        pausing.status = 503;
        this->load({ 10000 });
        std::size_t most = 0;
        for (int entry = 1; entry <= entryCount; ++entry) {
            std::vector<Milliseconds> times;
            for (const Arrival& arrival : pausing.arrivals)
                if (this->requests.at(arrival.attempt).entry == entry)
                    times.push_back(arrival.at);
            for (const Milliseconds first : times)
                most = std::max(most,
                    static_cast<std::size_t>(std::count_if(times.begin(), times.end(),
                        [&](Milliseconds other) { return other > first + pauseLead && other < first + pause; })));
        }
        std::cout << "most requests of an entry within a pause: " << most << ", allowed " << allowed << "\n";
        if (most > allowed)
            this->fail("requests reach an upstream that asked for a pause");
        pausing.says.clear();
        pausing.status = 200;
        this->load(pause + Milliseconds { 500 });
        const Milliseconds from = monotonicNow();
        this->load({ 1000 });
        if (std::none_of(pausing.arrivals.begin(), pausing.arrivals.end(),
                [&](const Arrival& arrival) { return arrival.at >= from; }))
            this->fail("nothing reaches the upstream after the pause");
    }

    /// Sends requests to the running entries in turn for some time.
    void load(Milliseconds time)
    {
        const Milliseconds until = monotonicNow() + time;
        Milliseconds nextAt = monotonicNow();
        while (monotonicNow() < until) {
            for (; nextAt <= monotonicNow(); nextAt += requestInterval) {
                const int entry = this->running[this->requests.size() % this->running.size()];
                const auto caller = this->rig.send(entry, "/read/x", { 2000 });
                this->requests["attempt-" + std::to_string(this->rig.attempts)]
                    = { .entry = entry, .at = monotonicNow(), .caller = caller };
            }
            this->rig.runLoop();
        }
    }

    void fail(const std::string& what)
    {
        ++this->failures;
        std::cout << what << std::endl;
    }

    EntryRig rig;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<int> running; ///< numbers of the entries that get requests
    std::map<std::string, Sent> requests; ///< by id
    int failures { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("upstream-notice", "Checks that entries keep to what upstreams say of themselves.");
    options.add_options()("bin", "build folder", cxxopts::value<std::string>())(
        "logs", "folder for settings and logs", cxxopts::value<std::string>()->default_value("upstream-notice-logs"))(
        "says", "limit, leaving or pause", cxxopts::value<std::string>()->default_value("limit"));
    const auto flags = options.parse(argc, argv);
    return UpstreamNoticeTest(flags["bin"].as<std::string>(), flags["logs"].as<std::string>())
               .run(flags["says"].as<std::string>())
        ? 0
        : 1;
}
