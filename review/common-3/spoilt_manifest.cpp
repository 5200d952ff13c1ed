// The origin of weights hands out one manifest in which a digit of one digest is wrong. Is the declared version ever
// brought into service, and are requests served once the older one may not be used any more?

#include "rig.h"

using namespace rig;

namespace {

constexpr int pieceCount = 64;
constexpr std::size_t pieceBytes = 32768;
constexpr std::int64_t duration = 60000; ///< of the traffic
constexpr std::int64_t declaredAt = 3000; ///< after the start of the traffic
constexpr std::int64_t timeout = 6000;
constexpr std::int64_t patience = 2400;
constexpr int entryCount = 2;

// SHA-256, as the manifest names it.
std::string sha256Hex(const std::string& text)
{
    static const std::uint32_t k[64] = { 0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1,
        0x923f82a4, 0xab1c5ed5, 0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe, 0x9bdc06a7,
        0xc19bf174, 0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da,
        0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7, 0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967, 0x27b70a85,
        0x2e1b2138, 0x4d2c6dfc, 0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85, 0xa2bfe8a1, 0xa81a664b,
        0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070, 0x19a4c116, 0x1e376c08, 0x2748774c,
        0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3, 0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208,
        0x90befffa, 0xa4506ceb, 0xbef9a3f7, 0xc67178f2 };
    std::uint32_t h[8]
        = { 0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab, 0x5be0cd19 };
    std::string data = text + '\x80';
    while (data.size() % 64 != 56)
        data += '\0';
    const std::uint64_t bits = text.size() * 8;
    for (int shift = 56; shift >= 0; shift -= 8)
        data += static_cast<char>(bits >> shift & 255U);
    const auto rotate = [](std::uint32_t x, int n) { return x >> n | x << (32 - n); };
    for (std::size_t block = 0; block < data.size(); block += 64) {
        std::uint32_t w[64];
        for (std::size_t i = 0; i < 16; ++i) {
            w[i] = 0;
            for (std::size_t j = 0; j < 4; ++j)
                w[i] = w[i] << 8U | static_cast<unsigned char>(data[block + 4 * i + j]);
        }
        for (int i = 16; i < 64; ++i)
            w[i] = w[i - 16] + (rotate(w[i - 15], 7) ^ rotate(w[i - 15], 18) ^ w[i - 15] >> 3) + w[i - 7]
                + (rotate(w[i - 2], 17) ^ rotate(w[i - 2], 19) ^ w[i - 2] >> 10);
        std::uint32_t a = h[0], b = h[1], c = h[2], d = h[3], e = h[4], f = h[5], g = h[6], last = h[7];
        for (int i = 0; i < 64; ++i) {
            const std::uint32_t first
                = last + (rotate(e, 6) ^ rotate(e, 11) ^ rotate(e, 25)) + ((e & f) ^ (~e & g)) + k[i] + w[i];
            const std::uint32_t second = (rotate(a, 2) ^ rotate(a, 13) ^ rotate(a, 22)) + ((a & b) ^ (a & c) ^ (b & c));
            last = g;
            g = f;
            f = e;
            e = d + first;
            d = c;
            c = b;
            b = a;
            a = first + second;
        }
        h[0] += a, h[1] += b, h[2] += c, h[3] += d, h[4] += e, h[5] += f, h[6] += g, h[7] += last;
    }
    std::string hex;
    for (const std::uint32_t word : h) {
        char digits[9];
        std::snprintf(digits, sizeof digits, "%08x", word);
        hex += digits;
    }
    return hex;
}

std::string piece(std::uint64_t version, int index)
{
    std::string bytes;
    while (bytes.size() < pieceBytes)
        bytes += std::to_string(version) + "/" + std::to_string(index) + ";";
    bytes.resize(pieceBytes);
    return bytes;
}

/// An engine and its staging area, as the pages describe them.
struct Engine {
    std::string id;
    std::int64_t born { unixMs() };
    std::mutex mutex;
    std::map<int, std::string> staged;
    std::uint64_t version { 1 }; ///< held, 0 for none
    std::uint64_t loading { 0 };
    std::int64_t loadedAt { 0 };
    std::uint64_t sequence { 0 };
    int running { 0 };

    void settle()
    {
        if (this->loading == 0 || this->running > 0)
            return;
        if (this->loadedAt == 0)
            this->loadedAt = nowMs() + 300;
        if (nowMs() < this->loadedAt)
            return;
        this->version = std::exchange(this->loading, 0);
        this->loadedAt = 0;
    }
    Json models()
    {
        Json list = Json::array();
        if (this->version != 0)
            list.push_back({ { "name", "daka" }, { "version", this->version }, { "adapters", Json::array() } });
        return list;
    }
};

int runCase(Record& record, int engineCount)
{
    Site site;
    site.entries = entryCount;
    Store& store = *new Store(site.store());
    const auto route = [](const char* name, const char* prefix, const char* service, const char* kind) {
        return Json { { "name", name }, { "host", "desk.example" }, { "prefix", prefix }, { "service", service },
            { "kind", kind }, { "resumable", std::string(kind) == "streaming" }, { "max_attempts", 2 },
            { "timeout_ms", timeout }, { "target_latency_ms", 400 }, { "target_gap_ms", 300 }, { "priority", 1 } };
    };
    const Json config { { "version", 7 },
        { "routes",
            Json::array({ route("letters", "/letters/", "llm-pool", "streaming"),
                route("balances", "/balances/", "ledger-api", "idempotent") }) },
        { "services",
            Json::array({ { { "name", "llm-pool" }, { "health_path", "/health-check" }, { "max_conns", 434 },
                              { "engine", engineProfile(16) } },
                { { "name", "ledger-api" }, { "health_path", "/health-check" }, { "max_conns", 110 } },
                { { "name", "legacy-bridge" }, { "origin", site.ip(200) + ":8001" }, { "link_mbps", 9.9 },
                    { "max_conns", 48 } } }) },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
    store.put("op", "config", config.dump());

    // The origin.
    auto& mutex = *new std::mutex;
    auto& answers = *new int(0);
    auto& spoilt = *new int(0);
    auto& newest = *new std::uint64_t(1);
    new Server(site.ip(200) + ":8001", [&](const Message& request, Link& link) {
        const std::string target = request.target();
        const std::string named = query(target, "version");
        const std::lock_guard lock(mutex);
        const std::uint64_t version = named.empty() ? newest : std::stoull(named);
        ++answers;
        if (version > newest)
            return link.send(answerText(404, "", ""));
        if (target.starts_with("/api/manifest/")) {
            Json digests = Json::array();
            for (int index = 0; index < pieceCount; ++index)
                digests.push_back(sha256Hex(piece(version, index)));
            bool spoil = hasTrouble() && version == 2 && spoilt == 0;
            if (spoil) {
                ++spoilt;
                std::string digest = digests[40];
                digest[10] = digest[10] == '7' ? '3' : '7';
                digests[40] = digest;
            }
            record.line("origin: manifest of version " + std::to_string(version)
                + (spoil ? ", a digit of the digest of piece 40 is wrong" : ""));
            return link.send(answerText(200, "Content-Type: application/json\r\n",
                Json { { "model", "daka" }, { "version", version }, { "chunk_bytes", pieceBytes }, { "layers", 16 },
                    { "digests", digests } }
                    .dump()));
        }
        sleepMs(26); // 32 KB at 9.9 Mbit/s
        return link.send(answerText(
            200, "Content-Type: application/octet-stream\r\n", piece(version, std::stoi(query(target, "quantity")))));
    });

    // The engines.
    std::vector<Engine*> engines;
    std::uint64_t listed = 0;
    const auto list = [&](const std::string& id, const std::string& service, const std::string& address, int slots,
                          std::int64_t born, const Json& models) {
        Json row { { "service", service }, { "address", address }, { "zone", "harju-a" }, { "version", 1 },
            { "slots", slots }, { "state", "ready" }, { "cold_left_ms", 0 }, { "sequence", ++listed },
            { "born", born } };
        if (!models.is_null())
            row["models"] = models;
        store.put("servers", id, row.dump());
    };
    for (int number = 0; number < engineCount; ++number) {
        Engine* engine = new Engine;
        engine->id = "i-" + std::to_string(number);
        for (int index = 0; index < pieceCount; ++index)
            engine->staged[index] = piece(1, index);
        engines.push_back(engine);
        const std::string address = site.ip(20 + number) + ":8001";
        new Server(address, [engine, &record](const Message& request, Link& link) {
            const std::string target = request.target();
            std::unique_lock lock(engine->mutex);
            engine->settle();
            if (target == "/api/report") {
                const Json report { { "phase", "colocated" }, { "models", engine->models() },
                    { "busy", engine->loading != 0 }, { "sequence", engine->sequence }, { "waiting", 0 },
                    { "running", engine->running }, { "kv_used", 0 }, { "kv_total", 1640000 }, { "handles", 0 },
                    { "pace", 1.0 }, { "born", engine->born } };
                return link.send(answerText(200, "Content-Type: application/json\r\n", report.dump()));
            }
            if (target.starts_with("/api/stage-put/")) {
                engine->staged[std::stoi(query(target, "quantity"))] = request.body;
                return link.send(answerText(200, "", ""));
            }
            if (target.starts_with("/api/stage-get/")) {
                const auto held = engine->staged.find(std::stoi(query(target, "quantity")));
                return link.send(
                    held == engine->staged.end() ? answerText(404, "", "") : answerText(200, "", held->second));
            }
            if (target == "/api/order") {
                const Json order = Json::parse(request.body);
                const auto version = order.at("version").get<std::uint64_t>();
                if (order.contains("expected") && order.at("expected") != engine->sequence)
                    return link.send(answerText(409, "", ""));
                bool whole = true;
                for (int index = 0; index < pieceCount; ++index)
                    whole = whole && engine->staged[index] == piece(version, index);
                ++engine->sequence;
                engine->loading = version;
                record.line(engine->id + " is ordered to load version " + std::to_string(version)
                    + (whole ? ", its pieces are whole" : ", ITS PIECES ARE NOT WHOLE"));
                return link.send(answerText(202, "", ""));
            }
            const std::string attempt = request.header("attempt-id");
            const std::string echo = "Attempt-Id: " + attempt + "\r\n";
            const std::string wanted = request.header("expect-version");
            if (request.header("expect-replica") != engine->id
                || (!wanted.empty() && wanted != std::to_string(engine->version)))
                return link.send(answerText(421, echo, ""));
            if (engine->loading != 0 || engine->version == 0 || engine->running >= 16)
                return link.send(answerText(503, echo + "Not-Executed: 1\r\n", ""));
            ++engine->running;
            lock.unlock();
            const std::string resumed = request.header("last-event-id");
            bool sent = link.send("HTTP/1.1 200 OK\r\n" + echo + "Replica-Seal: seal." + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = resumed.empty() ? 1 : std::stoi(resumed) + 1; event <= 12 && sent; ++event) {
                sleepMs(50);
                const std::string text = "id: " + std::to_string(event) + "\ndata: piece\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                sent = !link.gone() && link.send(size + text + "\r\n");
            }
            lock.lock();
            --engine->running;
            engine->settle();
            return sent && link.send("0\r\n\r\n");
        });
        list(engine->id, "llm-pool", address, 16, engine->born, engine->models());
    }
    const std::string plain = site.ip(201) + ":8001";
    new Server(plain, [](const Message& request, Link& link) {
        if (request.header("attempt-id").empty())
            return link.send(answerText(200, "Replica-Id: p-1\r\n", ""));
        sleepMs(20);
        return link.send(answerText(
            200, "Attempt-Id: " + request.header("attempt-id") + "\r\nReplica-Seal: seal\r\n", std::string(800, 'b')));
    });
    list("p-1", "ledger-api", plain, 6, unixMs(), nullptr);

    std::vector<Process> entries(entryCount + 1);
    std::vector<Process> agents(static_cast<std::size_t>(engineCount));
    for (int entry = 1; entry <= entryCount; ++entry)
        site.startEntry(entries[entry], entry);
    for (int number = 0; number < engineCount; ++number)
        site.startAgent(agents[number], 20 + number, "llm-pool");
    for (int entry = 1; entry <= entryCount; ++entry)
        site.awaitReady(entry);
    sleepMs(2000);
    record.line(std::to_string(entryCount) + " entries and " + std::to_string(engineCount) + " engines are ready");

    // Callers: nine streams to one plain request, nearly as in the site file; each comes back once as it is told.
    struct Count {
        int owed { 0 };
        int served { 0 };
        int lateOwed { 0 }; ///< sent when the older version may not be used any more, and 10 s later
        int lateServed { 0 };
    };
    Count counts[2];
    std::map<std::string, int> ends;
    std::mutex countMutex;
    const std::int64_t begin = nowMs();
    std::int64_t confirmed = 0;
    std::vector<std::thread> callers;
    for (int number = 0; nowMs() - begin < duration; ++number) {
        if (confirmed == 0 && nowMs() - begin >= declaredAt) {
            {
                const std::lock_guard lock(mutex);
                newest = 2;
            }
            confirmed = store.put("op", "version/daka", Json { { "model", "daka" }, { "version", 2 } }.dump());
            record.line("version 2 is declared");
        }
        const bool stream = number % 10 != 9;
        const bool late = confirmed != 0 && nowMs() > confirmed + 18000;
        callers.emplace_back([&, number, stream, late] {
            const std::int64_t until = nowMs() + timeout;
            Answer answer;
            for (int attempt = 1; attempt <= 2 && until - nowMs() > 500; ++attempt) {
                const std::string text
                    = requestText(stream ? "POST" : "GET", stream ? "/letters/2f" : "/balances/2f", "desk.example",
                        "Attempt-Id: c" + std::to_string(number) + "-" + std::to_string(attempt)
                            + (stream ? "\r\nModel: daka\r\nToken-Count: 900,140" : "")
                            + "\r\nDeadline-Ms: " + std::to_string(until - nowMs()) + "\r\n");
                answer = call(
                    site.front(1 + (number + attempt) % entryCount), text, until - nowMs(), stream ? patience : 0);
                if (answer.complete && answer.head.status() == 200)
                    break;
                const double wait = std::atof(answer.head.header("retry-after").c_str());
                sleepMs(std::min<std::int64_t>(static_cast<std::int64_t>(wait * 1000), (until - nowMs()) / 3));
            }
            const bool served = answer.complete && answer.head.status() == 200;
            const std::lock_guard lock(countMutex);
            Count& count = counts[stream ? 0 : 1];
            ++count.owed;
            count.served += served ? 1 : 0;
            count.lateOwed += late ? 1 : 0;
            count.lateServed += late && served ? 1 : 0;
            std::string what = stream ? "stream: " : "plain: ";
            what += answer.complete ? std::to_string(answer.head.status()) : answer.end;
            if (answer.complete && !served)
                what += " " + answer.body.substr(0, answer.body.find('\n'));
            ++ends[what];
        });
        sleepMs(100);
    }
    for (std::thread& caller : callers)
        caller.join();
    int loaded = 0;
    for (Engine* engine : engines) {
        const std::lock_guard lock(engine->mutex);
        engine->settle();
        loaded += engine->version == 2 ? 1 : 0;
    }
    for (const auto& [what, number] : ends)
        record.line("last answers: " + std::to_string(number) + " x " + what);
    const int owed = counts[0].owed + counts[1].owed;
    const int unserved = owed - counts[0].served - counts[1].served;
    record.line("origin: " + std::to_string(answers) + " answers, " + std::to_string(spoilt) + " spoilt");
    record.line(std::to_string(loaded) + " of " + std::to_string(engineCount) + " engines hold version 2 at the end, "
        + std::to_string((nowMs() - confirmed) / 1000) + " s after it was declared");
    record.line("streams: " + std::to_string(counts[0].served) + " of " + std::to_string(counts[0].owed)
        + " served; of those sent later than 18 s after the declaration " + std::to_string(counts[0].lateServed)
        + " of " + std::to_string(counts[0].lateOwed));
    record.line(
        "plain requests: " + std::to_string(counts[1].served) + " of " + std::to_string(counts[1].owed) + " served");
    const int percent = 100 * unserved / std::max(owed, 1);
    record.line("refused and failed: " + std::to_string(percent) + "% of those owed"
        + (percent > 60 ? "   GATE BROKEN: more than 60%" : ""));
    return percent > 60 ? 1 : 0;
}

} // namespace

int main(int count, char** values)
try {
    limitTime(118);
    Record record(values[1]);
    std::_Exit(runCase(record, count > 2 ? std::atoi(values[2]) : 1));
} catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
}
