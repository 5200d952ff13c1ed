#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "request_table_io.h"

#include <functional>
#include <memory>
#include <string>

namespace hickory {

/// Callbacks of an EntryRpc, called on the RPC thread. A reply function may be called on any thread, once.
struct EntryRpcHandlers {
    std::function<void(EntryEventBody)> onEvent; ///< events for the reducer
    std::function<void(GossipMessage, std::function<void(GossipMessage)>)> onGossip; ///< a peer's gossip
    std::function<void(ConfigReceived, std::function<void(Generation)>)> onConfigPushed; ///< a peer's push
    std::function<void(Generation, std::function<void(ConfigRecord)>)>
        onFetchConfig; ///< configuration newer than known
    std::function<void(AgentStatus, std::function<void(ConfigRecord)>)> onReport; ///< an agent's report
    std::function<void(std::function<void(EntryStatus)>)> onLocalStatus; ///< this entry's status
};

/// The entry's side of the RPC between processes. All members are safe from any thread.
class EntryRpc {
public:
    /// @param self this entry
    /// @param table requests whose parts arrive here; outlives the object
    EntryRpc(HostId self, RequestTable& table, EntryRpcHandlers handlers);
    ~EntryRpc();
    EntryRpc(const EntryRpc&) = delete;
    EntryRpc& operator=(const EntryRpc&) = delete;

    /// @param listen "ip:port"
    /// @return bound port
    unsigned start(const std::string& listen);
    void stop();

    void connectAgent(const ConnectAgent& effect);
    void disconnectAgent(const DisconnectAgent& effect);
    void setHeartbeatInterval(const SetHeartbeatInterval& effect);
    void dispatch(const DispatchAttempt& effect);
    void cancel(const CancelAttempt& effect);
    void sendGossip(const SendGossip& effect);
    void pushConfig(const PushConfig& effect);
    void fetchConfig(const FetchConfig& effect);
    void queryStatus(const QueryEntryStatus& effect);

private:
    struct State;
    std::unique_ptr<State> state; ///< RPC thread and its data
};

} // namespace hickory
