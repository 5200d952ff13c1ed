// Case 1: an agent that stands still between reading the staged weights back and sending the load order sends the order
// on the old check. The replica loads pieces that turned bad meanwhile and serves tokens with them.

#include "../common/standin.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <set>
#include <sodium.h>
#include <sstream>

using namespace review;

namespace {

constexpr int hostCount = 9; ///< hosts with a replica and an agent; one of them, 11 in 100, stands still
constexpr int firstHost = 20;
constexpr std::uint16_t enginePort = 8001;
constexpr int pieceCount = 64;
constexpr std::size_t pieceBytes = 32768;
constexpr std::int64_t originPieceMs = 26; ///< one piece at 9.9 Mbit/s
constexpr std::int64_t warmupMs = 300;
constexpr int eventCount = 24;
constexpr std::int64_t eventGapMs = 70;
constexpr std::int64_t heartbeatMs = 1200;
constexpr std::int64_t requestGapMs = 37; ///< 27 requests a second: five at each replica at a time
constexpr std::int64_t playMs = 24000; ///< requests are sent for this long
constexpr std::int64_t declareAtMs = 3000;
constexpr std::int64_t freezeMs = 4000;
constexpr std::int64_t freezeAfterMs = 100; ///< after the last piece was read back
constexpr std::int64_t spoilAfterMs = 200; ///< after the agent stopped
constexpr int spoiltPieces = 3; ///< 6 in 100 of the pieces at the replica are 3.8
constexpr std::int64_t excusedMs = 3000; ///< a piece that turned bad later than that before the load does not count
constexpr const char* model = "letters-model";

/// Bytes of a piece of the weights.
std::string pieceOf(int version, int index)
{
    std::string bytes(pieceBytes, '\0');
    std::uint32_t state = static_cast<std::uint32_t>(version * 1000 + index + 1);
    for (char& byte : bytes) {
        state = state * 1664525U + 1013904223U;
        byte = static_cast<char>(state >> 24U);
    }
    return bytes;
}

std::string sha256(const std::string& bytes)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest {};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
    std::array<char, crypto_hash_sha256_BYTES * 2 + 1> text {};
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    return text.data();
}

/// @return the number after a field's name in a JSON text, or nothing
std::optional<std::int64_t> numberField(const std::string& json, const std::string& name)
{
    const std::size_t at = json.find("\"" + name + "\":");
    if (at == std::string::npos)
        return std::nullopt;
    return std::stoll(json.substr(at + name.size() + 3));
}

/// The service that hands out weights. Sends its pieces one after the other, as its link does.
class Origin {
public:
    Origin(const std::string& ip, std::uint16_t port)
        : server(ip, port, [this](Connection& connection) { this->serve(connection); })
    {
    }

private:
    void serve(Connection& connection)
    {
        while (const auto request = connection.read()) {
            const int version = std::stoi("0" + request->query("version"));
            bool sent = false;
            if (request->target.starts_with("/api/manifest/")) {
                std::string digests;
                for (int index = 0; index < pieceCount; ++index)
                    digests += (index == 0 ? "\"" : ",\"") + sha256(pieceOf(version, index)) + "\"";
                sent = connection.answer(200, { { "Content-Type", "application/json" } },
                    R"({"model":")" + std::string(model) + R"(","version":)" + std::to_string(version)
                        + R"(,"chunk_bytes":)" + std::to_string(pieceBytes) + R"(,"layers":16,"digests":[)" + digests
                        + "]}");
            } else {
                const std::lock_guard lock(this->link);
                sleepMs(originPieceMs);
                sent = connection.answer(200, {}, pieceOf(version, std::stoi("0" + request->query("quantity"))));
            }
            if (!sent)
                return;
        }
    }

    std::mutex link;
    Server server;
};

/// A model replica on a host with an agent.
class Engine {
public:
    Engine(const std::string& ip, std::string id, Record& record)
        : id(std::move(id))
        , born(wallMs())
        , record(record)
    {
        for (int index = 0; index < pieceCount; ++index)
            this->staged[index] = pieceOf(1, index);
        this->server
            = std::make_unique<Server>(ip, enginePort, [this](Connection& connection) { this->serve(connection); });
    }

    std::string modelsJson() const
    {
        const std::lock_guard lock(this->mutex);
        return R"("models":[{"name":")" + std::string(model) + R"(","version":)" + std::to_string(this->version)
            + R"(,"adapters":[]}],"layers":[{"from":0,"target":16,"version":)" + std::to_string(this->version) + "}]";
    }

    /// @return when the agent last had read all pieces back, 0 if it has not since the last load order
    std::int64_t readBackAt() const
    {
        const std::lock_guard lock(this->mutex);
        return this->allReadAt;
    }

    /// Spoils pieces that lie in the staging area.
    void spoil()
    {
        const std::lock_guard lock(this->mutex);
        std::string list;
        for (int count = 0; count < spoiltPieces; ++count) {
            const int index = 5 + 20 * count;
            this->staged[index][100] = static_cast<char>(this->staged[index][100] ^ 1);
            this->spoiltAt[index] = nowMs();
            list += " " + std::to_string(index);
        }
        this->record.line("staged pieces turn bad at " + this->id + ":" + list);
    }

    std::string id;
    std::int64_t born;
    std::atomic<int> badTokens { 0 }; ///< requests that were served with weights that break the rule
    std::atomic<int> served { 0 }; ///< requests that were served on the declared version

private:
    std::string report() const
    {
        const std::string models = this->modelsJson();
        const std::lock_guard lock(this->mutex);
        return R"({"born":)" + std::to_string(this->born) + R"(,"phase":"colocated",)" + models + R"(,"busy":)"
            + (this->busy ? "true" : "false") + R"(,"sequence":)" + std::to_string(this->sequence)
            + R"(,"waiting":0,"running":)" + std::to_string(this->running)
            + R"(,"kv_used":0,"kv_total":26240000,"pace":1.0,"handles":0})";
    }

    void serve(Connection& connection)
    {
        const Headers json { { "Content-Type", "application/json" } };
        while (const auto request = connection.read()) {
            bool sent = false;
            if (request->target == "/api/report")
                sent = connection.answer(200, json, this->report());
            else if (request->target.starts_with("/api/stage-put/")) {
                this->put(std::stoi(request->query("quantity")), request->body);
                sent = connection.answer(200, {}, "");
            } else if (request->target.starts_with("/api/stage-get/"))
                sent = connection.answer(200, {}, this->get(std::stoi("0" + request->query("quantity"))));
            else if (request->target == "/api/order")
                sent = connection.answer(this->order(request->body), json, "{}");
            else if (request->target == "/health-check")
                sent = connection.answer(200, { { "Replica-Id", this->id } }, "");
            else
                sent = this->stream(connection, *request);
            if (!sent)
                return;
        }
    }

    void put(int index, const std::string& bytes)
    {
        const std::lock_guard lock(this->mutex);
        this->staged[index] = bytes;
        ++this->puts;
        this->spoiltAt.erase(index);
        this->readSincePut.clear();
        this->allReadAt = 0;
    }

    std::string get(int index)
    {
        const std::lock_guard lock(this->mutex);
        this->readSincePut.insert(index);
        if (this->readSincePut.size() == pieceCount && this->puts >= pieceCount)
            this->allReadAt = nowMs();
        return this->staged[index];
    }

    /// @return status of the answer
    int order(const std::string& body)
    {
        const auto wanted = numberField(body, "version");
        const auto expected = numberField(body, "expected");
        const std::lock_guard lock(this->mutex);
        if (!wanted || this->busy || (expected && *expected != this->sequence)) {
            this->record.line(this->id + " refuses the order " + body);
            return 409;
        }
        ++this->sequence;
        this->busy = true;
        this->allReadAt = 0;
        // The staged data counts as it is now.
        const std::int64_t now = nowMs();
        std::string bad;
        for (int index = 0; index < pieceCount; ++index) {
            if (this->staged[index] == pieceOf(static_cast<int>(*wanted), index))
                continue;
            const auto since = this->spoiltAt.find(index);
            const std::int64_t age = since == this->spoiltAt.end() ? -1 : now - since->second;
            if (age >= 0 && age <= excusedMs)
                continue;
            bad += " piece " + std::to_string(index)
                + (age < 0 ? " of another version" : " bad for " + std::to_string(age) + " ms");
        }
        this->record.line(this->id + " accepts the order for version " + std::to_string(*wanted)
            + (bad.empty() ? "" : ", and the staged data has" + bad));
        std::thread([this, wanted = static_cast<int>(*wanted), isBad = !bad.empty()] {
            this->load(wanted, isBad);
        }).detach();
        return 202;
    }

    void load(int wanted, bool isBad)
    {
        while (true) {
            {
                const std::lock_guard lock(this->mutex);
                if (this->running == 0)
                    break;
            }
            sleepMs(5);
        }
        sleepMs(warmupMs);
        const std::lock_guard lock(this->mutex);
        this->version = wanted;
        this->loadedBad = isBad;
        this->busy = false;
        this->record.line(this->id + " has loaded version " + std::to_string(wanted));
    }

    bool stream(const Connection& connection, const Request& request)
    {
        const std::string attempt = request.header("Attempt-Id");
        const std::string expectedVersion = request.header("Expect-Version");
        const std::string resumed = request.header("Last-Event-Id");
        int runsOn = 0;
        bool isBad = false;
        {
            const std::lock_guard lock(this->mutex);
            if (request.header("Expect-Replica") != this->id
                || (!expectedVersion.empty() && expectedVersion != std::to_string(this->version)))
                return connection.answer(421, { { "Replica-Id", this->id } }, "");
            if (this->busy)
                return connection.answer(503, { { "Not-Executed", "1" }, { "Attempt-Id", attempt } }, "");
            ++this->running;
            runsOn = this->version;
            isBad = this->loadedBad;
        }
        this->record.line(this->id + " begins " + attempt + " on version " + std::to_string(runsOn)
            + (isBad ? " -- RULE BROKEN: a layer was taken with a spoilt piece" : ""));
        this->badTokens += isBad ? 1 : 0;
        this->served += runsOn > 1 ? 1 : 0;
        bool sent = connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt
            + "\r\nReplica-Seal: seal\r\nWeight-Versions: " + std::to_string(runsOn)
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = resumed.empty() ? 1 : std::stoi(resumed) + 1; sent && number <= eventCount; ++number) {
            sleepMs(eventGapMs);
            std::ostringstream chunk;
            const std::string event = "id: " + std::to_string(number) + "\ndata: piece\n\n";
            chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
            sent = !connection.peerClosed() && connection.write(chunk.str());
        }
        {
            const std::lock_guard lock(this->mutex);
            --this->running;
        }
        return sent && connection.write("0\r\n\r\n");
    }

    Record& record;
    mutable std::mutex mutex;
    std::map<int, std::string> staged;
    std::map<int, std::int64_t> spoiltAt;
    std::set<int> readSincePut;
    int puts { 0 }; ///< pieces that the agent has written
    std::int64_t allReadAt { 0 };
    int version { 1 };
    bool loadedBad { false };
    bool busy { false };
    int sequence { 0 };
    int running { 0 };
    std::unique_ptr<Server> server;
};

class Test {
public:
    Test()
        : record(this->run.caseFolder + "/record.txt")
        , store(this->run.host(250), storePort)
        , origin(this->run.host(240), 8006)
    {
    }

    int play()
    {
        this->store.put("op", "config",
            configText(1,
                R"({"name":"plan-letter","host":"desk.example","prefix":"/letters/","kind":"streaming",)"
                R"("timeout_ms":6000,"target_latency_ms":400,"priority":1,"service":"llm-pool","max_attempts":2,)"
                R"("public":false,"sticky":true,"resumable":true,"target_gap_ms":300})",
                R"({"name":"llm-pool","health_path":"/health-check","max_conns":434,"engine":)"
                    + engineProfile(pieceCount) + R"(},{"name":"legacy-bridge","origin":")" + this->run.host(240)
                    + R"(:8006","zone":"harju-a","link_mbps":9.9,"max_conns":48})"));
        this->store.put("op", "version/" + std::string(model), versionText(1));
        const std::string storeAddress = this->run.host(250) + ":" + std::to_string(storePort);
        for (int number = 0; number < hostCount; ++number) {
            const std::string ip = this->run.host(firstHost + number);
            this->engines.push_back(std::make_unique<Engine>(ip, "i-" + std::to_string(number), this->record));
        }
        this->listEngines();
        const std::unique_ptr<Process> entry = this->run.startEntry(1, "harju-a", storeAddress, { 1 });
        for (int number = 0; number < hostCount; ++number) {
            auto fields = this->run.entryFields(firstHost + number, "harju-a", storeAddress, { 1 });
            fields["node"] = "side-harju-a-" + std::to_string(number);
            fields["app"] = this->run.host(firstHost + number) + ":" + std::to_string(enginePort);
            fields["service"] = "llm-pool";
            fields["limits.link_mbps"] = "7.6";
            this->agents.push_back(std::make_unique<Process>("target/hickory-agent",
                this->run.settings("agent.toml", fields), this->run.folder + "/" + fields["node"] + ".log"));
        }
        std::thread([this] {
            while (true) {
                sleepMs(heartbeatMs);
                this->listEngines();
            }
        }).detach();
        this->run.awaitReady(1);
        std::thread trouble([this] {
            sleepMs(declareAtMs);
            this->store.put("op", "version/" + std::string(model), versionText(2));
            this->record.line("version 2 is declared");
            if (this->run.trouble)
                this->makeTrouble();
        });
        std::vector<std::thread> callers;
        for (int number = 0; number < playMs / requestGapMs; ++number) {
            callers.emplace_back([this, number] { this->send(number); });
            sleepMs(requestGapMs);
        }
        for (std::thread& caller : callers)
            caller.join();
        trouble.join();
        int bad = 0;
        int served = 0;
        for (const auto& engine : this->engines) {
            bad += engine->badTokens;
            served += engine->served;
        }
        this->record.line(std::to_string(served) + " requests ran on version 2, " + std::to_string(bad)
            + " of them on weights with a spoilt piece; requesters got " + std::to_string(this->whole)
            + " whole answers");
        return bad > 0 ? 1 : served == 0 ? 2 : 0;
    }

private:
    static std::string versionText(int version)
    {
        return R"({"model":")" + std::string(model) + R"(","version":)" + std::to_string(version) + "}";
    }

    void listEngines()
    {
        for (int number = 0; number < hostCount; ++number) {
            const Engine& engine = *this->engines[number];
            this->store.put("servers", engine.id,
                R"({"service":"llm-pool","address":")" + this->run.host(firstHost + number) + ":"
                    + std::to_string(enginePort)
                    + R"(","zone":"harju-a","version":"v1","slots":16,"state":"ready","cold_left_ms":0,"born":)"
                    + std::to_string(engine.born) + R"(,"phase":"colocated",)" + engine.modelsJson() + R"(,"sequence":)"
                    + std::to_string(++this->sequence) + "}");
        }
    }

    /// Stops the first agent that has read all pieces of the new version back, and spoils some of them meanwhile.
    void makeTrouble()
    {
        const std::int64_t until = nowMs() + 12000;
        while (nowMs() < until) {
            for (int number = 0; number < hostCount; ++number) {
                const std::int64_t readAt = this->engines[number]->readBackAt();
                if (readAt == 0)
                    continue;
                sleepMs(readAt + freezeAfterMs - nowMs());
                if (this->engines[number]->readBackAt() == 0)
                    continue; // the order was sent already
                this->agents[number]->signal(SIGSTOP);
                this->record.line("the agent beside " + this->engines[number]->id + " is stopped");
                const std::int64_t stoppedAt = nowMs();
                sleepMs(spoilAfterMs);
                this->engines[number]->spoil();
                sleepMs(stoppedAt + freezeMs - nowMs());
                this->agents[number]->signal(SIGCONT);
                this->record.line("the agent beside " + this->engines[number]->id + " goes on");
                return;
            }
            sleepMs(5);
        }
        this->record.line("no agent read its pieces back");
    }

    void send(int number)
    {
        const std::string attempt = "attempt-" + std::to_string(number);
        const Answer answer = call(this->run.host(1), frontPort,
            requestText("POST", "/letters/" + std::to_string(number), attempt, 6000,
                "Model: letters-model\r\nToken-Count: 964,144\r\nPrefix-Hash: " + std::to_string(1000 + number)
                    + ":40,f" + std::to_string(1000 + number) + ":924\r\n",
                "a letter"),
            2400);
        this->record.line("requester gets " + attempt + ": status " + std::to_string(answer.status) + ", weights "
            + findHeader(answer.headers, "Weight-Versions").value_or("none")
            + (answer.complete ? ", complete" : ", not complete"));
        this->whole += answer.status == 200 && answer.complete ? 1 : 0;
    }

    Run run;
    Record record;
    Store store;
    Origin origin;
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<Process>> agents;
    std::atomic<int> sequence { 0 };
    std::atomic<int> whole { 0 };
};

} // namespace

int main()
{
    if (sodium_init() < 0)
        cannotRun("libsodium");
    auto* test = new Test; // its threads go on until the run ends
    const int code = test->play();
    std::cout << (code == 1 ? "rule broken" : code == 0 ? "rule held" : "cannot judge") << "\n";
    finish(code);
}
