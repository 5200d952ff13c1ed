// An engine ends in the middle of a stream that has neither a length nor chunks, and starts again, while the entry that
// passes the stream on stands still. Does the caller get the part of the stream as a whole one?

#include "rig.h"

using namespace rig;

namespace {

constexpr int events = 24; ///< of each stream
constexpr std::int64_t eventGap = 100; ///< ms
constexpr std::int64_t patience = 2400; ///< callers leave after the longest of 2 s, 4 x 400 ms and 8 x 300 ms
constexpr std::int64_t timeout = 6000;
constexpr int entryCount = 4;

/// An engine in a process of its own: engine ADDRESS ID BORN. Attempts whose id begins with "u" get an answer that ends
/// with its channel, all others one in chunks.
int runEngine(const std::string& address, const std::string& id, const std::string& born)
{
    std::mutex mutex;
    std::map<std::string, int> ends; ///< pieces sent by attempt, for the log
    Server server(address, [&](const Message& request, Link& link) {
        const std::string target = request.target();
        if (target == "/api/report") {
            const Json report { { "phase", "colocated" },
                { "models", Json::array({ { { "name", "daka" }, { "version", 1 }, { "adapters", Json::array() } } }) },
                { "busy", false }, { "sequence", 0 }, { "waiting", 0 }, { "running", 0 }, { "kv_used", 0 },
                { "kv_total", 1640000 }, { "handles", 0 }, { "pace", 1.0 }, { "born", std::stoll(born) } };
            return link.send(answerText(200, "Content-Type: application/json\r\n", report.dump()));
        }
        const std::string attempt = request.header("attempt-id");
        const std::string echo = "Attempt-Id: " + attempt + "\r\n";
        if (request.header("expect-replica") != id)
            return link.send(answerText(421, echo, ""));
        const bool unframed = attempt.starts_with("u");
        const std::string resumed = request.header("last-event-id");
        const int first = resumed.empty() ? 1 : std::stoi(resumed) + 1;
        {
            const std::lock_guard lock(mutex);
            std::cout << id << " runs " << attempt << " from event " << first
                      << (unframed ? ", its answer ends with its channel" : "") << std::endl;
        }
        if (!link.send("HTTP/1.1 200 OK\r\n" + echo + "Replica-Seal: seal." + attempt
                + "\r\nContent-Type: text/event-stream\r\n"
                + (unframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n")))
            return false;
        for (int event = first; event <= events; ++event) {
            sleepMs(eventGap);
            const std::string text = "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (link.gone() || !link.send(unframed ? text : size + text + "\r\n"))
                return false;
        }
        return !unframed && link.send("0\r\n\r\n");
    });
    while (true)
        sleepMs(1000);
}

/// @return how many pieces, from the first on, the body holds without a gap, and whether it holds anything else
std::pair<int, bool> pieces(const std::string& body)
{
    std::string expected;
    int count = 0;
    for (int event = 1; event <= events; ++event) {
        expected += "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
        if (body.size() >= expected.size())
            count = event;
        if (body == expected)
            return { event, false };
    }
    return { count, !body.empty() };
}

int runCase(const std::string& self, Record& record)
{
    Site site;
    site.entries = entryCount;
    Store& store = *new Store(site.store()); // its threads run until the process ends
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

    constexpr int engines = 6;
    std::vector<Process> processes(engines + 1);
    std::vector<std::int64_t> born(engines + 1);
    std::uint64_t sequence = 0;
    const auto id = [](int engine) { return "i-" + std::to_string(engine); };
    const auto list = [&](int engine) {
        store.put("servers", id(engine),
            Json { { "service", "llm-pool" }, { "address", site.ip(10 + engine) + ":8001" }, { "zone", "harju-a" },
                { "version", 1 }, { "slots", 16 }, { "state", "ready" }, { "cold_left_ms", 0 },
                { "sequence", ++sequence }, { "born", born[engine] }, { "phase", "colocated" },
                { "models", Json::array({ { { "name", "daka" }, { "version", 1 }, { "adapters", Json::array() } } }) } }
                .dump());
    };
    const auto startEngine = [&](int engine) {
        born[engine] = unixMs();
        processes[engine].start(
            { self, "engine", site.ip(10 + engine) + ":8001", id(engine), std::to_string(born[engine]) },
            site.folder + "/engines.log");
        list(engine);
    };
    for (int engine = 1; engine <= engines; ++engine)
        startEngine(engine);
    std::vector<Process> entries(entryCount + 1);
    for (int entry = 1; entry <= entryCount; ++entry)
        site.startEntry(entries[entry], entry);
    for (int entry = 1; entry <= entryCount; ++entry)
        site.awaitReady(entry);
    record.line(std::to_string(entryCount) + " entries and " + std::to_string(engines) + " engines are ready");

    struct Stream {
        std::string attempt;
        std::int64_t sentAt { 0 };
        std::int64_t endedAt { 0 };
        Answer answer;
    };
    int broken = 0;
    constexpr int rounds = 4;
    for (int round = 1; round <= rounds; ++round) {
        // 25 streams at a time through the entry that will stand still; one of them, 4 in 100, has no length.
        std::vector<Stream> streams(25);
        std::vector<std::thread> callers;
        for (std::size_t index = 0; index < streams.size(); ++index) {
            Stream& stream = streams[index];
            stream.attempt = (index == 7 ? "u" : "c") + std::to_string(round * 100 + index);
            callers.emplace_back([&site, &stream] {
                stream.sentAt = nowMs();
                stream.answer = call(site.front(1),
                    requestText("POST", "/letters/2f", "desk.example",
                        "Attempt-Id: " + stream.attempt + "\r\nModel: daka\r\nToken-Count: 900,140\r\nDeadline-Ms: "
                            + std::to_string(timeout) + "\r\n",
                        "draft"),
                    timeout, patience);
                stream.endedAt = nowMs();
            });
            sleepMs(8);
        }
        sleepMs(700);
        // Which engine runs the stream without a length is told by the engines' log.
        int engine = 0;
        std::ifstream log(site.folder + "/engines.log");
        for (std::string line; std::getline(log, line);)
            if (line.find(" runs " + streams[7].attempt + " ") != std::string::npos)
                engine = std::atoi(line.c_str() + 2);
        if (engine == 0)
            throw CannotRun("no engine runs the stream");
        if (hasTrouble()) {
            record.line("entry 1 stands still for 1800 ms (SIGSTOP)");
            entries[1].signal(SIGSTOP);
            sleepMs(200);
            record.line(id(engine) + " is killed, and starts again 1000 ms later");
            processes[engine].stop(SIGKILL);
            sleepMs(1000);
            startEngine(engine);
            sleepMs(600);
            entries[1].signal(SIGCONT);
            record.line("entry 1 goes on");
        }
        for (std::thread& caller : callers)
            caller.join();
        for (const Stream& stream : streams) {
            const auto [count, odd] = pieces(stream.answer.body);
            const bool success = stream.answer.head.status() == 200;
            const bool isBroken = success && stream.answer.complete && (count < events || odd);
            broken += isBroken ? 1 : 0;
            record.line("round " + std::to_string(round) + ": " + stream.attempt + " sent at "
                + std::to_string(stream.sentAt) + " ms, status " + std::to_string(stream.answer.head.status()) + ", "
                + std::to_string(count) + " of " + std::to_string(events) + " pieces" + (odd ? " and other bytes" : "")
                + ", end: " + stream.answer.end + " at " + std::to_string(stream.endedAt) + " ms"
                + (isBroken ? "   ORDER BROKEN: ended as complete before its last piece" : ""));
        }
        if (round < rounds)
            sleepMs(4000); // all are in touch again
    }
    std::ifstream log(site.folder + "/engines.log");
    for (std::string line; std::getline(log, line);)
        record.line("engines: " + line);
    record.line(std::to_string(broken) + " streams ended as complete before their last piece");
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** values)
try {
    if (count == 5 && std::string(values[1]) == "engine")
        return runEngine(values[2], values[3], values[4]);
    limitTime(115);
    Record record(values[1]);
    const int code = runCase(std::filesystem::absolute(values[0]).string(), record);
    std::_Exit(code); // not while threads of the stand-ins run
} catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
}
