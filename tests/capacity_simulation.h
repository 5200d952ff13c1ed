#pragma once

#include "learned_limit_func.h"
#include "table/learned_limits.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hickory {

/// How the simulated entries choose an upstream.
enum class CapacityPolicy : std::uint8_t {
    Oracle, ///< knows curve, present slowdown and load of each upstream
    Fixed, ///< fewest requests per slot, limit of slots: the policy without learned capacity
    Learned, ///< learned limit, least expected service time
    Stated, ///< fewest requests per slot, weighted by the stated slowdown alone
    Gradient, ///< latency gradient: the limit follows the ratio of least to present service time
    Additive, ///< additive increase, multiplicative decrease on rejection or on a time over twice the least
    Credits, ///< upstream hands out its slots as credits, an equal share to each entry
};

/// A simulated upstream: its requests share its speed, which falls with the square of the load above the knee.
struct SimulatedServer {
    double baseMs { 60 }; ///< service time up to the knee
    std::uint32_t slots { 12 }; ///< further requests wait
    double knee { 12 }; ///< load above which the service time grows
    std::function<double(std::int64_t)> factor; ///< slowdown at a time in ms; empty for 1
    std::function<double(std::int64_t)> kneeAt; ///< knee at a time in ms; empty for `knee`
};

/// A case: upstreams, arrivals, and what the entries are told.
struct CapacityCase {
    std::vector<SimulatedServer> servers;
    std::vector<double> entryShares { 1.0 }; ///< share of the requests that each entry receives
    double perSecond { 100 }; ///< requests of all entries
    std::int64_t lengthMs { 40'000 }; ///< of the arrivals
    bool statesSlowdown { true }; ///< answers state the present slowdown
    bool exactLoads { false }; ///< entries know the present loads, not those of the last exchange
    std::uint64_t seed { 1 };
};

/// What a run measured.
struct CapacityResult {
    double meanMs { 0 }; ///< from arrival to the end of the answer, all requests
    std::uint64_t requests { 0 }; ///< that ended
    /// Learned limit of each upstream at the first entry, every 100 ms, without trials.
    std::vector<std::vector<double>> limits;
    std::vector<std::vector<double>> sent; ///< requests sent to each upstream in each 100 ms
    double probed { 0 }; ///< share of the requests sent above the limit in a trial
};

/// Runs one case under one policy in steps of 1 ms. Entries know their own requests at once and those of the others as
/// of the last exchange, every 100 ms.
class CapacitySimulation {
public:
    CapacitySimulation(CapacityCase simulated, CapacityPolicy policy)
        : simulated(std::move(simulated))
        , policy(policy)
        , random(this->simulated.seed)
        , running(this->simulated.servers.size())
    {
        for (std::size_t index = 0; index < this->simulated.entryShares.size(); ++index) {
            Entry entry;
            for (const SimulatedServer& server : this->simulated.servers) {
                entry.learned.push_back({ .learned = { .slots = server.slots } });
                entry.baseline.push_back({ .limit = static_cast<double>(server.slots) });
            }
            entry.sent.resize(this->simulated.servers.size());
            entry.others.resize(this->simulated.servers.size());
            this->entries.push_back(std::move(entry));
        }
        this->result.limits.resize(this->simulated.servers.size());
        this->result.sent.resize(this->simulated.servers.size());
    }

    CapacityResult run()
    {
        this->drawArrivals();
        constexpr std::int64_t longestDrainMs = 60'000;
        for (; this->now < this->simulated.lengthMs + longestDrainMs; ++this->now) {
            this->advance();
            while (!this->arrivals.empty() && this->arrivals.front().at <= this->now) {
                this->entries.at(this->arrivals.front().entry).queue.push_back(this->arrivals.front());
                this->arrivals.pop_front();
            }
            constexpr std::int64_t exchangeMs = 100;
            if (this->now % exchangeMs == 0)
                this->exchange();
            for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
                this->dispatch(entry);
            if (this->arrivals.empty() && this->ended == this->total)
                break;
        }
        this->result.requests = this->ended;
        this->result.meanMs = this->sumMs / static_cast<double>(std::max<std::uint64_t>(this->ended, 1));
        this->result.probed = this->probes / static_cast<double>(std::max<std::uint64_t>(this->ended, 1));
        return this->result;
    }

    const LearnedUpstream& learned(std::size_t server) const { return this->entries[0].learned[server]; }

private:
    struct Request {
        std::int64_t at; ///< arrival, ms
        std::size_t entry; ///< that received it
        double work; ///< relative to the mean
        std::int64_t sentAt { 0 };
        std::uint32_t load { 0 }; ///< as the entry knew it at the send
        double integral { 0 }; ///< of the load at the send
        double left { 0 }; ///< work not done yet
    };
    struct Baseline {
        double limit;
        double leastMs { 0 };
        double meanMs { 0 };
        double slowdown { 1 };
    };
    struct Entry {
        std::deque<Request> queue;
        std::vector<LearnedUpstream> learned;
        std::vector<Baseline> baseline; ///< state of the policies that are only compared
        std::vector<std::uint32_t> sent; ///< own requests in flight
        std::vector<std::uint32_t> others; ///< those of the others as of the last exchange
    };

    Milliseconds clock() const { return { this->now + 100'000 }; }

    double factorOf(std::size_t server) const
    {
        const SimulatedServer& known = this->simulated.servers[server];
        return known.factor ? known.factor(this->now) : 1.0;
    }

    double kneeOf(std::size_t server) const
    {
        const SimulatedServer& known = this->simulated.servers[server];
        return known.kneeAt ? known.kneeAt(this->now) : known.knee;
    }

    /// @return service time of a request of mean work at a load
    double curve(std::size_t server, double load) const
    {
        const SimulatedServer& known = this->simulated.servers[server];
        const double over = std::max(1.0, std::min<double>(load, known.slots) / this->kneeOf(server));
        return known.baseMs * this->factorOf(server) * over * over;
    }

    void drawArrivals()
    {
        std::exponential_distribution<double> gap(this->simulated.perSecond / 1000.0);
        std::uniform_real_distribution<double> work(0.7, 1.3);
        std::discrete_distribution<std::size_t> entry(
            this->simulated.entryShares.begin(), this->simulated.entryShares.end());
        for (double at = gap(this->random); at < static_cast<double>(this->simulated.lengthMs);
             at += gap(this->random)) {
            const double drawn = work(this->random);
            this->arrivals.push_back(
                { .at = static_cast<std::int64_t>(at), .entry = entry(this->random), .work = drawn });
        }
        this->total = this->arrivals.size();
    }

    void advance()
    {
        for (std::size_t server = 0; server < this->running.size(); ++server) {
            std::vector<Request>& requests = this->running[server];
            const double step = 1.0 / this->curve(server, static_cast<double>(requests.size()));
            const std::size_t active = std::min<std::size_t>(requests.size(), this->simulated.servers[server].slots);
            std::size_t kept = 0;
            for (std::size_t index = 0; index < requests.size(); ++index) {
                if (index < active)
                    requests[index].left -= step;
                if (requests[index].left <= 0)
                    this->end(server, requests[index]);
                else
                    requests[kept++] = requests[index];
            }
            requests.resize(kept);
        }
    }

    void end(std::size_t server, const Request& request)
    {
        ++this->ended;
        this->sumMs += static_cast<double>(this->now - request.at);
        Entry& entry = this->entries[request.entry];
        --entry.sent[server];
        const std::optional<double> stated
            = this->simulated.statesSlowdown ? std::optional(this->factorOf(server)) : std::nullopt;
        const auto time = static_cast<double>(this->now - request.sentAt);
        if (this->policy == CapacityPolicy::Learned) {
            recordService(entry.learned[server].learned,
                { .load = request.load,
                    .meanLoad = (this->note(entry, server) - request.integral) / std::max(time, 1.0),
                    .time = time,
                    .slowdown = stated,
                    .at = this->clock() });
            updateMerged(entry.learned[server], this->clock());
            return;
        }
        this->updateBaseline(entry.baseline[server], server, request.load, time, stated.value_or(1.0));
    }

    void updateBaseline(Baseline& known, std::size_t server, std::uint32_t load, double time, double slowdown)
    {
        constexpr double share = 0.1;
        const double most = this->simulated.servers[server].slots;
        known.slowdown = slowdown;
        known.meanMs = known.meanMs == 0 ? time : known.meanMs + share * (time - known.meanMs);
        known.leastMs = known.leastMs == 0 ? time : std::min(known.leastMs * 1.001, time);
        if (this->policy == CapacityPolicy::Gradient) {
            const double gradient = std::clamp(1.5 * known.leastMs / known.meanMs, 0.5, 1.0);
            const double target = known.limit * gradient + std::sqrt(known.limit) * 0.5;
            known.limit = std::clamp(known.limit + share * (target - known.limit), 1.0, most);
        } else if (this->policy == CapacityPolicy::Additive) {
            if (time > 2 * known.leastMs)
                known.limit = std::max(1.0, known.limit * 0.9);
            else if (load + 1 >= known.limit)
                known.limit = std::min(most, known.limit + 1 / known.limit);
        }
    }

    /// Tells the entries each other's loads and estimates.
    void exchange()
    {
        for (std::size_t index = 0; index < this->entries.size(); ++index)
            for (std::size_t server = 0; server < this->running.size(); ++server) {
                Entry& entry = this->entries[index];
                entry.others[server] = static_cast<std::uint32_t>(this->running[server].size()) - entry.sent[server];
                this->note(entry, server);
                this->tell(index, server);
            }
        for (std::size_t server = 0; server < this->running.size(); ++server) {
            this->result.limits[server].push_back(this->entries[0].learned[server].limit);
            this->result.sent[server].push_back(0);
        }
    }

    void tell(std::size_t from, std::size_t server)
    {
        LearnedUpstream& own = this->entries[from].learned[server];
        if (newsValue(own.learned.own, own.told, own.toldAt, this->clock()) <= 0)
            return;
        own.told = own.learned.own;
        own.toldAt = this->clock();
        for (std::size_t to = 0; to < this->entries.size(); ++to)
            if (to != from)
                recordPeerEstimate(this->entries[to].learned[server],
                    { .peer = { std::to_string(from) }, .estimate = own.learned.own }, this->clock());
    }

    std::uint32_t knownLoad(const Entry& entry, std::size_t server) const
    {
        return this->policy == CapacityPolicy::Oracle || this->simulated.exactLoads
            ? static_cast<std::uint32_t>(this->running[server].size())
            : entry.sent[server] + entry.others[server];
    }

    /// @return load that the policy decides on
    std::uint32_t decisiveLoad(const Entry& entry, std::size_t server) const
    {
        return this->policy == CapacityPolicy::Learned && !this->simulated.exactLoads
            ? steadyLoad(entry.learned[server], entry.sent[server])
            : this->knownLoad(entry, server);
    }

    /// Notes the load as the entry knows it.
    double note(Entry& entry, std::size_t server) const
    {
        const std::uint32_t own = entry.sent[server];
        return noteLoad(entry.learned[server], own, this->knownLoad(entry, server) - own, this->clock());
    }

    std::uint32_t limit(const Entry& entry, std::size_t server) const
    {
        const std::uint32_t slots = this->simulated.servers[server].slots;
        switch (this->policy) {
        case CapacityPolicy::Oracle:
            return std::min(slots, static_cast<std::uint32_t>(std::max(1.0, this->kneeOf(server))));
        case CapacityPolicy::Learned:
            return limitOf(entry.learned[server], slots, this->clock());
        case CapacityPolicy::Gradient:
        case CapacityPolicy::Additive:
            return static_cast<std::uint32_t>(std::round(entry.baseline[server].limit));
        case CapacityPolicy::Fixed:
        case CapacityPolicy::Stated:
        case CapacityPolicy::Credits:
            break;
        }
        return slots;
    }

    double cost(const Entry& entry, std::size_t index, std::size_t server) const
    {
        const std::uint32_t load = this->decisiveLoad(entry, server);
        const std::uint32_t slots = this->simulated.servers[server].slots;
        if (this->policy == CapacityPolicy::Oracle)
            return this->curve(server, load + 1);
        if (this->policy == CapacityPolicy::Learned)
            return expectedService(entry.learned[server], slots, load + 1, this->usual(entry),
                retrySpread * static_cast<std::int64_t>((index + server) % this->entries.size())
                    / static_cast<std::int64_t>(this->entries.size()),
                this->clock());
        const double perSlot = (load + 1.0) / slots;
        return this->policy == CapacityPolicy::Stated ? perSlot * entry.baseline[server].slowdown : perSlot;
    }

    double usual(const Entry& entry) const
    {
        std::vector<LearnedEstimate> estimates;
        for (const LearnedUpstream& learned : entry.learned)
            estimates.push_back(learned.merged);
        return usualLevel(estimates, this->clock());
    }

    void dispatch(std::size_t index)
    {
        Entry& entry = this->entries[index];
        while (!entry.queue.empty()) {
            std::optional<std::size_t> best;
            double bestCost = 0;
            for (std::size_t server = 0; server < this->running.size(); ++server) {
                const std::uint32_t load = this->decisiveLoad(entry, server);
                const bool isFull = load >= this->limit(entry, server)
                    || (this->policy == CapacityPolicy::Credits
                        && entry.sent[server]
                            >= std::max<std::size_t>(1, this->simulated.servers[server].slots / this->entries.size()));
                if (isFull)
                    continue;
                const double cost = this->cost(entry, index, server);
                if (!best || cost < bestCost) {
                    best = server;
                    bestCost = cost;
                }
            }
            if (!best)
                return;
            Request request = entry.queue.front();
            entry.queue.pop_front();
            request.sentAt = this->now;
            request.load = this->decisiveLoad(entry, *best) + 1;
            request.left = request.work;
            if (this->policy == CapacityPolicy::Learned && entry.learned[*best].limit > 0
                && request.load > entry.learned[*best].limit)
                this->probes += 1;
            ++entry.sent[*best];
            request.integral = this->note(entry, *best);
            if (!this->result.sent[*best].empty())
                this->result.sent[*best].back() += 1;
            this->running[*best].push_back(request);
        }
    }

    CapacityCase simulated;
    CapacityPolicy policy;
    std::mt19937_64 random;
    std::vector<std::vector<Request>> running; ///< by server, in order of arrival there
    std::vector<Entry> entries;
    std::deque<Request> arrivals;
    std::int64_t now { 0 }; ///< ms
    std::uint64_t total { 0 };
    std::uint64_t ended { 0 };
    double sumMs { 0 };
    double probes { 0 };
    CapacityResult result;
};

} // namespace hickory
