#include "admission_func.h"

#include "admission_queue_func.h"
#include "suspect_func.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hickory {

namespace {

    /// Maximum length of an Idempotency-Key, bytes. The key becomes part of the key of the call row in the store.
    constexpr std::size_t maxIdempotencyKeyLength = 200;
    /// Retry-After of refusals whose cause usually ends with the next reconnect or heartbeat.
    constexpr Milliseconds shortRetryAfter { 1000 };
    /// Share of the rank's latency target that a request may always spend in the queue, even when the upstreams alone
    /// exceed the target.
    constexpr double minQueueTimeShare = 0.25;
    /// Nearly all times to the first part are below the mean plus this many deviations.
    constexpr double firstPartDeviations = 2;
    /// Share of the queue wait limit that the expected wait may reach. The estimate is a mean, while 95 % of the
    /// requests must meet the target.
    constexpr double maxExpectedWaitShare = 0.75;

    /// @return value of a hexadecimal digit, -1 for any other character
    int hexDigitValue(char digit)
    {
        if (digit >= '0' && digit <= '9')
            return digit - '0';
        const int lower = digit | 0x20;
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }

    /// Decodes percent-encoded bytes once; malformed escapes are kept as they are.
    std::string percentDecode(std::string_view text)
    {
        std::string decoded;
        for (std::size_t position = 0; position < text.size(); ++position) {
            const bool escaped = text[position] == '%' && position + 2 < text.size()
                && hexDigitValue(text[position + 1]) >= 0 && hexDigitValue(text[position + 2]) >= 0;
            if (escaped) {
                decoded
                    += static_cast<char>(hexDigitValue(text[position + 1]) * 16 + hexDigitValue(text[position + 2]));
                position += 2;
            } else {
                decoded += text[position];
            }
        }
        return decoded;
    }

    bool isValidIdempotencyKey(const std::string& key)
    {
        return key.size() <= maxIdempotencyKeyLength
            && std::all_of(key.begin(), key.end(), [](char character) { return character > ' ' && character < 127; });
    }

    std::optional<Refusal> checkService(const EntryState& state, const RequestArrived& call)
    {
        const ServiceConfig* service = state.config.config->findService(call.service);
        if (!service)
            return Refusal { .status = 404, .reason = "unknown-service" };
        if (isNonRepeatable(*service, call.path)) {
            if (call.idempotencyKey.empty())
                return Refusal { .status = 400, .reason = "missing-idempotency-key" };
            if (!isValidIdempotencyKey(call.idempotencyKey))
                return Refusal { .status = 400, .reason = "bad-idempotency-key" };
        }
        const auto pool = state.requests.pools.find(call.service);
        if (pool == state.requests.pools.end() || pool->second.upstreams.ready == 0)
            return Refusal { .status = 503, .reason = "no-ready-upstream", .retryAfter = shortRetryAfter };
        if (!pool->second.offered)
            return Refusal { .status = 503, .reason = "dependency-not-ready", .retryAfter = shortRetryAfter };
        const Milliseconds quarantine = quarantineRemaining(state, *service, call.requestDigest);
        if (quarantine > Milliseconds {})
            return Refusal { .status = 503, .reason = "quarantined", .retryAfter = quarantine };
        return std::nullopt;
    }

} // namespace

std::string normalisePath(std::string_view path)
{
    const std::string decoded = percentDecode(path.substr(0, path.find_first_of("?#")));
    std::vector<std::string> segments;
    std::size_t begin = 0;
    while (begin <= decoded.size()) {
        const std::size_t end = std::min(decoded.find('/', begin), decoded.size());
        const std::string segment = decoded.substr(begin, end - begin);
        if (segment == "..") {
            if (!segments.empty())
                segments.pop_back();
        } else if (!segment.empty() && segment != ".") {
            segments.push_back(segment);
        }
        begin = end + 1;
    }
    std::string normalised;
    for (const std::string& segment : segments)
        normalised += "/" + segment;
    return normalised.empty() ? "/" : normalised;
}

bool isNonRepeatable(const ServiceConfig& service, std::string_view path)
{
    if (!service.repeatable)
        return true;
    if (service.nonRepeatable.empty())
        return false;
    const std::string normalised = normalisePath(path);
    return std::any_of(service.nonRepeatable.begin(), service.nonRepeatable.end(),
        [&](const std::string& prefix) { return normalised.starts_with(prefix) || path.starts_with(prefix); });
}

std::optional<Refusal> checkRequest(const EntryState& state, const RequestArrived& call)
{
    if (!state.config.config)
        return Refusal { .status = 503, .reason = "no-configuration", .retryAfter = shortRetryAfter };
    if (state.requests.requests.contains(call.request))
        return Refusal { .status = 400, .reason = "duplicate-request" };
    if (!state.config.config->findRank(call.rank))
        return Refusal { .status = 400, .reason = "unknown-rank" };
    if (!state.requests.workspaces.contains(call.workspace))
        return Refusal { .status = 400, .reason = "unknown-workspace" };
    return checkService(state, call);
}

Milliseconds expectedWait(
    const EntryState& state, const ServicePool& pool, RankIndex rank, const WorkspaceId& workspace)
{
    const std::size_t index = queueIndex(state, rank);
    const RankStats& stats = pool.ranks[index];
    const double requestsInFlight = std::max<std::uint32_t>(1, stats.inFlight);
    const double ahead = tokensAhead(pool.queues[index], flowKey(state, workspace), flowWeight(state, workspace));
    // By Little's law a request ends every msPerRequest / requestsInFlight. The requests ahead and then the new request
    // each wait for a slot that becomes free in this way.
    return { std::llround((ahead * stats.msPerToken + stats.msPerRequest) / requestsInFlight) };
}

std::optional<Refusal> checkQueueing(const EntryState& state, const ServicePool& pool, const Request& request)
{
    const auto share = state.requests.workspaces.find(request.call.workspace);
    if (share != state.requests.workspaces.end() && share->second.queued >= share->second.maxQueued)
        return Refusal { .status = 429, .reason = "workspace-queue-full", .retryAfter = shortRetryAfter };
    const Milliseconds wait = expectedWait(state, pool, request.rank, request.call.workspace);
    const double allowedWait
        = maxExpectedWaitShare * static_cast<double>(queueWaitLimit(state, pool, request.rank).value);
    const Milliseconds retryAfter = std::max(shortRetryAfter, wait - Milliseconds { std::llround(allowedWait) });
    if (static_cast<double>(wait.value) > allowedWait)
        return Refusal { .status = 503, .reason = "wait-exceeds-target", .retryAfter = retryAfter };
    if (state.now + wait >= request.deadline)
        return Refusal { .status = 503, .reason = "wait-exceeds-deadline", .retryAfter = retryAfter };
    return std::nullopt;
}

std::size_t queueIndex(const EntryState& state, RankIndex rank)
{
    return state.settings.queuePolicy == QueuePolicy::Fifo ? 0 : rank.value;
}

WorkspaceId flowKey(const EntryState& state, const WorkspaceId& workspace)
{
    return state.settings.queuePolicy == QueuePolicy::RankFair ? workspace : WorkspaceId {};
}

double flowWeight(const EntryState& state, const WorkspaceId& workspace)
{
    constexpr double minWeight = 1e-6;
    if (state.settings.queuePolicy != QueuePolicy::RankFair)
        return 1.0;
    const auto share = state.requests.workspaces.find(workspace);
    return share != state.requests.workspaces.end() ? std::max(minWeight, share->second.weight) : 1.0;
}

Milliseconds queueWaitLimit(const EntryState& state, const ServicePool& pool, RankIndex rank)
{
    const auto target = static_cast<double>(state.config.config->ranks[rank.value].firstTokenTarget.value);
    const RankStats& stats = pool.ranks[queueIndex(state, rank)];
    const double firstPart = stats.firstPartMs + firstPartDeviations * stats.firstPartDeviationMs;
    return { std::llround(std::max(target - firstPart, target * minQueueTimeShare)) };
}

} // namespace hickory
