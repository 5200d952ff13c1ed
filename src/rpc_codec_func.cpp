#include "rpc_codec_func.h"

namespace hickory {

namespace {

    std::string text(capnp::Text::Reader from) { return { from.begin(), from.size() }; }

} // namespace

ConfigRecord decode(rpc::ConfigRecord::Reader from)
{
    return {
        .generation = { from.getGeneration() },
        .digest = text(from.getDigest()),
        .changeId = { text(from.getChangeId()) },
        .text = text(from.getText()),
    };
}

void encode(const ConfigRecord& from, rpc::ConfigRecord::Builder to)
{
    to.setGeneration(from.generation.value);
    to.setDigest(from.digest);
    to.setChangeId(from.changeId.value);
    to.setText(from.text);
}

AgentStatus decode(rpc::AgentStatus::Reader from)
{
    AgentStatus status;
    status.host = { text(from.getHost()) };
    status.dataCentre = { text(from.getPlace()) };
    status.incarnation = { from.getIncarnation() };
    status.sequence = from.getSequence();
    status.service = { text(from.getService()) };
    status.ready = from.getReady();
    status.leaving = from.getLeaving();
    status.model = { text(from.getModel()) };
    status.version = { text(from.getVersion()) };
    for (const auto adapter : from.getAdapters())
        status.adapters.push_back(text(adapter));
    status.role = text(from.getRole());
    status.generation = { from.getGeneration() };
    status.limit = from.getLimit();
    for (const auto rank : from.getRanks())
        status.ranks.push_back({ .running = rank.getRunning(), .queued = rank.getQueued() });
    status.queuedTokens = { from.getQueuedTokens() };
    status.latency = { from.getLatencyMs() };
    status.wantedVersion = { text(from.getWantedVersion()) };
    status.chunksHave = from.getChunksHave();
    status.chunksTotal = from.getChunksTotal();
    status.failures = from.getFailures();
    status.detail = text(from.getDetail());
    return status;
}

void encode(const AgentStatus& from, rpc::AgentStatus::Builder to)
{
    to.setHost(from.host.value);
    to.setPlace(from.dataCentre.value);
    to.setIncarnation(from.incarnation.value);
    to.setSequence(from.sequence);
    to.setService(from.service.value);
    to.setReady(from.ready);
    to.setLeaving(from.leaving);
    to.setModel(from.model.value);
    to.setVersion(from.version.value);
    auto adapters = to.initAdapters(from.adapters.size());
    for (std::size_t i = 0; i < from.adapters.size(); ++i)
        adapters.set(i, from.adapters[i]);
    to.setRole(from.role);
    to.setGeneration(from.generation.value);
    to.setLimit(from.limit);
    auto ranks = to.initRanks(from.ranks.size());
    for (std::size_t i = 0; i < from.ranks.size(); ++i) {
        ranks[i].setRunning(from.ranks[i].running);
        ranks[i].setQueued(from.ranks[i].queued);
    }
    to.setQueuedTokens(from.queuedTokens.value);
    to.setLatencyMs(static_cast<std::uint32_t>(from.latency.value));
    to.setWantedVersion(from.wantedVersion.value);
    to.setChunksHave(from.chunksHave);
    to.setChunksTotal(from.chunksTotal);
    to.setFailures(from.failures);
    to.setDetail(from.detail);
}

DispatchCall decodeCall(rpc::DispatchCall::Reader from)
{
    return {
        .key
        = { .entry = { text(from.getEntry()) }, .request = { from.getRequest() }, .attempt = { from.getAttempt() } },
        .service = { text(from.getService()) },
        .workspace = { text(from.getWorkspace()) },
        .rank = { from.getRank() },
        .requestDigest = { text(from.getBodyDigest()) },
        .timeout = { static_cast<std::int64_t>(from.getTimeoutMs()) },
        .version = { text(from.getVersion()) },
        .resumeFrom = from.getResumeFrom(),
        .cost = { from.getCostTokens() },
        .idempotencyKey = text(from.getIdempotencyKey()),
        .rowVersion = { from.getRowVersion() },
        .suspect = from.getSuspect(),
    };
}

RequestPayload decodePayload(rpc::DispatchCall::Reader from)
{
    const auto body = from.getBody();
    return {
        .method = text(from.getMethod()),
        .path = text(from.getPath()),
        .contentType = text(from.getContentType()),
        .body = { reinterpret_cast<const char*>(body.begin()), body.size() },
        .idempotencyKey = text(from.getIdempotencyKey()),
    };
}

void encode(const DispatchCall& call, const RequestPayload& payload, rpc::DispatchCall::Builder to)
{
    to.setEntry(call.key.entry.value);
    to.setRequest(call.key.request.value);
    to.setAttempt(call.key.attempt.value);
    to.setService(call.service.value);
    to.setWorkspace(call.workspace.value);
    to.setRank(call.rank.value);
    to.setMethod(payload.method);
    to.setPath(payload.path);
    to.setContentType(payload.contentType);
    to.setBody({ reinterpret_cast<const capnp::byte*>(payload.body.data()), payload.body.size() });
    to.setBodyDigest(call.requestDigest.value);
    to.setTimeoutMs(static_cast<std::uint64_t>(call.timeout.value));
    to.setVersion(call.version.value);
    to.setResumeFrom(call.resumeFrom);
    to.setCostTokens(call.cost.value);
    to.setIdempotencyKey(call.idempotencyKey);
    to.setRowVersion(call.rowVersion.value);
    to.setSuspect(call.suspect);
}

DispatchResult decode(rpc::DispatchResult::Reader from)
{
    return {
        .kind = static_cast<DispatchResultKind>(from.getKind()),
        .reason = text(from.getReason()),
        .status = from.getStatus(),
        .parts = from.getParts(),
        .load = decode(from.getLoad()),
    };
}

void encode(const DispatchResult& from, rpc::DispatchResult::Builder to)
{
    to.setKind(static_cast<rpc::DispatchResultKind>(from.kind));
    to.setReason(from.reason);
    to.setStatus(from.status);
    to.setParts(from.parts);
    encode(from.load, to.initLoad());
}

GossipMessage decode(rpc::GossipMessage::Reader from)
{
    GossipMessage message {
        .from = { text(from.getFrom()) }, .fromLeaving = from.getFromLeaving(), .generation = { from.getGeneration() }
    };
    for (const auto host : from.getLeaving())
        message.leaving.push_back({ text(host) });
    for (const auto suspicion : from.getSuspicions())
        message.suspicions.push_back({
            .service = { text(suspicion.getService()) },
            .requestDigest = { text(suspicion.getBodyDigest()) },
            .crashes = suspicion.getCrashes(),
            .age = { static_cast<std::int64_t>(suspicion.getAgeMs()) },
        });
    for (const auto demand : from.getDemand())
        message.demand.push_back({ .service = { text(demand.getService()) },
            .rank = { demand.getRank() },
            .tokens = { demand.getTokens() } });
    return message;
}

void encode(const GossipMessage& from, rpc::GossipMessage::Builder to)
{
    to.setFrom(from.from.value);
    to.setFromLeaving(from.fromLeaving);
    to.setGeneration(from.generation.value);
    auto leaving = to.initLeaving(from.leaving.size());
    for (std::size_t i = 0; i < from.leaving.size(); ++i)
        leaving.set(i, from.leaving[i].value);
    auto suspicions = to.initSuspicions(from.suspicions.size());
    for (std::size_t i = 0; i < from.suspicions.size(); ++i) {
        suspicions[i].setService(from.suspicions[i].service.value);
        suspicions[i].setBodyDigest(from.suspicions[i].requestDigest.value);
        suspicions[i].setCrashes(from.suspicions[i].crashes);
        suspicions[i].setAgeMs(static_cast<std::uint64_t>(from.suspicions[i].age.value));
    }
    auto demand = to.initDemand(from.demand.size());
    for (std::size_t i = 0; i < from.demand.size(); ++i) {
        demand[i].setService(from.demand[i].service.value);
        demand[i].setRank(from.demand[i].rank.value);
        demand[i].setTokens(from.demand[i].tokens.value);
    }
}

} // namespace hickory
