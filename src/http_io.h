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

/// Health of a process as shown by its HTTP endpoints.
struct ProcessHealth {
    bool ready { false }; ///< /readyz answers 200 and clients may send new work
};

/// Options of an EntryHttp.
struct EntryHttpOptions {
    std::string listen; ///< "ip:port", port 0 lets the kernel choose
    std::string tlsCertificate; ///< PEM path, empty for plain HTTP
    std::string tlsKey; ///< PEM path, unused for plain HTTP
    std::string operatorToken; ///< bearer token of operators; when empty, only operators from loopback are accepted
    unsigned workers { 256 }; ///< connections served at once; each occupies a thread
    Bytes maxBody; ///< largest request body that is accepted
    Milliseconds defaultTimeout { 600000 }; ///< used when X-Timeout-Ms is absent; also its upper limit
    std::function<void(EntryEventBody)>
        onEvent; ///< RequestArrived, CallerDisconnected, OperatorCalled; called from any thread
    std::function<ProcessHealth()> health; ///< called from any thread
};

/// HTTP server of EntryLoop for callers and operators. RelayLoop uses FrontServer instead.
class EntryHttp {
public:
    /// @param table requests in progress; must outlive this object
    EntryHttp(EntryHttpOptions options, RequestTable& table);
    ~EntryHttp();
    EntryHttp(const EntryHttp&) = delete;
    EntryHttp& operator=(const EntryHttp&) = delete;

    /// Starts to serve on threads of its own.
    /// @return bound port
    /// @throws std::runtime_error when the certificate cannot be used or the address cannot be bound
    unsigned start();

    /// Refuses callers' requests from now on. Those that were passed on before are in the table. Safe from any thread.
    void refuseArrivals();

    /// Refuses further requests, waits until the answers that stand ready are written, stops accepting connections and
    /// waits until the worker threads have ended.
    void stop();

    /// Answers an operator's request; ignored after its timeout. Safe from any thread.
    void answerOperator(const OperatorAnswer& answer);

private:
    struct State;
    std::unique_ptr<State> state; ///< server and operator requests that wait for an answer
};

/// HTTP server of AgentLoop with /metrics, /healthz and /readyz only. LoaderLoop uses FrontServer instead.
class StatusHttp {
public:
    StatusHttp();
    ~StatusHttp();
    StatusHttp(const StatusHttp&) = delete;
    StatusHttp& operator=(const StatusHttp&) = delete;

    /// Starts to serve on threads of its own.
    /// @param listen "ip:port", port 0 lets the kernel choose
    /// @param health called from any thread
    /// @return bound port
    /// @throws std::runtime_error when the address cannot be bound
    unsigned start(const std::string& listen, std::function<ProcessHealth()> health);
    /// Stops accepting connections and waits until the worker threads have ended.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state; ///< server and its thread
};

} // namespace hickory
