// Case 4: an answer of the store that a short cut held up brings a removed replica back into an entry's list, where it
// stays. The entry goes on sending bookings to it until it exits, and beyond.

#include "../common/standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <csignal>
#include <iostream>
#include <netinet/in.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr int replicaCount = 3;
constexpr int leaver = 2; ///< the replica that leaves
constexpr std::int64_t workMs = 60;
constexpr std::int64_t heartbeatMs = 1200;
constexpr std::int64_t drainMs = 2000; ///< bound of the rule
constexpr std::int64_t touchMs = 3000; ///< a machine is in touch this long after its cut has ended
constexpr std::int64_t servesOnMs = 8000; ///< the leaving replica exits this long after its entry was removed
constexpr std::int64_t requestGapMs = 40; ///< 25 requests a second, as at the small installation
constexpr std::int64_t playMs = 16000;
constexpr std::int64_t removalMs = 100; ///< after the start of the cut
constexpr std::int64_t configMs = 350;
constexpr std::int64_t cutMs = 600;

/// Proxy between an entry and the store. While it is cut, what it received waits, as in a partition.
class Proxy {
public:
    Proxy(const std::string& ip, std::uint16_t port, std::string target)
        : target(std::move(target))
        , server(ip, port, [this](Connection& connection) { this->serve(connection); })
    {
    }

    std::atomic<bool> cut { false };

    /// @return how long a request for changes of the list has waited at the store without an answer, or nothing
    std::optional<std::int64_t> listPollAge() const
    {
        const std::int64_t since = this->listPollSince;
        return since == 0 ? std::nullopt : std::optional(nowMs() - since);
    }

private:
    void serve(const Connection& connection)
    {
        const int store = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(storePort);
        inet_pton(AF_INET, this->target.c_str(), &address.sin_addr);
        if (::connect(store, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            this->forward(connection.socket, store);
        ::close(store);
    }

    void forward(int entry, int store)
    {
        std::array<char, 65536> buffer {};
        while (true) {
            std::array<pollfd, 2> waits { pollfd { .fd = entry, .events = POLLIN, .revents = 0 },
                pollfd { .fd = store, .events = POLLIN, .revents = 0 } };
            if (::poll(waits.data(), waits.size(), 10) < 0)
                return;
            for (std::size_t side = 0; side < waits.size(); ++side) {
                if (waits[side].revents == 0 || this->cut)
                    continue;
                const ssize_t count = ::recv(waits[side].fd, buffer.data(), buffer.size(), 0);
                if (count <= 0)
                    return;
                const std::string bytes(buffer.data(), static_cast<std::size_t>(count));
                if (side == 0 && bytes.find("/api/rows-feed?table=servers") != std::string::npos)
                    this->listPollSince = nowMs();
                else if (side == 1 && bytes.find("\"table\":\"op\"") == std::string::npos)
                    this->listPollSince = 0;
                if (!Connection(waits[1 - side].fd).write(bytes))
                    return;
            }
        }
    }

    std::string target;
    std::atomic<std::int64_t> listPollSince { 0 };
    Server server;
};

/// A plain replica that books payments.
class Replica {
public:
    Replica(const std::string& ip, std::string id, Record& record)
        : id(std::move(id))
        , born(wallMs())
        , record(record)
        , server(std::make_unique<Server>(ip, replicaPort, [this](Connection& connection) { this->serve(connection); }))
    {
    }

    /// Ends, with what still runs.
    void exit() { this->server->stop(); }

    std::string id;
    std::int64_t born;
    std::atomic<std::int64_t> removedAt { 0 }; ///< when its entry was removed, 0 before
    std::atomic<int> late { 0 }; ///< requests that reached it too late, from an entry in touch

private:
    void serve(Connection& connection)
    {
        while (const auto request = connection.read()) {
            bool sent = false;
            if (request->target == "/health-check")
                sent = connection.answer(200, { { "Replica-Id", this->id } }, "");
            else if (request->header("Expect-Replica") != this->id)
                sent = connection.answer(421, { { "Replica-Id", this->id } }, "");
            else {
                const std::string attempt = request->header("Attempt-Id");
                const std::int64_t since = this->removedAt == 0 ? 0 : nowMs() - this->removedAt;
                const bool isLate = since > std::max(drainMs, cutMs + touchMs);
                this->late += isLate ? 1 : 0;
                this->record.line(this->id + " begins " + attempt
                    + (since == 0 ? "" : ", " + std::to_string(since) + " ms after it was removed from the list")
                    + (isLate ? " -- RULE BROKEN: too late" : ""));
                sleepMs(workMs);
                sent = connection.answer(200,
                    { { "Attempt-Id", attempt }, { "Replica-Seal", "seal" }, { "Replica-Load", "1,0,6" } },
                    std::string(800, 'b'));
                this->record.line(this->id + (sent ? " has answered " : " could not answer ") + attempt);
            }
            if (!sent)
                return;
        }
    }

    Record& record;
    std::unique_ptr<Server> server;
};

class Test {
public:
    Test()
        : record(this->run.caseFolder + "/record.txt")
        , store(this->run.host(250), storePort)
        , proxy(this->run.host(251), storePort, this->run.host(250))
    {
    }

    int play()
    {
        this->putConfig(1);
        for (int number = 0; number < replicaCount; ++number)
            this->replicas.push_back(
                std::make_unique<Replica>(this->run.host(20 + number), "i-" + std::to_string(number), this->record));
        for (int number = 0; number < replicaCount; ++number)
            this->list(number);
        const auto at = [&](int host) { return this->run.host(host) + ":" + std::to_string(storePort); };
        const std::unique_ptr<Process> first = this->run.startEntry(1, "tartu-a", at(251), { 1, 2 });
        const std::unique_ptr<Process> second = this->run.startEntry(2, "harju-a", at(250), { 1, 2 });
        this->run.awaitReady(1);
        this->run.awaitReady(2);
        std::thread([this] { this->sendHeartbeats(); }).detach();
        std::thread change([this] { this->leave(); });
        std::vector<std::thread> callers;
        for (int number = 0; number < playMs / requestGapMs; ++number) {
            callers.emplace_back([this, number] { this->send(number); });
            sleepMs(requestGapMs);
        }
        change.join();
        for (std::thread& caller : callers)
            caller.join();
        const int late = this->replicas[leaver]->late;
        this->record.line(std::to_string(late) + " requests reached " + this->replicas[leaver]->id
            + " too late; requesters got " + std::to_string(this->answered) + " answers with 200, "
            + std::to_string(this->failed) + " others");
        return late > 0 ? 1 : this->answered == 0 ? 2 : 0;
    }

private:
    void putConfig(int version)
    {
        this->store.put("op", "config",
            configText(version,
                R"({"name":"book-payment","host":"desk.example","prefix":"/book/","kind":"non_idempotent",)"
                R"("timeout_ms":)"
                    + std::to_string(2000 + version)
                    + R"(,"target_latency_ms":300,"priority":2,"service":"ledger-api","max_attempts":1,"public":false})",
                R"({"name":"ledger-api","health_path":"/health-check","max_conns":110})"));
        this->record.line("the store confirms configuration " + std::to_string(version));
    }

    void list(int number)
    {
        const Replica& replica = *this->replicas[number];
        this->store.put("servers", replica.id,
            R"({"service":"ledger-api","address":")" + this->run.host(20 + number) + ":" + std::to_string(replicaPort)
                + R"(","zone":"harju-a","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"born":)"
                + std::to_string(replica.born) + R"(,"sequence":)" + std::to_string(++this->sequence) + "}");
    }

    void sendHeartbeats()
    {
        while (true) {
            for (int number = 0; number < replicaCount; ++number) {
                sleepMs(heartbeatMs / replicaCount);
                const std::lock_guard lock(this->heartbeatMutex);
                if (number != leaver || !this->isLeaving)
                    this->list(number);
            }
        }
    }

    /// A replica leaves without having reported it: its entry is removed, and it serves on for a while. A configuration
    /// follows. Meanwhile the first entry is cut off from the store for a moment.
    void leave()
    {
        sleepMs(4000);
        {
            const std::lock_guard lock(this->heartbeatMutex);
            this->isLeaving = true;
            if (this->run.trouble) {
                // The first entry waits for changes of the list at the store when the cut begins.
                const std::int64_t until = nowMs() + 3000;
                for (auto age = this->proxy.listPollAge(); !age || *age < 20 || *age > 200;
                     age = this->proxy.listPollAge()) {
                    if (nowMs() > until)
                        break;
                    sleepMs(2);
                }
                this->proxy.cut = true;
                this->record.line("the first entry is cut off from the store");
            }
            const std::int64_t startedAt = nowMs();
            this->list(leaver);
            this->record.line("the last heartbeat of " + this->replicas[leaver]->id);
            sleepMs(startedAt + removalMs - nowMs());
            this->store.remove("servers", this->replicas[leaver]->id);
            this->replicas[leaver]->removedAt = nowMs();
            this->record.line("the store removes " + this->replicas[leaver]->id + " from the list");
            sleepMs(startedAt + configMs - nowMs());
            this->putConfig(2);
            sleepMs(startedAt + cutMs - nowMs());
            if (this->run.trouble) {
                this->proxy.cut = false;
                this->record.line("the first entry reaches the store again");
            }
        }
        sleepMs(this->replicas[leaver]->removedAt + servesOnMs - nowMs());
        this->replicas[leaver]->exit();
        this->record.line(this->replicas[leaver]->id + " exits");
    }

    void send(int number)
    {
        const std::string attempt = "attempt-" + std::to_string(number);
        const int entry = 1 + number % 2;
        const Answer answer = call(this->run.host(entry), frontPort,
            requestText("POST", "/book/" + std::to_string(number), attempt, 4000, "", "a payment"), 4000);
        this->record.line("requester gets " + attempt + " from entry " + std::to_string(entry) + ": status "
            + std::to_string(answer.status) + (answer.complete ? "" : ", not complete"));
        (answer.status == 200 && answer.complete ? this->answered : this->failed) += 1;
    }

    Run run;
    Record record;
    Store store;
    Proxy proxy;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::mutex heartbeatMutex;
    std::atomic<bool> isLeaving { false };
    std::atomic<int> sequence { 0 };
    std::atomic<int> answered { 0 };
    std::atomic<int> failed { 0 };
};

} // namespace

int main()
{
    auto* test = new Test; // its threads go on until the run ends
    const int code = test->play();
    std::cout << (code == 1 ? "rule broken" : code == 0 ? "rule held" : "cannot judge") << "\n";
    finish(code);
}
