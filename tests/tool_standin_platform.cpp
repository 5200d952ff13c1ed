// Stand-in for the platform of design section 11: tables, objects, weights and membership, with faults on demand.

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

/// One table row.
struct Row {
    std::uint64_t version { 0 }; ///< never used twice for one key, also after the row has expired
    std::string value; ///< content
    SteadyClock::time_point expires { SteadyClock::time_point::max() }; ///< end of its time to live
};

/// The membership list at one time.
struct MemberView {
    SteadyClock::time_point since; ///< when it came into being
    std::uint64_t version { 0 }; ///< its version
    std::map<std::string, Json> members; ///< by host
};

/// Faults set through POST /admin/faults.
struct Faults {
    bool down { false }; ///< tables, objects and members answer 503
    bool weightsDown { false }; ///< the weight store answers 503 and breaks off what it sends
    std::uint64_t delayMs { 0 }; ///< before each table and object answer
    std::uint64_t loseAnswers { 0 }; ///< table writes that still take effect without an answer
    std::string losePrefix; ///< only writes of keys that begin so lose their answers
    std::uint64_t corruptEvery { 0 }; ///< one in that many pieces of weights has a changed byte, 0 for none
    std::uint64_t memberLagMs { 0 }; ///< age of the membership list shown
};

/// Everything the platform keeps.
struct Platform {
    std::mutex mutex; ///< protects everything but the pacers
    std::map<std::string, Row> rows; ///< table
    std::uint64_t lastVersion { 0 }; ///< of rows
    std::map<std::string, std::shared_ptr<const std::string>> objects; ///< object store
    std::map<std::string, std::shared_ptr<const std::string>> weights; ///< origin
    std::deque<MemberView> views { MemberView { .since = SteadyClock::now(), .version = 1 } }; ///< newest last
    Faults faults; ///< present faults
    std::map<std::string, std::uint64_t> reads; ///< by first part of the key
    std::map<std::string, std::uint64_t> writes; ///< by first part of the key
    std::uint64_t conflicts { 0 }; ///< refused writes
    std::map<std::string, std::uint64_t> weightBytes; ///< bytes served by object
    std::uint64_t weightPieces { 0 }; ///< pieces of weights sent
    Pacer readPace; ///< table and object reads
    Pacer writePace; ///< table and object writes
    Pacer weightsPace; ///< the origin's link
};

std::string keyPrefix(const std::string& key) { return key.substr(0, key.find('/')); }

/// Waits for the pace and the delay fault, and counts.
/// @return false when the store is down; the answer is filled
bool enterStore(Platform& platform, const std::string& key, bool write, httplib::Response& response)
{
    std::this_thread::sleep_until((write ? platform.writePace : platform.readPace).reserve(1));
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

/// @return the row, or nullptr when there is none or its time to live has passed
const Row* findRow(const Platform& platform, const std::string& key)
{
    const auto found = platform.rows.find(key);
    return found == platform.rows.end() || found->second.expires <= SteadyClock::now() ? nullptr : &found->second;
}

void writeRow(Platform& platform, const httplib::Request& request, httplib::Response& response)
{
    const std::string key = request.matches[1];
    const std::uint64_t ifVersion = std::stoull(request.get_param_value("if_version"));
    if (!enterStore(platform, key, true, response))
        return;
    const std::lock_guard lock(platform.mutex);
    const Row* present = findRow(platform, key);
    const std::uint64_t version = present == nullptr ? 0 : present->version;
    if (version != ifVersion) {
        ++platform.conflicts;
        reply(response, 409, { { "version", version }, { "value", present == nullptr ? "" : present->value } });
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

void addTable(Platform& platform, httplib::Server& server)
{
    server.Get("/table/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        const std::string key = request.matches[1];
        if (!enterStore(platform, key, false, response))
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
        if (!enterStore(platform, prefix, false, response)) {
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

void addObjects(Platform& platform, httplib::Server& server)
{
    server.Get("/objects/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        if (!enterStore(platform, "objects", false, response))
            return;
        const std::lock_guard lock(platform.mutex);
        const auto object = platform.objects.find(request.matches[1]);
        if (object == platform.objects.end())
            return reply(response, 404, { { "error", "absent" } });
        response.set_content(*object->second, "application/octet-stream");
    });
    server.Put("/objects/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        if (!enterStore(platform, "objects", true, response)) {
            return;
        }
        const std::lock_guard lock(platform.mutex);
        platform.objects[request.matches[1]] = std::make_shared<const std::string>(request.body);
        reply(response, 200, Json::object());
    });
}

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
            constexpr std::size_t pieceBytes = 16384;
            const std::size_t size = std::min(length, pieceBytes);
            std::this_thread::sleep_until(platform.weightsPace.reserve(size));
            std::string piece = object->substr(offset, size);
            {
                const std::lock_guard sendLock(platform.mutex);
                if (platform.faults.weightsDown)
                    return false;
                platform.weightBytes[name] += size;
                const std::uint64_t every = platform.faults.corruptEvery;
                if (every > 0 && ++platform.weightPieces % every == 0)
                    piece[size / 2] = static_cast<char>(piece[size / 2] ^ 0x55);
            }
            return sink.write(piece.data(), size);
        };
        response.set_content_provider(found->second->size(), "application/octet-stream", send);
    });
    server.Put("/weights/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard lock(platform.mutex);
        platform.weights[request.matches[1]] = std::make_shared<const std::string>(request.body);
        reply(response, 200, Json::object());
    });
}

/// Answers with the newest list that is at least as old as the lag.
/// @param name view whose addresses are shown; a member may have one address for each view
void readMembers(
    Platform& platform, const std::string& name, const httplib::Request& request, httplib::Response& response)
{
    if (!enterStore(platform, "members", false, response))
        return;
    const std::lock_guard lock(platform.mutex);
    const auto newest = SteadyClock::now() - std::chrono::milliseconds(platform.faults.memberLagMs);
    auto view = platform.views.rbegin();
    while (view + 1 != platform.views.rend() && view->since > newest)
        ++view;
    if (request.has_param("since") && std::stoull(request.get_param_value("since")) == view->version) {
        response.status = 304;
        return;
    }
    Json members = Json::array();
    for (const auto& [host, member] : view->members) {
        Json shown = member;
        if (member.contains("addresses")) {
            shown["address"] = member["addresses"].value(name, member.value("address", ""));
            shown.erase("addresses");
        }
        members.push_back(std::move(shown));
    }
    reply(response, 200, { { "version", view->version }, { "members", members } });
}

/// Puts a changed membership list in force.
void changeMembers(Platform& platform, const std::function<void(std::map<std::string, Json>&)>& change)
{
    constexpr std::size_t viewsKept = 1000;
    const std::lock_guard lock(platform.mutex);
    MemberView view = platform.views.back();
    change(view.members);
    view.since = SteadyClock::now();
    ++view.version;
    platform.views.push_back(std::move(view));
    if (platform.views.size() > viewsKept)
        platform.views.pop_front();
}

void addAdmin(Platform& platform, httplib::Server& server)
{
    server.Post("/admin/members", [&platform](const httplib::Request& request, httplib::Response& response) {
        const Json list = Json::parse(request.body);
        changeMembers(platform, [&list](auto& members) {
            for (const Json& member : list) {
                Json& present = members[member.at("host")];
                present = present.is_null() ? Json { { "state", "live" } } : present;
                present.update(member);
            }
        });
        reply(response, 200, Json::object());
    });
    server.Delete("/admin/members/(.+)", [&platform](const httplib::Request& request, httplib::Response& response) {
        changeMembers(platform, [&request](auto& members) { members.erase(request.matches[1]); });
        reply(response, 200, Json::object());
    });
    server.Post("/admin/faults", [&platform](const httplib::Request& request, httplib::Response& response) {
        const Json wanted = Json::parse(request.body);
        if (wanted.contains("weights_rate")) {
            platform.weightsPace.setRate(wanted["weights_rate"]);
        }
        const std::lock_guard lock(platform.mutex);
        Faults& faults = platform.faults;
        faults.down = wanted.value("down", faults.down);
        faults.weightsDown = wanted.value("weights_down", faults.weightsDown);
        faults.delayMs = wanted.value("delay_ms", faults.delayMs);
        faults.loseAnswers = wanted.value("lose_answers", faults.loseAnswers);
        faults.losePrefix = wanted.value("lose_prefix", faults.losePrefix);
        faults.corruptEvery = wanted.value("weights_corrupt_every", faults.corruptEvery);
        faults.memberLagMs = wanted.value("member_lag_ms", faults.memberLagMs);
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
        "name of a further listener whose membership list shows that view's addresses; repeatable",
        cxxopts::value<std::vector<std::string>>()->default_value(""))(
        "threads", "connections for each listener", cxxopts::value<unsigned>()->default_value("1024"))(
        "reads-per-s", "0 for no limit", cxxopts::value<std::uint64_t>()->default_value("2000"))(
        "writes-per-s", "0 for no limit", cxxopts::value<std::uint64_t>()->default_value("500"))(
        "weights-rate", "bytes/s of the origin, 0 for no limit", cxxopts::value<std::uint64_t>()->default_value("0"))(
        "member-lag-ms", "age of the membership list", cxxopts::value<std::uint64_t>()->default_value("0"))("help", "");
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    Platform platform;
    platform.faults.memberLagMs = flags["member-lag-ms"].as<std::uint64_t>();
    platform.readPace.setRate(flags["reads-per-s"].as<std::uint64_t>());
    platform.writePace.setRate(flags["writes-per-s"].as<std::uint64_t>());
    platform.weightsPace.setRate(flags["weights-rate"].as<std::uint64_t>());

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
