#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_rpc_io.h"
#include "rpc_codec_func.h"

#include <functional>
#include <memory>
#include <string>

namespace hickory {

/// Options of an UpstreamClient.
struct UpstreamOptions {
    std::string url; ///< "http://ip:port" of the upstream on this host
    bool engine { false }; ///< the upstream streams server-sent events, takes load orders and reports its state
    unsigned maxThreads { 256 }; ///< limit of requests in progress; further ones wait for a thread
    std::function<void(AgentEventBody)>
        onEvent; ///< UpstreamFirstPart, UpstreamEnded, UpstreamStateReceived, LoadEnded; called from any thread
};

/// HTTP client of the upstream on this host. All members are safe from any thread.
class UpstreamClient {
public:
    explicit UpstreamClient(UpstreamOptions options);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    /// Sends a request to the upstream and streams the answer into the channel. Ends with one UpstreamEnded.
    void start(
        const StartUpstream& effect, std::shared_ptr<RequestPayload> payload, std::shared_ptr<PartChannel> channel);

    /// Aborts a request; ignored when it has ended.
    void cancel(const CancelUpstream& effect);

    /// Reads the upstream's state. Ends with UpstreamStateReceived.
    void pollState();

    /// Sends a load order to the engine. Ends with LoadEnded.
    /// @param path file that holds the weights
    void orderLoad(const OrderLoad& effect, const std::string& path);

private:
    struct State;
    std::unique_ptr<State> state; ///< threads and requests in progress
};

} // namespace hickory
