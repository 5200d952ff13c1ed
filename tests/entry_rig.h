#pragma once

#include "call_pool_io.h"
#include "scenario_process.h"
#include "soak_store.h"

#include <asio.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <unistd.h>

namespace hickory {

/// The caller of one request. Keeps the answer.
struct RigCaller : CallSink {
    bool accepts(const WireHead&) override { return true; }
    void onHead(WireHead&& received) override { this->head = std::move(received); }
    bool onBody(std::string_view bytes) override
    {
        this->body.append(bytes);
        this->progressAt = monotonicNow();
        return true;
    }
    void onEnd(CallEnd how) override { this->end = how; }

    OutboundCallId id; ///< to leave before the answer has ended
    WireHead head; ///< status 0 before it arrived
    std::string body;
    Milliseconds progressAt { 0 }; ///< when it was sent, or the last part of the body arrived
    std::optional<CallEnd> end; ///< empty until the answer has ended
    std::optional<Milliseconds> leftAt; ///< when the caller left
};

/// Real entries before a stand-in store, for tests that play upstreams and callers themselves on one event loop.
class EntryRig {
public:
    /// @param buildFolder where hickory-entry is
    /// @param logFolder receives settings and logs of the entries; emptied
    EntryRig(std::string buildFolder, std::string logFolder, int entryCount)
        : buildFolder(std::move(buildFolder))
        , logFolder(std::move(logFolder))
        , entryCount(entryCount)
        , addressPrefix("127." + std::to_string(1 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".")
        , store(this->io, this->addressPrefix + "250:8081")
    {
        std::signal(SIGPIPE, SIG_IGN);
        std::filesystem::remove_all(this->logFolder);
        std::filesystem::create_directories(this->logFolder);
    }
    ~EntryRig()
    {
        for (auto& [number, entry] : this->entries)
            entry.signal(SIGKILL);
    }
    EntryRig(const EntryRig&) = delete;
    EntryRig& operator=(const EntryRig&) = delete;

    /// @param number of a simulated host
    std::string hostAddress(int number) const { return this->addressPrefix + std::to_string(number); }
    /// @return "ip:port" at which an entry takes callers' requests
    std::string front(int entry) const { return this->hostAddress(entry) + ":8000"; }

    /// Lists an upstream.
    /// @param fields replace or add to the usual ones
    void listUpstream(const std::string& id, const std::string& service, const std::string& address,
        const nlohmann::json& fields = nlohmann::json::object())
    {
        nlohmann::json row { { "service", service }, { "address", address }, { "zone", "a" }, { "version", 1 },
            { "slots", 8 }, { "state", "ready" }, { "sequence", 1 }, { "born", 1 } };
        row.update(fields);
        this->store.put("servers", id, row.dump());
    }

    /// @return file with the settings of an entry
    std::string settingsPath(int number) const
    {
        return this->logFolder + "/entry-" + std::to_string(number) + ".toml";
    }

    /// Starts an entry and waits until it is ready.
    void startEntry(int number)
    {
        const std::string ip = this->hostAddress(number);
        const std::string name = "entry-" + std::to_string(number);
        const std::string path = this->settingsPath(number);
        std::string seeds;
        for (int seed = 1; seed <= this->entryCount; ++seed)
            seeds += (seeds.empty() ? "\"" : ", \"") + this->hostAddress(seed) + ":8003\"";
        std::ofstream(path) << "[host]\nname = \"" << name << "\"\nplace = \"a\"\nregion = \"r\"\nip = \"" << ip
                            << "\"\npeer_port = 8010\nstore = \"" << this->addressPrefix << "250:8081\"\nseeds = ["
                            << seeds << "]\n[relay]\nfront = \"" << ip << ":8000\"\nreadiness = \"" << ip
                            << ":8001\"\nlookup = \"" << ip << ":8002\"\ncontrol = \"" << ip
                            << ":8003\"\nrevoke_ms = 5000\nweights_ms = 6000\ngrace_s = " << this->graceSeconds << "\n"
                            << this->relaySettings;
        this->entries[number].start(
            { this->buildFolder + "/hickory-entry", "--settings", path }, this->logFolder + "/" + name + ".log");
        constexpr Milliseconds startTimeout { 10000 };
        const Milliseconds until = monotonicNow() + startTimeout;
        while (this->get(ip + ":8001", "/api/readiness").head.status != 200)
            if (monotonicNow() > until)
                throw std::runtime_error(name + " is not ready: " + this->entries[number].output());
    }

    /// Sends a caller's request.
    /// @param headers further header lines, each ended by CRLF
    std::shared_ptr<RigCaller> send(
        int entry, const std::string& path, Milliseconds timeout, const std::string& headers = {})
    {
        auto caller = std::make_shared<RigCaller>();
        caller->progressAt = monotonicNow();
        caller->id = this->pool.send(
            { .address = this->front(entry),
                .bytes = "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + this->nextAttempt()
                    + "\r\nDeadline-Ms: " + std::to_string(timeout.value) + "\r\n" + headers + "\r\n",
                .maxIdle = { -1 } },
            caller);
        return caller;
    }

    /// Gives up a request: the caller closes its connection.
    void leave(RigCaller& caller)
    {
        this->pool.cancel(caller.id);
        caller.leftAt = monotonicNow();
    }

    /// @return the answer to a GET, status 0 without one
    RigCaller get(const std::string& address, const std::string& target)
    {
        auto caller = std::make_shared<RigCaller>();
        this->pool.send(
            { .address = address, .bytes = "GET " + target + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n" }, caller);
        constexpr Milliseconds answerTimeout { 2000 };
        const Milliseconds until = monotonicNow() + answerTimeout;
        while (!caller->end && monotonicNow() < until)
            this->runLoop();
        return *caller;
    }

    /// Runs stand-ins and callers for a moment.
    void runLoop()
    {
        this->io.restart();
        this->io.run_for(std::chrono::milliseconds(2));
    }
    void runFor(Milliseconds time)
    {
        const Milliseconds until = monotonicNow() + time;
        while (monotonicNow() < until)
            this->runLoop();
    }

    /// @return id of the next request, "attempt-N"
    std::string nextAttempt() { return "attempt-" + std::to_string(++this->attempts); }

    std::uint64_t attempts { 0 }; ///< requests sent so far
    int graceSeconds { 8 }; ///< grace_s of entries that are started from now on
    std::string relaySettings; ///< further lines of their table [relay], each ended by a newline

private:
    std::string buildFolder;
    std::string logFolder;
    int entryCount; ///< entries that know each other
    std::string addressPrefix; ///< "127.x.y.", derived from the process id so that concurrent runs do not collide

public:
    asio::io_context io; ///< event loop of the stand-ins and callers
    soak::Store store;
    CallPool pool { this->io, {} }; ///< sends the callers' requests
    std::map<int, scenario::Process> entries; ///< by number
};

} // namespace hickory
