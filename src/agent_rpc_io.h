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
    /// Sends a part; blocks while too many are unacknowledged.
    /// @param data bytes of the part
    /// @param status HTTP status of the upstream
    /// @param contentType type of the answer
    /// @return false when nobody waits for the answer any more
    bool send(std::string data, std::uint16_t status, const std::string& contentType);

    /// Makes further send() calls fail. Safe from any thread.
    void close();

    std::function<void(std::uint32_t, std::string, std::uint16_t, std::string)>
        post; ///< hands a part to the RPC thread
    std::uint32_t next { 0 }; ///< sequence of the next part; used by the sending thread only

    /// Called on the RPC thread when the entry has taken a part.
    void acknowledge();

private:
    std::mutex mutex; ///< guards the fields below
    std::condition_variable changed; ///< signals a change of them
    std::uint32_t unacknowledged { 0 }; ///< parts sent and not yet taken
    bool closed { false }; ///< the attempt was cancelled or its connection lost
};

/// Callbacks of an AgentRpc, called on the RPC thread.
struct AgentRpcHandlers {
    std::function<void(AgentEventBody)> onEvent; ///< EntryAttached, EntryDetached, CancelReceived, ConfigReceived
    std::function<void(DispatchCall, std::shared_ptr<RequestPayload>, std::shared_ptr<PartChannel>)>
        onDispatch; ///< a dispatch arrived
    std::function<std::string(const ManifestDigest&)> chunkMap; ///< one bit a chunk
    std::function<Result<std::string>(const ManifestDigest&, ChunkIndex)> readChunk; ///< a verified chunk
    std::function<Milliseconds(Bytes)> uploadDelay; ///< reserves upload bandwidth
};

/// The agent's side of the RPC between processes. All members are safe from any thread.
class AgentRpc {
public:
    explicit AgentRpc(AgentRpcHandlers handlers);
    ~AgentRpc();
    AgentRpc(const AgentRpc&) = delete;
    AgentRpc& operator=(const AgentRpc&) = delete;

    /// @param listen "ip:port"
    /// @return bound port
    unsigned start(const std::string& listen);
    void stop();

    void publishStatus(const AgentStatus& status);
    void notifyListeners(const NotifyListeners& effect);
    void answerDispatch(const AnswerDispatch& effect);

    /// @param done called on the RPC thread with the answer's configuration (generation 0 when none), or the error
    void reportHome(const ReportHome& effect, std::function<void(Result<ConfigRecord>)> done);
    void fetchConfig(const FetchConfig& effect, std::function<void(Result<ConfigRecord>)> done);
    /// Answered by a ChunkMapReceived event.
    void queryChunkMap(const QueryChunkMap& effect);
    /// A PeerChunkFetch, see weights_io.h.
    void fetchChunk(const std::string& address, const ManifestDigest& manifest, ChunkIndex index, Milliseconds timeout,
        std::function<void(Result<std::string>)> done);

private:
    struct State;
    std::unique_ptr<State> state; ///< RPC thread and its data
};

} // namespace hickory
