#pragma once

#include "answer_end_func.h"
#include "connect_failure_type.h"
#include "error_type.h"
#include "id_type.h"
#include "table/answer_limits.h"
#include "tcp_link_io.h"
#include "wire_head_type.h"
#include "wire_parser_func.h"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

using OutboundCallId = NumberId<struct OutboundCallTag>; ///< identifies a call within its pool; never reused

/// How a call ended.
enum class CallEnd : std::uint8_t {
    Complete, ///< the complete answer arrived, as its length or its last chunk shows
    Closed, ///< the answer has neither a length nor chunks, and the server closed the connection without a reset
    NotSent, ///< no byte of the request left this process
    Broken, ///< the connection ended, or sent invalid or too much data, before the answer was complete; the request may
            ///< have run
};

/// @return what the end of a call says about the transfer of its answer
AnswerTransfer transferOf(CallEnd end);

/// Receives the answer to one call. The pool keeps it alive until onEnd() or CallPool::cancel().
struct CallSink {
    virtual ~CallSink() = default;
    /// @return whether this answer belongs to the call; one that does not is skipped
    virtual bool accepts(const WireHead& head) = 0;
    /// Status and headers of an accepted answer.
    virtual void onHead(WireHead&& head) = 0;
    /// The next bytes of the body, without transfer coding.
    /// @return whether the answer may go on; if not, the call ends as broken
    virtual bool onBody(std::string_view bytes) = 0;
    /// No connection could be opened. onEnd() follows with CallEnd::NotSent.
    virtual void onConnectFailed(ConnectFailure) { }
    /// The call has ended. Called once, unless it is cancelled.
    virtual void onEnd(CallEnd end) = 0;
};

/// An outgoing HTTP request whose answer is streamed to a CallSink.
struct OutboundCall {
    std::string address; ///< "ip:port"
    std::string bytes; ///< head and body as they are written to the connection
    /// Allows several round trips between regions. A connection that is there later is not used, even if this process
    /// stood still meanwhile.
    Milliseconds connectTimeout { 400 };
    Milliseconds maxIdle { 400 }; ///< longest idle time of a connection to reuse; negative for always a new connection
    bool keep { true }; ///< keep the connection for reuse; false for a peer that accepts few connections
};

/// A complete answer.
struct FetchResponse {
    WireHead head; ///< status and headers
    std::string body; ///< without transfer coding, empty when there is none
};

/// An outgoing HTTP request whose answer is collected in memory.
struct FetchCall {
    std::string address; ///< "ip:port"
    std::string method { "GET" }; ///< GET, PUT, POST or DELETE
    std::string target; ///< path and query
    std::vector<WireHeader> headers; ///< in addition to Host and Content-Length
    std::string body;
    std::size_t maxAnswerBody { maxFetchedBody }; ///< bytes; a longer answer is an error
    Milliseconds connectTimeout { 400 }; ///< allows several round trips between regions
    Milliseconds timeout { 1000 }; ///< from sending until the answer is complete
    bool keep { true }; ///< keep the connection for reuse; false for a peer that accepts few connections
};

/// HTTP/1.1 client on the Asio loop that keeps idle connections for reuse, by address. Used by RelayLoop and
/// LoaderLoop; EntryLoop, AgentLoop and hickoryctl use the blocking HttpConnection.
class CallPool {
public:
    /// @param io loop that runs all connections and calls all sinks; must outlive the pool
    /// @param link socket options of new connections
    CallPool(asio::io_context& io, const LinkOptions& link);
    ~CallPool();

    /// Sends a request over an idle connection or a new one.
    /// @param sink called from the loop, never from within send()
    OutboundCallId send(OutboundCall call, std::shared_ptr<CallSink> sink);
    /// Ends a call and closes its connection. The sink is not called any more. Does nothing when the call has ended.
    void cancel(OutboundCallId id);
    /// Stops or resumes reading an answer, to apply back pressure to the peer.
    void pauseReading(OutboundCallId id, bool paused);

    /// Sends a request and collects the answer. An answer with neither a length nor chunks may lack its end; the caller
    /// checks the body, as all documents and pieces of weights are checked.
    /// @param done called once from the loop; on failure with an error with code Unavailable or Timeout and the address
    /// as peer
    void fetch(FetchCall call, std::function<void(Result<FetchResponse>)> done);

    /// Closes connections that were idle for more than 10 s or nearly as long as the server allows. To be called
    /// regularly: a connection may stay open longer by the time between calls.
    void sweep(Milliseconds now);
    /// @return number of connections that the pool has tried to open
    std::uint64_t opened() const { return this->openedCount; }

private:
    struct Connection;
    struct Fetch;
    using ConnectionPointer = std::shared_ptr<Connection>;

    void connect(const ConnectionPointer& connection, const OutboundCall& call);
    void writeRequest(const ConnectionPointer& connection);
    void onData(const ConnectionPointer& connection, std::string_view bytes);
    void onLinkEnd(const ConnectionPointer& connection, LinkEnd end);
    void endCall(const ConnectionPointer& connection, CallEnd end);
    void keepIdle(const ConnectionPointer& connection);
    ConnectionPointer takeIdle(const std::string& address, Milliseconds maxIdle);

    asio::io_context& io;
    LinkOptions link; ///< socket options of new connections
    std::unordered_map<std::string, std::vector<ConnectionPointer>> idle; ///< by address, last used at the end
    std::unordered_map<OutboundCallId, ConnectionPointer> active; ///< calls that have not ended
    std::uint64_t lastId { 0 }; ///< last call id assigned
    std::uint64_t openedCount { 0 }; ///< number of connections that the pool has tried to open
};

/// @return whether a complete answer with status 200 was received
bool succeeded(const Result<FetchResponse>& answer);

/// @return the request as HTTP/1.1 text with Host, Content-Length and its own headers
std::string formatRequest(const FetchCall& call);

} // namespace hickory
