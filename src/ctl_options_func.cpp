#include "ctl_options_func.h"

#include "program_func.h"
#include "settings_func.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

namespace hickory {

namespace {

    constexpr const char* commandHelp = R"(
Commands:
  check FILE             validate a configuration file without contacting an entry
  diff FILE              show what a configuration file would change
  apply FILE             submit a configuration file; --wait until it is in force on every host
  show                   print the newest configuration, or that of --generation N
  history                list the newest configuration generations
  status                 list every host with its state, generation and load; --watch
  upstreams              list the upstreams known to one entry; --watch
  rollout                show the rollout progress of model versions; --watch
  request SERVICE PATH   send a request to a service and print the response as it arrives
  explain REQUEST        print the log lines in --logs DIR about one request id, and the crashes that it was refused for,
                         ordered by time
  publish FILE           upload model weights and their manifest; prints the digest for the configuration
  config check FILE      check a configuration document of the platform (JSON); --upstreams FILE, --regions LIST
  config diff FILE       list what a document changes relative to --against FILE, for callers most important first

FILE may be - for standard input.
Exit codes: 0 success, 1 failure, 2 bad usage or settings, 3 conflict, 4 unavailable.
Exit codes of config: 0 nothing found, 1 findings or differences, 2 a document cannot be read or bad usage.
)";

    cxxopts::Options makeParser()
    {
        cxxopts::Options parser("hickoryctl", "Command line client for operators of hickoryroad.");
        parser.positional_help("COMMAND [ARGUMENT...]");
        cxxopts::OptionAdder add = parser.add_options();
        const auto text = [] { return cxxopts::value<std::string>()->default_value(""); };
        const auto number = [] { return cxxopts::value<std::uint64_t>(); };
        add("entries", "entry addresses, http://ip:port,...; also HICKORY_ENTRIES", text());
        add("settings", "settings file; also HICKORYCTL_SETTINGS", text());
        add("json", "machine-readable output");
        add("wait", "apply: wait until the configuration is in force on every host");
        add("watch", "status, upstreams, rollout: repeat every 2 s");
        add("base", "apply: generation that the file was edited from (default: the newest)", number());
        add("change-id",
            "apply: id of the change; a change sent again with the same id takes effect once (default: generated)",
            text());
        add("generation", "show: generation (default: the newest)", number());
        add("timeout", "apply --wait, request: time limit in seconds (default: 60)", number());
        add("workspace", "request: value of the header X-Workspace", text());
        add("rank", "request: value of the header X-Rank", text());
        add("key", "request: value of the header Idempotency-Key", text());
        add("data", "request: body, or @FILE to read it from a file", text());
        add("method", "request: HTTP method (default: POST)", text());
        add("logs", "explain: directory with the logs of all processes (default: the current directory)", text());
        add("upstreams", "config check: JSON object with a row of the table of upstreams for each id", text());
        add("regions", "config check: regions that exist, REGION or DATA-CENTRE=REGION,...", text());
        add("against", "config diff: document in force, to compare with", text());
        add("platform", "publish: http://ip:port of the platform", text());
        add("model", "publish: model name", text());
        add("version", "publish: model version; without a command: show the program's version", text());
        add("chunk-bytes", "publish: chunk size in bytes (default: derived from the file size)", number());
        add("h,help", "show this help");
        add("words", "command and arguments", cxxopts::value<std::vector<std::string>>());
        parser.parse_positional({ "words" });
        return parser;
    }

    /// @param list addresses separated by commas, with or without a scheme
    /// @return one URL for each address, "http://" unless a scheme is given
    std::vector<std::string> parseEntryList(const std::string& list)
    {
        std::vector<std::string> entries;
        std::istringstream stream(list);
        for (std::string entry; std::getline(stream, entry, ',');)
            if (!entry.empty())
                entries.push_back(entry.find("://") == std::string::npos ? "http://" + entry : entry);
        return entries;
    }

    /// @return the value of an option, empty if it was not given
    std::string stringOption(const cxxopts::ParseResult& parsed, const char* name)
    {
        return parsed.count(name) > 0 ? parsed[name].as<std::string>() : "";
    }

    /// @return the value of an environment variable, empty if it is not set
    std::string environmentVariable(const char* name)
    {
        const char* value = std::getenv(name);
        return value ? value : "";
    }

    /// Reads entry addresses, operator token and TLS authority from the command line, the environment and the settings
    /// file. Prints the error if the settings file cannot be loaded.
    /// @return false if the settings file cannot be loaded
    bool readConnectionSettings(const cxxopts::ParseResult& parsed, CtlOptions& options)
    {
        std::string settingsPath = stringOption(parsed, "settings");
        if (settingsPath.empty())
            settingsPath = environmentVariable("HICKORYCTL_SETTINGS");
        if (!settingsPath.empty()) {
            const Result<CtlSettings> settings = loadCtlSettings(settingsPath);
            if (!settings) {
                std::cerr << "hickoryctl: " << settings.error().text() << "\n";
                return false;
            }
            options.entries = settings.value().entries;
            options.token = settings.value().operatorToken;
            options.tlsAuthority = settings.value().tlsAuthority;
        }
        const std::string flag = stringOption(parsed, "entries");
        const std::string list = flag.empty() ? environmentVariable("HICKORY_ENTRIES") : flag;
        if (!list.empty())
            options.entries = parseEntryList(list);
        return true;
    }

    /// Copies the options of the individual commands.
    void readCommandOptions(const cxxopts::ParseResult& parsed, CtlOptions& options)
    {
        constexpr std::int64_t millisecondsPerSecond = 1000;
        const auto text = [&](const char* name) { return stringOption(parsed, name); };
        const auto number = [&](const char* name) {
            return parsed.count(name) > 0 ? parsed[name].as<std::uint64_t>() : std::uint64_t { 0 };
        };
        options.json = parsed.count("json") > 0;
        options.wait = parsed.count("wait") > 0;
        options.watch = parsed.count("watch") > 0;
        options.hasBase = parsed.count("base") > 0;
        options.base = { number("base") };
        options.generation = { number("generation") };
        options.changeId = { text("change-id") };
        if (parsed.count("timeout") > 0)
            options.timeout = Milliseconds { millisecondsPerSecond } * static_cast<std::int64_t>(number("timeout"));
        options.workspace = text("workspace");
        options.rank = text("rank");
        options.key = text("key");
        options.data = text("data");
        if (parsed.count("method") > 0)
            options.method = text("method");
        if (parsed.count("logs") > 0)
            options.logs = text("logs");
        options.upstreams = text("upstreams");
        options.regions = text("regions");
        options.against = text("against");
        options.platform = text("platform");
        options.model = text("model");
        options.version = text("version");
        options.chunkBytes = number("chunk-bytes");
    }

} // namespace

std::optional<CtlOptions> parseCtlOptions(int count, char** values, int& exitCode)
{
    // Only without a command does --version ask for the program version; `publish --version V` takes the model version.
    if (count == 2 && std::string_view(values[1]) == "--version") {
        std::cout << "hickoryctl " << HICKORY_VERSION << "\n";
        exitCode = exitSuccess;
        return std::nullopt;
    }
    cxxopts::Options parser = makeParser();
    try {
        const cxxopts::ParseResult parsed = parser.parse(count, values);
        exitCode = exitSuccess;
        if (parsed.count("help") > 0) {
            std::cout << parser.help() << commandHelp;
            return std::nullopt;
        }
        CtlOptions options;
        if (parsed.count("words") > 0)
            options.arguments = parsed["words"].as<std::vector<std::string>>();
        exitCode = exitUsage;
        if (options.arguments.empty()) {
            std::cerr << "hickoryctl: no command, see --help\n";
            return std::nullopt;
        }
        options.command = options.arguments.front();
        options.arguments.erase(options.arguments.begin());
        readCommandOptions(parsed, options);
        if (!readConnectionSettings(parsed, options))
            return std::nullopt;
        return options;
    } catch (const std::exception& error) {
        std::cerr << "hickoryctl: " << error.what() << "\n";
        exitCode = exitUsage;
        return std::nullopt;
    }
}

} // namespace hickory
