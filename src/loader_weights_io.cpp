#include "digest_func.h"
#include "loader_loop_io.h"
#include "log_io.h"
#include "platform_names.h"
#include "platform_wire_func.h"
#include "stage_source_func.h"
#include "table/answer_limits.h"
#include "table/loader_limits.h"

namespace hickory {

namespace {

    constexpr std::uint16_t statusOk = 200;
    constexpr std::uint16_t statusUnavailable = 503;

    /// @return why a response to a piece request is not the piece, for the log
    std::string describeFailure(const Result<FetchResponse>& answer)
    {
        if (!answer)
            return answer.error().text();
        const FetchResponse& response = answer.value();
        return response.head.status == statusOk ? "digest differs, " + std::to_string(response.body.size()) + " bytes"
                                                : "status " + std::to_string(response.head.status);
    }

    /// @param resource "manifest", or the index of a piece with an optional query
    /// @return path and query of a request to another agent
    std::string peerTarget(WeightsVersion version, const std::string& resource)
    {
        return peerWeightsPath + std::to_string(version.value) + "/" + resource;
    }

} // namespace

void LoaderLoop::fetchManifest(const RequestManifest& effect)
{
    const bool origin = effect.source.ip.empty();
    FetchCall call { .address
        = origin ? this->state.originAddress : effect.source.ip + ":" + std::to_string(this->settings.host.peerPort),
        .target
        = origin ? platform::manifestTarget(this->state.model, effect.version) : peerTarget(effect.version, "manifest"),
        .maxAnswerBody = maxFetchedDocument,
        .timeout = originTimeout,
        .keep = !origin };
    this->pool.fetch(std::move(call), [this, version = effect.version](const Result<FetchResponse>& answer) {
        std::uint32_t pieceCount = 0;
        std::uint32_t pieceBytes = 0;
        if (succeeded(answer)) {
            const auto manifest = platform::decodeManifest(answer.value().body);
            if (manifest && manifest.value().version == version) {
                HeldVersion& own = this->held[version.value];
                own.manifestText = answer.value().body;
                own.digests = manifest.value().digests;
                own.pieces.resize(own.digests.size());
                pieceCount = static_cast<std::uint32_t>(own.digests.size());
                pieceBytes = manifest.value().pieceBytes;
                std::vector<WeightsVersion> versions;
                for (const auto& [number, pieces] : this->held)
                    versions.push_back({ number });
                for (const WeightsVersion dropped : versionsToDrop(this->state, versions, maxHeldVersions))
                    this->held.erase(dropped.value);
            }
        }
        if (pieceCount == 0)
            writeLog({ .level = LogLevel::Warning,
                .event = "manifest-failed",
                .fields = { { "version", std::to_string(version.value) },
                    { "error",
                        answer ? "status " + std::to_string(answer.value().head.status) : answer.error().text() } } });
        this->dispatch(ManifestFetched { .version = version, .pieceCount = pieceCount, .pieceBytes = pieceBytes });
    });
}

bool LoaderLoop::storeVerifiedPiece(WeightsVersion version, std::uint32_t index, const std::string& bytes)
{
    const auto found = this->held.find(version.value);
    if (found == this->held.end() || index >= found->second.digests.size()
        || sha256Hex(bytes) != found->second.digests[index])
        return false;
    found->second.pieces[index] = bytes;
    return true;
}

void LoaderLoop::fetchPiece(const RequestPiece& effect)
{
    const bool origin = effect.source.ip.empty();
    FetchCall call { .address
        = origin ? this->state.originAddress : effect.source.ip + ":" + std::to_string(this->settings.host.peerPort),
        .target = origin
            ? platform::pieceTarget(this->state.model, effect.version, effect.index)
            : peerTarget(effect.version,
                std::to_string(effect.index) + (isShared(this->state, effect.source) ? otherDataCentreQuery : "")),
        .maxAnswerBody = maxFetchedPiece,
        .timeout = origin ? originTimeout : peerPieceTimeout,
        .keep = !origin };
    const auto found = this->held.find(effect.version.value);
    if (found != this->held.end() && !found->second.pieces.at(effect.index).empty()) {
        // Already in memory, from an earlier fetch or read-back.
        asio::post(this->io, [this, effect] {
            this->dispatch(
                PieceFetched { .version = effect.version, .index = effect.index, .source = effect.source, .ok = true });
        });
        return;
    }
    this->pool.fetch(std::move(call), [this, effect](const Result<FetchResponse>& answer) {
        const bool ok
            = succeeded(answer) && this->storeVerifiedPiece(effect.version, effect.index, answer.value().body);
        this->dispatch(PieceFetched { .version = effect.version,
            .index = effect.index,
            .source = effect.source,
            .ok = ok,
            .problem = ok ? "" : describeFailure(answer),
            .sourceBusy = answer && answer.value().head.status == statusUnavailable });
    });
}

void LoaderLoop::stagePiece(const StagePiece& effect)
{
    const auto found = this->held.find(effect.version.value);
    if (found == this->held.end() || found->second.pieces.at(effect.index).empty()) {
        writeLog({ .level = LogLevel::Warning,
            .event = "stage-failed",
            .fields = { { "piece", std::to_string(effect.index) }, { "error", "not in memory" } } });
        asio::post(this->io, [this, effect] {
            this->dispatch(PieceStaged { .version = effect.version, .index = effect.index, .inMemory = false });
        });
        return;
    }
    this->pool.fetch({ .address = this->settings.engine,
                         .method = "PUT",
                         .target = platform::stagePutTarget(this->state.model, effect.index),
                         .headers = { { "Content-Type", "application/octet-stream" } },
                         .body = found->second.pieces.at(effect.index),
                         .maxAnswerBody = maxFetchedDocument,
                         .timeout = engineTimeout },
        [this, effect](const Result<FetchResponse>& answer) {
            constexpr std::uint16_t firstFailure = 300;
            const bool ok = answer && answer.value().head.status < firstFailure;
            if (!ok)
                writeLog({ .level = LogLevel::Warning,
                    .event = "stage-failed",
                    .fields = { { "piece", std::to_string(effect.index) },
                        { "error",
                            answer ? "status " + std::to_string(answer.value().head.status)
                                   : answer.error().text() } } });
            this->dispatch(PieceStaged { .version = effect.version, .index = effect.index, .ok = ok });
        });
}

/// Progress of reading staged pieces, in the order of their indices.
struct LoaderLoop::StagedRead {
    WeightsVersion version; ///< version whose digests are used
    bool stopsAtMissing { false }; ///< it ends with the first piece that the engine does not hold
    std::function<void(const StagedRead&)> ended;
    std::uint32_t next { 0 }; ///< index of the next piece to read
    std::vector<std::uint32_t> bad; ///< indices of pieces that are missing or do not match
    bool anyMissing { false };
    bool failed { false }; ///< cut short: the engine did not respond, or the version is no longer held
};

void LoaderLoop::checkStagedPieces(const CheckStagedPieces& effect)
{
    this->readNextStaged(std::make_shared<StagedRead>(
        StagedRead { .version = effect.version, .ended = [this, round = effect.round](const StagedRead& read) {
                        this->dispatch(StagedPiecesChecked {
                            .version = read.version, .round = round, .bad = read.bad, .failed = read.failed });
                    } }));
}

void LoaderLoop::inspectStagedPieces(const InspectStagedPieces& effect)
{
    this->readNextStaged(std::make_shared<StagedRead>(StagedRead {
        .version = effect.version, .stopsAtMissing = true, .ended = [this](const StagedRead& read) {
            const bool whole = !read.failed && !read.anyMissing;
            this->dispatch(StagedPiecesInspected {
                .version = read.version, .whole = whole, .matches = whole && read.bad.empty(), .failed = read.failed });
        } }));
}

void LoaderLoop::readNextStaged(const std::shared_ptr<StagedRead>& read)
{
    const auto found = this->held.find(read->version.value);
    if (found == this->held.end() || read->next >= found->second.digests.size()) {
        read->failed = found == this->held.end();
        // Not from within the effect that asked for it: its event may ask for the next one.
        asio::post(this->io, [read] { read->ended(*read); });
        return;
    }
    this->pool.fetch({ .address = this->settings.engine,
                         .target = platform::stageGetTarget(this->state.model, read->next),
                         .maxAnswerBody = maxFetchedPiece,
                         .timeout = engineTimeout },
        [this, read](const Result<FetchResponse>& answer) {
            const auto version = this->held.find(read->version.value);
            read->failed = !answer || version == this->held.end();
            const bool isMissing = !read->failed && !succeeded(answer);
            read->anyMissing = read->anyMissing || isMissing;
            if (read->failed || (isMissing && read->stopsAtMissing)) {
                read->ended(*read);
                return;
            }
            if (isMissing || !this->storeVerifiedPiece(read->version, read->next, answer.value().body))
                read->bad.push_back(read->next);
            ++read->next;
            this->readNextStaged(read);
        });
}

void LoaderLoop::sendLoadOrder(const SendLoadOrder& effect)
{
    this->pool.fetch({ .address = this->settings.engine,
                         .method = "POST",
                         .target = platform::orderPath,
                         .headers = { { "Content-Type", "application/json" } },
                         .body = platform::encodeLoadOrder(this->state.model, effect.version, effect.expectedOrders),
                         .maxAnswerBody = maxFetchedDocument,
                         .timeout = orderResponseTimeout },
        [this, version = effect.version](const Result<FetchResponse>& answer) {
            this->dispatch(LoadOrderAnswered { .version = version,
                .status = answer ? answer.value().head.status : std::uint16_t {},
                .sent = answer || answer.error().step != connectStep });
        });
}

void LoaderLoop::upload(CallId call, const std::string& bytes, bool prioritised)
{
    const auto position = prioritised && !this->uploads.empty() ? this->uploads.begin() + 1 : this->uploads.end();
    this->uploads.insert(position, { .call = call, .bytes = bytes });
    if (this->uploads.size() == 1)
        this->uploadSlice();
}

void LoaderLoop::uploadSlice()
{
    if (this->uploads.empty())
        return;
    Upload& current = this->uploads.front();
    if (current.sent == 0)
        this->front.begin(current.call, statusOk, { { "Content-Type", "application/octet-stream" } });
    // Bytes still pending mean that the link is slower than configured. Then no more are queued, so that the engine's
    // streams do not wait behind pieces.
    if (this->front.pending(current.call) == 0) {
        this->front.body(current.call, std::string_view(current.bytes).substr(current.sent, uploadSliceBytes));
        current.sent += uploadSliceBytes;
    }
    if (current.sent >= current.bytes.size()) {
        this->front.finish(current.call);
        this->uploads.pop_front();
    }
    const double bytesPerMs = this->settings.linkMbps * uploadLinkShare(this->state) * bytesPerMsPerMbps;
    this->uploadTimer.expires_after(
        std::chrono::microseconds(static_cast<std::int64_t>(1000.0 * uploadSliceBytes / bytesPerMs)));
    this->uploadTimer.async_wait([this](const std::error_code& code) {
        if (!code)
            this->uploadSlice();
    });
}

} // namespace hickory
