// Case 10: an agent keeps a manifest with a wrong digest for good, and its engine never gets weights.
#include "replica.h"

using namespace rig;

int main(int count, char** values)
{
    return runCase(count, values, [](Record& record) {
        constexpr std::int64_t recoveryMs = 12000;
        constexpr std::int64_t downMs = 1400;
        const std::vector<int> entries { 1, 2 };
        Fleet fleet;
        Store store(fleet.storeAddress());
        Origin origin(record, fleet.ip(240) + ":8006");
        Engine engine(store, record, "s20", fleet.ip(20) + ":8740");
        store.put("op", "", std::string("version/") + modelName, Json { { "model", modelName }, { "version", 1 } }.dump());
        store.put("op", "", "config", engineConfig(7, fleet.ip(240) + ":8006").dump());
        const auto startAll = [&] {
            for (const int entry : entries)
                fleet.startEntry(entry, entries);
            fleet.startAgent(20, entries, fleet.ip(20) + ":8740", "huvo11a");
        };
        startAll();
        for (const int entry : entries)
            fleet.awaitReady(entry);
        sleepMs(2000);
        int sent = 0;
        int served = 0;
        const auto ask = [&](int requests) {
            served = 0;
            for (int number = 0; number < requests; ++number) {
                ++sent;
                served += isServed(generate(fleet, record, entries[sent % 2], "a" + std::to_string(sent))) ? 1 : 0;
            }
        };
        ask(20);
        record.say("before the final fault: " + std::to_string(served) + " of 20 requests served");
        if (served < 5)
            throw CannotRun("the fleet does not serve");
        // Final fault: all machines lose power. The fault is there with TROUBLE=0 as well.
        store.put("op", "", "config", engineConfig(8, fleet.ip(240) + ":8006").dump());
        record.line("operator writes op/config version 8, the store confirms it; all machines lose power");
        const std::vector<int> hosts { 1, 2, 20 };
        for (const int host : hosts)
            fleet.process(host).kill(SIGKILL);
        engine.losePower();
        for (const int host : hosts)
            fleet.process(host).wait(2000);
        origin.manifests = origin.pieces = 0;
        origin.spoilManifests = hasTrouble() ? 1 : 0;
        sleepMs(downMs);
        record.line("the machines are back");
        const std::int64_t backAt = nowMs();
        engine.expire();
        engine.start(0);
        startAll();
        int late = 0;
        int lateServed = 0;
        while (nowMs() - backAt < recoveryMs + 40000) {
            const bool counts = nowMs() - backAt > recoveryMs;
            ask(1);
            late += counts ? 1 : 0;
            lateServed += counts ? served : 0;
            sleepMs(250);
        }
        record.say("origin: " + std::to_string(origin.manifests) + " manifests and " + std::to_string(origin.pieces)
            + " pieces sent since the fault, " + (hasTrouble() ? "one manifest" : "nothing") + " spoilt");
        record.say(std::to_string(late) + " requests sent later than 12 s after the machines were back, "
            + std::to_string(lateServed) + " served");
        return lateServed * 4 >= late;
    });
}
