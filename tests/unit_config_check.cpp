#include "config_check_func.h"
#include "config_compare_func.h"
#include "ctl_cmd.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace hickory;

namespace {

using Json = nlohmann::json;

/// @return a document without findings: two routes, two services, a workspace
Json soundDocument()
{
    return Json::parse(R"({"version":7,"routes":[
        {"name":"chat","host":"desk.example","prefix":"/chat/","kind":"streaming","timeout_ms":6000,
         "target_latency_ms":400,"target_gap_ms":300,"priority":1,"max_attempts":2,
         "traffic_split":[{"service":"x","weight":90},{"service":"y","weight":10}]},
        {"name":"book","host":"desk.example","prefix":"/book/","kind":"non_idempotent","timeout_ms":2000,
         "target_latency_ms":300,"service":"y"}],
        "services":[{"name":"x","cold_start_s":4,"cold_per_s":17},{"name":"y"}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"acme","api_keys":["secret-one-1234","other-two-5678"],"priority":1}]})");
}

std::vector<std::string> findingsOf(const Json& document, const ConfigSurroundings& surroundings = {})
{
    const Result<ConfigCheck> check = checkConfigDocument(document.dump(), surroundings);
    REQUIRE(check);
    return check.value().findings;
}

std::string errorOf(const std::string& text)
{
    const Result<ConfigCheck> check = checkConfigDocument(text, {});
    REQUIRE_FALSE(check);
    return check.error().detail;
}

/// Applies a JSON patch of one member to the sound document.
/// @return its findings
std::vector<std::string> findingsWith(const char* path, const Json& value, const ConfigSurroundings& surroundings = {})
{
    Json document = soundDocument();
    document[Json::json_pointer(path)] = value;
    return findingsOf(document, surroundings);
}

using Lines = std::vector<std::string>;

Lines differences(const Json& before, const Json& after)
{
    const Result<RelayConfig> old = readConfigDocument(before.dump());
    const Result<RelayConfig> now = readConfigDocument(after.dump());
    REQUIRE(old);
    REQUIRE(now);
    return compareConfigs(old.value(), now.value());
}

/// Folder of documents that is removed at the end of a test.
struct DocumentFolder {
    DocumentFolder() { std::filesystem::create_directories(this->path); }
    ~DocumentFolder() { std::filesystem::remove_all(this->path); }
    DocumentFolder(const DocumentFolder&) = delete;
    DocumentFolder& operator=(const DocumentFolder&) = delete;

    std::string write(const std::string& name, const std::string& text) const
    {
        std::ofstream(this->path + "/" + name) << text;
        return this->path + "/" + name;
    }

    std::string path { "config-documents-" + std::to_string(getpid()) };
};

} // namespace

// Guards against findings for a document that is as it should be, which would make the exit code useless.
TEST_CASE("A sound document has no findings", "[config-check]")
{
    CHECK(findingsOf(soundDocument()).empty());
    CHECK(findingsOf(soundDocument(), parseRegions("a=north,b=south")).empty());
}

// Guards against an error that does not say where it is, or of which only the first is reported.
TEST_CASE("A document that entries cannot read is reported with each place", "[config-check]")
{
    Json document = soundDocument();
    document["routes"][0].erase("host");
    document["routes"][1]["timeout_ms"] = "soon";
    document["tenants"][0]["api_keys"] = 5;
    CHECK(errorOf(document.dump())
        == "route chat: key 'host' not found\n"
           "route book: timeout_ms: type must be number, but is string\n"
           "workspace acme: api_keys: type must be array, but is number");
    document = soundDocument();
    document.erase("services");
    CHECK(errorOf(document.dump()) == "document: key 'services' not found");
    document = soundDocument();
    document["services"][1].erase("name");
    CHECK(errorOf(document.dump()) == "service #2: key 'name' not found");
    document = soundDocument();
    document["version"] = "7";
    document["limits"]["max_body_bytes"] = "4 MB";
    document["routes"][0]["traffic_split"][1].erase("weight");
    CHECK(errorOf(document.dump())
        == "document: limits: max_body_bytes: type must be number, but is string\n"
           "document: version: type must be number, but is string\n"
           "route chat: traffic_split: key 'weight' not found");
    document = soundDocument();
    document["routes"][0]["traffic_split"] = Json::array();
    document["routes"][1]["host"] = 5;
    document["routes"][1]["timeout_ms"] = nullptr;
    document["routes"][1].erase("service");
    document["services"][0]["engine"] = { { "slots", "12" }, { "step_ms", 6.7 }, { "read_per_s", 30600 } };
    document["services"][1] = "y";
    CHECK(errorOf(document.dump())
        == "route chat: traffic_split: route names no service\n"
           "route book: host: type must be string, but is number\n"
           "route book: timeout_ms: type must be number, but is null\n"
           "route book: key 'service' not found\n"
           "service x: engine: slots: type must be number, but is string\n"
           "service x: engine: key 'models' not found\n"
           "service #2: not a JSON object");
    CHECK(errorOf("[]") == "document is not a JSON object");
}

// Guards against a parser message that prints the key at which it stopped.
TEST_CASE("A syntax error is reported by line and column without quoting the document", "[config-check]")
{
    const std::string text = errorOf("{\"version\":1,\n\"tenants\":[{\"api_keys\":[\"secret-one-1234");
    CHECK(text.starts_with("invalid JSON in line 2, column "));
    CHECK(text.find("secret") == std::string::npos);
}

// Guards against routes that callers never reach.
TEST_CASE("Routes and shares that are never chosen are reported", "[config-check]")
{
    CHECK(findingsWith("/routes/1/prefix", "/chat/")
        == Lines { "route book: prefix: never matches, same host and prefix as route chat" });
    CHECK(findingsWith("/routes/1/prefix", "book/")
        == Lines { "route book: prefix: never matches, \"book/\" does not begin with a slash" });
    CHECK(findingsWith("/routes/1/prefix", "/book")
        == Lines { "route book: prefix: \"/book\" does not end with a slash, also matches longer names of the last "
                   "part" });
    CHECK(findingsWith("/routes/1/host", "desk.example:80")
        == Lines { "route book: host: never matches, \"desk.example:80\" is no host without port" });
    CHECK(findingsWith("/routes/1/name", "chat") == Lines { "route chat: name: used by more than one route" });
    CHECK(findingsWith("/routes/1/service", "z") == Lines { "route book: service: \"z\" does not exist" });
    CHECK(findingsWith("/routes/0/traffic_split/1/weight", 0)
        == Lines { "route chat: traffic_split: share of \"y\" is never chosen, weight 0" });
}

// Guards against a key that gives access to another workspace than its owner's, and against whole keys in the output.
TEST_CASE("Workspaces and keys that contradict each other are reported", "[config-check]")
{
    CHECK(findingsWith("/tenants/1", { { "name", "beta" }, { "api_keys", { "secret-one-1234" } } })
        == Lines { "workspace beta: api_keys: key secr... also belongs to workspace acme, the last one counts" });
    CHECK(findingsWith("/tenants/1", { { "name", "beta" }, { "api_keys", Json::array() } })
        == Lines { "workspace beta: api_keys: no key, so no caller can use it" });
    CHECK(findingsWith("/tenants/0/api_keys/1", "secret-one-1234")
        == Lines { "workspace acme: api_keys: key secr... is listed twice" });
    CHECK(findingsWith("/tenants/1", { { "name", "acme" }, { "api_keys", { "third-key-9999" } } })
        == Lines { "workspace acme: name: used by more than one workspace" });
    CHECK(findingsWith("/tenants", Json::array())
        == Lines { "tenants: the list is empty, so no key is valid and every route that is not public refuses all "
                   "requests" });
    Json withoutList = soundDocument();
    withoutList.erase("tenants");
    CHECK(findingsOf(withoutList) == Lines { "tenants: no such list, so no route needs a key" });
    CHECK(findingsWith("/routes/1/public", true)
        == Lines { "route book: public: needs no key, while other routes of the document do" });
    CHECK(shortenKey("abc") == "a...");
    CHECK(shortenKey("").size() == 3);
}

// Guards against limits that refuse all requests or have no effect.
TEST_CASE("Limits that contradict each other are reported", "[config-check]")
{
    CHECK(findingsWith("/routes/1/timeout_ms", 200)
        == Lines { "route book: timeout_ms: 200 ms is shorter than target_latency_ms, 300 ms" });
    CHECK(findingsWith("/routes/0/target_gap_ms", 7000)
        == Lines { "route chat: target_gap_ms: 7000 ms is longer than timeout_ms, 6000 ms" });
    CHECK(findingsWith("/routes/1/max_attempts", 0) == Lines { "route book: max_attempts: must be at least 1" });
    CHECK(findingsWith("/limits/header_timeout_ms", 20000)
        == Lines { "limits: header_timeout_ms: 20000 ms is longer than idle_timeout_ms, 15000 ms" });
    CHECK(findingsWith("/limits/max_body_bytes", 0) == Lines { "limits: max_body_bytes: 0 allows no body" });
    CHECK(findingsWith("/services/0/cold_start_s", 0)
        == Lines { "service x: cold_start_s: missing, but cold_per_s is set" });
    CHECK(findingsWith("/services/0/cold_per_s", 0)
        == Lines { "service x: cold_per_s: missing, so cold_start_s has no effect" });
    CHECK(findingsWith("/services/0/cold_per_s", -3).at(0)
        == "service x: cold_per_s is -3, expected a number of 0 or more; taken as 0");
}

// Guards against homes in which no request can be served.
TEST_CASE("Homes without a data centre, an upstream or a common region are reported", "[config-check]")
{
    ConfigSurroundings surroundings = parseRegions("a=north,b=south");
    CHECK(findingsWith("/routes/1/allowed_regions", { "nort" }, surroundings)
        == Lines { "route book: allowed_regions: no data centre is in region \"nort\"" });
    CHECK(findingsWith("/routes/1/allowed_regions", { "nort" }).empty());
    Json document = soundDocument();
    document["routes"][1]["allowed_regions"] = { "north" };
    document["tenants"][0]["allowed_regions"] = { "south" };
    CHECK(findingsOf(document) == Lines { "route book: allowed_regions: none in common with workspace acme" });

    const auto upstreams = readUpstreamRows(
        R"({"i-1":{"service":"y","address":"10.0.0.1:80","zone":"b","slots":4,"state":"ready"},
            "i-2":{"service":"x","address":"10.0.0.2:80","zone":"a","slots":4,"state":"ready"},
            "i-3":{"service":"y","address":"10.0.0.3:80","zone":"a","slots":4,"state":"draining"}})");
    REQUIRE(upstreams);
    surroundings.upstreams = upstreams.value();
    CHECK(findingsOf(soundDocument(), surroundings).empty());
    CHECK(findingsWith("/routes/1/allowed_regions", { "north" }, surroundings)
        == Lines { "route book: allowed_regions: service y has no upstream in region \"north\"" });
    CHECK(findingsWith("/tenants/0/allowed_regions", { "south" }, surroundings)
        == Lines { "workspace acme: allowed_regions: service x has no upstream in region \"south\"" });
    surroundings.upstreams->pop_back();
    surroundings.upstreams->pop_back();
    CHECK(findingsOf(soundDocument(), surroundings) == Lines { "service x: no upstream that is not draining" });
    CHECK_FALSE(readUpstreamRows(R"({"i-1":{"service":"y"}})"));
}

// Guards against a difference that is left out, and against an order that hides what callers lose.
TEST_CASE("Differences are listed with what callers lose first", "[config-check]")
{
    CHECK(differences(soundDocument(), soundDocument()).empty());
    Json after = soundDocument();
    after["version"] = 8;
    after["routes"][0]["traffic_split"]
        = { { { "service", "x" }, { "weight", 50 } }, { { "service", "y" }, { "weight", 50 } } };
    after["routes"][0]["timeout_ms"] = 5000;
    after["routes"][0]["priority"] = 2;
    after["routes"][0]["allowed_regions"] = { "north" };
    after["routes"][1] = { { "name", "list" }, { "host", "desk.example" }, { "prefix", "/list/" },
        { "kind", "idempotent" }, { "timeout_ms", 1000 }, { "service", "z" } };
    after["services"][1]["name"] = "z";
    after["services"][0]["cold_per_s"] = 20;
    after["limits"]["max_body_bytes"] = 1000;
    after["tenants"][0]["api_keys"] = { "secret-one-1234", "newer-key-9999" };
    CHECK(differences(soundDocument(), after)
        == Lines { "removed route book (desk.example/book/, service y)", "removed key othe... of workspace acme",
            "removed service y", "changed route chat: allowed_regions any -> north",
            "changed route chat: shares x=90,y=10 -> x=50,y=50", "changed route chat: timeout_ms 6000 ms -> 5000 ms",
            "changed route chat: priority 1 -> 2", "changed service x: cold_per_s 17 -> 20",
            "changed limits: max_body_bytes 4194304 bytes -> 1000 bytes",
            "added route list (desk.example/list/, service z)", "added key newe... of workspace acme",
            "added service z" });
}

// Guards against taking an empty list of workspaces, which locks all callers out, for an absent one, which lets all in.
TEST_CASE("An empty list of workspaces and an absent one are different changes", "[config-check]")
{
    Json empty = soundDocument();
    empty["tenants"] = Json::array();
    Json absent = soundDocument();
    absent.erase("tenants");
    Json withoutKeys = soundDocument();
    withoutKeys["tenants"][0]["api_keys"] = Json::array();
    const Lines removed { "removed key othe... of workspace acme", "removed key secr... of workspace acme",
        "removed workspace acme" };
    const auto with = [](Lines lines, const std::string& last) {
        lines.push_back(last);
        std::sort(lines.begin(), lines.end());
        return lines;
    };
    const auto sorted = [](Lines lines) {
        std::sort(lines.begin(), lines.end());
        return lines;
    };
    CHECK(sorted(differences(soundDocument(), empty)) == with(removed, "changed keys: no key is valid any more"));
    CHECK(sorted(differences(soundDocument(), absent)) == with(removed, "changed keys: no route needs a key any more"));
    CHECK(sorted(differences(soundDocument(), withoutKeys))
        == with({ removed[0], removed[1] }, "changed keys: no key is valid any more"));
    CHECK(differences(absent, empty)
        == Lines {
            "changed keys: routes that are not public now need a key", "changed keys: no key is valid any more" });
    CHECK(differences(empty, absent) == Lines { "changed keys: no route needs a key any more" });
    CHECK(differences(empty, withoutKeys) == Lines { "added workspace acme" });
}

// Guards against a document that is read as an empty one because a list is of another type.
TEST_CASE("A document whose list is no list cannot be read", "[config-check]")
{
    const Json value = GENERATE(Json(nullptr), Json::object(), Json("text"), Json(7), Json(false));
    for (const char* path : { "/tenants", "/tenants/0/api_keys", "/routes", "/services", "/routes/0/traffic_split" }) {
        INFO(path << " " << value);
        Json document = soundDocument();
        document[Json::json_pointer(path)] = value;
        CHECK_FALSE(checkConfigDocument(document.dump(), {}));
    }
}

// Guards against a route or a key that changes hands unnoticed.
TEST_CASE("Routes moved to other services and keys moved to other workspaces are differences", "[config-check]")
{
    Json after = soundDocument();
    after["routes"][1]["service"] = "x";
    after["tenants"][0]["name"] = "beta";
    CHECK(differences(soundDocument(), after)
        == Lines { "removed workspace acme", "changed key othe...: workspace acme -> beta",
            "changed key secr...: workspace acme -> beta", "changed route book: moved to other services, y -> x",
            "added workspace beta" });
}

// Guards against scripts that take an unreadable document for one without findings.
TEST_CASE("The exit codes of config tell findings from unreadable documents", "[config-check]")
{
    const DocumentFolder folder;
    const std::string sound = folder.write("sound.json", soundDocument().dump());
    Json changed = soundDocument();
    changed["limits"]["max_body_bytes"] = 0;
    const std::string odd = folder.write("odd.json", changed.dump());
    const std::string broken = folder.write("broken.json", "{");
    const auto run = [](const std::string& action, const std::string& file, const std::string& against = "",
                         const std::string& upstreams = "") {
        CtlOptions options { .command = "config", .arguments = { action, file } };
        options.against = against;
        options.upstreams = upstreams;
        return runDocument(options).exitCode;
    };
    CHECK(run("check", sound) == 0);
    CHECK(run("check", odd) == 1);
    CHECK(run("check", broken) == 2);
    CHECK(run("check", folder.path + "/missing.json") == 2);
    CHECK(run("check", sound, "", broken) == 2);
    CHECK(run("diff", sound, sound) == 0);
    CHECK(run("diff", odd, sound) == 1);
    CHECK(run("diff", sound, broken) == 2);
    CHECK(run("diff", sound) == 2);
    CHECK(run("other", sound) == 2);
}
