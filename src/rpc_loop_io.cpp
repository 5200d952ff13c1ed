#include "rpc_loop_io.h"

#include <capnp/rpc-twoparty.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <future>
#include <stdexcept>

namespace hickory {

namespace {

    /// A peer that does not accept within this time counts as unreachable.
    constexpr Milliseconds connectTimeout { 2000 };

    /// Longer than the longest time-out of a call, 60 s for a chunk, so that no call is in progress on an idle
    /// connection.
    constexpr Milliseconds peerIdleLimit { 90000 };
    constexpr Milliseconds peerSweepInterval { 10000 };

    /// Ignores failures of detached promises; whoever cares handled them before.
    class QuietErrors : public kj::TaskSet::ErrorHandler {
    public:
        void taskFailed(kj::Exception&&) override { }
    };

    /// One outgoing connection.
    struct Outgoing : kj::Refcounted {
        Outgoing(kj::Own<kj::AsyncIoStream> connection)
            : stream(kj::mv(connection))
            , client(*this->stream)
            , bootstrap(this->client.bootstrap())
        {
        }

        kj::Own<Outgoing> addRef() { return kj::addRef(*this); }

        kj::Own<kj::AsyncIoStream> stream; ///< TCP connection
        capnp::TwoPartyClient client; ///< RPC over it
        /// Asked for once: on a connection that has ended, TwoPartyClient::bootstrap ends the process.
        capnp::Capability::Client bootstrap;
    };

    /// One accepted connection. The members are destroyed in reverse order, the RPC system before its network.
    struct Incoming {
        Incoming(kj::Own<kj::AsyncIoStream> connection, capnp::Capability::Client bootstrap)
            : stream(kj::mv(connection))
            , network(*this->stream, capnp::rpc::twoparty::Side::SERVER)
            , system(capnp::makeRpcServer(this->network, kj::mv(bootstrap)))
        {
        }

        kj::Own<kj::AsyncIoStream> stream; ///< TCP connection
        capnp::TwoPartyVatNetwork network; ///< messages over it
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> system; ///< RPC over the messages
    };

    /// A shared outgoing connection, or the attempt to make one.
    struct SharedPeer {
        kj::Maybe<kj::ForkedPromise<kj::Own<Outgoing>>> pending; ///< resolves to the connection
        std::uint64_t serial { 0 }; ///< tells a replaced connection from its successor
        Milliseconds lastUsed { 0 }; ///< when it was last asked for
    };

} // namespace

struct RpcLoop::State {
    explicit State(kj::AsyncIoContext context)
        : io(kj::mv(context))
        , background(this->errors)
    {
    }

    /// Closes connections that were not used for a while: gossip goes to another random entry each second, and memory
    /// would grow with the number of entries.
    void dropIdlePeers()
    {
        const Milliseconds now = monotonicNow();
        if (now - this->lastSweep < peerSweepInterval)
            return;
        this->lastSweep = now;
        std::erase_if(this->peers, [now](const auto& entry) { return now - entry.second.lastUsed >= peerIdleLimit; });
    }

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

    kj::AsyncIoContext io; ///< event loop of the thread
    QuietErrors errors; ///< of background
    kj::TaskSet background; ///< accepted connections and detached promises
    std::map<std::string, SharedPeer> peers; ///< shared connections by address
    std::uint64_t nextSerial { 1 }; ///< serial of the next shared connection
    Milliseconds lastSweep { 0 }; ///< when idle connections were last closed
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
        if (ended)
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
        const auto forgetThis = [this, address, serial] {
            const auto found = this->state->peers.find(address);
            if (found != this->state->peers.end() && found->second.serial == serial)
                this->state->peers.erase(found);
        };
        auto opened = this->state->open(address).then([this, forgetThis](kj::Own<Outgoing>&& outgoing) {
            // evalLater keeps a reference to a named function, which would end with this callback, so it gets a copy.
            this->detach(outgoing->client.onDisconnect().then(
                [forgetThis] { return kj::evalLater([forgetThis] { forgetThis(); }); }));
            return kj::mv(outgoing);
        });
        shared.pending = opened.fork();
        auto failed
            = KJ_ASSERT_NONNULL(shared.pending).addBranch().ignoreResult().catch_([forgetThis](kj::Exception&&) {
                  forgetThis();
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

void RpcLoop::forgetBroken(const std::string& address, const kj::Exception& exception)
{
    if (exception.getType() != kj::Exception::Type::FAILED)
        this->state->peers.erase(address);
}

void RpcLoop::detach(kj::Promise<void> promise) { this->state->background.add(kj::mv(promise)); }

kj::Timer& RpcLoop::timer() { return this->state->io.provider->getTimer(); }

} // namespace hickory
