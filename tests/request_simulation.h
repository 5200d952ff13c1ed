#pragma once

#include "request_fixture.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>

namespace hickory {

/// Callers of one rank and workspace that send requests at a mean rate, whether or not earlier ones were answered.
struct SimulatedLoad {
    std::string rank;
    std::string workspace;
    double perSecond { 0 }; ///< mean requests per second over all entries
    std::size_t prefixes { 0 }; ///< distinct prompt prefixes, unequally frequent; 0 for prompts without prefix
};

/// Counts and wait times of one load.
struct SimulatedResult {
    int offered { 0 }; ///< requests that callers sent
    int finished { 0 }; ///< requests that were answered completely
    int refused { 0 }; ///< requests that were refused
    int dispatches { 0 }; ///< attempts dispatched to replicas, retries included
    int cacheHits { 0 }; ///< attempts whose prefix was cached at the replica
    std::vector<double> waits; ///< ms from arrival to the first part, one for each request that started

    /// @return share of the ended requests that finished, 0 to 1; 0 when none ended
    double finishedShare() const
    {
        const int ended = this->finished + this->refused;
        return ended == 0 ? 0.0 : static_cast<double>(this->finished) / ended;
    }
    /// @param part percentile as a fraction, e.g. 0.95
    /// @return wait in ms, 0 when no request started
    double percentile(double part)
    {
        if (this->waits.empty())
            return 0;
        std::sort(this->waits.begin(), this->waits.end());
        return this->waits[std::min(
            this->waits.size() - 1, static_cast<std::size_t>(part * static_cast<double>(this->waits.size())))];
    }
};

/// Simulates entries and replicas in virtual time. Each replica has 8 slots, assigns them by rank and preempts for
/// ranks below their floors.
struct RequestSimulation {
    /// An attempt at a replica.
    struct Job {
        std::size_t entry { 0 }; ///< index of the entry that dispatched it
        DispatchAttempt dispatch; ///< the attempt as its entry dispatched it
        Milliseconds end { 0 }; ///< time at which its answer is complete, once it runs
        std::uint64_t prefix { 0 }; ///< hash of its prefix, 0 for none
    };
    /// A replica of the service.
    struct Replica {
        AgentStatus status; ///< status that the replica last reported to the entries
        std::vector<Job> running; ///< jobs in a slot
        std::vector<Job> waiting; ///< jobs without a slot
        std::vector<std::uint64_t> cached; ///< hashes of cached prefixes, least recently used first
        bool up { true }; ///< false after it was killed
    };
    /// A caller that waits for its answer.
    struct Caller {
        std::size_t load { 0 }; ///< index of its load
        Milliseconds arrived { 0 }; ///< time at which its request was sent
        std::uint64_t prefix { 0 }; ///< hash of its prefix, 0 for none
        bool started { false }; ///< a replica has started its request
    };

    static constexpr std::size_t cacheSize = 6; ///< prefixes that a replica caches
    static constexpr double serviceMs = 500; ///< ms; mean time in a slot
    static constexpr double prefillMs = 80; ///< ms; additional time to the first part when the prefix is not cached

    std::vector<RequestFixture> entries;
    std::vector<Replica> replicas;
    std::vector<SimulatedLoad> loads;
    std::vector<SimulatedResult> results; ///< by index of the load
    std::map<std::pair<std::size_t, RequestId>, Caller> callers; ///< callers that wait, by entry and request
    std::mt19937_64 random; ///< generator for callers and replicas; each entry has its own
    Milliseconds now { 1000 }; ///< virtual time
    int peakWaiting { 0 }; ///< maximum of requests that waited at one replica

    /// @param adjust changes the fixture of each entry before it is started
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

    /// @return the current status of a replica, with the next sequence number
    AgentStatus nextStatus(Replica& replica)
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

    /// Applies the effects of an entry's reducer to the replicas and callers.
    void handleEffects(std::size_t entry, const EntryEffects& effects)
    {
        for (const EntryEffect& effect : effects) {
            if (const auto* dispatch = std::get_if<DispatchAttempt>(&effect))
                this->acceptDispatch(entry, *dispatch);
            else if (const auto* refuse = std::get_if<FailRequest>(&effect))
                this->endRequest(entry, refuse->request, false);
            else if (const auto* finish = std::get_if<FinishRequest>(&effect))
                this->endRequest(entry, finish->request, true);
        }
    }

    /// Counts the end of a request and removes its caller.
    void endRequest(std::size_t entry, RequestId request, bool finished)
    {
        const auto found = this->callers.find({ entry, request });
        SimulatedResult& result = this->results[found->second.load];
        ++(finished ? result.finished : result.refused);
        this->callers.erase(found);
    }

    /// Adds a dispatched attempt to the jobs of its replica.
    void acceptDispatch(std::size_t entry, const DispatchAttempt& dispatch)
    {
        const Caller& caller = this->callers.at({ entry, dispatch.call.key.request });
        ++this->results[caller.load].dispatches;
        for (Replica& replica : this->replicas)
            if (replica.status.host == dispatch.host) {
                replica.waiting.push_back({ .entry = entry, .dispatch = dispatch, .prefix = caller.prefix });
                this->peakWaiting = std::max(this->peakWaiting, static_cast<int>(replica.waiting.size()));
                this->startWaitingJobs(replica);
            }
    }

    /// @return jobs of a rank that are in a slot
    std::size_t runningJobs(const Replica& replica, std::size_t rank) const
    {
        return static_cast<std::size_t>(std::count_if(replica.running.begin(), replica.running.end(),
            [&](const Job& job) { return job.dispatch.call.rank.value == rank; }));
    }

    /// @return slots that the floor of a rank guarantees
    std::size_t reservedSlots(std::size_t rank) const
    {
        return static_cast<std::size_t>(this->entries[0].config.ranks[rank].floor * 8);
    }

    /// Starts waiting jobs, most urgent rank first. When all 8 slots are in use, a rank below its floor preempts a job
    /// of another rank that is above its own floor.
    void startWaitingJobs(Replica& replica)
    {
        std::stable_sort(replica.waiting.begin(), replica.waiting.end(),
            [](const Job& left, const Job& right) { return left.dispatch.call.rank < right.dispatch.call.rank; });
        for (std::size_t index = 0; index < replica.waiting.size();) {
            const std::size_t rank = replica.waiting[index].dispatch.call.rank.value;
            if (replica.running.size() >= 8
                && (this->runningJobs(replica, rank) >= this->reservedSlots(rank) || !this->preempt(replica, rank))) {
                ++index;
                continue;
            }
            Job job = replica.waiting[index];
            replica.waiting.erase(replica.waiting.begin() + static_cast<std::ptrdiff_t>(index));
            this->startJob(replica, std::move(job));
        }
    }

    /// Ends the newest job of another rank above its floor in favour of a rank.
    /// @return false when there is no such job
    bool preempt(Replica& replica, std::size_t rank)
    {
        for (std::size_t victim = replica.running.size(); victim-- > 0;) {
            const Job job = replica.running[victim];
            const std::size_t other = job.dispatch.call.rank.value;
            if (other == rank || this->runningJobs(replica, other) <= this->reservedSlots(other))
                continue;
            replica.running.erase(replica.running.begin() + static_cast<std::ptrdiff_t>(victim));
            this->preemptedJobs.emplace_back(job, DispatchResultKind::Preempted);
            return true;
        }
        return false;
    }

    /// Puts a job into a slot and records its wait.
    void startJob(Replica& replica, Job job)
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
        this->startedJobs.push_back(job);
        if (job.prefix != 0)
            replica.cached.push_back(job.prefix);
        if (replica.cached.size() > cacheSize)
            replica.cached.erase(replica.cached.begin());
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        job.end = this->now + Milliseconds { std::llround(serviceMs * spread(this->random)) };
        replica.running.push_back(std::move(job));
    }

    /// Reports the end of a job to its entry, unless its caller is no longer waiting.
    void reportEnd(Replica& replica, const Job& job, DispatchResultKind kind)
    {
        RequestFixture& entry = this->entries[job.entry];
        if (!this->callers.contains({ job.entry, job.dispatch.call.key.request }))
            return;
        AttemptEnded ended = entry.ended(job.dispatch, kind, kind == DispatchResultKind::Completed ? 1 : 0);
        ended.result.load = this->nextStatus(replica);
        this->handleEffects(job.entry, entry.run(ended));
    }

    /// @return the replica on a host, which must exist
    Replica& replicaOf(const HostId& host)
    {
        return *std::find_if(this->replicas.begin(), this->replicas.end(),
            [&](const Replica& replica) { return replica.status.host == host; });
    }

    /// Sends a request of a load to a random entry.
    void arrive(std::size_t load)
    {
        const std::size_t entry = this->random() % this->entries.size();
        RequestArrived call = this->entries[entry].call(this->loads[load].rank, this->loads[load].workspace);
        Caller caller { .load = load, .arrived = this->now };
        if (this->loads[load].prefixes > 0) {
            // Squaring the uniform number makes low prefix numbers more frequent.
            std::uniform_real_distribution<double> uniform(0, 1);
            const double drawn = uniform(this->random);
            const auto prefix
                = static_cast<std::uint64_t>(drawn * drawn * static_cast<double>(this->loads[load].prefixes));
            caller.prefix = (prefix + 1) * 0x9E3779B97F4A7C15ULL;
        }
        call.prefixHash = caller.prefix;
        ++this->results[load].offered;
        this->callers[{ entry, call.request }] = caller;
        this->handleEffects(entry, this->entries[entry].run(std::move(call)));
    }

    /// Advances time by 10 ms.
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
            this->startWaitingJobs(replica);
            for (const Job& job : done)
                this->reportEnd(replica, job, DispatchResultKind::Completed);
        }
        for (const Job& job : std::exchange(this->startedJobs, {}))
            this->handleEffects(job.entry,
                this->entries[job.entry].run(
                    FirstPart { job.dispatch.call.key.request, job.dispatch.call.key.attempt, job.dispatch.host }));
        for (const auto& [job, kind] : std::exchange(this->preemptedJobs, {}))
            this->reportEnd(this->replicaOf(job.dispatch.host), job, kind);
        for (std::size_t load = 0; load < this->loads.size(); ++load) {
            std::poisson_distribution<int> count(this->loads[load].perSecond / 100);
            for (int left = count(this->random); left > 0; --left)
                this->arrive(load);
        }
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            if (this->now.value % 1000 == 0)
                for (Replica& replica : this->replicas)
                    this->handleEffects(
                        entry, this->entries[entry].run(AgentStatusReceived { .status = this->nextStatus(replica) }));
            if (this->now.value % 50 == 0)
                this->handleEffects(entry, this->entries[entry].run(Tick {}));
        }
    }

    /// Runs for a time span and resets all counts, so that the start-up phase is not measured.
    void warmUp(Milliseconds span)
    {
        this->runFor(span);
        this->results.assign(this->loads.size(), {});
        this->peakWaiting = 0;
    }

    /// Runs for a time span of virtual time.
    void runFor(Milliseconds span)
    {
        const Milliseconds end = this->now + span;
        while (this->now < end)
            this->step();
    }

    std::vector<Job> startedJobs; ///< jobs whose first part is reported to their entries in the next step
    std::vector<std::pair<Job, DispatchResultKind>> preemptedJobs; ///< reported to their entries in the next step
};

} // namespace hickory
