// Stand-ins for replicas of plain services and of an engine service, and for the origin of weights.
#pragma once

#include "rig.h"

namespace rig {

/// Writes a row into `servers` about every heartbeat until it is stopped.
class Registration {
public:
    Registration(Store& store, std::string id, std::function<Json(std::uint64_t sequence)> row)
        : store(store)
        , id(std::move(id))
        , row(std::move(row))
    {
        this->write();
        this->thread = std::thread([this] {
            constexpr std::int64_t heartbeatMs = 1200;
            std::int64_t next = nowMs() + heartbeatMs;
            while (!this->stopped) {
                sleepMs(20);
                if (nowMs() < next)
                    continue;
                next += heartbeatMs;
                this->write();
            }
        });
    }
    ~Registration()
    {
        this->stopped = true;
        this->thread.join();
    }
    void write() { this->store.put("servers", "", this->id, this->row(++this->sequence).dump()); }

private:
    Store& store;
    std::string id;
    std::function<Json(std::uint64_t)> row;
    std::atomic<std::uint64_t> sequence { 0 };
    std::atomic<bool> stopped { false };
    std::thread thread;
};

/// A replica of a plain service. Runs every request that expects it, and records it.
class PlainReplica {
public:
    PlainReplica(Store& store, Record& record, const std::string& id, const std::string& service, const std::string& address)
        : record(record)
        , id(id)
        , service(service)
        , born(unixMs())
        , server(address, [this](const Request& request, int) { return this->handle(request); })
        , registration(store, id, [this, address](std::uint64_t sequence) {
            return Json { { "service", this->service }, { "address", address }, { "zone", "noord-a" }, { "version", "v1" },
                { "slots", 6 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "sequence", sequence },
                { "born", this->born } };
        })
    {
    }

    std::atomic<int> runs { 0 };

private:
    std::string handle(const Request& request)
    {
        if (request.path() == "/health-check")
            return answerText(200, "", { { "Replica-Id", this->id } });
        const std::string attempt = request.header("Attempt-Id");
        if (!request.header("Expect-Replica").empty() && request.header("Expect-Replica") != this->id)
            return answerText(421, "", { { "Replica-Id", this->id }, { "Attempt-Id", attempt } });
        ++this->runs;
        this->record.line("replica " + this->id + " (" + this->service + ") runs " + attempt + " " + request.method + " "
            + request.target + " Tenant=" + request.header("Tenant"));
        return answerText(200, "done by " + this->id, { { "Attempt-Id", attempt }, { "Replica-Seal", "seal-" + attempt } });
    }

    Record& record;
    std::string id;
    std::string service;
    std::int64_t born;
    Server server;
    Registration registration;
};

constexpr int pieceCount = 64;
constexpr int pieceBytes = 32768;
constexpr const char* modelName = "daka510000";

inline std::string pieceOf(std::uint64_t version, int index)
{
    std::string bytes(pieceBytes, '\0');
    std::uint64_t state = version * 1000003 + static_cast<std::uint64_t>(index) * 7919 + 1;
    for (char& byte : bytes) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        byte = static_cast<char>(state >> 56);
    }
    return bytes;
}

/// @return version that the bytes of a piece belong to, 0 when they are spoilt
inline std::uint64_t versionOf(const std::string& bytes, int index)
{
    constexpr std::uint64_t maxVersion = 3;
    static const auto digests = [] {
        std::map<std::pair<int, std::string>, std::uint64_t> all;
        for (std::uint64_t version = 1; version <= maxVersion; ++version)
            for (int piece = 0; piece < pieceCount; ++piece)
                all[{ piece, sha256Hex(pieceOf(version, piece)) }] = version;
        return all;
    }();
    const auto found = digests.find({ index, sha256Hex(bytes) });
    return found == digests.end() ? 0 : found->second;
}

/// The service from which weights come. Answers whole and right, except for manifests that it is told to spoil.
class Origin {
public:
    Origin(Record& record, const std::string& address)
        : record(record)
        , server(address, [this](const Request& request, int) { return this->handle(request); })
    {
    }

    std::atomic<int> spoilManifests { 0 }; ///< so many of the next manifests have one wrong digit
    std::atomic<int> manifests { 0 };
    std::atomic<int> pieces { 0 };

private:
    std::string handle(const Request& request)
    {
        const std::uint64_t version = request.query("version").empty() ? 1 : std::stoull(request.query("version"));
        if (request.path().starts_with("/api/manifest/")) {
            ++this->manifests;
            Json digests = Json::array();
            for (int index = 0; index < pieceCount; ++index)
                digests.push_back(sha256Hex(pieceOf(version, index)));
            const bool spoils = this->spoilManifests > 0;
            if (spoils) {
                --this->spoilManifests;
                std::string digest = digests[3];
                digest[0] = digest[0] == '0' ? '1' : '0';
                digests[3] = digest;
            }
            this->record.line("origin answers manifest of version " + std::to_string(version)
                + (spoils ? ", one digit of digest 3 is wrong" : ""));
            return answerText(200,
                Json { { "model", modelName }, { "version", version }, { "chunk_bytes", pieceBytes }, { "layers", 16 },
                    { "digests", digests } }
                    .dump());
        }
        if (request.path().starts_with("/api/piece/")) {
            ++this->pieces;
            this->record.line("origin answers piece " + request.query("quantity"));
            return answerText(200, pieceOf(version, std::stoi(request.query("quantity"))));
        }
        return answerText(404, "");
    }

    Record& record;
    Server server;
};

/// A model replica. Loses weights and staged pieces when its machine loses power.
class Engine {
public:
    Engine(Store& store, Record& record, const std::string& name, const std::string& address)
        : store(store)
        , record(record)
        , name(name)
        , address(address)
    {
        this->start(1);
    }

    /// @param held version of the weights that it holds and that are staged, 0 for none
    void start(std::uint64_t held)
    {
        this->version = held;
        this->staged.clear();
        if (held > 0)
            for (int index = 0; index < pieceCount; ++index)
                this->staged[index] = pieceOf(held, index);
        this->orders = 0;
        this->isMixed = false;
        this->busyUntil = 0;
        this->born = unixMs();
        this->id = "i-" + this->name + "-" + std::to_string(++this->starts);
        this->server = std::make_unique<Server>(
            this->address, [this](const Request& request, int handle) { return this->handle(request, handle); });
        this->registration = std::make_unique<Registration>(
            this->store, this->id, [this](std::uint64_t sequence) { return this->row(sequence); });
        this->record.line("replica " + this->id + " starts, "
            + (held > 0 ? "holds version " + std::to_string(held) : "without weights"));
    }
    /// The entry is removed after three intervals of silence.
    void losePower()
    {
        this->registration.reset();
        this->server.reset();
        this->record.line("replica " + this->id + " loses power");
    }
    /// The store removes the entry of the last start.
    void expire() { this->store.remove("servers", "", this->id); }

    std::atomic<int> runs { 0 };
    std::atomic<int> mixedRuns { 0 }; ///< runs on weights with a piece of another version
    /// Called when an order arrives. Returns how long it takes until the order is accepted and answered; the replica
    /// handles other requests meanwhile.
    std::function<std::int64_t(const Json& order)> orderDelay;
    /// Sends an answer from an event on: calls `send` with bytes and the time to wait before. Ends early once that
    /// returns false, as the channel is closed. Returns whether the answer is whole. Empty for whole answers at once.
    std::function<bool(int first, const std::string& attempt,
        const std::function<bool(const std::string& bytes, std::int64_t waitMs)>& send)>
        stream;

private:
    /// Loads the staged data as it is now.
    /// @pre the mutex is held
    void takeStaged()
    {
        std::map<std::uint64_t, int> found;
        for (int index = 0; index < pieceCount; ++index) {
            const auto piece = this->staged.find(index);
            ++found[piece == this->staged.end() ? 0 : versionOf(piece->second, index)];
        }
        this->loadsMixed = found.size() != 1 || found.begin()->first != this->loading;
        std::string text;
        for (const auto& [of, pieces] : found)
            text += (text.empty() ? "" : ", ") + std::to_string(pieces)
                + (of == 0 ? " missing or spoilt" : " of version " + std::to_string(of));
        this->record.line("replica " + this->id + " accepts the order for version " + std::to_string(this->loading)
            + "; staged pieces: " + text);
    }
    /// @pre the mutex is held
    void finishLoad()
    {
        if (this->busyUntil != 0 && nowMs() >= this->busyUntil) {
            this->busyUntil = 0;
            this->version = this->loading;
            this->isMixed = this->loadsMixed;
            this->record.line("replica " + this->id + " holds version " + std::to_string(this->version));
        }
    }
    /// @pre the mutex is held
    Json state()
    {
        this->finishLoad();
        Json models = Json::array();
        Json layers = Json::array();
        if (this->version > 0) {
            models.push_back({ { "name", modelName }, { "version", this->version }, { "adapters", Json::array() } });
            layers.push_back({ { "from", 0 }, { "target", 16 }, { "version", this->version } });
        }
        return Json { { "phase", "colocated" }, { "models", models }, { "layers", layers }, { "born", this->born } };
    }
    Json row(std::uint64_t sequence)
    {
        const std::lock_guard guard(this->mutex);
        Json row = this->state();
        row.update(Json { { "service", "huvo11a" }, { "address", this->address }, { "zone", "noord-a" },
            { "version", "v1" }, { "slots", 16 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "sequence", sequence } });
        return row;
    }

    std::optional<std::string> handle(const Request& request, int handle)
    {
        const std::string path = request.path();
        if (this->stream && !path.starts_with("/api/"))
            return this->runInSteps(request, handle);
        if (path == "/api/order") {
            const std::int64_t delay = this->orderDelay ? this->orderDelay(Json::parse(request.body)) : 0;
            this->record.line("replica " + this->id + " gets order " + request.body
                + (delay > 0 ? ", is slow: takes " + std::to_string(delay) + " ms" : ""));
            sleepMs(delay);
        }
        const std::lock_guard guard(this->mutex);
        this->finishLoad();
        if (path == "/api/report") {
            Json report = this->state();
            report.update(Json { { "busy", this->busyUntil != 0 }, { "sequence", this->orders }, { "waiting", 0 },
                { "running", 0 }, { "kv_used", 0 }, { "kv_total", 1640000 }, { "handles", 0 }, { "pace", 1.0 } });
            return answerText(200, report.dump());
        }
        if (path.starts_with("/api/stage-put/")) {
            this->staged[std::stoi(request.query("quantity"))] = request.body;
            return answerText(200, "");
        }
        if (path.starts_with("/api/stage-get/")) {
            const auto found = this->staged.find(std::stoi(request.query("quantity")));
            return found == this->staged.end() ? answerText(404, "") : answerText(200, found->second);
        }
        if (path == "/api/order")
            return this->order(Json::parse(request.body));
        return this->run(request);
    }

    std::string order(const Json& order)
    {
        if (this->busyUntil != 0 || order.value("expected", this->orders) != this->orders)
            return answerText(409, "");
        ++this->orders;
        this->loading = order.at("version").get<std::uint64_t>();
        this->takeStaged();
        constexpr std::int64_t warmupMs = 300;
        this->busyUntil = nowMs() + warmupMs;
        return answerText(202, "");
    }

    /// Sends an answer event by event, with the pauses of `stream`.
    std::optional<std::string> runInSteps(const Request& request, int handle)
    {
        const std::string attempt = request.header("Attempt-Id");
        {
            const std::lock_guard guard(this->mutex);
            if (this->version == 0 || request.header("Expect-Replica") != this->id)
                return answerText(421, "", { { "Replica-Id", this->id }, { "Attempt-Id", attempt } });
        }
        const std::string after = request.header("Last-Event-Id");
        const int first = after.empty() ? 1 : std::stoi(after) + 1;
        ++this->runs;
        this->record.line("replica " + this->id + " begins " + attempt
            + (after.empty() ? "" : " after event " + after));
        const bool ended = this->stream(first, attempt, [&](const std::string& bytes, std::int64_t waitMs) {
            const std::int64_t until = nowMs() + waitMs;
            while (nowMs() < until) {
                if (isClosed(handle))
                    return false;
                sleepMs(10);
            }
            return sendAll(handle, bytes);
        });
        this->record.line("replica " + this->id + (ended ? " ends " : " loses the channel of ") + attempt);
        return ended ? std::nullopt : std::optional<std::string>(std::string {});
    }

    std::string run(const Request& request)
    {
        const std::string attempt = request.header("Attempt-Id");
        const Headers echo { { "Replica-Id", this->id }, { "Attempt-Id", attempt } };
        if (!request.header("Expect-Replica").empty() && request.header("Expect-Replica") != this->id)
            return answerText(421, "", echo);
        const std::string expected = request.header("Expect-Version");
        if (this->version == 0 || (!expected.empty() && std::stoull(expected) != this->version))
            return answerText(421, "", echo);
        ++this->runs;
        this->mixedRuns += this->isMixed ? 1 : 0;
        this->record.line("replica " + this->id + " runs " + attempt + " on version " + std::to_string(this->version)
            + (this->isMixed ? ", mixed weights" : ""));
        std::string events;
        for (int number = 1; number <= 12; ++number)
            events += "id: " + std::to_string(number) + "\ndata: piece\n\n";
        return answerText(200, events,
            { { "Attempt-Id", attempt }, { "Replica-Seal", "seal-" + attempt }, { "Content-Type", "text/event-stream" },
                { "Weight-Versions", std::to_string(this->version) } });
    }

    Store& store;
    Record& record;
    std::string name;
    std::string address;
    std::mutex mutex; ///< guards the state below
    std::string id;
    int starts { 0 };
    std::uint64_t version { 0 };
    std::uint64_t loading { 0 };
    bool loadsMixed { false }; ///< the data that is being loaded is not wholly of the ordered version
    bool isMixed { false }; ///< the same of the data in service
    std::int64_t busyUntil { 0 }; ///< 0 when no load is in progress
    std::uint64_t orders { 0 };
    std::int64_t born { 0 };
    std::map<int, std::string> staged;
    std::unique_ptr<Server> server;
    std::unique_ptr<Registration> registration;
};

/// @return a configuration with one route for generations, without tenants
inline Json engineConfig(std::uint64_t version, const std::string& originAddress)
{
    const Json engine { { "slots", 16 }, { "kv_capacity", 1640000 }, { "kv_token_bytes", 163840 },
        { "link_mbps", 400000.0 }, { "stride", 6 },
        { "models", { { { "name", modelName }, { "pace", 1.0 }, { "load_s", 4.0 }, { "warmup_s", 0.3 } } } },
        { "mb", 282000.0 }, { "step_ms", 6.73 }, { "per_seq_ms", 0.0219 }, { "context_per_k", 0.0068 },
        { "read_per_s", 30600.0 }, { "pairs_per_m", 0.647 }, { "chunk", 2048 }, { "report_lag_ms", 200.0 },
        { "usual", { { "prompt", 964 }, { "answer", 119 } } }, { "layers", 16 }, { "layer_mb", 4540.0 },
        { "chunks", pieceCount }, { "chunk_bytes", pieceBytes } };
    const Json route { { "name", "r-gate" }, { "host", "hulo84.example" }, { "prefix", "/xapu221/" },
        { "kind", "streaming" }, { "timeout_ms", 6000 }, { "target_latency_ms", 400 }, { "priority", 1 },
        { "service", "huvo11a" }, { "max_attempts", 2 }, { "public", false }, { "sticky", true }, { "resumable", true },
        { "target_gap_ms", 300 } };
    return Json { { "version", version }, { "routes", { route } },
        { "services",
            { { { "name", "huvo11a" }, { "health_path", "/health-check" }, { "max_conns", 274 }, { "engine", engine } },
                { { "name", "kafi81c" }, { "origin", originAddress }, { "zone", "noord-a" }, { "link_mbps", 9.9 },
                    { "max_conns", 48 } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 5000 },
                { "idle_timeout_ms", 10000 } } } };
}

/// Sends one generation request and records the answer.
inline Answer generate(Fleet& fleet, Record& record, int entry, const std::string& attempt)
{
    const Answer answer = send(fleet.front(entry),
        "POST /xapu221/2f HTTP/1.1\r\nHost: hulo84.example\r\nAttempt-Id: " + attempt + "\r\nModel: " + modelName
            + "\r\nToken-Count: 607,72\r\nPrefix-Hash: 5c1e07a2:40," + sha256Hex(attempt).substr(0, 8)
            + ":567\r\nDeadline-Ms: 6000\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
        6500);
    record.line("caller sends " + attempt + " to entry " + std::to_string(entry) + ", gets "
        + (answer.status == 0 ? "no answer" : std::to_string(answer.status)) + (answer.whole ? "" : ", not whole"));
    return answer;
}

/// @return whether an answer is a success that counts
inline bool isServed(const Answer& answer)
{
    return answer.status == 200 && answer.whole && !answer.header("Replica-Seal").empty();
}

} // namespace rig
