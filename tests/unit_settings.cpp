#include "settings_func.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

using namespace hickory;

namespace {

/// A settings file that is removed by the destructor.
class SettingsFile {
public:
    explicit SettingsFile(const std::string& content, const std::string& name = "unit-settings.toml")
        : path(name)
    {
        std::ofstream(this->path) << content;
    }
    ~SettingsFile() { std::remove(this->path.c_str()); }
    SettingsFile(const SettingsFile&) = delete;
    SettingsFile& operator=(const SettingsFile&) = delete;

    std::string path; ///< in the working directory
};

const std::string process
    = "[process]\nhost = \"h1\"\nplace = \"p\"\nregion = \"r\"\nplatform = \"http://127.0.0.1:1\"\n";

} // namespace

// Guards against a misspelt key that silently leaves the default, and an error that does not tell where the problem is.
TEST_CASE("An invalid entry setting is rejected with file, line and allowed range")
{
    const auto [content, reason] = GENERATE_COPY(table<std::string, std::string>({
        { "", "line 1, key process.host: is missing" },
        { process + "rpc_listen = \"nowhere\"\n", "line 6, key process.rpc_listen: \"nowhere\" is not an address" },
        { process + "http_listen = \"127.0.0.1:70000\"\n", "line 6, key process.http_listen" },
        { process + "[http]\nworkers = 5000\n", "line 7, key http.workers: 5000 is out of range; allowed 4 to 4096" },
        { process + "[http]\nworker = 5\n", "line 7, key http.worker: unknown key" },
        { process + "[htp]\n", "line 6, key htp: unknown key" },
        { process + "[http]\ntls_key = \"k\"\n", "tls_certificate and tls_key must be set together" },
        { process + "[http]\noperator_token_file = \"absent\"\n", "line 7, key http.operator_token_file" },
        { process + "[policy]\nroute = \"best\"\n",
            "line 7, key policy.route: \"best\" is not one of \"random\", \"least-reported\", \"two-choices\"" },
        { process + "[policy]\nretry_budget = 1.5\n", "1.5 is out of range; allowed 0 to 1" },
        { process + "x\n", "line 6: " },
    }));
    const SettingsFile file(content);
    const Result<EntrySettings> settings = loadEntrySettings(file.path);
    CAPTURE(content);
    REQUIRE_FALSE(settings.ok());
    REQUIRE(settings.error().code == ErrorCode::InvalidSettings);
    REQUIRE_THAT(settings.error().text(), Catch::Contains(reason) && Catch::Contains(file.path));
}

// Guards against a key that is read into the wrong field, and a token path taken from another directory.
TEST_CASE("Settings are read into their fields and the token from the directory of the settings file")
{
    const SettingsFile token("0123456789abcdef\n", "unit-settings.token");
    const SettingsFile entry(process
        + "log_level = \"warning\"\nseed = 9\n[http]\noperator_token_file = \"unit-settings.token\"\n"
          "entries_ttl_ms = 700\n[policy]\nqueue = \"fifo\"\ngrowth = \"single\"\nsubset = 3\n");
    const EntrySettings settings = loadEntrySettings(entry.path).value();
    REQUIRE(settings.operatorToken == "0123456789abcdef");
    REQUIRE(settings.process.seed == 9);
    REQUIRE(settings.process.logLevel == LogLevel::Warning);
    REQUIRE(settings.entriesTimeToLive.value == 700);
    REQUIRE(settings.queuePolicy == QueuePolicy::Fifo);
    REQUIRE(settings.growthPolicy == GrowthPolicy::Single);
    REQUIRE(settings.subsetSize == 3);
    REQUIRE(settings.routePolicy == RoutePolicy::Affinity);
}

// Guards against an agent that starts without a setting that its kind of upstream requires.
TEST_CASE("Agent settings that do not fit the kind of the upstream are rejected")
{
    const std::string upstream = "[upstream]\nurl = \"http://127.0.0.1:2\"\nkind = ";
    const auto reasonOf = [](const std::string& content) {
        const SettingsFile file(content);
        const Result<AgentSettings> settings = loadAgentSettings(file.path);
        return settings ? std::string("valid") : settings.error().detail;
    };
    REQUIRE(reasonOf(process + upstream + "\"plain\"\nservice = \"s\"\n[policy]\ncall_row_ttl_s = 5\n") == "valid");
    REQUIRE(reasonOf(process + upstream + "\"engine\"\n[weights]\ndirectory = \"/dev/shm/x\"\n") == "valid");
    REQUIRE_THAT(reasonOf(process + upstream + "\"plain\"\n"), Catch::Contains("upstream.service: is missing"));
    REQUIRE_THAT(reasonOf(process + upstream + "\"engine\"\n"), Catch::Contains("weights.directory: is missing"));
    REQUIRE_THAT(reasonOf(process + upstream + "\"engine\"\nservice = \"s\"\n"),
        Catch::Contains("upstream.service: must not be set for an engine; placement chooses"));
}

// Guards against hickoryctl settings with an address that cannot be called.
TEST_CASE("hickoryctl settings require entry addresses with a scheme")
{
    const SettingsFile good("entries = [\"http://127.0.0.1:1\", \"https://127.0.0.1:2\"]\n");
    REQUIRE(loadCtlSettings(good.path).value().entries.size() == 2);
    const SettingsFile bad("entries = [\"127.0.0.1:1\"]\n", "unit-settings-bad.toml");
    REQUIRE_THAT(loadCtlSettings(bad.path).error().detail, Catch::Contains("line 1, key entries"));
    REQUIRE_FALSE(loadCtlSettings("absent.toml").ok());
}
