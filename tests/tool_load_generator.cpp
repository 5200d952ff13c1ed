// Sends requests through the entries as described by a TOML plan, checks every response and prints a JSON summary.

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

std::atomic<bool> stopRequested { false }; ///< set by SIGTERM: no new requests, running ones are finished

/// A series of similar requests, from a [[flow]] table of the plan.
struct Flow {
    std::string rank; ///< sent as X-Rank
    std::string workspace; ///< sent as X-Workspace
    std::string service; ///< name in the request path
    std::string path; ///< path after the service name; default /echo for plain calls, otherwise /v1/completions
    std::string model; ///< sent in the body of an engine's request, may be empty
    bool plain { false }; ///< send a plain call; otherwise an engine request whose answer is a token stream
    bool sendKeys { false }; ///< send a unique Idempotency-Key with each request
    double rate { 0 }; ///< open loop: mean arrivals per second of a Poisson process; 0 for none
    std::int64_t clients {
        0
    }; ///< closed loop: clients that each wait for a response before the next request; 0 for none
    std::int64_t requestLimit { 0 }; ///< maximum number of requests, 0 for no limit
    std::int64_t resends { 0 }; ///< maximum retries of a request whose outcome is unknown, broken or unreachable
    std::int64_t maxTokens { 0 }; ///< tokens in each answer
    std::int64_t timeoutMs { 0 }; ///< sent as X-Timeout-Ms; the connection times out 5 s later
    std::int64_t prefixes { 0 }; ///< number of distinct prompt prefixes
    double zipfExponent { 0 }; ///< key "skew": prefix k is drawn with weight 1/k^zipfExponent
    std::int64_t promptChars { 0 }; ///< minimum length of a generated prompt, in characters
    std::string prompt; ///< fixed prompt or plain body; empty generates a unique one for each request
    double startS { 0 }; ///< seconds from the start of the run until the first request may be sent
    double endS { 0 }; ///< seconds from the start of the run after which no request is started
};

/// Results of a group of requests.
struct RequestStats {
    std::map<std::string, std::uint64_t> counts; ///< attempts by outcome name; also "sent", "resent" and "tokens"
    std::vector<double> firstToken; ///< ms from sending to the first token
    std::vector<double> betweenTokens; ///< ms from one token to the next
    std::vector<double> refusal; ///< ms from sending to the end of a not-run answer
    std::vector<double> total; ///< ms from sending to the end of a correct answer
};

/// Results of one rank within one time slice, by the time at which attempts end.
struct TimeSlice {
    std::map<std::string, std::uint64_t> counts; ///< attempts by outcome name
    std::vector<double> firstToken; ///< ms from sending to the first token
    std::vector<double> betweenTokens; ///< ms from one token to the next
};

/// Plan, state and results of a run of the generator.
struct LoadRun {
    std::uint64_t seed { 0 }; ///< determines arrival times and prompts
    double durationS { 0 }; ///< seconds in which requests are started; default end of flows
    std::uint64_t sliceMs { 0 }; ///< length of a time slice in the summary's timeline
    std::vector<Flow> flows; ///< from the plan, in its order
    std::unique_ptr<EntryPool> pool; ///< entries that requests are sent to
    SteadyClock::time_point start; ///< beginning of the run
    std::ofstream log; ///< one line for each attempt; closed without --log
    std::mutex mutex; ///< protects all members below
    std::condition_variable jobsChanged; ///< notified when a job is added and when arrivals end
    std::deque<std::pair<std::size_t, SteadyClock::time_point>>
        jobs; ///< requests due for sending: index of the flow and time of arrival
    bool arrivalsEnded { false }; ///< no more jobs will be added
    std::vector<std::uint64_t> sent; ///< number of requests by index of the flow
    std::map<std::string, RequestStats> ranks; ///< results by rank
    std::map<std::string, RequestStats> workspaces; ///< results by "rank/workspace"
    std::map<std::pair<std::uint64_t, std::string>, TimeSlice> slices; ///< results by number of the slice and rank
    std::vector<double> sendDelays; ///< ms from the planned arrival of an open-loop request until a worker sends it
    std::vector<std::string> wrongAnswers; ///< service and detail of the first wrong answers
};

double elapsedMilliseconds(SteadyClock::time_point from)
{
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - from).count();
}

std::string makePrompt(const LoadRun& run, const Flow& flow, std::size_t flowIndex, std::uint64_t number)
{
    if (!flow.prompt.empty())
        return flow.prompt;
    std::mt19937_64 random(run.seed * 1'000'003 + flowIndex * 7'919 + number);
    std::vector<double> weights;
    for (std::int64_t prefix = 1; prefix <= std::max<std::int64_t>(1, flow.prefixes); ++prefix)
        weights.push_back(1 / std::pow(static_cast<double>(prefix), flow.zipfExponent));
    const std::size_t prefix = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    std::string prompt = flow.service + " prefix " + std::to_string(prefix) + " ";
    constexpr std::size_t prefixChars = 96; // longer than the part that engines and entries hash
    prompt.resize(prefixChars, '.');
    prompt += std::to_string(run.seed) + "-" + std::to_string(flowIndex) + "-" + std::to_string(number) + " ";
    prompt.resize(std::max<std::size_t>(prompt.size(), flow.promptChars), '.');
    return prompt;
}

/// Sends one attempt of a request.
/// @param address entry to send to
/// @param key Idempotency-Key, empty for none
/// @param stats receives times and the number of tokens
/// @param detail receives the reason when the outcome is not Ok
CallerOutcome sendOnce(LoadRun& run, const Flow& flow, const std::string& address, const std::string& prompt,
    const std::string& key, RequestStats& stats, std::string& detail)
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
            (last == sent ? stats.firstToken : stats.betweenTokens).push_back(elapsedMilliseconds(last));
            last = SteadyClock::now();
            ++stats.counts["tokens"];
        }
        return true;
    };
    auto client = run.pool->take(address);
    client->set_read_timeout(std::chrono::milliseconds(flow.timeoutMs + 5000));
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    const bool responseComplete = client->send(request, response, error);
    const double elapsed = elapsedMilliseconds(sent);
    if (!responseComplete) {
        detail = httplib::to_string(error) + " status " + std::to_string(status);
        return error == httplib::Error::Connection ? CallerOutcome::Unreachable : CallerOutcome::Broken;
    }
    run.pool->returnConnection(address, std::move(client));
    if (status == 200) {
        const bool correct = flow.plain
            ? Json::parse(body, nullptr, false).value("echo_digest", "") == hickory::digestHex(prompt)
            : checker.complete();
        if (correct) {
            stats.total.push_back(elapsed);
            return CallerOutcome::Ok;
        }
        detail = flow.plain ? body : checker.mistake().empty() ? "no end mark" : checker.mistake();
        return CallerOutcome::Wrong;
    }
    detail = std::to_string(status) + " " + body;
    const std::string outcome = response.get_header_value("X-Outcome");
    if (outcome == "not-run") {
        stats.refusal.push_back(elapsed);
        return CallerOutcome::NotRun;
    }
    return outcome == "ran" ? CallerOutcome::Ran : CallerOutcome::Unknown;
}

void mergeStats(RequestStats& total, const RequestStats& one)
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

void record(LoadRun& run, const Flow& flow, CallerOutcome outcome, const std::string& prompt, const std::string& key,
    const RequestStats& stats, const std::string& detail)
{
    constexpr std::size_t wrongAnswersKept = 20;
    const std::lock_guard lock(run.mutex);
    mergeStats(run.ranks[flow.rank], stats);
    mergeStats(run.workspaces[flow.rank + "/" + flow.workspace], stats);
    TimeSlice& slice
        = run.slices[{ static_cast<std::uint64_t>(elapsedMilliseconds(run.start)) / run.sliceMs, flow.rank }];
    ++slice.counts[outcomeName(outcome)];
    slice.firstToken.insert(slice.firstToken.end(), stats.firstToken.begin(), stats.firstToken.end());
    slice.betweenTokens.insert(slice.betweenTokens.end(), stats.betweenTokens.begin(), stats.betweenTokens.end());
    if (outcome == CallerOutcome::Wrong && run.wrongAnswers.size() < wrongAnswersKept)
        run.wrongAnswers.push_back(flow.service + ": " + detail);
    if (run.log.is_open()) {
        run.log << outcomeName(outcome) << ' ' << hickory::digestHex(prompt) << ' ' << (key.empty() ? "-" : key) << ' '
                << flow.rank << ' ' << flow.workspace << ' ' << detail.substr(0, detail.find('\n')) << std::endl;
    }
}

/// Sends one request, with up to Flow::resends retries.
/// @return outcome of the last attempt
CallerOutcome sendRequest(LoadRun& run, std::size_t flowIndex, std::uint64_t number)
{
    constexpr int entryAttempts = 4;
    constexpr auto resendPause = std::chrono::milliseconds(50);
    const Flow& flow = run.flows[flowIndex];
    const std::string prompt = makePrompt(run, flow, flowIndex, number);
    const std::string key = flow.sendKeys
        ? "k" + std::to_string(run.seed) + "-" + std::to_string(flowIndex) + "-" + std::to_string(number)
        : "";
    CallerOutcome outcome = CallerOutcome::Unreachable;
    for (std::int64_t attempt = 0; attempt <= flow.resends; ++attempt) {
        RequestStats stats;
        std::string detail;
        for (int entryAttempt = 0; entryAttempt < entryAttempts; ++entryAttempt) {
            run.pool->refresh();
            outcome = sendOnce(run, flow, run.pool->pick(), prompt, key, stats, detail);
            if (outcome != CallerOutcome::Unreachable)
                break;
        }
        ++stats.counts[attempt == 0 ? "sent" : "resent"];
        ++stats.counts[outcomeName(outcome)];
        record(run, flow, outcome, prompt, key, stats, detail);
        if (stopRequested
            || (outcome != CallerOutcome::Unknown && outcome != CallerOutcome::Broken
                && outcome != CallerOutcome::Unreachable))
            break;
        std::this_thread::sleep_for(resendPause);
    }
    return outcome;
}

/// Reserves the number of the next request of a flow.
/// @return the number, or nothing when the flow's requestLimit is reached
std::optional<std::uint64_t> nextNumber(LoadRun& run, std::size_t flowIndex)
{
    const std::lock_guard lock(run.mutex);
    const std::int64_t requestLimit = run.flows[flowIndex].requestLimit;
    if (requestLimit > 0 && run.sent[flowIndex] >= static_cast<std::uint64_t>(requestLimit))
        return std::nullopt;
    return run.sent[flowIndex]++;
}

/// Runs one closed-loop client, which sends a request after the previous one has ended.
void runClosedLoop(LoadRun& run, std::size_t flowIndex)
{
    // Refusals take about 1 ms: without the pause, a refused client would send 1000 requests a second.
    constexpr auto pauseAfterFailure = std::chrono::milliseconds(100);
    const Flow& flow = run.flows[flowIndex];
    const auto timeAt = [&run](double seconds) {
        return run.start + std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(seconds));
    };
    while (SteadyClock::now() < timeAt(flow.startS) && !stopRequested)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    while (SteadyClock::now() < timeAt(flow.endS) && !stopRequested) {
        const auto number = nextNumber(run, flowIndex);
        if (!number)
            return;
        if (sendRequest(run, flowIndex, *number) != CallerOutcome::Ok)
            std::this_thread::sleep_for(pauseAfterFailure);
    }
}

/// Adds a job for each arrival of the open-loop flows, at its time.
void runArrivals(LoadRun& run)
{
    std::mt19937_64 random(run.seed);
    std::multimap<double, std::size_t> next;
    const auto interarrivalTime
        = [&](std::size_t flow) { return std::exponential_distribution<double>(run.flows[flow].rate)(random); };
    for (std::size_t flow = 0; flow < run.flows.size(); ++flow)
        if (run.flows[flow].rate > 0)
            next.emplace(run.flows[flow].startS + interarrivalTime(flow), flow);
    while (!next.empty() && !stopRequested) {
        const auto [seconds, flow] = *next.begin();
        const auto time
            = run.start + std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(seconds));
        std::this_thread::sleep_until(std::min(time, SteadyClock::now() + std::chrono::milliseconds(100)));
        if (SteadyClock::now() < time)
            continue;
        next.erase(next.begin());
        const double nextArrival = seconds + interarrivalTime(flow);
        if (nextArrival < run.flows[flow].endS)
            next.emplace(nextArrival, flow);
        const std::lock_guard lock(run.mutex);
        run.jobs.emplace_back(flow, time);
        run.jobsChanged.notify_one();
    }
    const std::lock_guard lock(run.mutex);
    run.arrivalsEnded = true;
    run.jobsChanged.notify_all();
}

/// Sends the requests of open-loop flows until arrivals have ended and no job is left.
void runWorker(LoadRun& run)
{
    while (true) {
        std::unique_lock lock(run.mutex);
        run.jobsChanged.wait(lock, [&run] { return run.arrivalsEnded || !run.jobs.empty(); });
        if (run.jobs.empty())
            return;
        const auto [flow, arrival] = run.jobs.front();
        run.jobs.pop_front();
        run.sendDelays.push_back(elapsedMilliseconds(arrival));
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

Json statsJson(RequestStats& group)
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

Json summarise(LoadRun& run, double seconds)
{
    Json json { { "seed", run.seed }, { "seconds", seconds }, { "late_ms", quantiles(run.sendDelays) },
        { "mistakes", run.wrongAnswers }, { "by_rank", Json::object() }, { "by_workspace", Json::object() } };
    RequestStats all;
    for (auto& [rank, group] : run.ranks) {
        mergeStats(all, group);
        json["by_rank"][rank] = statsJson(group);
    }
    for (auto& [name, group] : run.workspaces)
        json["by_workspace"][name] = statsJson(group);
    json["all"] = statsJson(all);
    for (auto& [key, slice] : run.slices) {
        json["timeline"].push_back({ { "ms", key.first * run.sliceMs }, { "rank", key.second },
            { "counts", slice.counts }, { "first_token_p95_ms", quantile(slice.firstToken, 0.95) },
            { "between_tokens_p95_ms", quantile(slice.betweenTokens, 0.95) } });
    }
    return json;
}

void readPlan(LoadRun& run, const toml::table& plan)
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
            .sendKeys = table["keys"].value_or(false),
            .rate = table["rate"].value_or(0.0),
            .clients = table["clients"].value_or(std::int64_t { 0 }),
            .requestLimit = table["limit"].value_or(std::int64_t { 0 }),
            .resends = table["resends"].value_or(std::int64_t { 0 }),
            .maxTokens = table["max_tokens"].value_or(std::int64_t { 16 }),
            .timeoutMs = table["timeout_ms"].value_or(std::int64_t { 60000 }),
            .prefixes = table["prefixes"].value_or(std::int64_t { 16 }),
            .zipfExponent = table["skew"].value_or(1.0),
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
    cxxopts::Options options("load-generator", "Sends requests as described by a TOML plan and checks the responses");
    options.add_options()("plan", "TOML file with the plan", cxxopts::value<std::string>())("entries",
        "ip:port of entries to get the list of all entries from", cxxopts::value<std::vector<std::string>>())(
        "seed", "overrides the seed of the plan", cxxopts::value<std::uint64_t>())("log",
        "file to append a line to for each attempt: outcome, prompt digest, key, rank, workspace, detail",
        cxxopts::value<std::string>()->default_value(""))("threads", "maximum concurrent requests of open-loop flows",
        cxxopts::value<unsigned>()->default_value("256"))("help", "");
    options.parse_positional({ "plan" });
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    std::signal(SIGTERM, [](int) { stopRequested = true; });
    LoadRun run;
    readPlan(run, toml::parse_file(flags["plan"].as<std::string>()));
    run.seed = flags.count("seed") > 0 ? flags["seed"].as<std::uint64_t>() : run.seed;
    run.pool = std::make_unique<EntryPool>(flags["entries"].as<std::vector<std::string>>());
    if (!flags["log"].as<std::string>().empty())
        run.log.open(flags["log"].as<std::string>(), std::ios::app);
    run.start = SteadyClock::now();
    std::vector<std::thread> threads;
    threads.emplace_back([&run] { runArrivals(run); });
    bool hasOpenLoopFlow = false;
    for (std::size_t flow = 0; flow < run.flows.size(); ++flow) {
        hasOpenLoopFlow = hasOpenLoopFlow || run.flows[flow].rate > 0;
        for (std::int64_t client = 0; client < run.flows[flow].clients; ++client)
            threads.emplace_back([&run, flow] { runClosedLoop(run, flow); });
    }
    for (unsigned worker = 0; hasOpenLoopFlow && worker < flags["threads"].as<unsigned>(); ++worker)
        threads.emplace_back([&run] { runWorker(run); });
    for (std::thread& thread : threads)
        thread.join();
    std::cout << summarise(run, elapsedMilliseconds(run.start) / 1000).dump() << std::endl;
    return 0;
} catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << std::endl;
    return 2;
}
