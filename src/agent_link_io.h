#pragma once

#include "agent_silence_func.h"
#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "request_table_io.h"
#include "rpc_loop_io.h"

#include "hickory.capnp.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace hickory {

/// Connections of an entry to its agents, with heartbeats and the attempts in flight. Used on the RPC thread only.
class AgentLinks {
public:
    /// @param self host of this entry
    /// @param loop outlives the object
    /// @param table requests to which arriving parts are added; outlives the object
    /// @param onEvent receives FirstPart, AttemptEnded and the events of connections and heartbeats
    AgentLinks(HostId self, RpcLoop& loop, RequestTable& table, std::function<void(EntryEventBody)> onEvent);

    /// Opens a connection, unless one to this host exists or is being made. Ends with AgentConnected or
    /// AgentDisconnected.
    void connect(const ConnectAgent& effect);

    /// Closes the connection to a host. Emits AgentDisconnected, then AttemptEnded as Unknown for each attempt in
    /// flight.
    /// @param reason short machine-readable reason for both events
    void disconnect(const HostId& host, const std::string& reason);

    void setHeartbeatInterval(Milliseconds interval) { this->heartbeatInterval = interval; }

    /// Sends an attempt to an agent. Ends with one AttemptEnded unless it is cancelled; NotRun when it was not sent.
    void dispatch(const DispatchAttempt& effect);

    /// Drops an attempt without an AttemptEnded and tells the agent to cancel it.
    void cancel(const CancelAttempt& effect);

    /// Drops all connections without events. Capabilities must be destroyed on the RPC thread, before it ends.
    void clear();

    /// Sends due heartbeats and gives up attempts whose agent is silent. Called every 100 ms.
    void tick();

private:
    /// One connection to an agent.
    struct Link {
        /// Unique number. A late callback of a replaced connection changes nothing in its successor, but a status that
        /// it carries is still passed on as an event.
        std::uint64_t serial { 0 };
        std::shared_ptr<void> handle; ///< keeps the connection open
        kj::Maybe<rpc::Agent::Client> agent; ///< empty until the connection is made
        AgentSilence silence; ///< since the last message of any kind from the agent
        Milliseconds shortestTimeout {
            0
        }; ///< shortest agentSilenceTimeout of its attempts at the last tick, 0 for none
        Milliseconds lastHeartbeatAt { 0 }; ///< monotonic time at which the last heartbeat was sent
        AgentStatus status; ///< newest status received over this connection
    };

    /// One attempt in flight.
    struct InFlightAttempt {
        HostId host; ///< host of the agent
        std::uint64_t serial { 0 }; ///< number of the connection that carries it
        Milliseconds inFlightFor { 0 }; ///< time since it was sent, as counted for AgentSilence
        Milliseconds agentSilenceTimeout { 0 }; ///< see isGivenUp()
    };

    using InFlightKey = std::pair<RequestId, Attempt>;

    /// Sends a heartbeat to each agent that is due for one, and reports those that were not answered.
    void tickHeartbeats(Milliseconds now, Milliseconds counted);
    /// Registers this entry at the agent over a new connection.
    void registerAtAgent(const HostId& host, std::uint64_t serial, RpcLoop::Connection connection);
    void sendHeartbeat(const HostId& host, Link& link);
    /// Records that a message arrived from an agent.
    /// @return the connection, or nullptr when it was closed or replaced
    Link* recordMessage(const HostId& host, std::uint64_t serial);
    void receiveStatus(const HostId& host, std::uint64_t serial, AgentStatus status);
    /// Removes an attempt that is still in flight and emits its AttemptEnded.
    void endAttempt(InFlightKey key, DispatchResult result);
    /// Disconnects unless the connection was replaced since.
    void handleConnectionLoss(const HostId& host, std::uint64_t serial, const std::string& reason);

    HostId self; ///< host of this entry
    RpcLoop& loop; ///< thread on which all members run
    RequestTable& table; ///< requests to which arriving parts are added
    std::function<void(EntryEventBody)> onEvent; ///< events for the reducer
    Milliseconds lastTickAt { 0 }; ///< monotonic time of the last tick()
    Milliseconds heartbeatInterval { 1000 }; ///< time between heartbeats to one agent
    std::uint64_t nextSerial { 1 }; ///< number of the next connection
    std::map<HostId, Link> links; ///< connections, also those being made
    std::map<InFlightKey, InFlightAttempt> inFlight;
};

} // namespace hickory
