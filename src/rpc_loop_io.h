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

/// What serves one accepted connection.
struct AcceptedPeer {
    capnp::Capability::Client bootstrap; ///< capability given to the peer
    std::function<void()> onClosed; ///< called once when the connection is gone
};

/// Makes what serves a newly accepted connection.
using BootstrapFactory = std::function<AcceptedPeer()>;

/// A thread with a kj event loop for Cap'n Proto RPC: accepts connections, keeps outgoing ones and runs tasks.
/// All members but post() and stop() may be used only on that thread.
class RpcLoop {
public:
    RpcLoop() = default;
    ~RpcLoop();
    RpcLoop(const RpcLoop&) = delete;
    RpcLoop& operator=(const RpcLoop&) = delete;

    /// Starts the thread and binds the listener.
    /// @param listen "ip:port", port 0 lets the kernel choose
    /// @param factory called on the loop's thread for each accepted connection
    /// @return port that was bound
    /// @throws std::runtime_error when the address cannot be bound
    unsigned start(const std::string& listen, BootstrapFactory factory);

    /// Runs a task on the loop's thread. Safe from any thread; tasks run in the order of the calls.
    void post(std::function<void()> task);

    /// Ends the thread. Safe from any thread but the loop's.
    void stop();

    /// Gives a capability of a peer, over a connection that is kept and shared by address.
    /// The promise fails when the connection cannot be made within connectTimeout.
    kj::Promise<capnp::Capability::Client> peer(const std::string& address);

    /// A connection that is not shared.
    struct Connection {
        capnp::Capability::Client bootstrap; ///< the peer's bootstrap capability
        std::shared_ptr<void> handle; ///< dropping it closes the connection
    };

    /// Opens a connection of its own.
    /// @param onDisconnect called once when the connection is lost while the handle is held
    kj::Promise<Connection> connect(const std::string& address, std::function<void()> onDisconnect);

    /// Forgets the shared connection to an address after a time-out or a loss, so that the next call makes a new one.
    /// A frozen peer keeps its TCP connection open; an answer with an error says that the connection works.
    void forgetBroken(const std::string& address, const kj::Exception& exception);

    /// Fails a promise that takes too long.
    template <typename Value> kj::Promise<Value> within(Milliseconds limit, kj::Promise<Value> promise)
    {
        return this->timer().timeoutAfter(limit.value * kj::MILLISECONDS, kj::mv(promise));
    }

    /// Runs a promise to its end in the background; a failure is ignored unless the caller handled it.
    void detach(kj::Promise<void> promise);

    kj::Timer& timer();

private:
    struct State;

    void run(const std::string& listen, BootstrapFactory factory, std::function<void(unsigned, std::string)> started);

    std::mutex mutex; ///< guards tasks, wakeFd and stopping
    std::vector<std::function<void()>> tasks; ///< posted and not yet run
    int wakeFd { -1 }; ///< eventfd that wakes the loop
    bool stopping { false }; ///< stop was asked for
    State* state { nullptr }; ///< lives on the loop's thread
    std::thread thread; ///< the loop's thread
};

} // namespace hickory
