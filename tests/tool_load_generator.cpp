// Sends requests through the entries as a plan says, checks every answer and prints one JSON summary.

#include "digest_func.h"
#include "standin_check.h"
#include "standin_entries.h"

#include <atomic>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cxxopts.hpp>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <thread>
#include <toml++/toml.h>

using namespace hickory::standin;

namespace {

std::atomic<bool> stopRequested { false }; ///< SIGTERM came: send nothing more, finish what runs

/// One stream of like requests, from a [[flow]] table.
struct Flow {
    std::string rank; ///< X-Rank
    std::string workspace; ///< X-Workspace
    std::string service; ///< service called
    std::string path; ///< path below the service
    std::string model; ///< model named in an engine's request
    bool plain { false }; ///< a plain call rather than a token stream
    bool keys { false }; ///< send an Idempotency-Key of its own with each request
    double rate { 0 }; ///< arrivals a second, Poisson; 0 for closed loops
    std::int64_t clients { 0 }; ///< closed loops
    std::int64_t limit { 0 }; ///< most requests in all, 0 for no limit
    std::int64_t resends { 0 }; ///< times that a request whose outcome is unknown, broken or unreachable is sent again
    std::int64_t maxTokens { 0 }; ///< length of answers
    std::int64_t timeoutMs { 0 }; ///< X-Timeout-Ms
    std::int64_t prefixes { 0 }; ///< distinct prompt prefixes
    double skew { 0 }; ///< prefix k is drawn with weight 1/k^skew
    std::int64_t promptChars { 0 }; ///< length of a prompt
    std::string prompt; ///< fixed prompt or body; empty makes a unique one for each request
    double startS { 0 }; ///< begin within the run
    double endS { 0 }; ///< end within the run
};

/// What came of one group of requests.
struct Group {
    std::map<std::string, std::uint64_t> counts; ///< by outcome, and "sent", "resent", "tokens"
    std::vector<double> firstToken; ///< ms
    std::vector<double> betweenTokens; ///< ms
    std::vector<double> refusal; ///< ms until a not-run answer
    std::vector<double> total; ///< ms until the end of right answers
};

/// What happened within one time slice for one rank.
struct Slice {
    std::map<std::string, std::uint64_t> counts; ///< by outcome
    std::vector<double> firstToken; ///< ms
    std::vector<double> betweenTokens; ///< ms
};

/// The run.
struct Run {
    std::uint64_t seed { 0 }; ///< of all random choices
    double durationS { 0 }; ///< time in which requests are sent
    std::uint64_t sliceMs { 0 }; ///< length of a time slice
    std::vector<Flow> flows; ///< what is sent
    std::unique_ptr<EntryPool> pool; ///< where to
    SteadyClock::time_point start; ///< begin
    std::ofstream log; ///< one line for each attempt
    std::mutex mutex; ///< protects everything below
    std::condition_variable wake; ///< a job came, or the run ends
    std::deque<std::pair<std::size_t, SteadyClock::time_point>> jobs; ///< flow and time of arrival
    bool ended { false }; ///< no more jobs come
    std::vector<std::uint64_t> sent; ///< by flow
    std::map<std::string, Group> ranks; ///< by rank
    std::map<std::string, Group> workspaces; ///< by "rank/workspace"
    std::map<std::pair<std::uint64_t, std::string>, Slice> slices; ///< by slice and rank
    std::vector<double> lateness; ///< ms between arrival and sending
    std::vector<std::string> mistakes; ///< the first wrong answers
};

double millisecondsSince(SteadyClock::time_point from)
{
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - from).count();
}

std::string makePrompt(const Run& run, const Flow& flow, std::size_t flowIndex, std::uint64_t number)
{
    if (!flow.prompt.empty())
        return flow.prompt;
    std::mt19937_64 random(run.seed * 1'000'003 + flowIndex * 7'919 + number);
    std::vector<double> weights;
    for (std::int64_t prefix = 1; prefix <= std::max<std::int64_t>(1, flow.prefixes); ++prefix)
        weights.push_back(1 / std::pow(static_cast<double>(prefix), flow.skew));
    const std::size_t prefix = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    std::string prompt = flow.service + " prefix " + std::to_string(prefix) + " ";
    constexpr std::size_t prefixChars = 96; // longer than the part that the engine and the entries look at
    prompt.resize(prefixChars, '.');
    prompt += std::to_string(run.seed) + "-" + std::to_string(flowIndex) + "-" + std::to_string(number) + " ";
    prompt.resize(std::max<std::size_t>(prompt.size(), flow.promptChars), '.');
    return prompt;
}

/// Sends one attempt and fills the group's figures.
Outcome sendOnce(Run& run, const Flow& flow, const std::string& address, const std::string& prompt,
    const std::string& key, Group& figures, std::string& detail)
{
    StreamChecker checker(prompt, flow.maxTokens);
    std::string body;
    int status = 0;
    const auto sent = SteadyClock::now();
    auto last = sent;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/services/" + flow.service + flow.path;
    request.headers = { { "X-Workspace", flow.workspace }, { "X-Rank", flow.rank },
        { "X-Timeout-Ms", std::to_string(flow.timeoutMs) }, { "Content-Type", "application/json" } };
    if (!key.empty())
        request.headers.emplace("Idempotency-Key", key);
    request.body = flow.plain
        ? prompt
        : Json {
              { "model", flow.model }, { "prompt", prompt }, { "max_tokens", flow.maxTokens }, { "stream", true }
          }.dump();
    request.response_handler = [&status](const httplib::Response& response) {
        status = response.status;
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (status != 200 || flow.plain) {
            body.append(data, size);
            return true;
        }
        for (std::size_t tokens = checker.add(data, size); tokens > 0; --tokens) {
            (last == sent ? figures.firstToken : figures.betweenTokens).push_back(millisecondsSince(last));
            last = SteadyClock::now();
            ++figures.counts["tokens"];
        }
        return true;
    };
    auto client = run.pool->take(address);
    client->set_read_timeout(std::chrono::milliseconds(flow.timeoutMs + 5000));
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    const bool whole = client->send(request, response, error);
    const double elapsed = millisecondsSince(sent);
    if (!whole) {
        detail = httplib::to_string(error) + " status " + std::to_string(status);
        return error == httplib::Error::Connection ? Outcome::Unreachable : Outcome::Broken;
    }
    run.pool->returnConnection(address, std::move(client));
    if (status == 200) {
        const bool right = flow.plain
            ? Json::parse(body, nullptr, false).value("echo_digest", "") == hickory::digestHex(prompt)
            : checker.complete();
        if (right) {
            figures.total.push_back(elapsed);
            return Outcome::Ok;
        }
        detail = flow.plain ? body : checker.mistake().empty() ? "no end mark" : checker.mistake();
        return Outcome::Wrong;
    }
    detail = std::to_string(status) + " " + body;
    const std::string outcome = response.get_header_value("X-Outcome");
    if (outcome == "not-run") {
        figures.refusal.push_back(elapsed);
        return Outcome::NotRun;
    }
    return outcome == "ran" ? Outcome::Ran : Outcome::Unknown;
}

void addFigures(Group& total, const Group& one)
{
    for (const auto& [name, count] : one.counts)
        total.counts[name] += count;
    const auto append = [](std::vector<double>& to, const std::vector<double>& from) {
        to.insert(to.end(), from.begin(), from.end());
    };
    append(total.firstToken, one.firstToken);
    append(total.betweenTokens, one.betweenTokens);
    append(total.refusal, one.refusal);
    append(total.total, one.total);
}

void record(Run& run, const Flow& flow, Outcome outcome, const std::string& prompt, const std::string& key,
    const Group& figures, const std::string& detail)
{
    constexpr std::size_t mistakesKept = 20;
    const std::lock_guard lock(run.mutex);
    addFigures(run.ranks[flow.rank], figures);
    addFigures(run.workspaces[flow.rank + "/" + flow.workspace], figures);
    Slice& slice = run.slices[{ static_cast<std::uint64_t>(millisecondsSince(run.start)) / run.sliceMs, flow.rank }];
    ++slice.counts[outcomeName(outcome)];
    slice.firstToken.insert(slice.firstToken.end(), figures.firstToken.begin(), figures.firstToken.end());
    slice.betweenTokens.insert(slice.betweenTokens.end(), figures.betweenTokens.begin(), figures.betweenTokens.end());
    if (outcome == Outcome::Wrong && run.mistakes.size() < mistakesKept)
        run.mistakes.push_back(flow.service + ": " + detail);
    if (run.log.is_open()) {
        run.log << outcomeName(outcome) << ' ' << hickory::digestHex(prompt) << ' ' << (key.empty() ? "-" : key) << ' '
                << flow.rank << ' ' << flow.workspace << ' ' << detail.substr(0, detail.find('\n')) << std::endl;
    }
}

/// Sends one request, again if the flow says so.
/// @return how its last attempt ended
Outcome sendRequest(Run& run, std::size_t flowIndex, std::uint64_t number)
{
    constexpr int entryTries = 4;
    constexpr auto resendPause = std::chrono::milliseconds(50);
    const Flow& flow = run.flows[flowIndex];
    const std::string prompt = makePrompt(run, flow, flowIndex, number);
    const std::string key = flow.keys
        ? "k" + std::to_string(run.seed) + "-" + std::to_string(flowIndex) + "-" + std::to_string(number)
        : "";
    Outcome outcome = Outcome::Unreachable;
    for (std::int64_t attempt = 0; attempt <= flow.resends; ++attempt) {
        Group figures;
        std::string detail;
        for (int turn = 0; turn < entryTries; ++turn) {
            run.pool->refresh();
            outcome = sendOnce(run, flow, run.pool->pick(), prompt, key, figures, detail);
            if (outcome != Outcome::Unreachable)
                break;
        }
        ++figures.counts[attempt == 0 ? "sent" : "resent"];
        ++figures.counts[outcomeName(outcome)];
        record(run, flow, outcome, prompt, key, figures, detail);
        if (stopRequested
            || (outcome != Outcome::Unknown && outcome != Outcome::Broken && outcome != Outcome::Unreachable))
            break;
        std::this_thread::sleep_for(resendPause);
    }
    return outcome;
}

/// @return the number of the next request of a flow, or nothing when its limit is reached
std::optional<std::uint64_t> nextNumber(Run& run, std::size_t flowIndex)
{
    const std::lock_guard lock(run.mutex);
    const std::int64_t limit = run.flows[flowIndex].limit;
    if (limit > 0 && run.sent[flowIndex] >= static_cast<std::uint64_t>(limit))
        return std::nullopt;
    return run.sent[flowIndex]++;
}

/// One client that sends its next request after the answer to the last one.
void runClosedLoop(Run& run, std::size_t flowIndex)
{
    // A refused client waits a little: without that, a refusal of 1 ms makes a loop of 1000 requests a second.
    constexpr auto afterRefusal = std::chrono::milliseconds(100);
    const Flow& flow = run.flows[flowIndex];
    const auto at = [&run](double seconds) {
        return run.start + std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(seconds));
    };
    while (SteadyClock::now() < at(flow.startS) && !stopRequested)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    while (SteadyClock::now() < at(flow.endS) && !stopRequested) {
        const auto number = nextNumber(run, flowIndex);
        if (!number)
            return;
        if (sendRequest(run, flowIndex, *number) != Outcome::Ok)
            std::this_thread::sleep_for(afterRefusal);
    }
}

/// Turns arrivals of the open flows into jobs, in order of time.
void runArrivals(Run& run)
{
    std::mt19937_64 random(run.seed);
    std::multimap<double, std::size_t> next;
    const auto gap
        = [&](std::size_t flow) { return std::exponential_distribution<double>(run.flows[flow].rate)(random); };
    for (std::size_t flow = 0; flow < run.flows.size(); ++flow)
        if (run.flows[flow].rate > 0)
            next.emplace(run.flows[flow].startS + gap(flow), flow);
    while (!next.empty() && !stopRequested) {
        const auto [seconds, flow] = *next.begin();
        const auto time
            = run.start + std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(seconds));
        std::this_thread::sleep_until(std::min(time, SteadyClock::now() + std::chrono::milliseconds(100)));
        if (SteadyClock::now() < time)
            continue;
        next.erase(next.begin());
        const double following = seconds + gap(flow);
        if (following < run.flows[flow].endS)
            next.emplace(following, flow);
        const std::lock_guard lock(run.mutex);
        run.jobs.emplace_back(flow, time);
        run.wake.notify_one();
    }
    const std::lock_guard lock(run.mutex);
    run.ended = true;
    run.wake.notify_all();
}

void runWorker(Run& run)
{
    while (true) {
        std::unique_lock lock(run.mutex);
        run.wake.wait(lock, [&run] { return run.ended || !run.jobs.empty(); });
        if (run.jobs.empty())
            return;
        const auto [flow, arrival] = run.jobs.front();
        run.jobs.pop_front();
        run.lateness.push_back(millisecondsSince(arrival));
        lock.unlock();
        if (const auto number = nextNumber(run, flow))
            sendRequest(run, flow, *number);
    }
}

Json quantiles(std::vector<double>& values)
{
    return { { "p50", quantile(values, 0.5) }, { "p95", quantile(values, 0.95) }, { "p99", quantile(values, 0.99) },
        { "count", values.size() } };
}

Json groupJson(Group& group)
{
    Json json = Json::object();
    for (const char* name :
        { "sent", "resent", "tokens", "ok", "not_run", "ran", "unknown", "broken", "wrong", "unreachable" })
        json[name] = group.counts[name];
    json["first_token_ms"] = quantiles(group.firstToken);
    json["between_tokens_ms"] = quantiles(group.betweenTokens);
    json["refusal_ms"] = quantiles(group.refusal);
    json["total_ms"] = quantiles(group.total);
    return json;
}

Json summarise(Run& run, double seconds)
{
    Json json { { "seed", run.seed }, { "seconds", seconds }, { "late_ms", quantiles(run.lateness) },
        { "mistakes", run.mistakes }, { "by_rank", Json::object() }, { "by_workspace", Json::object() } };
    Group all;
    for (auto& [rank, group] : run.ranks) {
        addFigures(all, group);
        json["by_rank"][rank] = groupJson(group);
    }
    for (auto& [name, group] : run.workspaces)
        json["by_workspace"][name] = groupJson(group);
    json["all"] = groupJson(all);
    for (auto& [key, slice] : run.slices) {
        json["timeline"].push_back({ { "ms", key.first * run.sliceMs }, { "rank", key.second },
            { "counts", slice.counts }, { "first_token_p95_ms", quantile(slice.firstToken, 0.95) },
            { "between_tokens_p95_ms", quantile(slice.betweenTokens, 0.95) } });
    }
    return json;
}

void readPlan(Run& run, const toml::table& plan)
{
    run.durationS = plan["duration_s"].value_or(10.0);
    run.seed = plan["seed"].value_or(std::int64_t { 1 });
    run.sliceMs = plan["slice_ms"].value_or(std::int64_t { 500 });
    const toml::array* flows = plan["flow"].as_array();
    for (std::size_t index = 0; flows != nullptr && index < flows->size(); ++index) {
        const toml::table& table = *flows->get(index)->as_table();
        Flow flow { .rank = table["rank"].value_or(""),
            .workspace = table["workspace"].value_or(""),
            .service = table["service"].value_or(""),
            .plain = table["plain"].value_or(false),
            .keys = table["keys"].value_or(false),
            .rate = table["rate"].value_or(0.0),
            .clients = table["clients"].value_or(std::int64_t { 0 }),
            .limit = table["limit"].value_or(std::int64_t { 0 }),
            .resends = table["resends"].value_or(std::int64_t { 0 }),
            .maxTokens = table["max_tokens"].value_or(std::int64_t { 16 }),
            .timeoutMs = table["timeout_ms"].value_or(std::int64_t { 60000 }),
            .prefixes = table["prefixes"].value_or(std::int64_t { 16 }),
            .skew = table["skew"].value_or(1.0),
            .promptChars = table["prompt_chars"].value_or(std::int64_t { 160 }),
            .prompt = table["prompt"].value_or(""),
            .startS = table["start_s"].value_or(0.0),
            .endS = table["end_s"].value_or(run.durationS) };
        flow.model = table["model"].value_or("");
        flow.path = table["path"].value_or(flow.plain ? "/echo" : "/v1/completions");
        run.flows.push_back(std::move(flow));
    }
    run.sent.resize(run.flows.size());
}

} // namespace

int main(int argc, char** argv)
try {
    cxxopts::Options options("load-generator", "Sends requests as a TOML plan says and checks the answers");
    options.add_options()("plan", "TOML file", cxxopts::value<std::string>())(
        "entries", "ip:port of entries to ask first", cxxopts::value<std::vector<std::string>>())(
        "seed", "instead of the plan's", cxxopts::value<std::uint64_t>())("log",
        "file that gets a line for each attempt: outcome, prompt digest, key, rank, workspace, detail",
        cxxopts::value<std::string>()->default_value(""))(
        "threads", "requests of open flows at once", cxxopts::value<unsigned>()->default_value("256"))("help", "");
    options.parse_positional({ "plan" });
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    std::signal(SIGTERM, [](int) { stopRequested = true; });
    Run run;
    readPlan(run, toml::parse_file(flags["plan"].as<std::string>()));
    run.seed = flags.count("seed") > 0 ? flags["seed"].as<std::uint64_t>() : run.seed;
    run.pool = std::make_unique<EntryPool>(flags["entries"].as<std::vector<std::string>>());
    if (!flags["log"].as<std::string>().empty())
        run.log.open(flags["log"].as<std::string>(), std::ios::app);
    run.start = SteadyClock::now();
    std::vector<std::thread> threads;
    threads.emplace_back([&run] { runArrivals(run); });
    bool open = false;
    for (std::size_t flow = 0; flow < run.flows.size(); ++flow) {
        open = open || run.flows[flow].rate > 0;
        for (std::int64_t client = 0; client < run.flows[flow].clients; ++client)
            threads.emplace_back([&run, flow] { runClosedLoop(run, flow); });
    }
    for (unsigned worker = 0; open && worker < flags["threads"].as<unsigned>(); ++worker)
        threads.emplace_back([&run] { runWorker(run); });
    for (std::thread& thread : threads)
        thread.join();
    std::cout << summarise(run, millisecondsSince(run.start) / 1000).dump() << std::endl;
    return 0;
} catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << std::endl;
    return 2;
}
