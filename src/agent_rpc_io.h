#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "error_type.h"
#include "rpc_codec_func.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace hickory {

/// Carries the parts of one attempt's answer from the thread that reads the upstream to the entry.
class PartChannel {
public:
    /// Sends a part; blocks while too many parts are unacknowledged.
    /// @param data bytes of the part, may be empty
    /// @param status HTTP status of the upstream
    /// @param contentType Content-Type of the answer
    /// @return false when the channel is closed: the attempt was cancelled or the entry's connection lost
    bool send(std::string data, std::uint16_t status, const std::string& contentType);

    /// Makes further send() calls fail. Safe from any thread.
    void close();

    std::function<void(std::uint32_t, std::string, std::uint16_t, std::string)>
        postPart; ///< passes sequence number, data, status and content type of a part to the RPC thread
    std::uint32_t nextSequence { 0 }; ///< sequence number of the next part; used by the sending thread only

    /// Called on the RPC thread when the entry has acknowledged a part, or failed to.
    void acknowledge();

private:
    std::mutex mutex; ///< guards `unacknowledged` and `closed`
    std::condition_variable changed; ///< signals a change of `unacknowledged` or `closed`
    std::uint32_t unacknowledged { 0 }; ///< parts sent and not yet acknowledged
    bool closed { false }; ///< the attempt was cancelled or its connection lost
};

/// Callbacks of an AgentRpc, called on the RPC thread.
struct AgentRpcHandlers {
    std::function<void(AgentEventBody)> onEvent; ///< EntryAttached, EntryDetached, CancelReceived, ConfigReceived
    std::function<void(DispatchReceived, std::shared_ptr<RequestPayload>, std::shared_ptr<PartChannel>)>
        onDispatch; ///< a dispatch arrived; it is answered by answerDispatch()
    std::function<std::string(const ManifestDigest&)> chunkMap; ///< bitmap of held chunks, lowest bit first
    std::function<Result<std::string>(const ManifestDigest&, ChunkIndex)> readChunk; ///< content of a verified chunk
    std::function<Milliseconds(Bytes)> uploadDelay; ///< reserves upload bandwidth and returns the time to wait for it
};

/// The agent's side of the RPC between processes. All members are safe from any thread.
class AgentRpc {
public:
    explicit AgentRpc(AgentRpcHandlers handlers);
    ~AgentRpc();
    AgentRpc(const AgentRpc&) = delete;
    AgentRpc& operator=(const AgentRpc&) = delete;

    /// Starts the RPC thread and accepts connections.
    /// @param listen "ip:port", port 0 lets the kernel choose
    /// @return bound port
    /// @throws std::runtime_error when the address cannot be bound
    unsigned start(const std::string& listen);

    /// Refuses further dispatches, waits until the entries have taken the answers that stand ready, then closes all
    /// channels and connections and ends the RPC thread.
    void stop();

    /// Replaces the status that heartbeats and new connections are answered with.
    void publishStatus(const AgentStatus& status);

    /// Sends a status to the listeners of all connected entries; failures are ignored.
    void notifyListeners(const NotifyListeners& effect);

    /// Answers a dispatch once the entry has acknowledged all its parts. Ignored when its connection is gone.
    void answerDispatch(const AnswerDispatch& effect);

    /// @param done called on the RPC thread with the answer's configuration (generation 0 when none), or the error
    void reportHome(const ReportHome& effect, std::function<void(Result<ConfigRecord>)> done);

    /// @param done called on the RPC thread with the answer's configuration (generation 0 when none), or the error
    void fetchConfig(const FetchConfig& effect, std::function<void(Result<ConfigRecord>)> done);

    /// Answered by a ChunkMapReceived event; `ok` is false in it when the peer did not answer.
    void queryChunkMap(const QueryChunkMap& effect);

    /// Reads a chunk from another agent; implements PeerChunkFetch of weights_io.h.
    /// @param address "ip:port" of the other agent
    /// @param done called on the RPC thread with the chunk's content, which is not verified, or the error
    void fetchChunk(const std::string& address, const ManifestDigest& manifest, ChunkIndex index, Milliseconds timeout,
        std::function<void(Result<std::string>)> done);

private:
    struct State;
    std::unique_ptr<State> state; ///< RPC thread and its data
};

} // namespace hickory
