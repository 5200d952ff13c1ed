#include "config_func.h"
#include "fixed_seed.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace hickory;
using namespace hickory::test;

namespace {

const std::string ranks = "[[rank]]\nname = \"urgent\"\nfloor = 0.5\n[[rank]]\nname = \"bulk\"\nfloor = 0.5\n";
const std::string digest(64, 'a');

std::string service(const std::string& name, const std::string& more = "")
{
    return "[[service]]\nname = \"" + name + "\"\nkind = \"plain\"\n" + more + "\n";
}

std::string engine(
    const std::string& name, const std::string& version, const std::string& manifest, const std::string& more = "")
{
    return "[[service]]\nname = \"" + name + "\"\nkind = \"engine\"\n[service.model]\nname = \"m\"\nversion = \""
        + version + "\"\nmanifest = \"" + manifest + "\"\n" + more + "\n";
}

/// @return error detail of parsing the text, empty when it is valid
std::string reasonOf(const std::string& text)
{
    const Result<Config> config = parseConfig(text);
    return config ? "" : config.error().detail;
}

std::string readExample(const std::string& name)
{
    // The tests run in the build directory or in the repository root.
    for (const char* folder : { "examples/", "../examples/", "../../examples/" }) {
        std::ifstream file(folder + name);
        std::ostringstream content;
        if (file && (content << file.rdbuf()))
            return content.str();
    }
    return {};
}

} // namespace

// Guards against a key that is read into the wrong field or in the wrong unit.
TEST_CASE("Configuration keys are read into their fields")
{
    const Result<Config> config = parseConfig(
        "[[rank]]\nname = \"urgent\"\nfirst_token_ms = 400\nbetween_tokens_ms = 49\nweight = 8\nfloor = 0.5\n"
        "[[workspace]]\nname = \"desk\"\nweight = 2.5\nmax_queued = 7\n"
        + service("ledger", "non_repeatable = [\"/repayments\"]\nrepeatable = false\n")
        + "[[service]]\nname = \"llm\"\nkind = \"engine\"\ndepends_on = [\"ledger\"]\nfencing = \"ignored\"\n"
          "concurrency = 3\nmax_out = 2\nquarantine_s = 60\n[service.model]\nname = \"m\"\nversion = \"v1\"\nmanifest "
          "= \""
        + digest + "\"\nadapters = [\"a\", \"b\"]\nrole = \"decode\"\nmin_replicas = 2\nmax_replicas = 5\n");
    REQUIRE(config.ok());
    const RankConfig& rank = config.value().ranks.at(0);
    REQUIRE(rank.firstTokenTarget.value == 400);
    REQUIRE(rank.betweenTokensTarget.value == 49);
    REQUIRE(rank.weight == 8.0);
    REQUIRE(config.value().findWorkspace({ "desk" })->weight == 2.5);
    REQUIRE(config.value().findWorkspace({ "desk" })->maxQueued == 7);
    REQUIRE_FALSE(config.value().findService({ "ledger" })->repeatable);
    const ServiceConfig& llm = *config.value().findService({ "llm" });
    REQUIRE(llm.fencing == FencingSupport::Ignored);
    REQUIRE(llm.concurrency == 3);
    REQUIRE(llm.maxUnavailable == 2);
    REQUIRE(llm.quarantine.value == 60000);
    REQUIRE(llm.model->adapters == std::vector<std::string> { "a", "b" });
    REQUIRE(llm.model->role == "decode");
    REQUIRE(llm.model->minReplicas == 2);
    REQUIRE(llm.model->maxReplicas == 5);
}

// Guards against an invalid configuration that is accepted, and an error that does not tell where the problem is.
TEST_CASE("An invalid configuration is rejected with line, key and reason")
{
    const auto [text, reason] = GENERATE_COPY(table<std::string, std::string>({
        { "", "line 1, key rank: expected 1 to 16 ranks" },
        { "[[rank]]\nname = \"a\nb = 1\n", "line 2: " },
        { "[[rank]]\nname = \"a\"\nnmae = 1\n", "line 3, key rank[a].nmae: unknown key" },
        { ranks + "colour = 1\n", "line 7, key rank[bulk].colour: unknown key" },
        { "[[rank]]\nweight = 1\n", "line 1, key rank[1].name: is missing" },
        { "[[rank]]\nname = \"a b\"\n", "line 2, key rank[a b].name: \"a b\" is not a name" },
        { "[[rank]]\nname = \"a\"\nweight = 0\n", "line 3, key rank[a].weight: 0 is out of range" },
        { "[[rank]]\nname = \"a\"\nweight = nan\n", "line 3, key rank[a].weight: nan is out of range" },
        { "[[rank]]\nname = \"a\"\nfirst_token_ms = \"x\"\n",
            "line 3, key rank[a].first_token_ms: expected an integer" },
        { ranks + "[[rank]]\nname = \"bulk\"\n", "line 8, key rank[bulk].name: duplicate name \"bulk\"" },
        { ranks + "[[rank]]\nname = \"c\"\nfloor = 0.1\n",
            "line 9, key rank[c].floor: the sum of all floors exceeds 1" },
        { ranks + service("s", "depends_on = [\"t\"]"), "line 10, key service[s].depends_on: unknown service \"t\"" },
        { ranks + service("s", "depends_on = [\"s\"]"),
            "line 10, key service[s].depends_on: the dependencies form a cycle" },
        { ranks + service("s", "depends_on = [\"t\"]") + service("t", "depends_on = [\"s\"]"), "s -> t -> s" },
        { ranks + service("s", "non_repeatable = [\"x\"]"),
            "line 10, key service[s].non_repeatable: \"x\" is not a path" },
        { ranks + service("s", "fencing = \"maybe\""), "\"maybe\" is not one of \"checked\", \"ignored\"" },
        { ranks + "[[service]]\nname = \"s\"\n", "line 7, key service[s].kind: is missing" },
        { ranks + "[[service]]\nname = \"s\"\nkind = \"engine\"\n", "key service[s].model: is missing" },
        { ranks + engine("s", "v1", "abc"),
            "line 13, key service[s].model.manifest: expected the digest of the manifest" },
        { ranks + engine("s", "v1", digest, "min_replicas = 3\nmax_replicas = 2"),
            "max_replicas: must not be less than min_replicas" },
        { ranks + engine("s", "v1", digest) + engine("t", "v1", std::string(64, 'b')),
            "key service[t].model.manifest: another service has a different digest" },
        { ranks + "[[workspace]]\nname = \"w\"\nmax_queued = 0\n",
            "line 9, key workspace[w].max_queued: 0 is out of range" },
    }));
    CAPTURE(text);
    REQUIRE_THAT(reasonOf(text), Catch::Contains(reason));
}

// Guards against example files that the parser rejects.
TEST_CASE("Example configurations are valid and their services are ordered by dependency")
{
    for (const char* name : { "vainu.toml", "lindehout.toml" }) {
        const Result<Config> config = parseConfig(readExample(name));
        REQUIRE(config.ok());
        REQUIRE(config.value().workspaces.size() == 10);
        const std::vector<ServiceId> ordered = dependencyOrder(config.value());
        REQUIRE(ordered.size() == 3);
        REQUIRE(config.value().findService(ordered.back())->kind == ServiceKind::Engine);
    }
}

// Guards against a diff that does not tell how many replicas a change reloads.
TEST_CASE("A configuration diff lists changed services and the replicas that they reload")
{
    const Config before = parseConfig(ranks + service("old") + engine("s", "v1", digest, "max_replicas = 5")).value();
    const Config after
        = parseConfig(ranks + service("new") + engine("s", "v2", std::string(64, 'b'), "max_replicas = 6")).value();
    REQUIRE(diffConfig(before, before).empty());
    const std::vector<std::string> expected { "service old: removed (plain)", "service new: added (plain)",
        "service s: model m v1 -> m v2; reloads up to 6 replicas, at most 1 out of service at once",
        "service s: replicas 1 to 5 replicas -> 1 to 6 replicas" };
    REQUIRE(diffConfig(before, after) == expected);
}

// Guards against a crash on malformed input, and an error without a line.
TEST_CASE("A corrupted configuration is parsed or rejected with its line")
{
    checkProperty("a corrupted example is parsed or rejected with its line", 1, 100, [] {
        std::string text = readExample("vainu.toml");
        RC_PRE(!text.empty());
        const int corruptions = *rc::gen::inRange(1, 4);
        for (int index = 0; index < corruptions; ++index) {
            const std::size_t position = *rc::gen::inRange<std::size_t>(0, text.size());
            if (*rc::gen::arbitrary<bool>())
                text.erase(position, *rc::gen::inRange<std::size_t>(1, 40));
            else
                text.insert(position, *rc::gen::string<std::string>());
        }
        const Result<Config> config = parseConfig(text);
        const bool namesLine = config.ok() || config.error().detail.starts_with("line ");
        RC_ASSERT(namesLine);
    });
}
