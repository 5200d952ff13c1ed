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
    bool engine { false }; ///< streams of server-sent events, load orders, state
    unsigned maxThreads { 256 }; ///< requests in progress at once
    std::function<void(AgentEventBody)>
        onEvent; ///< UpstreamFirstPart, UpstreamEnded, UpstreamStateReceived, LoadEnded; from any thread
};

/// Client of the upstream on this host, over HTTP. All members are safe from any thread.
class UpstreamClient {
public:
    explicit UpstreamClient(UpstreamOptions options);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    /// Gives a request to the upstream and streams the answer into the channel. Ends with one UpstreamEnded.
    void start(
        const StartUpstream& effect, std::shared_ptr<RequestPayload> payload, std::shared_ptr<PartChannel> channel);

    /// Aborts a request.
    void cancel(const CancelUpstream& effect);

    void pollState();
    /// @param path file that holds the weights
    void orderLoad(const OrderLoad& effect, const std::string& path);

private:
    struct State;
    std::unique_ptr<State> state; ///< threads and requests in progress
};

} // namespace hickory
