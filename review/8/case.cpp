// Case 8: a config whose list of tenants is empty takes the last keys away, and lets every request run.
#include "replica.h"

using namespace rig;

namespace {

constexpr const char* ownKey = "jnbanfqasnmgkcuyj8pj";
constexpr const char* unknownKey = "zzzzfqasnmgkcuyj8pjx";

Json configOf(std::uint64_t version, const Json& tenants)
{
    const Json route { { "name", "r-book" }, { "host", "voka93.example" }, { "prefix", "/filo73/" },
        { "kind", "non_idempotent" }, { "timeout_ms", 4000 }, { "target_latency_ms", 300 }, { "priority", 2 },
        { "service", "wuno96b" }, { "max_attempts", 2 }, { "public", false }, { "sticky", false },
        { "resumable", false } };
    return Json { { "version", version }, { "routes", { route } },
        { "services", { { { "name", "wuno96b" }, { "health_path", "/health-check" }, { "max_conns", 110 } } } },
        { "tenants", tenants },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 5000 },
                { "idle_timeout_ms", 10000 } } } };
}

} // namespace

int main(int count, char** values)
{
    return runCase(count, values, [](Record& record) {
        constexpr std::int64_t revokeMs = 5000;
        const Json withTenant = Json::array({ { { "name", "bozi300" }, { "api_keys", { ownKey } } } });
        Fleet fleet;
        Store store(fleet.storeAddress());
        PlainReplica replica(store, record, "i-7f3a91c2", "wuno96b", fleet.ip(20) + ":8740");
        store.put("op", "", "config", configOf(7, withTenant).dump());
        record.line("operator writes op/config version 7: one tenant, one key");
        for (const int entry : { 1, 2 })
            fleet.startEntry(entry, { 1, 2 });
        for (const int entry : { 1, 2 })
            fleet.awaitReady(entry);
        sleepMs(1000);
        int sent = 0;
        std::map<int, int> answers;
        const auto book = [&](const char* key, int requests) {
            const int before = replica.runs;
            for (int number = 0; number < requests; ++number) {
                const int entry = 1 + number % 2;
                const std::string attempt = "a" + std::to_string(++sent);
                const Answer answer = send(fleet.front(entry),
                    "POST /filo73/2f HTTP/1.1\r\nHost: voka93.example\r\nAttempt-Id: " + attempt
                        + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer " + key
                        + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
                    5000);
                ++answers[answer.status];
                record.line("caller sends " + attempt + " to entry " + std::to_string(entry) + " with the "
                    + (key == ownKey ? "tenant's key" : "unknown key") + ", gets " + std::to_string(answer.status) + " "
                    + answer.body.substr(0, answer.body.find('\n')));
            }
            return replica.runs - before;
        };
        if (book(ownKey, 10) != 10 || book(unknownKey, 10) != 0)
            throw CannotRun("keys are not checked as they should be before the change");
        store.put("op", "", "config", configOf(9, hasTrouble() ? Json::array() : withTenant).dump());
        record.line(std::string("operator writes op/config version 9: ")
            + (hasTrouble() ? "the tenant and its key are taken away, the list of tenants is empty" : "the same tenant"));
        // Requests that are sent later than the bound after the confirmation.
        sleepMs(revokeMs + 1000);
        const int withOwn = book(ownKey, 20);
        const int withUnknown = book(unknownKey, 20);
        record.say("after the bound: " + std::to_string(withOwn) + " of 20 requests with the tenant's key ran, "
            + std::to_string(withUnknown) + " of 20 with a key that no config ever held");
        return hasTrouble() ? withOwn == 0 && withUnknown == 0 : withOwn == 20 && withUnknown == 0;
    });
}
