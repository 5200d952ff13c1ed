#pragma once

#include "request_fixture.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>

namespace hickory {

/// Open-loop callers of one rank and workspace.
struct SimulatedLoad {
    std::string rank; ///< rank name
    std::string workspace; ///< workspace
    double perSecond { 0 }; ///< mean arrivals over all entries
    std::size_t prefixes { 0 }; ///< shared prompt prefixes, skewed; 0 for none
};

/// What became of one load.
struct SimulatedResult {
    int offered { 0 }; ///< requests sent
    int finished { 0 }; ///< whole answers
    int refused { 0 }; ///< not-run answers
    int dispatches { 0 }; ///< attempts
    int cacheHits { 0 }; ///< attempts whose prefix the replica held
    std::vector<double> waits; ///< ms from arrival to the first part

    double share() const
    {
        const int ended = this->finished + this->refused;
        return ended == 0 ? 0.0 : static_cast<double>(this->finished) / ended;
    }
    double percentile(double part)
    {
        if (this->waits.empty())
            return 0;
        std::sort(this->waits.begin(), this->waits.end());
        return this->waits[std::min(
            this->waits.size() - 1, static_cast<std::size_t>(part * static_cast<double>(this->waits.size())))];
    }
};

/// Entries and replicas in virtual time. Replicas give slots by rank with floors and preempt for them.
struct RequestSimulation {
    struct Job {
        std::size_t entry { 0 }; ///< index of its entry
        DispatchAttempt dispatch; ///< the attempt
        Milliseconds end { 0 }; ///< when its answer is whole, while it runs
        std::uint64_t prefix { 0 }; ///< hash of its prefix
    };
    struct Replica {
        AgentStatus status; ///< last sequence and load
        std::vector<Job> running; ///< in a slot
        std::vector<Job> waiting; ///< admitted
        std::vector<std::uint64_t> cached; ///< prefixes, oldest first
        bool up { true }; ///< false when it was killed
    };
    struct Caller {
        std::size_t load { 0 }; ///< index of its load
        Milliseconds arrived { 0 }; ///< when it was sent
        std::uint64_t prefix { 0 }; ///< hash of its prefix
        bool started { false }; ///< a replica began to run it
    };

    static constexpr std::size_t cacheSize = 6; ///< prefixes that a replica holds
    static constexpr double serviceMs = 500; ///< mean time in a slot
    static constexpr double prefillMs = 80; ///< time to the first part for a prefix that is not cached

    std::vector<RequestFixture> entries; ///< the entries
    std::vector<Replica> replicas; ///< the replicas
    std::vector<SimulatedLoad> loads; ///< the callers
    std::vector<SimulatedResult> results; ///< by load
    std::map<std::pair<std::size_t, RequestId>, Caller> callers; ///< open requests
    std::mt19937_64 random; ///< of callers and replicas
    Milliseconds now { 1000 }; ///< virtual time
    int peakWaiting { 0 }; ///< most requests that waited at one replica

    RequestSimulation(std::size_t entryCount, std::size_t replicaCount, std::vector<SimulatedLoad> callers,
        const std::function<void(RequestFixture&)>& adjust, std::uint64_t seed = 5)
        : loads(std::move(callers))
        , results(this->loads.size())
        , random(seed)
    {
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            this->entries.emplace_back(replicaCount, seed + entry);
            RequestFixture& fixture = this->entries.back();
            fixture.state.settings.process.host = { "e" + std::to_string(entry) };
            adjust(fixture);
            fixture.start();
        }
        for (const AgentStatus& status : this->entries[0].statuses)
            this->replicas.push_back({ .status = status, .running = {}, .waiting = {}, .cached = {} });
    }

    AgentStatus freshStatus(Replica& replica)
    {
        ++replica.status.sequence;
        for (RankLoad& load : replica.status.ranks)
            load = {};
        for (const Job& job : replica.running)
            ++replica.status.ranks[job.dispatch.call.rank.value].running;
        for (const Job& job : replica.waiting)
            ++replica.status.ranks[job.dispatch.call.rank.value].queued;
        return replica.status;
    }

    void take(std::size_t entry, const EntryEffects& effects)
    {
        for (const EntryEffect& effect : effects) {
            if (const auto* dispatch = std::get_if<DispatchAttempt>(&effect))
                this->accept(entry, *dispatch);
            else if (const auto* refuse = std::get_if<RefuseRequest>(&effect))
                this->close(entry, refuse->request, false);
            else if (const auto* finish = std::get_if<FinishRequest>(&effect))
                this->close(entry, finish->request, true);
        }
    }

    void close(std::size_t entry, RequestId request, bool finished)
    {
        const auto found = this->callers.find({ entry, request });
        SimulatedResult& result = this->results[found->second.load];
        ++(finished ? result.finished : result.refused);
        this->callers.erase(found);
    }

    void accept(std::size_t entry, const DispatchAttempt& dispatch)
    {
        const Caller& caller = this->callers.at({ entry, dispatch.call.key.request });
        ++this->results[caller.load].dispatches;
        for (Replica& replica : this->replicas)
            if (replica.status.host == dispatch.host) {
                replica.waiting.push_back({ .entry = entry, .dispatch = dispatch, .prefix = caller.prefix });
                this->peakWaiting = std::max(this->peakWaiting, static_cast<int>(replica.waiting.size()));
                this->fill(replica);
            }
    }

    std::size_t runningOf(const Replica& replica, std::size_t rank) const
    {
        return static_cast<std::size_t>(std::count_if(replica.running.begin(), replica.running.end(),
            [&](const Job& job) { return job.dispatch.call.rank.value == rank; }));
    }

    std::size_t floorOf(std::size_t rank) const
    {
        return static_cast<std::size_t>(this->entries[0].config.ranks[rank].floor * 8);
    }

    /// Starts what fits; a rank below its floor displaces a job of a less urgent rank above its own.
    void fill(Replica& replica)
    {
        std::stable_sort(replica.waiting.begin(), replica.waiting.end(),
            [](const Job& left, const Job& right) { return left.dispatch.call.rank < right.dispatch.call.rank; });
        for (std::size_t index = 0; index < replica.waiting.size();) {
            const std::size_t rank = replica.waiting[index].dispatch.call.rank.value;
            if (replica.running.size() >= 8
                && (this->runningOf(replica, rank) >= this->floorOf(rank) || !this->displace(replica, rank))) {
                ++index;
                continue;
            }
            Job job = replica.waiting[index];
            replica.waiting.erase(replica.waiting.begin() + static_cast<std::ptrdiff_t>(index));
            this->begin(replica, std::move(job));
        }
    }

    bool displace(Replica& replica, std::size_t rank)
    {
        for (std::size_t victim = replica.running.size(); victim-- > 0;) {
            const Job job = replica.running[victim];
            const std::size_t other = job.dispatch.call.rank.value;
            if (other == rank || this->runningOf(replica, other) <= this->floorOf(other))
                continue;
            replica.running.erase(replica.running.begin() + static_cast<std::ptrdiff_t>(victim));
            this->pendingEnds.emplace_back(job, DispatchResultKind::Preempted);
            return true;
        }
        return false;
    }

    void begin(Replica& replica, Job job)
    {
        Caller& caller = this->callers.at({ job.entry, job.dispatch.call.key.request });
        SimulatedResult& result = this->results[caller.load];
        const auto hit = std::find(replica.cached.begin(), replica.cached.end(), job.prefix);
        const bool cached = hit != replica.cached.end();
        if (cached) {
            ++result.cacheHits;
            replica.cached.erase(hit);
        }
        const double prefill = cached || job.prefix == 0 ? 0 : prefillMs;
        if (!caller.started)
            result.waits.push_back(static_cast<double>((this->now - caller.arrived).value) + prefill);
        caller.started = true;
        this->begun.push_back(job);
        if (job.prefix != 0)
            replica.cached.push_back(job.prefix);
        if (replica.cached.size() > cacheSize)
            replica.cached.erase(replica.cached.begin());
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        job.end = this->now + Milliseconds { std::llround(serviceMs * spread(this->random)) };
        replica.running.push_back(std::move(job));
    }

    void tell(Replica& replica, const Job& job, DispatchResultKind kind)
    {
        RequestFixture& entry = this->entries[job.entry];
        if (!this->callers.contains({ job.entry, job.dispatch.call.key.request }))
            return;
        AttemptEnded ended = entry.ended(job.dispatch, kind, kind == DispatchResultKind::Completed ? 1 : 0);
        ended.result.load = this->freshStatus(replica);
        this->take(job.entry, entry.run(ended));
    }

    Replica& replicaOf(const HostId& host)
    {
        return *std::find_if(this->replicas.begin(), this->replicas.end(),
            [&](const Replica& replica) { return replica.status.host == host; });
    }

    void arrive(std::size_t load)
    {
        const std::size_t entry = this->random() % this->entries.size();
        RequestArrived call = this->entries[entry].call(this->loads[load].rank, this->loads[load].workspace);
        Caller caller { .load = load, .arrived = this->now };
        if (this->loads[load].prefixes > 0) {
            // The square skews the choice towards few prefixes.
            std::uniform_real_distribution<double> uniform(0, 1);
            const double drawn = uniform(this->random);
            const auto prefix
                = static_cast<std::uint64_t>(drawn * drawn * static_cast<double>(this->loads[load].prefixes));
            caller.prefix = (prefix + 1) * 0x9E3779B97F4A7C15ULL;
        }
        call.prefixHash = caller.prefix;
        ++this->results[load].offered;
        this->callers[{ entry, call.request }] = caller;
        this->take(entry, this->entries[entry].run(std::move(call)));
    }

    void step()
    {
        this->now += Milliseconds { 10 };
        for (RequestFixture& entry : this->entries)
            entry.now = this->now;
        for (Replica& replica : this->replicas) {
            std::vector<Job> done;
            std::erase_if(replica.running, [&](const Job& job) {
                if (job.end <= this->now)
                    done.push_back(job);
                return job.end <= this->now;
            });
            this->fill(replica);
            for (const Job& job : done)
                this->tell(replica, job, DispatchResultKind::Completed);
        }
        for (const Job& job : std::exchange(this->begun, {}))
            this->take(job.entry,
                this->entries[job.entry].run(
                    FirstPart { job.dispatch.call.key.request, job.dispatch.call.key.attempt, job.dispatch.host }));
        for (const auto& [job, kind] : std::exchange(this->pendingEnds, {}))
            this->tell(this->replicaOf(job.dispatch.host), job, kind);
        for (std::size_t load = 0; load < this->loads.size(); ++load) {
            std::poisson_distribution<int> count(this->loads[load].perSecond / 100);
            for (int left = count(this->random); left > 0; --left)
                this->arrive(load);
        }
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            if (this->now.value % 1000 == 0)
                for (Replica& replica : this->replicas)
                    this->take(
                        entry, this->entries[entry].run(AgentStatusReceived { .status = this->freshStatus(replica) }));
            if (this->now.value % 50 == 0)
                this->take(entry, this->entries[entry].run(Tick {}));
        }
    }

    /// Runs for a time and then forgets what was counted, so that the start is not measured.
    void warmUp(Milliseconds span)
    {
        this->runFor(span);
        this->results.assign(this->loads.size(), {});
        this->peakWaiting = 0;
    }

    void runFor(Milliseconds span)
    {
        const Milliseconds end = this->now + span;
        while (this->now < end)
            this->step();
    }

    std::vector<Job> begun; ///< their first part is told in the next step
    std::vector<std::pair<Job, DispatchResultKind>> pendingEnds; ///< told in the next step
};

} // namespace hickory
