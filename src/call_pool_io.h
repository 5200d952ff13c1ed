#pragma once

#include "error_type.h"
#include "id_type.h"
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

using OutCallId = NumberId<struct OutCallTag>; ///< one call of the pool, unique in the process

/// How a call of the pool ended.
enum class CallEnd : std::uint8_t {
    Complete, ///< the whole answer arrived
    NotSent, ///< no byte of the request left this process
    Broken, ///< the connection ended or became unreadable first; the request may have run
};

/// Receives what happens to one call. It is kept alive by the pool until onEnd or cancel().
struct CallSink {
    virtual ~CallSink() = default;
    /// @return whether this answer belongs to the call; one that does not is skipped
    virtual bool accepts(const WireHead& head) = 0;
    virtual void onHead(WireHead&& head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onEnd(CallEnd end) = 0;
};

/// One HTTP request of this process.
struct OutCall {
    std::string address; ///< "ip:port"
    std::string bytes; ///< the whole request as sent
    Milliseconds connectTimeout { 400 }; ///< several round trips between regions
    Milliseconds maxIdle { 400 }; ///< a kept connection that was idle for longer is not used, none at all when negative
    bool keep { true }; ///< the connection may be used again; false where the peer takes few of them
};

/// A whole answer.
struct FetchAnswer {
    WireHead head; ///< status and headers
    std::string body; ///< without transfer coding
};

/// A request whose whole answer is wanted.
struct FetchCall {
    std::string address; ///< "ip:port"
    std::string method { "GET" }; ///< GET, PUT, POST or DELETE
    std::string target; ///< path and query
    std::vector<WireHeader> headers; ///< besides Host and Content-Length
    std::string body; ///< may be empty
    Milliseconds connectTimeout { 400 }; ///< several round trips between regions
    Milliseconds timeout { 1000 }; ///< until the whole answer
    bool keep { true }; ///< the connection may be used again; false where the peer takes few of them
};

/// HTTP/1.1 client on the Asio loop with kept connections for each address.
class CallPool {
public:
    CallPool(asio::io_context& io, const LinkOptions& link);
    ~CallPool();

    /// Sends a request. The sink is told from the loop, never from within this call.
    OutCallId send(OutCall call, std::shared_ptr<CallSink> sink);
    /// Ends a call and its connection without telling the sink.
    void cancel(OutCallId id);
    /// Stops or resumes reading an answer, for back pressure.
    void pauseReading(OutCallId id, bool paused);

    /// Sends a request and waits for the whole answer or the timeout.
    /// @param done told once, with Unavailable or Timeout and the address as peer on failure
    void fetch(FetchCall call, std::function<void(Result<FetchAnswer>)> done);

    /// Ends connections that were idle for too long. Called about once a second.
    void sweep(Milliseconds now);
    /// @return connections opened since start
    std::uint64_t opened() const { return this->openedCount; }

private:
    struct Channel;
    struct Fetch;
    using ChannelPointer = std::shared_ptr<Channel>;

    void connect(const ChannelPointer& channel, const OutCall& call);
    void begin(const ChannelPointer& channel);
    void onData(const ChannelPointer& channel, std::string_view bytes);
    void onLinkEnd(const ChannelPointer& channel, LinkEnd end);
    void endCall(const ChannelPointer& channel, CallEnd end);
    void keep(const ChannelPointer& channel);
    ChannelPointer takeIdle(const std::string& address, Milliseconds maxIdle);

    asio::io_context& io; ///< the loop
    LinkOptions link; ///< socket options
    std::unordered_map<std::string, std::vector<ChannelPointer>> idle; ///< kept connections, the last used at the end
    std::unordered_map<OutCallId, ChannelPointer> active; ///< calls under way
    std::uint64_t lastId { 0 }; ///< of calls
    std::uint64_t openedCount { 0 }; ///< connections opened
};

/// @return whether a whole answer with status 200 came
bool succeeded(const Result<FetchAnswer>& answer);

/// @return a request as text, with Host, Content-Length and the headers given
std::string requestText(const FetchCall& call);

} // namespace hickory
