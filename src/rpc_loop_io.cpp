#include "rpc_loop_io.h"

#include <capnp/rpc-twoparty.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <future>
#include <stdexcept>

namespace hickory {

namespace {

    /// Time limit for opening a connection.
    constexpr Milliseconds connectTimeout { 2000 };

    /// Unused time after which a shared connection is closed. Longer than the longest timeout of a call, 60 s for a
    /// chunk, so that no call is in progress on a connection that is closed.
    constexpr Milliseconds peerIdleLimit { 90000 };

    /// Minimum time between two searches for unused shared connections.
    constexpr Milliseconds peerSweepInterval { 10000 };

    /// Ignores failures of background promises. Callers that need to know handle them before detach().
    class IgnoringErrorHandler : public kj::TaskSet::ErrorHandler {
    public:
        void taskFailed(kj::Exception&&) override { }
    };

    /// An outgoing connection.
    struct Outgoing : kj::Refcounted {
        Outgoing(kj::Own<kj::AsyncIoStream> connection)
            : stream(kj::mv(connection))
            , client(*this->stream)
            , bootstrap(this->client.bootstrap())
        {
        }

        kj::Own<Outgoing> addRef() { return kj::addRef(*this); }

        kj::Own<kj::AsyncIoStream> stream; ///< TCP connection
        capnp::TwoPartyClient client; ///< RPC over the TCP connection
        /// Requested only once, when the connection opens: TwoPartyClient::bootstrap() on a closed connection
        /// terminates the process.
        capnp::Capability::Client bootstrap;
    };

    /// An accepted connection. The order of the members matters: the RPC system must be destroyed before its network.
    struct Incoming {
        Incoming(kj::Own<kj::AsyncIoStream> connection, capnp::Capability::Client bootstrap)
            : stream(kj::mv(connection))
            , network(*this->stream, capnp::rpc::twoparty::Side::SERVER)
            , system(capnp::makeRpcServer(this->network, kj::mv(bootstrap)))
        {
        }

        kj::Own<kj::AsyncIoStream> stream; ///< TCP connection
        capnp::TwoPartyVatNetwork network; ///< message transport over the TCP connection
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> system; ///< RPC over the message transport
    };

    /// A shared outgoing connection, open or being opened.
    struct SharedPeer {
        kj::Maybe<kj::ForkedPromise<kj::Own<Outgoing>>> pending; ///< resolves to the connection
        std::uint64_t serial { 0 }; ///< distinguishes a connection from an earlier one to the same address
        Milliseconds lastUsed { 0 }; ///< monotonic time of the last peer() call
    };

} // namespace

struct RpcLoop::State {
    explicit State(kj::AsyncIoContext context)
        : io(kj::mv(context))
        , background(this->errors)
    {
    }

    /// Closes shared connections that were unused for peerIdleLimit. Without this, memory would grow with the number of
    /// entries, because gossip goes to another random entry each second.
    void dropIdlePeers()
    {
        const Milliseconds now = monotonicNow();
        if (now - this->lastSweep < peerSweepInterval)
            return;
        this->lastSweep = now;
        std::erase_if(this->peers, [now](const auto& entry) { return now - entry.second.lastUsed >= peerIdleLimit; });
    }

    /// Opens a connection within connectTimeout.
    kj::Promise<kj::Own<Outgoing>> open(const std::string& address)
    {
        auto connecting = this->io.provider->getNetwork()
                              .parseAddress(kj::StringPtr(address.c_str()))
                              .then([](kj::Own<kj::NetworkAddress>&& parsed) {
                                  auto promise = parsed->connect();
                                  return promise.attach(kj::mv(parsed));
                              });
        return this->io.provider->getTimer()
            .timeoutAfter(connectTimeout.value * kj::MILLISECONDS, kj::mv(connecting))
            .then([](kj::Own<kj::AsyncIoStream>&& stream) { return kj::refcounted<Outgoing>(kj::mv(stream)); });
    }

    kj::AsyncIoContext io; ///< event loop of the thread; destroyed last
    IgnoringErrorHandler errors; ///< error handler of background
    kj::TaskSet background; ///< accepted connections and detached promises
    std::map<std::string, SharedPeer> peers; ///< shared connections by address
    std::uint64_t nextSerial { 1 }; ///< serial of the next shared connection
    Milliseconds lastSweep { 0 }; ///< monotonic time of the last search for unused connections
};

RpcLoop::~RpcLoop() { this->stop(); }

unsigned RpcLoop::start(const std::string& listen, BootstrapFactory factory)
{
    std::promise<std::pair<unsigned, std::string>> bound;
    auto result = bound.get_future();
    this->wakeFd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    this->thread = std::thread([this, listen, factory = std::move(factory), &bound] {
        this->run(listen, factory, [&bound](unsigned port, std::string error) {
            bound.set_value({ port, std::move(error) });
        });
    });
    auto [port, error] = result.get();
    if (!error.empty()) {
        this->thread.join();
        throw std::runtime_error(error);
    }
    return port;
}

void RpcLoop::run(
    const std::string& listen, BootstrapFactory factory, std::function<void(unsigned, std::string)> started)
{
    State local(kj::setupAsyncIo());
    this->state = &local;
    kj::Own<kj::ConnectionReceiver> receiver;
    try {
        auto address
            = local.io.provider->getNetwork().parseAddress(kj::StringPtr(listen.c_str())).wait(local.io.waitScope);
        receiver = address->listen();
    } catch (const kj::Exception& exception) {
        started(0, std::string("cannot listen on ") + listen + ": " + exception.getDescription().cStr());
        return;
    }
    started(receiver->getPort(), {});

    kj::Function<kj::Promise<void>()> accept = [&]() -> kj::Promise<void> {
        return receiver->accept().then([&](kj::Own<kj::AsyncIoStream>&& stream) {
            auto accepted = factory();
            auto connection = kj::heap<Incoming>(kj::mv(stream), kj::mv(accepted.bootstrap));
            auto done = connection->network.onDisconnect().then([closed = accepted.onClosed] { closed(); });
            local.background.add(done.attach(kj::mv(connection)));
            return accept();
        });
    };
    auto accepting = accept().eagerlyEvaluate([](kj::Exception&&) {});

    auto wake = local.io.lowLevelProvider->wrapInputFd(this->wakeFd, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    std::uint64_t counter = 0;
    while (true) {
        wake->read(&counter, sizeof(counter)).wait(local.io.waitScope);
        std::vector<std::function<void()>> ready;
        bool ended = false;
        {
            const std::lock_guard lock(this->mutex);
            ready.swap(this->tasks);
            ended = this->stopping;
        }
        for (const auto& task : ready)
            task();
        if (!ended)
            continue;
        local.io.waitScope.poll(); // writes the messages that the tasks have sent
        break;
    }
}

void RpcLoop::post(std::function<void()> task)
{
    const std::lock_guard lock(this->mutex);
    if (this->stopping)
        return;
    this->tasks.push_back(std::move(task));
    const std::uint64_t one = 1;
    if (this->tasks.size() == 1) [[maybe_unused]]
        const auto written = write(this->wakeFd, &one, sizeof(one));
}

void RpcLoop::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->wakeFd < 0 || this->stopping)
            return;
        this->stopping = true;
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = write(this->wakeFd, &one, sizeof(one));
    }
    if (this->thread.joinable())
        this->thread.join();
    close(this->wakeFd);
    this->wakeFd = -1;
}

kj::Promise<capnp::Capability::Client> RpcLoop::peer(const std::string& address)
{
    this->state->dropIdlePeers();
    SharedPeer& shared = this->state->peers[address];
    shared.lastUsed = monotonicNow();
    if (shared.pending == nullptr) {
        shared.serial = this->state->nextSerial++;
        const std::uint64_t serial = shared.serial;
        const auto removeThis = [this, address, serial] {
            const auto found = this->state->peers.find(address);
            if (found != this->state->peers.end() && found->second.serial == serial)
                this->state->peers.erase(found);
        };
        auto opened = this->state->open(address).then([this, removeThis](kj::Own<Outgoing>&& outgoing) {
            // evalLater() stores only a reference to an lvalue function, which would dangle after this callback, so it
            // is passed a temporary.
            this->detach(outgoing->client.onDisconnect().then(
                [removeThis] { return kj::evalLater([removeThis] { removeThis(); }); }));
            return kj::mv(outgoing);
        });
        shared.pending = opened.fork();
        auto failed
            = KJ_ASSERT_NONNULL(shared.pending).addBranch().ignoreResult().catch_([removeThis](kj::Exception&&) {
                  removeThis();
              });
        this->detach(kj::mv(failed));
    }
    auto branch = KJ_ASSERT_NONNULL(shared.pending).addBranch();
    return branch.then([](kj::Own<Outgoing>&& outgoing) -> capnp::Capability::Client { return outgoing->bootstrap; });
}

kj::Promise<RpcLoop::Connection> RpcLoop::connect(const std::string& address, std::function<void()> onDisconnect)
{
    return this->state->open(address).then(
        [this, onDisconnect = std::move(onDisconnect)](kj::Own<Outgoing>&& outgoing) {
            this->detach(outgoing->client.onDisconnect().then([onDisconnect] { onDisconnect(); }));
            capnp::Capability::Client bootstrap = outgoing->bootstrap;
            auto holder = std::make_shared<kj::Own<Outgoing>>(kj::mv(outgoing));
            return Connection { .bootstrap = kj::mv(bootstrap), .handle = kj::mv(holder) };
        });
}

void RpcLoop::dropBrokenPeer(const std::string& address, const kj::Exception& exception)
{
    if (exception.getType() != kj::Exception::Type::FAILED)
        this->state->peers.erase(address);
}

void RpcLoop::detach(kj::Promise<void> promise) { this->state->background.add(kj::mv(promise)); }

kj::Timer& RpcLoop::timer() { return this->state->io.provider->getTimer(); }

} // namespace hickory
