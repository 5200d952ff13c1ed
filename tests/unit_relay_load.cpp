#include "engine_model.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <map>
#include <random>

using namespace hickory;

namespace {

constexpr std::size_t entryCount = 4;
constexpr std::size_t engineCount = 14;

/// Requests of one route, with their share of the load and the value of their responses.
struct LoadClass {
    const char* prefix; ///< prefix of its route
    double perSecond; ///< requests a second that the fleet gets at a load factor of 1
    std::uint32_t promptTokens; ///< mean number of tokens in a prompt
    double events; ///< mean number of events of a response
    double onTimeValue; ///< value of a response on time
    double lateValue; ///< value of a late response
    Milliseconds objective; ///< longest time to the first event of a response on time
};

constexpr std::array<LoadClass, 3> loadClasses { { { "/calls/", 72.6, 607, 12, 2.4, 0.24, { 250 } },
    { "/letters/", 86.6, 1290, 24, 2.4, 0.59, { 400 } }, { "/digests/", 62.0, 787, 24, 1.0, 0.38, { 800 } } } };

/// A time span in which requests of one class arrive more often.
struct Burst {
    std::size_t loadClass { 0 }; ///< index in loadClasses: 0 is the most urgent, 2 the least
    double factor { 1 }; ///< multiplies the arrival rate of the class
    Milliseconds from { 0 }; ///< simulated time of the first burst arrivals
    Milliseconds until { 0 }; ///< simulated time from which the ordinary rate applies again
};

/// Result of a simulation.
struct SimulationResult {
    double earnedValue { 0 }; ///< value of all complete responses
    double maxValue { 0 }; ///< value if all requests were answered on time
    std::map<std::size_t, double> onTime; ///< share of requests answered on time, by index in loadClasses

    /// @return earned share of the maximum value, 0 to 1
    double valueShare() const { return this->earnedValue / this->maxValue; }
};

/// Simulates four entries that send requests to fourteen engines and exchange loads every 100 ms, without faults.
class RelaySimulation {
public:
    /// @param load load factor: multiplies LoadClass::perSecond of all classes
    RelaySimulation(RelayOptions options, double load, std::vector<Burst> bursts, std::uint64_t seed)
        : load(load)
        , bursts(std::move(bursts))
        , random(seed)
    {
        std::vector<UpstreamEntry> listed;
        auto config = RelayFixture::config(1);
        config->services[{ "engine" }].engine->slots = 16;
        this->engines.resize(engineCount);
        for (std::size_t index = 0; index < engineCount; ++index) {
            UpstreamEntry entry = RelayFixture::upstream("e" + std::to_string(index), "engine");
            entry.slots = 16;
            entry.address = std::to_string(index);
            listed.push_back(entry);
            this->engines[index].profile = *config->services[{ "engine" }].engine;
        }
        for (std::size_t index = 0; index < entryCount; ++index) {
            options.seed = seed + index;
            this->entries.push_back(makeRelayState(options));
            this->deliver(index, ConfigUpdated { config });
            this->deliver(index, UpstreamsUpdated { listed });
            this->deliver(index, EntryCountUpdated { entryCount });
        }
    }

    /// @param length how long requests arrive; the last ones then have 7 s to end
    SimulationResult run(Milliseconds length)
    {
        constexpr Milliseconds drain { 7000 };
        for (; this->now < length + drain; this->now += Milliseconds { 1 }) {
            if (this->now < length)
                this->generateArrivals();
            for (std::size_t index = 0; index < engineCount; ++index)
                for (const ModelledRequest& progressed :
                    this->engines[index].advance(static_cast<double>(this->now.value)))
                    this->applyProgress(progressed);
            if (this->now.value % 20 == 0)
                for (std::size_t index = 0; index < entryCount; ++index) {
                    this->deliver(index, ConfigConfirmed { .asOf = this->now });
                    this->deliver(index, RelayTick {});
                }
            if (this->now.value % 100 == 0)
                this->exchangeLoads();
            this->retryRefused();
        }
        SimulationResult result;
        std::map<std::size_t, std::pair<double, double>> counts;
        for (const Call& call : this->calls) {
            const LoadClass& loadClass = loadClasses.at(call.loadClass);
            result.maxValue += loadClass.onTimeValue;
            ++counts[call.loadClass].second;
            if (!call.done)
                continue;
            const bool onTime = call.firstAt - call.arrivedAt <= loadClass.objective;
            result.earnedValue += onTime ? loadClass.onTimeValue : loadClass.lateValue;
            counts[call.loadClass].first += onTime ? 1 : 0;
        }
        for (const auto& [loadClass, count] : counts)
            result.onTime[loadClass] = count.first / count.second;
        return result;
    }

private:
    /// A request of a caller. A caller that is refused with status 503 tries once more after Retry-After.
    struct Call {
        std::size_t loadClass; ///< index in loadClasses
        Milliseconds arrivedAt; ///< time of the first attempt
        std::uint32_t promptTokens; ///< tokens in the prompt
        std::uint32_t events; ///< events of the response
        Milliseconds firstAt { 0 }; ///< time of the first event, 0 before
        Milliseconds retryAt { 0 }; ///< time of the second attempt, 0 when there is none
        bool retried { false }; ///< the second attempt was made
        bool done { false }; ///< the response is complete
    };

    /// Submits the requests that arrive in this millisecond.
    void generateArrivals()
    {
        for (std::size_t loadClass = 0; loadClass < loadClasses.size(); ++loadClass) {
            double rate = loadClasses.at(loadClass).perSecond * this->load / 1000.0;
            for (const Burst& burst : this->bursts)
                if (burst.loadClass == loadClass && this->now >= burst.from && this->now < burst.until)
                    rate *= burst.factor;
            std::poisson_distribution<int> count(rate);
            std::lognormal_distribution<double> size(-0.3, 0.77);
            for (int arrivals = count(this->random); arrivals > 0; --arrivals) {
                Call call { .loadClass = loadClass, .arrivedAt = this->now };
                call.promptTokens
                    = static_cast<std::uint32_t>(1 + loadClasses.at(loadClass).promptTokens * size(this->random));
                call.events = static_cast<std::uint32_t>(
                    1 + std::min(60.0, loadClasses.at(loadClass).events * size(this->random)));
                this->calls.push_back(call);
                this->submit(this->calls.size() - 1);
            }
        }
    }

    /// Sends an attempt of a call to a random entry.
    void submit(std::size_t index)
    {
        const Call& call = this->calls[index];
        const std::size_t entry = this->random() % entryCount;
        const CallId id { index + 1 + (call.retried ? 1000000U : 0U) };
        RequestMetadata metadata { .attemptId = std::to_string(id.value),
            .host = "desk.example",
            .target = std::string(loadClasses.at(call.loadClass).prefix) + "x",
            .key = "key",
            .timeout = Milliseconds { 6000 } - (this->now - call.arrivedAt),
            .model = { "model" },
            .promptTokens = call.promptTokens };
        this->deliver(entry, CallArrived { .call = id, .firstByteAt = this->now, .metadata = metadata });
    }

    /// Applies an event at one entry and carries out its effects.
    void deliver(std::size_t entry, const RelayEvent& event)
    {
        for (const RelayEffect& effect : reduceRelay(this->entries[entry], event, this->now)) {
            if (const auto* send = std::get_if<SendToUpstream>(&effect)) {
                const Call& call = this->calls[(send->call.value - 1) % 1000000];
                this->engines[std::stoul(send->address)].waiting.push_back({ .entry = entry,
                    .call = send->call.value,
                    .send = send->send.value,
                    .urgency = send->urgency.value_or(5),
                    .promptTokens = call.promptTokens,
                    .eventsLeft = call.events });
            } else if (const auto* cancel = std::get_if<CancelSend>(&effect)) {
                for (EngineModel& engine : this->engines)
                    engine.drop(entry, cancel->send.value);
            } else if (const auto* refusal = std::get_if<RefuseCall>(&effect)) {
                Call& call = this->calls[(refusal->call.value - 1) % 1000000];
                if (!call.retried && refusal->status == 503)
                    call.retryAt = this->now + refusal->retryAfter;
            }
        }
    }

    /// Reports an event of a stream to the entry that sent the request, with the start and the end of its response.
    void applyProgress(const ModelledRequest& progressed)
    {
        Call& call = this->calls[(progressed.call - 1) % 1000000];
        const CallId id { progressed.call };
        const SendId send { progressed.send };
        if (call.firstAt.value == 0) {
            call.firstAt = this->now;
            this->deliver(progressed.entry,
                ResponseStarted { .call = id, .send = send, .status = 200, .sealed = true, .stream = true });
        }
        this->deliver(progressed.entry, StreamProgressed { .call = id, .send = send, .lastEventId = "1" });
        if (progressed.eventsLeft == 0) {
            call.done = true;
            this->deliver(progressed.entry, ResponseEnded { .call = id, .send = send });
        }
    }

    /// Reports the load of each entry to all others.
    void exchangeLoads()
    {
        for (std::size_t from = 0; from < entryCount; ++from)
            for (std::size_t to = 0; to < entryCount; ++to)
                if (from != to)
                    this->deliver(to,
                        PeerLoadsReceived { .peer = { std::to_string(from) }, .loads = ownLoads(this->entries[from]) });
    }

    /// Submits the second attempts that are due.
    void retryRefused()
    {
        for (std::size_t index = 0; index < this->calls.size(); ++index) {
            Call& call = this->calls[index];
            if (call.retryAt.value == 0 || call.retried || this->now < call.retryAt)
                continue;
            call.retried = true;
            this->submit(index);
        }
    }

    double load; ///< load factor, multiplies LoadClass::perSecond of all classes
    std::vector<Burst> bursts; ///< may overlap; their factors multiply
    std::mt19937_64 random; ///< source of arrivals and sizes
    Milliseconds now { 1 }; ///< simulated time
    std::vector<RelayState> entries; ///< state of each entry under test
    std::vector<EngineModel> engines; ///< by number, which is their address
    std::vector<Call> calls; ///< requests in order of arrival
};

SimulationResult simulate(RelayRoutePolicy routePolicy, RelayQueuePolicy queuePolicy, double load,
    const std::vector<Burst>& bursts, std::uint64_t seed = 7)
{
    return RelaySimulation({ .routePolicy = routePolicy, .queuePolicy = queuePolicy }, load, bursts, seed)
        .run({ 8000 });
}

/// @return mean of SimulationResult::valueShare() over three seeds
double meanValueShare(RelayRoutePolicy routePolicy, double load)
{
    double sum = 0;
    for (const std::uint64_t seed : { 7, 8, 9 })
        sum += simulate(routePolicy, RelayQueuePolicy::Urgency, load, {}, seed).valueShare();
    return sum / 3;
}

} // namespace

TEST_CASE("The urgency queue keeps urgent requests on time under a flood of the least urgent ones", "[load]")
{
    const std::vector<Burst> flood { { .loadClass = 2, .factor = 3, .from = { 1000 }, .until = { 6000 } } };
    const SimulationResult urgency
        = simulate(RelayRoutePolicy::PredictedLatency, RelayQueuePolicy::Urgency, 0.6, flood);
    const SimulationResult fifo = simulate(RelayRoutePolicy::PredictedLatency, RelayQueuePolicy::Fifo, 0.6, flood);
    INFO("urgency " << urgency.valueShare() << ", fifo " << fifo.valueShare() << ", calls on time "
                    << urgency.onTime.at(0));
    CHECK(urgency.valueShare() > fifo.valueShare());
    CHECK(urgency.onTime.at(0) > 0.9);
    CHECK(urgency.onTime.at(0) > fifo.onTime.at(0));
}

TEST_CASE("The urgency queue beats FIFO under a flood of the most urgent requests", "[load]")
{
    const std::vector<Burst> flood { { .loadClass = 0, .factor = 3, .from = { 1000 }, .until = { 6000 } } };
    const SimulationResult urgency
        = simulate(RelayRoutePolicy::PredictedLatency, RelayQueuePolicy::Urgency, 0.6, flood);
    const SimulationResult fifo = simulate(RelayRoutePolicy::PredictedLatency, RelayQueuePolicy::Fifo, 0.6, flood);
    INFO("urgency " << urgency.valueShare() << ", fifo " << fifo.valueShare());
    CHECK(urgency.valueShare() > fifo.valueShare());
    CHECK(urgency.onTime.at(0) > 0.8);
}

TEST_CASE("Routing by predicted latency beats least-requests, which beats random routing", "[load]")
{
    const double predicted = meanValueShare(RelayRoutePolicy::PredictedLatency, 0.65);
    const double least = meanValueShare(RelayRoutePolicy::LeastRequests, 0.65);
    const double random = meanValueShare(RelayRoutePolicy::Random, 0.65);
    INFO("predicted " << predicted << ", least requests " << least << ", random " << random);
    CHECK(predicted > least);
    CHECK(least > random);
}
