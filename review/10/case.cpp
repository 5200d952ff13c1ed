// Case 10: an entry that stops takes streams that it cannot finish within its grace period, and breaks them off.
#include "replica.h"

#include <random>

using namespace rig;

namespace {

constexpr std::int64_t graceMs = 8000;
constexpr std::int64_t deadlineMs = 6000; ///< of the requester and of the route
constexpr int eventCount = 12;
constexpr std::int64_t firstEventMs = 80;
constexpr std::int64_t eventMs = 42;
constexpr std::int64_t silenceMs = 1400; ///< "for a second or so"
const std::set<int> silentBefore { 2, 5, 8 }; ///< events before which a replica is silent

bool sendEvents(int first, const std::string& attempt, const std::function<bool(const std::string&, std::int64_t)>& send)
{
    const auto chunk = [](const std::string& bytes) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        return size + bytes + "\r\n";
    };
    for (int number = first; number <= eventCount; ++number) {
        std::string bytes;
        if (number == first)
            bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Seal: seal-" + attempt
                + "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        bytes += chunk("id: " + std::to_string(number) + "\ndata: piece\n\n");
        const std::int64_t wait = number == first ? firstEventMs
            : silentBefore.contains(number)       ? silenceMs
                                                  : eventMs;
        if (!send(bytes, wait))
            return false;
    }
    return send("0\r\n\r\n", 0);
}

/// What a requester sent and got.
struct Sent {
    std::string attempt;
    int entry { 0 };
    std::int64_t sentAt { 0 };
    std::int64_t endedAt { 0 };
    int status { 0 };
    bool whole { false };
};

/// Requesters that ask the directory where to connect, as the pages say.
class Requesters {
public:
    Requesters(Fleet& fleet, Record& record, std::vector<int> entries)
        : fleet(fleet)
        , record(record)
        , entries(std::move(entries))
    {
    }
    ~Requesters() { this->stop(); }

    void start(int count)
    {
        for (int number = 0; number < count; ++number)
            this->threads.emplace_back([this, number] { this->run(number); });
    }
    void stop()
    {
        this->stopped = true;
        for (std::thread& thread : this->threads)
            thread.join();
        this->threads.clear();
    }
    std::vector<Sent> all()
    {
        const std::lock_guard guard(this->mutex);
        return this->sent;
    }

private:
    void run(int number)
    {
        std::mt19937 random(static_cast<unsigned>(number) + 1);
        std::vector<int> known; ///< entries that the last answer of the directory named
        std::int64_t validUntil = 0;
        sleepMs(number * 137);
        while (!this->stopped) {
            if (nowMs() >= validUntil)
                this->lookUp(known, validUntil);
            std::vector<int> candidates = known;
            Answer answer;
            while (!candidates.empty() && answer.status == 0 && !this->stopped) {
                const std::size_t index = random() % candidates.size();
                Sent request { .attempt = "a" + std::to_string(++this->count), .entry = candidates[index] };
                candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
                request.sentAt = nowMs();
                answer = generate(this->fleet, this->record, request.entry, request.attempt);
                request.endedAt = nowMs();
                request.status = answer.status;
                request.whole = answer.whole;
                const std::lock_guard guard(this->mutex);
                this->sent.push_back(request);
                if (answer.status != 0)
                    break;
                if (request.endedAt - request.sentAt > 100)
                    break; // it was read: not repeated at once
            }
            if (answer.status == 503) {
                const std::string after = answer.header("Retry-After");
                sleepMs(after.empty() ? 100 : static_cast<std::int64_t>(std::stod(after) * 1000));
            }
            sleepMs(100 + static_cast<std::int64_t>(random() % 200));
        }
    }

    /// Keeps what it knows if it can get no new answer.
    void lookUp(std::vector<int>& known, std::int64_t& validUntil)
    {
        for (const int node : this->entries) {
            const Answer answer = send(this->fleet.ip(node) + ":8009",
                "GET /api/lookup?name=hulo84.example&region=noord&zone=noord-a HTTP/1.1\r\nHost: directory\r\nConnection: "
                "close\r\n\r\n",
                1000);
            if (answer.status != 200 || !answer.whole)
                continue;
            const Json document = Json::parse(answer.body);
            std::vector<int> named;
            for (const Json& address : document.at("addresses"))
                for (const int entry : this->entries)
                    if (address == this->fleet.front(entry))
                        named.push_back(entry);
            if (named.empty())
                continue;
            known = named;
            constexpr double maxTtlSeconds = 5;
            validUntil = nowMs()
                + static_cast<std::int64_t>(std::min(document.at("ttl_s").get<double>(), maxTtlSeconds) * 1000);
            return;
        }
        sleepMs(100);
    }

    Fleet& fleet;
    Record& record;
    std::vector<int> entries;
    std::atomic<bool> stopped { false };
    std::atomic<int> count { 0 };
    std::mutex mutex;
    std::vector<Sent> sent;
    std::vector<std::thread> threads;
};

} // namespace

int main(int count, char** values)
{
    return runCase(count, values, [](Record& record) {
        const std::vector<int> entries { 1, 2 };
        const std::vector<int> engineHosts { 20, 21, 22 };
        Fleet fleet;
        Store store(fleet.storeAddress());
        Origin origin(record, fleet.ip(240) + ":8006");
        std::mutex begunMutex;
        std::set<std::string> begun; ///< attempts that a replica began
        std::vector<std::unique_ptr<Engine>> engines;
        for (const int host : engineHosts) {
            engines.push_back(std::make_unique<Engine>(
                store, record, "s" + std::to_string(host), fleet.ip(host) + ":8740"));
            engines.back()->stream = [&](int first, const std::string& attempt, const auto& send) {
                {
                    const std::lock_guard guard(begunMutex);
                    begun.insert(attempt);
                }
                return sendEvents(first, attempt, send);
            };
        }
        store.put("op", "", std::string("version/") + modelName, Json { { "model", modelName }, { "version", 1 } }.dump());
        store.put("op", "", "config", engineConfig(7, fleet.ip(240) + ":8006").dump());
        for (const int entry : entries)
            fleet.startEntry(entry, entries);
        for (const int host : engineHosts)
            fleet.startAgent(host, entries, fleet.ip(host) + ":8740", "huvo11a");
        for (const int entry : entries)
            fleet.awaitReady(entry);
        sleepMs(2000);
        Requesters requesters(fleet, record, entries);
        requesters.start(24);
        sleepMs(6000);
        std::map<int, std::int64_t> termAt;
        if (hasTrouble()) {
            // Stopped and started in turn, one second apart, as roll_term does.
            for (const int entry : entries) {
                record.line("SIGTERM to entry " + std::to_string(entry));
                termAt[entry] = nowMs();
                fleet.process(entry).kill(SIGTERM);
                sleepMs(1000);
            }
        }
        std::set<int> toStart;
        for (const auto& [entry, at] : termAt)
            toStart.insert(entry);
        const std::int64_t until = nowMs() + 13000;
        while (nowMs() < until) {
            for (const int entry : std::set<int>(toStart)) {
                if (nowMs() - termAt[entry] > graceMs)
                    fleet.process(entry).kill(SIGKILL);
                if (fleet.process(entry).running())
                    continue;
                record.line("entry " + std::to_string(entry) + " ended " + std::to_string(nowMs() - termAt[entry])
                    + " ms after SIGTERM, is started again");
                fleet.startEntry(entry, entries);
                toStart.erase(entry);
            }
            sleepMs(10);
        }
        requesters.stop();
        int lost = 0;
        int served = 0;
        int excused = 0;
        const std::vector<Sent> all = requesters.all();
        for (const Sent& request : all) {
            served += request.status == 200 && request.whole ? 1 : 0;
            const bool isCut = request.status == 0 || !request.whole;
            const std::lock_guard guard(begunMutex);
            if (!isCut || !begun.contains(request.attempt))
                continue;
            const std::string text = request.attempt + " to entry " + std::to_string(request.entry);
            const auto term = termAt.find(request.entry);
            const std::int64_t sinceTerm = term == termAt.end() ? -1 : request.sentAt - term->second;
            const std::int64_t endSinceTerm = term == termAt.end() ? -1 : request.endedAt - term->second;
            const bool timeUp = request.endedAt - request.sentAt >= deadlineMs - 100;
            const bool isPlanned = term != termAt.end() && endSinceTerm >= 0 && endSinceTerm <= graceMs + 1000;
            const bool sentEarly = sinceTerm <= 3000 && endSinceTerm >= graceMs * 5 / 6;
            if (timeUp || !isPlanned || sentEarly) {
                ++excused;
                record.line("cut, excused: " + text + ", sent " + std::to_string(sinceTerm) + " ms after SIGTERM");
                continue;
            }
            ++lost;
            record.say("LOST: " + text + ", sent " + std::to_string(sinceTerm) + " ms after SIGTERM, begun by a replica, cut "
                + std::to_string(request.endedAt - request.sentAt) + " ms later");
        }
        record.say(std::to_string(all.size()) + " requests, " + std::to_string(served) + " served whole, "
            + std::to_string(excused) + " cut but excused, " + std::to_string(lost) + " lost");
        if (served == 0)
            throw CannotRun("the fleet does not serve");
        return lost == 0;
    });
}
