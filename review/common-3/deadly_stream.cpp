// A request crashes each engine that runs it, and comes again. Do the entries go on to hand it to engines? It strikes
// shortly after its first token, or before it, and the engine ends at once, or falls silent and ends a little later.

#include "rig.h"

using namespace rig;

namespace {

constexpr int entryCount = 4;
constexpr int engineCount = 14;
constexpr int events = 24; ///< of each stream
constexpr std::int64_t eventGap = 40; ///< ms
constexpr std::int64_t downTime = 3000; ///< a crashed engine is back after some seconds
constexpr std::int64_t stableWindow = 3000;
constexpr std::int64_t timeout = 6000;
constexpr std::int64_t patience = 2400;
constexpr std::int64_t duration = 50000;
constexpr int allowedRetries = 3;

/// Writes a line to the log that all engines share, in one piece.
void logLine(const std::string& text)
{
    const std::string line = std::to_string(unixMs()) + " " + text + "\n";
    if (::write(STDOUT_FILENO, line.data(), line.size()) < 0)
        ::_exit(3);
}

/// How the request strikes and comes again.
struct Deadly {
    int crash { 1 }; ///< number of the event after which it strikes, 0 for before the first one
    std::int64_t silent { 0 }; ///< ms for which the engine says nothing before it ends
    int copies { 1 }; ///< sent at once, through different entries
    std::int64_t gap { 1500 }; ///< ms between two times at which it comes
};

/// An engine in a process of its own: engine ADDRESS ID BORN CRASH SILENT. A request whose body is "deadly" ends the
/// process: just after its event number CRASH was sent, 0 for before the first one. For SILENT ms before its end it
/// says nothing.
int runEngine(
    const std::string& address, const std::string& id, const std::string& born, int crash, std::int64_t silent)
{
    std::atomic<bool> isSilent { false };
    const auto keepSilent = [&isSilent] {
        while (isSilent)
            sleepMs(1000);
    };
    std::mutex mutex;
    int running = 0;
    Server server(address, [&](const Message& request, Link& link) {
        keepSilent();
        const std::string target = request.target();
        if (target == "/api/report") {
            const std::lock_guard lock(mutex);
            const Json report { { "phase", "colocated" },
                { "models", Json::array({ { { "name", "daka" }, { "version", 1 }, { "adapters", Json::array() } } }) },
                { "busy", false }, { "sequence", 0 }, { "waiting", 0 }, { "running", running }, { "kv_used", 0 },
                { "kv_total", 1640000 }, { "handles", 0 }, { "pace", 1.0 }, { "born", std::stoll(born) } };
            return link.send(answerText(200, "Content-Type: application/json\r\n", report.dump()));
        }
        const std::string attempt = request.header("attempt-id");
        const std::string echo = "Attempt-Id: " + attempt + "\r\n";
        if (request.header("expect-replica") != id)
            return link.send(answerText(421, echo, ""));
        const bool deadly = request.body == "deadly";
        const std::string resumed = request.header("last-event-id");
        const int first = resumed.empty() ? 1 : std::stoi(resumed) + 1;
        {
            const std::lock_guard lock(mutex);
            if (running >= 16)
                return link.send(answerText(503, echo + "Not-Executed: 1\r\n", ""));
            ++running;
            if (deadly)
                logLine(id + " runs " + attempt + " from event " + std::to_string(first));
        }
        bool sent = true;
        if (!deadly || crash > 0)
            sent = link.send("HTTP/1.1 200 OK\r\n" + echo + "Replica-Seal: seal." + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = first; event <= events && sent; ++event) {
            sleepMs(eventGap);
            if (deadly && event - first >= crash) {
                logLine(id + " crashes");
                isSilent = true;
                sleepMs(silent);
                ::_exit(134);
            }
            keepSilent();
            const std::string text = "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            sent = !link.gone() && link.send(size + text + "\r\n");
        }
        keepSilent();
        const std::lock_guard lock(mutex);
        --running;
        return sent && link.send("0\r\n\r\n");
    });
    while (true)
        sleepMs(1000);
}

int runCase(const std::string& self, Record& record, const Deadly& way)
{
    Site site;
    site.entries = entryCount;
    Store& store = *new Store(site.store());
    const Json config { { "version", 7 },
        { "routes",
            Json::array({ { { "name", "letters" }, { "host", "desk.example" }, { "prefix", "/letters/" },
                { "service", "llm-pool" }, { "kind", "streaming" }, { "resumable", true }, { "max_attempts", 2 },
                { "timeout_ms", timeout }, { "target_latency_ms", 400 }, { "target_gap_ms", 300 }, { "priority", 1 },
                { "sticky", true } } }) },
        { "services",
            Json::array({ { { "name", "llm-pool" }, { "health_path", "/health-check" }, { "max_conns", 434 },
                { "engine", engineProfile(16) } } }) },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
    store.put("op", "config", config.dump());

    std::vector<Process> engines(engineCount);
    std::vector<std::int64_t> born(engineCount);
    std::uint64_t sequence = 0;
    const auto id = [](int engine) { return "i-" + std::to_string(engine); };
    const auto startEngine = [&](int engine) {
        const std::string address = site.ip(20 + engine) + ":8001";
        born[engine] = unixMs();
        engines[engine].start({ self, "engine", address, id(engine), std::to_string(born[engine]),
                                  std::to_string(way.crash), std::to_string(way.silent) },
            site.folder + "/engines.log");
        store.put("servers", id(engine),
            Json { { "service", "llm-pool" }, { "address", address }, { "zone", "harju-a" }, { "version", 1 },
                { "slots", 16 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "sequence", ++sequence },
                { "born", born[engine] },
                { "models", Json::array({ { { "name", "daka" }, { "version", 1 }, { "adapters", Json::array() } } }) } }
                .dump());
    };
    for (int engine = 0; engine < engineCount; ++engine)
        startEngine(engine);
    std::vector<Process> entries(entryCount + 1);
    for (int entry = 1; entry <= entryCount; ++entry)
        site.startEntry(entries[entry], entry);
    for (int entry = 1; entry <= entryCount; ++entry)
        site.awaitReady(entry);
    sleepMs(2000);
    const std::int64_t unixStart = unixMs() - nowMs();
    record.line(std::to_string(entryCount) + " entries and " + std::to_string(engineCount) + " engines are ready");

    std::atomic<bool> ends { false };
    std::mutex mutex;
    std::map<std::string, int> results;
    const auto send = [&](const std::string& attempt, int entry, const std::string& parts, const std::string& body) {
        const Answer answer = call(site.front(entry),
            requestText("POST", "/letters/2f", "desk.example",
                "Attempt-Id: " + attempt + "\r\nModel: daka\r\nToken-Count: 540,140\r\nPrefix-Hash: " + parts
                    + "\r\nDeadline-Ms: " + std::to_string(timeout) + "\r\n",
                body),
            timeout, patience);
        const std::string result = answer.head.status() == 200 && !answer.complete ? "200, broken off"
            : answer.head.status() == 0                                            ? answer.end
                                        : std::to_string(answer.head.status());
        const std::lock_guard lock(mutex);
        ++results[(body == "deadly" ? "the deadly request: " : "others: ") + result];
        if (body == "deadly")
            record.line("caller of " + attempt + " (entry " + std::to_string(entry) + ") gets " + result);
    };
    std::vector<std::thread> callers;
    const std::int64_t begin = nowMs();
    std::vector<std::int64_t> downSince(engineCount, 0);
    std::int64_t nextDeadly = begin + 3000;
    std::int64_t nextOther = begin;
    int deadly = 0;
    int other = 0;
    while (nowMs() - begin < duration) {
        const std::int64_t now = nowMs();
        if (now >= nextOther) {
            nextOther += 40;
            const int number = ++other;
            callers.emplace_back([&send, number] {
                char part[16];
                std::snprintf(part, sizeof part, "%08x", 0x1000 + number);
                send("o" + std::to_string(number), 1 + number % entryCount, std::string("5c1e07a2:40,") + part + ":500",
                    "draft");
            });
        }
        if (hasTrouble() && now >= nextDeadly) {
            nextDeadly += way.gap;
            for (int copy = 0; copy < way.copies; ++copy) {
                const int number = ++deadly;
                callers.emplace_back([&send, number] {
                    send("deadly-" + std::to_string(number), 1 + number % entryCount, "5c1e07a2:40,dead0001:500",
                        "deadly");
                });
            }
        }
        for (int engine = 0; engine < engineCount; ++engine) {
            if (downSince[engine] == 0 && engines[engine].ended()) {
                engines[engine].id = 0;
                downSince[engine] = now;
            }
            if (downSince[engine] != 0 && now - downSince[engine] >= downTime - way.silent) {
                downSince[engine] = 0;
                startEngine(engine);
            }
        }
        sleepMs(5);
    }
    for (std::thread& caller : callers)
        caller.join();

    std::vector<std::pair<std::int64_t, std::string>> runs;
    std::vector<std::int64_t> crashes;
    std::ifstream log(site.folder + "/engines.log");
    for (std::string line; std::getline(log, line);) {
        const std::int64_t at = std::stoll(line) - unixStart;
        const std::string what = line.substr(line.find(' ') + 1);
        if (what.find(" crashes") != std::string::npos)
            crashes.push_back(at);
        else
            runs.emplace_back(at, what);
        record.line("at " + std::to_string(at) + " ms engine " + what);
    }
    std::sort(crashes.begin(), crashes.end());
    for (const auto& [result, number] : results)
        record.line(std::to_string(number) + " x " + result);
    record.line(std::to_string(crashes.size()) + " crashes");
    if (!hasTrouble())
        return 0;
    if (crashes.size() < 3)
        return 0;
    const std::int64_t from = crashes[2] + stableWindow;
    std::map<std::string, int> late;
    for (const auto& [at, what] : runs)
        if (at > from) {
            const std::size_t start = what.find("runs ") + 5;
            ++late[what.substr(start, what.find(' ', start) - start)];
        }
    record.line("it had crashed the third engine at " + std::to_string(crashes[2]) + " ms; later than "
        + std::to_string(stableWindow) + " ms after that it reached engines in " + std::to_string(late.size())
        + " requests" + (late.size() > allowedRetries ? "   BUDGET BROKEN: more than 3" : ""));
    return late.size() > allowedRetries ? 1 : 0;
}

} // namespace

int main(int count, char** values)
try {
    if (count == 7 && std::string(values[1]) == "engine")
        return runEngine(values[2], values[3], values[4], std::atoi(values[5]), std::atoi(values[6]));
    limitTime(115);
    Record record(values[1]);
    Deadly way;
    if (count > 2)
        way.crash = std::atoi(values[2]);
    if (count > 3)
        way.silent = std::atoi(values[3]);
    if (count > 4)
        way.copies = std::atoi(values[4]);
    if (count > 5)
        way.gap = std::atoi(values[5]);
    std::_Exit(runCase(std::filesystem::absolute(values[0]).string(), record, way));
} catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
}
