// Another writer puts rows into the list of replicas. Without a mode: a row with missing fields, under the id of a
// replica of another service; do the entries hand it requests that the configuration sends elsewhere? With the mode
// "hide": whole rows of a service that the configuration doesn't name, with the addresses of the replicas; do the
// entries go on to use the replicas?

#include "rig.h"

using namespace rig;

namespace {

constexpr int entryCount = 2;
constexpr std::int64_t timeout = 2000;
constexpr std::int64_t heartbeat = 1200; ///< ms
constexpr std::int64_t duration = 20000;
constexpr std::int64_t foreignAt[] = { 4000, 9000, 14000 }; ///< after the start of the traffic

struct Replica {
    std::string id;
    std::string service;
    std::string address;
    std::int64_t born { 0 };
    std::uint64_t sequence { 0 };
    std::int64_t nextBeat { 0 };
};

int runCase(Record& record, bool hides)
{
    Site site;
    site.entries = entryCount;
    Store& store = *new Store(site.store()); // its threads run until the process ends
    const auto route = [](const char* name, const char* prefix, const char* service, const char* kind) {
        return Json { { "name", name }, { "host", "desk.example" }, { "prefix", prefix }, { "service", service },
            { "kind", kind }, { "max_attempts", 1 }, { "timeout_ms", timeout }, { "target_latency_ms", 300 },
            { "priority", 1 } };
    };
    const Json config { { "version", 7 },
        { "routes",
            Json::array({ route("payments", "/payments/", "ledger-api", "non_idempotent"),
                route("notes", "/notes/", "notes-api", "non_idempotent") }) },
        { "services",
            Json::array({ { { "name", "ledger-api" }, { "health_path", "/health-check" }, { "max_conns", 110 } },
                { { "name", "notes-api" }, { "health_path", "/health-check" }, { "max_conns", 110 } } }) },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
    store.put("op", "config", config.dump());

    std::mutex mutex;
    std::map<std::string, int> runs;
    int misrouted = 0;
    std::vector<Replica> replicas(3);
    replicas[0].id = "i-p1";
    replicas[1].id = "i-p2";
    replicas[2].id = "i-n1";
    replicas[0].service = replicas[1].service = "ledger-api";
    replicas[2].service = "notes-api";
    const auto beat = [&store](Replica& replica) {
        store.put("servers", replica.id,
            Json { { "service", replica.service }, { "address", replica.address }, { "zone", "harju-a" },
                { "version", 1 }, { "slots", 6 }, { "state", "ready" }, { "cold_left_ms", 0 },
                { "sequence", ++replica.sequence }, { "born", replica.born } }
                .dump());
        replica.nextBeat = nowMs() + heartbeat;
    };
    int number = 0;
    for (Replica& replica : replicas) {
        replica.address = site.ip(20 + number++) + ":8001";
        replica.born = unixMs();
        new Server(replica.address,
            [&record, &mutex, &runs, &misrouted, id = replica.id, service = replica.service](
                const Message& request, Link& link) {
                const std::string attempt = request.header("attempt-id");
                if (attempt.empty())
                    return link.send(answerText(200, "Replica-Id: " + id + "\r\nReplica-Load: 0,0,6\r\n", ""));
                const std::string echo = "Attempt-Id: " + attempt + "\r\n";
                const std::string expected = request.header("expect-replica");
                if (!expected.empty() && expected != id)
                    return link.send(answerText(421, echo, ""));
                {
                    const std::lock_guard lock(mutex);
                    ++runs[id + " (" + service + ") runs " + request.target().substr(0, request.target().find('/', 1))];
                    if (request.target().starts_with("/payments/") != (service == "ledger-api")) {
                        ++misrouted;
                        record.line(id + " of " + service + " runs " + attempt + ", " + request.target()
                            + ", Expect-Replica: " + expected + "   ROUTE BROKEN: no config sends it to this service");
                    }
                }
                sleepMs(60);
                return link.send(
                    answerText(200, echo + "Replica-Seal: seal." + attempt + "\r\n", std::string(800, 'b')));
            });
        beat(replica);
    }
    std::vector<Process> entries(entryCount + 1);
    for (int entry = 1; entry <= entryCount; ++entry)
        site.startEntry(entries[entry], entry);
    for (int entry = 1; entry <= entryCount; ++entry)
        site.awaitReady(entry);
    sleepMs(2000);
    record.line(std::to_string(entryCount) + " entries and " + std::to_string(replicas.size()) + " replicas are ready");

    std::map<std::string, int> results;
    std::vector<std::thread> callers;
    const std::int64_t begin = nowMs();
    std::int64_t nextCall = begin;
    std::size_t foreign = 0;
    for (int call = 0; nowMs() - begin < duration;) {
        const std::int64_t now = nowMs();
        for (Replica& replica : replicas)
            if (now >= replica.nextBeat)
                beat(replica);
        if (hasTrouble() && foreign < std::size(foreignAt) && now - begin >= foreignAt[foreign]) {
            ++foreign;
            for (std::size_t index = 0; hides && index < replicas.size(); ++index) {
                const std::string key = "audit-" + std::to_string(index);
                const std::string row = Json { { "service", "audit" }, { "address", replicas[index].address },
                    { "zone", "harju-a" }, { "version", 1 }, { "slots", 6 }, { "state", "ready" },
                    { "cold_left_ms", 0 }, { "sequence", 1 },
                    { "born", unixMs() } }.dump();
                store.put("servers", key, row);
                record.line("another writer: servers/" + key + " = " + row);
            }
            if (hides) {
                foreign = std::size(foreignAt);
                continue;
            }
            const Replica& taken = replicas.back();
            const std::string row = Json { { "service", "ledger-api" }, { "address", taken.address },
                { "zone", "harju-a" }, { "slots", 6 },
                { "state", "ready" } }.dump();
            store.put("servers", taken.id, row);
            record.line("another writer: servers/" + taken.id + " = " + row);
        }
        if (now >= nextCall) {
            nextCall += 50;
            const int id = ++call;
            const bool payment = id % 4 != 0;
            callers.emplace_back([&, id, payment] {
                const std::int64_t until = nowMs() + timeout;
                Answer answer;
                for (int attempt = 1; attempt <= 2 && until - nowMs() > 300; ++attempt) {
                    answer = rig::call(site.front(1 + (id + attempt) % entryCount),
                        requestText("POST", payment ? "/payments/2f" : "/notes/2f", "desk.example",
                            "Attempt-Id: c" + std::to_string(id) + "-" + std::to_string(attempt)
                                + "\r\nDeadline-Ms: " + std::to_string(until - nowMs()) + "\r\n",
                            "text"),
                        until - nowMs());
                    if (!answer.complete || answer.head.status() != 503)
                        break;
                    const double wait = std::atof(answer.head.header("retry-after").c_str());
                    sleepMs(std::min<std::int64_t>(static_cast<std::int64_t>(wait * 1000), (until - nowMs()) / 3));
                }
                const std::lock_guard lock(mutex);
                ++results[std::string(payment ? "payment: " : "note: ")
                    + (answer.complete ? std::to_string(answer.head.status()) : answer.end)];
            });
        }
        sleepMs(2);
    }
    for (std::thread& caller : callers)
        caller.join();
    const std::lock_guard lock(mutex);
    for (const auto& [what, count] : runs)
        record.line(what + ": " + std::to_string(count));
    for (const auto& [what, count] : results)
        record.line(what + ": " + std::to_string(count));
    record.line(std::to_string(misrouted) + " requests were run by a service to which no config sends them");
    int owed = 0;
    int served = 0;
    for (const auto& [what, count] : results) {
        owed += count;
        served += what.ends_with(": 200") ? count : 0;
    }
    const int percent = 100 * (owed - served) / std::max(owed, 1);
    record.line("refused and failed: " + std::to_string(percent) + "% of those owed"
        + (percent > 60 ? "   GATE BROKEN: more than 60%" : ""));
    return (hides ? percent > 60 : misrouted > 0) ? 1 : 0;
}

} // namespace

int main(int count, char** values)
try {
    limitTime(60);
    Record record(values[1]);
    std::_Exit(runCase(record, count > 2 && std::string(values[2]) == "hide"));
} catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
}
