#include "platform_io.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <httplib.h>
#include <mutex>
#include <set>
#include <thread>

using namespace hickory;

namespace {

/// Collects the store answers of a PlatformClient.
struct Answers {
    std::mutex lock; ///< protects `list`
    std::vector<StoreAnswer> list; ///< answers in order of arrival

    PlatformOptions options(const std::string& url)
    {
        return { .url = url,
            .onAnswer =
                [this](StoreAnswer answer) {
                    const std::lock_guard guard(this->lock);
                    this->list.push_back(std::move(answer));
                },
            .onMembers = [](const MemberList&) {},
            .threads = 2,
            .timeout = { 300 } };
    }

    std::size_t count()
    {
        const std::lock_guard guard(this->lock);
        return this->list.size();
    }

    /// Waits up to 5 s for a number of answers.
    void waitFor(std::size_t wanted)
    {
        for (int tries = 0; tries < 500 && this->count() < wanted; ++tries)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
};

} // namespace

// Guards against a store operation that is answered twice or never when the platform is unreachable, the queue is full
// or the client stops.
TEST_CASE("Each store operation is answered exactly once while the platform is unreachable")
{
    Answers answers;
    PlatformOptions options = answers.options("http://127.0.0.1:1");
    options.maxPending = 20;
    constexpr std::uint64_t operations = 100;
    {
        PlatformClient client(options);
        for (std::uint64_t number = 0; number < operations; ++number)
            client.read({ .token = { .number = number }, .key = "k" });
    }
    REQUIRE(answers.list.size() == operations);
    std::set<std::uint64_t> numbers;
    for (const StoreAnswer& answer : answers.list) {
        REQUIRE(answer.status == StoreStatus::Unavailable);
        numbers.insert(answer.token.number);
    }
    REQUIRE(numbers.size() == operations);
}

// Guards against wrong mappings of HTTP statuses and versions, and keys that are not percent-encoded.
TEST_CASE("The platform client maps statuses and versions of the table service and encodes keys")
{
    httplib::Server server;
    server.Get("/table/(.+)", [](const httplib::Request& request, httplib::Response& response) {
        const std::string key = request.matches[1];
        if (key == "absent")
            response.status = 404;
        else if (key == "down")
            response.status = 503;
        else if (key == "odd")
            response.set_content("{}", "application/json");
        else
            response.set_content(R"({"version":7,"value":")" + key + "\"}", "application/json");
    });
    server.Put("/table/(.+)", [](const httplib::Request& request, httplib::Response& response) {
        if (request.get_param_value("if_version") == "7" && request.get_param_value("ttl_s") == "2")
            return response.set_content(R"({"version":8})", "application/json");
        response.status = 409;
        response.set_content(R"({"version":9,"value":"theirs"})", "application/json");
    });
    const int port = server.bind_to_any_port("127.0.0.1");
    std::thread thread([&] { server.listen_after_bind(); });
    Answers answers;
    const std::vector<std::string> keys { "calls/s/w/a key?#%é", "absent", "down", "odd" };
    {
        PlatformClient client(answers.options("http://127.0.0.1:" + std::to_string(port)));
        for (std::uint64_t number = 0; number < keys.size(); ++number)
            client.read({ .token = { .number = number }, .key = keys[number] });
        client.write(
            { .token = { .number = 4 }, .key = "k", .ifVersion = { 7 }, .value = "mine", .timeToLive = { 1500 } });
        client.write({ .token = { .number = 5 }, .key = "k", .ifVersion = { 6 }, .value = "mine" });
        answers.waitFor(6);
    }
    server.stop();
    thread.join();
    REQUIRE(answers.list.size() == 6);
    std::sort(answers.list.begin(), answers.list.end(),
        [](const StoreAnswer& left, const StoreAnswer& right) { return left.token.number < right.token.number; });
    REQUIRE(answers.list[0].status == StoreStatus::Ok);
    REQUIRE(answers.list[0].value == keys[0]);
    REQUIRE(answers.list[0].version.value == 7);
    REQUIRE(answers.list[1].status == StoreStatus::Absent);
    REQUIRE(answers.list[2].status == StoreStatus::Unavailable);
    REQUIRE(answers.list[3].status == StoreStatus::Unavailable);
    REQUIRE(answers.list[4].status == StoreStatus::Ok);
    REQUIRE(answers.list[4].version.value == 8);
    REQUIRE(answers.list[5].status == StoreStatus::Conflict);
    REQUIRE(answers.list[5].value == "theirs");
}
