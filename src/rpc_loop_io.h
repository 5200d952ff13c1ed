#pragma once

#include "clock_type.h"

#include <capnp/capability.h>
#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hickory {

/// Serves one accepted connection.
struct AcceptedPeer {
    capnp::Capability::Client bootstrap; ///< bootstrap capability offered to the peer
    std::function<void()> onClosed; ///< called once after the connection was lost
};

/// Creates the server side of a newly accepted connection.
using BootstrapFactory = std::function<AcceptedPeer()>;

/// A thread with a kj event loop for Cap'n Proto RPC. It accepts connections, keeps outgoing connections open and runs
/// posted tasks. After start(), all members except post() and stop() may be used only on that thread.
class RpcLoop {
public:
    RpcLoop() = default;
    ~RpcLoop();
    RpcLoop(const RpcLoop&) = delete;
    RpcLoop& operator=(const RpcLoop&) = delete;

    /// Starts the thread and binds the listener.
    /// @param listen "ip:port", port 0 lets the kernel choose
    /// @param factory called on the loop's thread for each accepted connection
    /// @return bound port
    /// @throws std::runtime_error when the address cannot be bound
    unsigned start(const std::string& listen, BootstrapFactory factory);

    /// Runs a task on the loop's thread. Tasks run in the order of the calls; tasks posted after stop() are dropped.
    /// Safe from any thread.
    void post(std::function<void()> task);

    /// Runs the tasks posted so far, then ends the thread. Safe from any thread except the loop's.
    void stop();

    /// Connects to a peer, or reuses the shared connection to its address. An unused shared connection is closed after
    /// 90 s.
    /// @param address "ip:port"
    /// @return the peer's bootstrap capability; the promise fails when connecting takes longer than 2 s
    kj::Promise<capnp::Capability::Client> peer(const std::string& address);

    /// An unshared connection.
    struct Connection {
        capnp::Capability::Client bootstrap; ///< the peer's bootstrap capability
        std::shared_ptr<void> handle; ///< dropping it closes the connection
    };

    /// Opens an unshared connection.
    /// @param address "ip:port"
    /// @param onDisconnect called once if the connection is lost while the handle is held
    /// @return the connection; the promise fails when connecting takes longer than 2 s
    kj::Promise<Connection> connect(const std::string& address, std::function<void()> onDisconnect);

    /// Drops the shared connection to an address if a call on it failed by a timeout or disconnect, so that the next
    /// call opens a new one. This is needed because the TCP connection to a frozen peer stays open. An error returned
    /// by the peer (kj type FAILED) shows that the connection works, and keeps it.
    /// @param exception failure of the call
    void dropBrokenPeer(const std::string& address, const kj::Exception& exception);

    /// @return a promise that fails as OVERLOADED unless the given one resolves within the limit
    template <typename Value> kj::Promise<Value> within(Milliseconds limit, kj::Promise<Value> promise)
    {
        return this->timer().timeoutAfter(limit.value * kj::MILLISECONDS, kj::mv(promise));
    }

    /// Runs a promise in the background. Its failure is ignored; handle it with catch_() before, where it matters.
    void detach(kj::Promise<void> promise);

    /// @return the timer of the loop's thread
    kj::Timer& timer();

private:
    struct State;

    /// Body of the thread.
    /// @param started called once with the bound port, or with port 0 and an error text
    void run(const std::string& listen, BootstrapFactory factory, std::function<void(unsigned, std::string)> started);

    std::mutex mutex; ///< guards tasks, wakeFd and stopping
    std::vector<std::function<void()>> tasks; ///< posted tasks that have not run yet
    int wakeFd { -1 }; ///< eventfd that wakes the loop, -1 while it is not running
    bool stopping { false }; ///< stop() was called
    State* state { nullptr }; ///< owned by run(), on the loop's thread
    std::thread thread; ///< the loop's thread
};

} // namespace hickory
