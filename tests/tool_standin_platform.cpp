// Stand-in for the platform: table store, object store, weight store and membership list. Faults are injected through
// POST /admin/faults.

#include "standin_http.h"

#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <thread>

using namespace hickory::standin;

namespace {

/// A row of the table store.
struct Row {
    std::uint64_t version { 0 }; ///< never reused, not even after the row has expired
    std::string value; ///< bytes as written by the client, not interpreted
    SteadyClock::time_point expires { SteadyClock::time_point::max() }; ///< time from which the row counts as absent
};

/// State of the membership list between two changes.
struct MembershipSnapshot {
    SteadyClock::time_point since; ///< time of the change that created it
    std::uint64_t version { 0 }; ///< incremented by each change
    std::map<std::string, Json> members; ///< members by host name
};

/// Injected faults, set through POST /admin/faults.
struct Faults {
    bool down { false }; ///< tables, objects and members answer 503
    bool weightsDown { false }; ///< the weight store answers 503 and aborts transfers in progress
    std::uint64_t delayMs { 0 }; ///< milliseconds by which calls of tables, objects and members are delayed
    std::uint64_t loseAnswers { 0 }; ///< number of further table writes that take effect but get no response
    std::string losePrefix; ///< prefix of the keys that loseAnswers applies to, empty for all keys
    std::uint64_t corruptEvery { 0 }; ///< one byte is changed in every Nth block of weights, 0 for none
    std::uint64_t memberLagMs { 0 }; ///< minimum age of the served membership list in milliseconds
};

/// State of the platform, shared by all listeners.
struct Platform {
    std::mutex mutex; ///< protects all members but the rate limiters
    std::map<std::string, Row> rows; ///< rows of the table store by key, expired ones included
    std::uint64_t lastVersion { 0 }; ///< version of the last written row
    std::map<std::string, std::shared_ptr<const std::string>> objects; ///< content of the object store by name
    std::map<std::string, std::shared_ptr<const std::string>> weights; ///< content of the weight store by name
    std::deque<MembershipSnapshot> snapshots { MembershipSnapshot {
        .since = SteadyClock::now(), .version = 1 } }; ///< newest last
    Faults faults; ///< faults that are injected now
    std::map<std::string, std::uint64_t> reads; ///< number of reads by the key up to its first "/"
    std::map<std::string, std::uint64_t> writes; ///< number of writes by the key up to its first "/"
    std::uint64_t conflicts { 0 }; ///< number of table writes refused because of another version
    std::map<std::string, std::uint64_t> weightBytes; ///< number of bytes of weights served by name
    std::uint64_t weightBlocks { 0 }; ///< number of blocks of weights sent while corruptEvery was set
    RateLimiter readLimiter; ///< operations per second: reads of tables, objects and members
    RateLimiter writeLimiter; ///< operations per second: writes of tables and objects
    RateLimiter weightsLimiter; ///< bytes per second: reads of weights
};

/// @return the key up to its first "/", by which calls are counted
std::string keyPrefix(const std::string& key) { return key.substr(0, key.find('/')); }

/// Waits for the rate limit and the injected delay, and counts the call.
/// @return false if the store is down; the response is filled in then
bool beginStoreCall(Platform& platform, const std::string& key, bool write, httplib::Response& response)
{
    std::this_thread::sleep_until((write ? platform.writeLimiter : platform.readLimiter).reserve(1));
    std::uint64_t delay = 0;
    {
        const std::lock_guard lock(platform.mutex);
        delay = platform.faults.delayMs;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    const std::lock_guard lock(platform.mutex);
    ++(write ? platform.writes : platform.reads)[keyPrefix(key)];
    if (platform.faults.down) {
        reply(response, 503, { { "error", "down" } });
        return false;
    }
    return true;
}

/// @return the row, or nullptr if there is none or it has expired
const Row* findRow(const Platform& platform, const std::string& key)
{
    const auto found = platform.rows.find(key);
    return found == platform.rows.end() || found->second.expires <= SteadyClock::now() ? nullptr : &found->second;
}

/// Handles a compare-and-set write: the row is written only if its version equals "if_version", 0 for an absent row.
void writeRow(Platform& platform, const httplib::Request& request, httplib::Response& response)
{
    const std::string key = request.matches[1];
    const std::uint64_t ifVersion = std::stoull(request.get_param_value("if_version"));
    if (!beginStoreCall(platform, key, true, response))
        return;
    const std::lock_guard lock(platform.mutex);
    const Row* current = findRow(platform, key);
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    if (version != ifVersion) {
        ++platform.conflicts;
        reply(response, 409, { { "version", version }, { "value", current == nullptr ? "" : current->value } });
        return;
    }
    Row row { .version = ++platform.lastVersion, .value = request.body };
    if (request.has_param("ttl_s"))
        row.expires = SteadyClock::now() + std::chrono::seconds(std::stoull(request.get_param_value("ttl_s")));
    platform.rows[key] = row;
    if (platform.faults.loseAnswers > 0 && key.starts_with(platform.faults.losePrefix)) {
        --platform.faults.loseAnswers;
        dropConnection(request);
        return;
    }
    reply(response, 200, { { "version", row.version } });
}

/// Registers the table store.
void addTable(Platform& platform, httplib::Server& server)
{
    server.Get("/table/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        const std::string key = request.matches[1];
        if (!beginStoreCall(platform, key, false, response))
            return;
        const std::lock_guard lock(platform.mutex);
        const Row* row = findRow(platform, key);
        if (row == nullptr)
            return reply(response, 404, { { "error", "absent" } });
        reply(response, 200, { { "version", row->version }, { "value", row->value } });
    });
    server.Put("/table/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        writeRow(platform, request, response);
    });
    server.Get("/table-list", [&platform](const httplib::Request& request, httplib::Response& response) {
        const std::string prefix = request.get_param_value("prefix");
        if (!beginStoreCall(platform, prefix, false, response)) {
            return;
        }
        Json rows = Json::array();
        const std::lock_guard lock(platform.mutex);
        for (auto row = platform.rows.lower_bound(prefix);
             row != platform.rows.end() && row->first.compare(0, prefix.size(), prefix) == 0; ++row) {
            if (findRow(platform, row->first) != nullptr) {
                rows.push_back(
                    { { "key", row->first }, { "version", row->second.version }, { "value", row->second.value } });
            }
        }
        reply(response, 200, { { "rows", rows } });
    });
}

/// Registers the object store.
void addObjects(Platform& platform, httplib::Server& server)
{
    server.Get("/objects/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        if (!beginStoreCall(platform, "objects", false, response))
            return;
        const std::lock_guard lock(platform.mutex);
        const auto object = platform.objects.find(request.matches[1]);
        if (object == platform.objects.end())
            return reply(response, 404, { { "error", "absent" } });
        response.set_content(*object->second, "application/octet-stream");
    });
    server.Put("/objects/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        if (!beginStoreCall(platform, "objects", true, response)) {
            return;
        }
        const std::lock_guard lock(platform.mutex);
        platform.objects[request.matches[1]] = std::make_shared<const std::string>(request.body);
        reply(response, 200, Json::object());
    });
}

/// Registers the weight store.
void addWeights(Platform& platform, httplib::Server& server)
{
    server.Get("/weights/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        const std::string name = request.matches[1];
        const std::lock_guard lock(platform.mutex);
        const auto found = platform.weights.find(name);
        if (platform.faults.weightsDown || found == platform.weights.end())
            return reply(
                response, platform.faults.weightsDown ? 503 : 404, { { "error", "no such weights, or down" } });
        // cpp-httplib applies the Range header to a content provider.
        const auto send = [&platform, name, object = found->second](
                              std::size_t offset, std::size_t length, httplib::DataSink& sink) {
            constexpr std::size_t blockBytes = 16384;
            const std::size_t size = std::min(length, blockBytes);
            std::this_thread::sleep_until(platform.weightsLimiter.reserve(size));
            std::string block = object->substr(offset, size);
            {
                const std::lock_guard sendLock(platform.mutex);
                if (platform.faults.weightsDown)
                    return false;
                platform.weightBytes[name] += size;
                const std::uint64_t every = platform.faults.corruptEvery;
                if (every > 0 && ++platform.weightBlocks % every == 0)
                    block[size / 2] = static_cast<char>(block[size / 2] ^ 0x55);
            }
            return sink.write(block.data(), size);
        };
        response.set_content_provider(found->second->size(), "application/octet-stream", send);
    });
    server.Put("/weights/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard lock(platform.mutex);
        platform.weights[request.matches[1]] = std::make_shared<const std::string>(request.body);
        reply(response, 200, Json::object());
    });
}

/// Answers with the newest membership list that is at least as old as the injected lag.
/// @param name view whose addresses are returned; a member may have a different address in each view
void readMembers(
    Platform& platform, const std::string& name, const httplib::Request& request, httplib::Response& response)
{
    if (!beginStoreCall(platform, "members", false, response))
        return;
    const std::lock_guard lock(platform.mutex);
    const auto newest = SteadyClock::now() - std::chrono::milliseconds(platform.faults.memberLagMs);
    auto snapshot = platform.snapshots.rbegin();
    while (snapshot + 1 != platform.snapshots.rend() && snapshot->since > newest)
        ++snapshot;
    if (request.has_param("since") && std::stoull(request.get_param_value("since")) == snapshot->version) {
        response.status = 304;
        return;
    }
    Json members = Json::array();
    for (const auto& [host, member] : snapshot->members) {
        Json shown = member;
        if (member.contains("addresses")) {
            shown["address"] = member["addresses"].value(name, member.value("address", ""));
            shown.erase("addresses");
        }
        members.push_back(std::move(shown));
    }
    reply(response, 200, { { "version", snapshot->version }, { "members", members } });
}

/// Changes the membership list and keeps the previous states for the injected lag.
void changeMembers(Platform& platform, const std::function<void(std::map<std::string, Json>&)>& change)
{
    constexpr std::size_t maxSnapshots = 1000;
    const std::lock_guard lock(platform.mutex);
    MembershipSnapshot snapshot = platform.snapshots.back();
    change(snapshot.members);
    snapshot.since = SteadyClock::now();
    ++snapshot.version;
    platform.snapshots.push_back(std::move(snapshot));
    if (platform.snapshots.size() > maxSnapshots)
        platform.snapshots.pop_front();
}

/// Registers the interface by which tests change members and faults and read statistics.
void addAdmin(Platform& platform, httplib::Server& server)
{
    server.Post("/admin/members", [&platform](const httplib::Request& request, httplib::Response& response) {
        const Json list = Json::parse(request.body);
        changeMembers(platform, [&list](auto& members) {
            for (const Json& member : list) {
                Json& current = members[member.at("host")];
                current = current.is_null() ? Json { { "state", "live" } } : current;
                current.update(member);
            }
        });
        reply(response, 200, Json::object());
    });
    server.Delete("/admin/members/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        changeMembers(platform, [&request](auto& members) { members.erase(request.matches[1]); });
        reply(response, 200, Json::object());
    });
    server.Post("/admin/faults", [&platform](const httplib::Request& request, httplib::Response& response) {
        const Json settings = Json::parse(request.body);
        if (settings.contains("weights_rate")) {
            platform.weightsLimiter.setRate(settings["weights_rate"]);
        }
        const std::lock_guard lock(platform.mutex);
        Faults& faults = platform.faults;
        faults.down = settings.value("down", faults.down);
        faults.weightsDown = settings.value("weights_down", faults.weightsDown);
        faults.delayMs = settings.value("delay_ms", faults.delayMs);
        faults.loseAnswers = settings.value("lose_answers", faults.loseAnswers);
        faults.losePrefix = settings.value("lose_prefix", faults.losePrefix);
        faults.corruptEvery = settings.value("weights_corrupt_every", faults.corruptEvery);
        faults.memberLagMs = settings.value("member_lag_ms", faults.memberLagMs);
        reply(response, 200, { { "down", faults.down }, { "lose_answers", faults.loseAnswers } });
    });
    server.Get("/admin/stats", [&platform](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(platform.mutex);
        reply(response, 200,
            { { "reads", platform.reads }, { "writes", platform.writes }, { "conflicts", platform.conflicts },
                { "weight_bytes", platform.weightBytes }, { "lose_answers", platform.faults.loseAnswers } });
    });
}

} // namespace

int main(int argc, char** argv)
try {
    cxxopts::Options options("standin-platform", "Stand-in for the platform's services");
    options.add_options()("listen", "ip:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))("view",
        "name of a view for which a further listener is opened, whose membership list has that view's addresses; "
        "repeatable",
        cxxopts::value<std::vector<std::string>>()->default_value(""))("threads",
        "maximum number of connections served at once by each listener",
        cxxopts::value<unsigned>()->default_value("1024"))(
        "reads-per-s", "0 for no limit", cxxopts::value<std::uint64_t>()->default_value("2000"))(
        "writes-per-s", "0 for no limit", cxxopts::value<std::uint64_t>()->default_value("500"))("weights-rate",
        "bytes per second of the weight store, 0 for no limit", cxxopts::value<std::uint64_t>()->default_value("0"))(
        "member-lag-ms", "minimum age of the membership list in milliseconds",
        cxxopts::value<std::uint64_t>()->default_value("0"))("help", "");
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    Platform platform;
    platform.faults.memberLagMs = flags["member-lag-ms"].as<std::uint64_t>();
    platform.readLimiter.setRate(flags["reads-per-s"].as<std::uint64_t>());
    platform.writeLimiter.setRate(flags["writes-per-s"].as<std::uint64_t>());
    platform.weightsLimiter.setRate(flags["weights-rate"].as<std::uint64_t>());

    std::vector<std::string> names { "" };
    for (const std::string& name : flags["view"].as<std::vector<std::string>>())
        if (!name.empty())
            names.push_back(name);
    std::vector<std::unique_ptr<httplib::Server>> servers;
    std::vector<std::thread> threads;
    std::string listening;
    for (const std::string& name : names) {
        httplib::Server& server = *servers.emplace_back(makeServer(flags["threads"].as<unsigned>()));
        addTable(platform, server);
        addObjects(platform, server);
        addWeights(platform, server);
        addAdmin(platform, server);
        server.Get("/members", [&platform, name](const httplib::Request& request, httplib::Response& response) {
            readMembers(platform, name, request, response);
        });
        const std::string listen = flags["listen"].as<std::string>();
        const HostPort bound = bindServer(server, name.empty() ? listen : parseHostPort(listen).host + ":0");
        listening += (name.empty() ? "http=" : " view-" + name + "=") + bound.text();
        threads.emplace_back([&server] { server.listen_after_bind(); });
    }
    printListening(listening);
    for (std::thread& thread : threads)
        thread.join();
    return 0;
} catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << std::endl;
    return 2;
}
