#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "request_table_io.h"

#include <functional>
#include <memory>
#include <string>

namespace hickory {

/// Callbacks of an EntryRpc, called on the RPC thread. The last argument of each but onEvent sends the reply; it is to
/// be called once and may be called on any thread.
struct EntryRpcHandlers {
    std::function<void(EntryEventBody)> onEvent; ///< events for the reducer
    std::function<void(GossipMessage, std::function<void(GossipMessage)>)>
        onGossip; ///< gossip of another entry; the reply is this entry's gossip
    std::function<void(ConfigReceived, std::function<void(Generation)>)>
        onConfigPushed; ///< configuration pushed by a peer; the reply is the generation held after it
    std::function<void(Generation, std::function<void(ConfigRecord)>)>
        onFetchConfig; ///< a peer asks for a configuration newer than its own; generation 0 replies that there is none
    std::function<void(AgentStatus, std::function<void(ConfigRecord)>)>
        onReport; ///< status report of an agent; the reply is as for onFetchConfig
    std::function<void(std::function<void(EntryStatus)>)> onLocalStatus; ///< a peer asks for this entry's status
};

/// The entry's side of the RPC between processes. All members are safe from any thread.
class EntryRpc {
public:
    /// @param self host of this entry
    /// @param table requests to which arriving parts are added; outlives the object
    EntryRpc(HostId self, RequestTable& table, EntryRpcHandlers handlers);
    ~EntryRpc();
    EntryRpc(const EntryRpc&) = delete;
    EntryRpc& operator=(const EntryRpc&) = delete;

    /// Starts the RPC thread and accepts connections.
    /// @param listen "ip:port", port 0 lets the kernel choose
    /// @return bound port
    /// @throws std::runtime_error when the address cannot be bound
    unsigned start(const std::string& listen);

    /// Drops all connections without events and ends the RPC thread.
    void stop();

    /// Ends with AgentConnected or AgentDisconnected.
    void connectAgent(const ConnectAgent& effect);

    /// Ends with AgentDisconnected, and AttemptEnded for each attempt in flight at the agent.
    void disconnectAgent(const DisconnectAgent& effect);

    void setHeartbeatInterval(const SetHeartbeatInterval& effect);

    /// Ends with AttemptEnded unless the attempt is cancelled.
    void dispatch(const DispatchAttempt& effect);

    /// Cancels an attempt; no AttemptEnded follows.
    void cancel(const CancelAttempt& effect);

    /// Ends with GossipReceived or GossipFailed.
    void sendGossip(const SendGossip& effect);

    /// Emits no event, not even when the peer cannot be reached.
    void pushConfig(const PushConfig& effect);

    /// Ends with ConfigReceived; emits nothing when the peer does not answer.
    void fetchConfig(const FetchConfig& effect);

    /// Ends with EntryStatusReceived.
    void queryStatus(const QueryEntryStatus& effect);

private:
    struct State;
    std::unique_ptr<State> state; ///< RPC thread and its data
};

} // namespace hickory
