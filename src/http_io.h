#pragma once

#include "clock_type.h"
#include "entry_event_type.h"
#include "operator_type.h"
#include "request_table_io.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hickory {

/// Health of a process for its HTTP endpoints.
struct ProcessHealth {
    bool ready { false }; ///< may be given new work
};

/// Options of an EntryHttp.
struct EntryHttpOptions {
    std::string listen; ///< "ip:port", port 0 lets the kernel choose
    std::string tlsCertificate; ///< PEM path, empty for plain HTTP
    std::string tlsKey; ///< PEM path
    std::string operatorToken; ///< empty: operators are accepted from loopback only
    unsigned workers { 256 }; ///< callers served at once
    Bytes maxBody; ///< longest request body
    Milliseconds defaultTimeout { 600000 }; ///< deadline of requests that name none
    std::function<void(EntryEventBody)>
        onEvent; ///< RequestArrived, CallerDisconnected, OperatorCalled; from any thread
    std::function<ProcessHealth()> health; ///< safe from any thread
};

/// HTTP of an entry towards callers and operators.
class EntryHttp {
public:
    /// @param table requests in progress; outlives the object
    EntryHttp(EntryHttpOptions options, RequestTable& table);
    ~EntryHttp();
    EntryHttp(const EntryHttp&) = delete;
    EntryHttp& operator=(const EntryHttp&) = delete;

    /// Binds and serves on threads of its own.
    /// @return bound port
    /// @throws std::runtime_error when the address cannot be bound
    unsigned start();

    /// Stops accepting and waits until the workers are done.
    void stop();

    /// Answers an operator's call. Safe from any thread.
    void answerOperator(const OperatorAnswer& answer);

private:
    struct State;
    std::unique_ptr<State> state; ///< server and calls that wait
};

/// Small HTTP server with /metrics, /healthz and /readyz, for agents.
class StatusHttp {
public:
    StatusHttp();
    ~StatusHttp();
    StatusHttp(const StatusHttp&) = delete;
    StatusHttp& operator=(const StatusHttp&) = delete;

    /// @param listen "ip:port"
    /// @param health safe from any thread
    /// @return bound port
    /// @throws std::runtime_error when the address cannot be bound
    unsigned start(const std::string& listen, std::function<ProcessHealth()> health);
    void stop();

private:
    struct State;
    std::unique_ptr<State> state; ///< server
};

} // namespace hickory
