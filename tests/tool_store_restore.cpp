// Runs entries before a store that comes back from an older copy, with processes that start then and one that reads it
// late. Checks that what operators confirmed stays in force and that what they write afterwards comes into force
// everywhere. Exit code 1 otherwise.

#include "call_pool_io.h"
#include "scenario_process.h"
#include "soak_store.h"

#include <algorithm>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <unistd.h>

using namespace hickory;
using Json = nlohmann::json;

namespace {

constexpr int entryCount = 3;
constexpr Milliseconds stepTimeout { 5000 }; ///< for a process to become ready, or for a change to come into force
constexpr Milliseconds watchTime { 600 }; ///< during which requests are sent one after another

/// The caller of one request.
struct Caller : CallSink {
    bool accepts(const WireHead&) override { return true; }
    void onHead(WireHead&& received) override { this->status = received.status; }
    bool onBody(std::string_view bytes) override
    {
        this->body.append(bytes);
        return true;
    }
    void onEnd(CallEnd) override { this->ended = true; }

    std::uint16_t status { 0 }; ///< HTTP status, 0 without an answer
    std::string body;
    bool ended { false };
};

/// Starts the entries one after another and checks how they answer.
class StoreRestoreTest {
public:
    StoreRestoreTest(std::string buildFolder, std::string logFolder)
        : buildFolder(std::move(buildFolder))
        , logFolder(std::move(logFolder))
        , addressPrefix("127." + std::to_string(1 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".")
        , store(this->io, this->addressPrefix + "250:8081")
        , upstream(this->io, {},
              { .onRequest =
                      [this](FrontRequest&& request) {
                          const std::string* attempt = request.head.find("Attempt-Id");
                          this->upstream.answer(request.id, 200,
                              { { "Replica-Seal", "seal" }, { "Attempt-Id", attempt ? *attempt : std::string {} } },
                              "answer");
                      },
                  .onCallerDisconnected = [](CallId) {} })
    {
        if (!this->upstream.listen(this->hostAddress(20) + ":8081"))
            throw std::runtime_error("the upstream cannot listen");
    }

    /// @return whether every check held
    bool run()
    {
        this->store.put("servers", "u",
            Json { { "service", "desk" }, { "address", this->hostAddress(20) + ":8081" }, { "zone", "a" },
                { "version", 1 }, { "slots", 8 }, { "state", "ready" }, { "sequence", 1 }, { "born", 1 } }
                .dump());
        this->writeConfig(10, { "revoked", "valid" }, { "/first/" });
        this->store.keepCopy();
        this->startEntry(1);
        this->checkInForce("/first/");
        this->writeConfig(20, { "valid" }, { "/first/", "/added/" });
        this->checkInForce("/added/");
        this->store.restore();
        this->checkProcessesThatStart();
        // The operator goes on from the copy and gives out versions again.
        this->writeConfig(15, { "valid" }, { "/first/", "/lower/" });
        this->checkInForce("/lower/");
        this->checkLateReader();
        for (auto& [number, entry] : this->entries)
            entry.signal(SIGKILL);
        std::cout << this->failures << " failures\n";
        return this->failures == 0;
    }

private:
    /// The store has lost a key's revocation and a route. New processes must not serve before they know of both.
    void checkProcessesThatStart()
    {
        for (int number = 2; number <= entryCount; ++number) {
            this->startEntry(number);
            this->awaitReady(number);
            const Milliseconds until = monotonicNow() + watchTime;
            while (monotonicNow() < until) {
                this->expect(number, "/first/", "revoked", 401);
                this->expect(number, "/added/", "valid", 200);
            }
        }
    }

    /// An entry that first reads the store after the operator has written to it cannot tell by itself that this was
    /// written after the restore.
    void checkLateReader()
    {
        this->store.keepCopy();
        this->writeConfig(30, { "valid" }, { "/first/", "/later/" });
        this->checkInForce("/later/");
        for (int number = 2; number <= entryCount; ++number)
            this->entries[number].signal(SIGSTOP);
        this->store.restore();
        this->awaitEra(1, "3");
        this->writeConfig(18, { "valid" }, { "/first/", "/after/" });
        this->awaitStatus(1, "/after/", 200);
        for (int number = 2; number <= entryCount; ++number)
            this->entries[number].signal(SIGCONT);
        this->checkInForce("/after/");
    }

    std::string hostAddress(int number) const { return this->addressPrefix + std::to_string(number); }

    void writeConfig(std::uint64_t version, const std::vector<std::string>& keys, const std::vector<std::string>& paths)
    {
        Json routes = Json::array();
        for (const std::string& path : paths)
            routes.push_back({ { "name", path }, { "host", "desk.example" }, { "prefix", path },
                { "kind", "idempotent" }, { "timeout_ms", 2000 }, { "target_latency_ms", 500 }, { "priority", 1 },
                { "max_attempts", 2 }, { "service", "desk" } });
        const Json config { { "version", version }, { "routes", routes }, { "services", { { { "name", "desk" } } } },
            { "tenants", { { { "name", "callers" }, { "api_keys", keys } } } } };
        this->store.put("op", "config", config.dump());
    }

    void startEntry(int number)
    {
        const std::string ip = this->hostAddress(number);
        const std::string name = "entry-" + std::to_string(number);
        const std::string path = this->logFolder + "/" + name + ".toml";
        std::string seeds;
        for (int seed = 1; seed <= entryCount; ++seed)
            seeds += (seeds.empty() ? "\"" : ", \"") + this->hostAddress(seed) + ":8003\"";
        std::ofstream(path) << "[host]\nname = \"" << name << "\"\nplace = \"a\"\nregion = \"r\"\nip = \"" << ip
                            << "\"\npeer_port = 8010\nstore = \"" << this->addressPrefix << "250:8081\"\nseeds = ["
                            << seeds << "]\n[relay]\nfront = \"" << ip << ":8000\"\nreadiness = \"" << ip
                            << ":8001\"\nlookup = \"" << ip << ":8002\"\ncontrol = \"" << ip
                            << ":8003\"\nrevoke_ms = 5000\nweights_ms = 6000\ngrace_s = 8\n";
        this->entries[number].start(
            { this->buildFolder + "/hickory-entry", "--settings", path }, this->logFolder + "/" + name + ".log");
    }

    /// @return HTTP status and body of an answer of an entry, 0 without one
    Caller fetch(const std::string& address, const std::string& target, const std::string& key = {})
    {
        auto caller = std::make_shared<Caller>();
        std::string request = "GET " + target + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: attempt-"
            + std::to_string(++this->attempts) + "\r\nDeadline-Ms: 2000\r\n";
        if (!key.empty())
            request += "Authorization: Bearer " + key + "\r\n";
        this->pool.send({ .address = address, .bytes = request + "\r\n" }, caller);
        const Milliseconds until = monotonicNow() + stepTimeout;
        while (!caller->ended && monotonicNow() < until)
            this->runLoop();
        return *caller;
    }

    std::uint16_t statusOf(int number, const std::string& path, const std::string& key)
    {
        return this->fetch(this->hostAddress(number) + ":8000", path + "x", key).status;
    }

    void runLoop()
    {
        this->io.restart();
        this->io.run_for(std::chrono::milliseconds(1));
    }

    template <typename Condition> void await(const std::string& what, const Condition& condition)
    {
        const Milliseconds until = monotonicNow() + stepTimeout;
        while (!condition()) {
            if (monotonicNow() > until) {
                this->fail(what + " took more than " + std::to_string(stepTimeout.value) + " ms");
                return;
            }
            this->runLoop();
        }
    }

    void awaitReady(int number)
    {
        this->await("start of entry " + std::to_string(number),
            [&] { return this->fetch(this->hostAddress(number) + ":8001", "/api/readiness").status == 200; });
    }

    void awaitStatus(int number, const std::string& path, std::uint16_t status)
    {
        this->await("status " + std::to_string(status) + " of " + path + " at entry " + std::to_string(number),
            [&] { return this->statusOf(number, path, "valid") == status; });
    }

    void awaitEra(int number, const std::string& era)
    {
        this->await("era " + era + " at entry " + std::to_string(number), [&] {
            const std::string metrics = this->fetch(this->hostAddress(number) + ":8003", "/metrics").body;
            return metrics.find("hickory_store_era " + era + "\n") != std::string::npos;
        });
    }

    /// Waits until all running entries serve a route of the newest configuration.
    void checkInForce(const std::string& path)
    {
        for (const auto& [number, entry] : this->entries)
            this->awaitStatus(number, path, 200);
    }

    void expect(int number, const std::string& path, const std::string& key, std::uint16_t status)
    {
        const std::uint16_t got = this->statusOf(number, path, key);
        if (got != status)
            this->fail("entry " + std::to_string(number) + " answered " + std::to_string(got) + " to the " + key
                + " key on " + path);
    }

    void fail(const std::string& what)
    {
        ++this->failures;
        std::cout << what << std::endl;
    }

    std::string buildFolder; ///< where hickory-entry is
    std::string logFolder; ///< receives settings and logs of the entries
    std::string addressPrefix; ///< "127.x.y.", derived from the process id so that concurrent runs do not collide
    asio::io_context io; ///< event loop of the stand-ins and callers
    soak::Store store;
    FrontServer upstream; ///< the only one, a plain service
    CallPool pool { this->io, {} }; ///< sends the callers' requests
    std::map<int, scenario::Process> entries; ///< by number
    std::uint64_t attempts { 0 }; ///< requests sent so far
    int failures { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("store-restore", "Checks entries before a store that comes back from an older copy.");
    options.add_options()("bin", "build folder", cxxopts::value<std::string>())(
        "logs", "folder for settings and logs", cxxopts::value<std::string>()->default_value("store-restore-logs"));
    const auto flags = options.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    const std::string logFolder = flags["logs"].as<std::string>();
    std::filesystem::remove_all(logFolder);
    std::filesystem::create_directories(logFolder);
    return StoreRestoreTest(flags["bin"].as<std::string>(), logFolder).run() ? 0 : 1;
}
