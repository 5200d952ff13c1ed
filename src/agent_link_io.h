#pragma once

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
    AgentLinks(HostId self, RpcLoop& loop, RequestTable& table, std::function<void(EntryEventBody)> onEvent);

    void connect(const ConnectAgent& effect);
    void disconnect(const HostId& host, const std::string& reason);
    void setHeartbeatInterval(Milliseconds interval) { this->heartbeatInterval = interval; }
    void dispatch(const DispatchAttempt& effect);
    void cancel(const CancelAttempt& effect);

    /// Drops all connections without events. Capabilities must be destroyed on the RPC thread, before it ends.
    void clear();

    /// Sends due heartbeats and gives up attempts whose agent is silent. Called every 100 ms.
    void tick();

private:
    /// One connection.
    struct Link {
        std::uint64_t serial { 0 }; ///< tells a connection from its successor
        std::shared_ptr<void> handle; ///< keeps the connection open
        kj::Maybe<rpc::Agent::Client> agent; ///< set once attached
        Milliseconds lastHeard { 0 }; ///< last message of any kind from the agent
        Milliseconds lastHeartbeat { 0 }; ///< when the last heartbeat was sent
        AgentStatus status; ///< newest status that came over this connection
        bool heartbeatOpen { false }; ///< the last heartbeat is not answered
        std::uint32_t attempts { 0 }; ///< attempts in flight
    };

    /// One attempt in flight.
    struct Flight {
        HostId host; ///< agent's host
        std::uint64_t serial { 0 }; ///< connection that carries it
        Milliseconds dispatched { 0 }; ///< when it was sent
        Milliseconds acceptTimeout { 0 }; ///< longest silence of the agent
    };

    using FlightKey = std::pair<RequestId, Attempt>;

    void attached(const HostId& host, std::uint64_t serial, RpcLoop::Connection connection);
    void heartbeat(const HostId& host, Link& link);
    /// Notes that an agent is alive.
    /// @return the connection, or nullptr when it was replaced
    Link* heard(const HostId& host, std::uint64_t serial);
    void statusSeen(const HostId& host, std::uint64_t serial, AgentStatus status);
    void endFlight(FlightKey key, DispatchResult result);
    void lost(const HostId& host, std::uint64_t serial, const std::string& reason);

    HostId self; ///< this entry
    RpcLoop& loop; ///< thread of everything here
    RequestTable& table; ///< requests whose parts arrive
    std::function<void(EntryEventBody)> onEvent; ///< events for the reducer
    Milliseconds heartbeatInterval { 1000 }; ///< between heartbeats to an idle agent
    std::uint64_t nextSerial { 1 }; ///< serial of the next connection
    std::map<HostId, Link> links; ///< by host
    std::map<FlightKey, Flight> flights; ///< attempts in flight
};

} // namespace hickory
