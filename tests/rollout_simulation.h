#pragma once

#include "stage_pace_func.h"
#include "stage_reduce_func.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hickory {

/// Settings of a simulated rollout. Times count from the declaration of the first version, number 2.
struct RolloutOptions {
    std::size_t dataCentres { 3 };
    std::size_t engines { 76 }; ///< in turn in each data centre
    std::uint32_t slots { 12 }; ///< streams that run at an engine at the same time
    double load { 0.75 }; ///< streams in parts of all slots
    Milliseconds streamTime { 1000 }; ///< mean duration of a stream; between half and one and a half of it
    Milliseconds loadTime { 300 }; ///< out of service after the last stream has ended
    Milliseconds bound { 13400 };
    double originMbps { 4.38 }; ///< 0 selects the fixed turns
    std::uint32_t pieceCount { 96 };
    std::uint32_t pieceBytes { 24576 };
    Milliseconds firstPieces { 4000 }; ///< all pieces are at the first host this long after a declaration
    Milliseconds lastPieces { 6000 }; ///< the same for the last host
    std::vector<Milliseconds> declaredAt { {} }; ///< one for each version: 2, 3, ...
    std::map<std::size_t, Milliseconds> diesAt; ///< engine and agent that end then, by number
    std::map<std::size_t, Milliseconds> learnsAfter; ///< agents that learn this long after the declaration
    Milliseconds end { 16000 }; ///< of the simulation
};

/// What a simulated rollout showed.
struct RolloutResult {
    struct Second {
        std::map<DataCentreId, std::size_t> out; ///< engines out of service at the same time, highest number
        std::size_t allOut { 0 }; ///< the same over all data centres
        std::size_t arrived { 0 }; ///< streams
        std::size_t late { 0 }; ///< of these, streams that waited for longer than lateWait
    };
    std::vector<Second> seconds; ///< since the first declaration
    std::map<std::uint64_t, std::vector<Milliseconds>> loadedAt; ///< by version, for each load
    std::vector<std::vector<std::uint64_t>> loads; ///< versions that each engine loaded, in order
    std::vector<Milliseconds> turns; ///< of the first version by host, since its declaration
    std::size_t outdated { 0 }; ///< engines that entries could not use because of the bound, at any moment
    std::size_t moved { 0 }; ///< streams that entries moved to another engine
    std::size_t mostMovedIn10s { 0 }; ///< the same within the window of the retry budget

    std::size_t mostOut() const
    {
        std::size_t most = 0;
        for (const Second& second : this->seconds)
            most = std::max(most, second.allOut);
        return most;
    }

    std::size_t mostOut(const DataCentreId& dataCentre) const
    {
        std::size_t most = 0;
        for (const Second& second : this->seconds)
            if (const auto found = second.out.find(dataCentre); found != second.out.end())
                most = std::max(most, found->second);
        return most;
    }

    /// @return smallest share of streams that begin on time within two successive seconds
    double worstTwoSeconds() const
    {
        double worst = 1;
        for (std::size_t index = 0; index + 1 < this->seconds.size(); ++index) {
            const Second& first = this->seconds[index];
            const Second& second = this->seconds[index + 1];
            if (first.arrived + second.arrived > 0)
                worst = std::min(worst,
                    1.0
                        - static_cast<double>(first.late + second.late)
                            / static_cast<double>(first.arrived + second.arrived));
        }
        return worst;
    }

    std::size_t loadsOf(std::uint64_t version) const
    {
        const auto found = this->loadedAt.find(version);
        return found == this->loadedAt.end() ? 0 : found->second.size();
    }
};

/// Rollout of weights to the engines of a service under load. The agents' decisions are the real ones; pieces, engines
/// and entries are modelled, without a network: pieces arrive at times that the options give, an entry of each data
/// centre sends streams to the engine with the fewest there and elsewhere if there is no room.
class RolloutSimulation {
public:
    explicit RolloutSimulation(RolloutOptions rolloutOptions)
        : options(std::move(rolloutOptions))
    {
        FleetView view { .model = model, .originAddress = "10.9.0.1:1", .originMbps = this->options.originMbps };
        for (std::size_t number = 0; number < this->options.engines; ++number) {
            const std::string ip
                = "10.1." + std::to_string(number % this->options.dataCentres) + "." + std::to_string(10 + number);
            view.hosts.push_back({ .ip = ip, .dataCentre = this->dataCentreOf(number) });
        }
        this->view = view;
        for (std::size_t number = 0; number < this->options.engines; ++number) {
            Engine engine { .state = makeStageState({ .host = { "agent-" + std::to_string(number) },
                                .ip = view.hosts[number].ip,
                                .dataCentre = view.hosts[number].dataCentre,
                                .service = { "engine" },
                                .maxWeightsDelay = this->options.bound,
                                .seed = number + 1 }) };
            const Milliseconds spread = this->options.lastPieces - this->options.firstPieces;
            engine.piecesAfter = this->options.firstPieces
                + Milliseconds { static_cast<std::int64_t>(this->draw() * static_cast<double>(spread.value)) };
            this->engines.push_back(std::move(engine));
        }
        this->result.loads.resize(this->options.engines);
        this->result.turns.resize(this->options.engines);
    }

    RolloutResult run()
    {
        for (std::size_t number = 0; number < this->engines.size(); ++number) {
            this->dispatch(number, FleetViewUpdated { .view = this->view });
            this->poll(number);
        }
        // Streams run for two mean durations before the first declaration.
        for (this->now = begin - this->options.streamTime * 2; this->now < begin + this->options.end; this->now += step)
            this->advance();
        this->countMoves();
        return this->result;
    }

private:
    static constexpr Milliseconds begin { 100000 }; ///< first declaration, on the agents' clocks
    static constexpr Milliseconds step { 10 };
    static constexpr Milliseconds lateWait { 150 }; ///< what an objective of 400 ms leaves for the queue
    static constexpr Milliseconds newsTime { 50 }; ///< from an agent's decision until entries act on it
    static constexpr Milliseconds checkTime { 150 }; ///< of a read-back
    static constexpr Milliseconds grace { 600 }; ///< entries stop using older weights this long before the bound
    static constexpr Milliseconds resumeTime { 40 }; ///< that a moved stream costs
    inline static const ModelId model { "model" };

    struct Engine {
        StageState state; ///< of its agent
        Milliseconds piecesAfter {}; ///< all pieces are here this long after a declaration
        std::uint64_t version { 1 }; ///< held
        std::uint64_t ordered { 0 }; ///< to be loaded once no stream runs, 0 for none
        std::uint64_t orders { 0 }; ///< accepted so far
        std::optional<Milliseconds> loadEnds; ///< empty unless a load is in progress
        std::vector<Milliseconds> streams; ///< ends of running streams
        std::optional<Milliseconds> checkEnds; ///< of a read-back in progress
        std::uint32_t checkRound { 0 };
        WeightsVersion checked;
        Milliseconds nextPoll {}; ///< of the engine by its agent
        std::size_t known { 0 }; ///< declarations that the agent knows
        bool pending { false }; ///< agent's last announcement, and when it changed
        bool clearing { false };
        bool announcedBefore { false };
        Milliseconds changedAt {};
    };

    struct Waiting {
        Milliseconds arrivedAt;
        bool late { false };
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    DataCentreId dataCentreOf(std::size_t number) const
    {
        return { std::string(1, static_cast<char>('a' + number % this->options.dataCentres)) };
    }

    bool isDead(std::size_t number) const
    {
        const auto found = this->options.diesAt.find(number);
        return found != this->options.diesAt.end() && this->now >= begin + found->second;
    }

    /// @return oldest version that entries use
    std::uint64_t required() const
    {
        std::uint64_t version = 1;
        for (std::size_t index = 0; index < this->options.declaredAt.size(); ++index)
            if (this->now >= begin + this->options.declaredAt[index] + this->options.bound - grace)
                version = firstVersion + index;
        return version;
    }

    /// @return whether entries send new streams to an engine
    bool isInService(std::size_t number) const
    {
        const Engine& engine = this->engines[number];
        const bool pending = this->now - engine.changedAt >= newsTime ? engine.pending : engine.announcedBefore;
        return !this->isDead(number) && !pending && !engine.ordered && !engine.loadEnds
            && engine.version >= this->required();
    }

    void advance()
    {
        for (std::size_t number = 0; number < this->engines.size(); ++number)
            if (this->isDead(number))
                this->engines[number].streams.clear();
            else
                this->advanceEngine(number);
        this->arrive();
        this->count();
    }

    void advanceEngine(std::size_t number)
    {
        Engine& engine = this->engines[number];
        std::erase_if(engine.streams, [&](Milliseconds end) { return end <= this->now; });
        if (engine.ordered && !engine.loadEnds && engine.streams.empty())
            engine.loadEnds = this->now + this->options.loadTime;
        if (engine.loadEnds && this->now >= *engine.loadEnds) {
            engine.version = engine.ordered;
            this->result.loadedAt[engine.version].push_back(this->now - begin);
            this->result.loads[number].push_back(engine.version);
            engine.ordered = 0;
            engine.loadEnds.reset();
        }
        this->declare(number);
        this->deliverPieces(number);
        if (engine.checkEnds && this->now >= *engine.checkEnds) {
            engine.checkEnds.reset();
            this->dispatch(number, StagedPiecesChecked { .version = engine.checked, .round = engine.checkRound });
        }
        if (this->now >= engine.nextPoll)
            this->poll(number);
    }

    void declare(std::size_t number)
    {
        Engine& engine = this->engines[number];
        while (engine.known < this->options.declaredAt.size()) {
            const Milliseconds declaredAt = begin + this->options.declaredAt[engine.known];
            const auto late = this->options.learnsAfter.find(number);
            if (this->now < declaredAt + (late == this->options.learnsAfter.end() ? Milliseconds {} : late->second))
                return;
            FleetView news = this->view;
            news.declared = { firstVersion + engine.known++ };
            this->dispatch(number, FleetViewUpdated { .view = news, .declaredNotBefore = declaredAt });
            this->dispatch(number,
                ManifestFetched { .version = news.declared,
                    .pieceCount = this->options.pieceCount,
                    .pieceBytes = this->options.pieceBytes });
        }
    }

    /// Pieces arrive one after the other during the time that the origin needs for a copy.
    void deliverPieces(std::size_t number)
    {
        Engine& engine = this->engines[number];
        const auto bits = static_cast<double>(this->options.pieceCount) * this->options.pieceBytes * 8;
        constexpr double unknownMbps = 4.38; ///< the pieces take the same time where agents do not know the link
        const double mbps = this->options.originMbps > 0 ? this->options.originMbps : unknownMbps;
        const double copyMs = bits / (mbps * 1000);
        bool isNew = false;
        for (StageJob& job : engine.state.jobs) {
            if (job.version.value < firstVersion)
                continue;
            const Milliseconds end = begin + this->options.declaredAt[job.version.value - firstVersion]
                + std::max(engine.piecesAfter, this->learnedAfter(number));
            const double part = 1.0 - static_cast<double>((end - this->now).value) / copyMs;
            const auto arrived
                = static_cast<std::size_t>(std::clamp(part, 0.0, 1.0) * static_cast<double>(this->options.pieceCount));
            for (std::size_t index = 0; index < std::min(arrived, job.pieces.size()); ++index)
                if (job.pieces[index].step == PieceStep::Missing || job.pieces[index].step == PieceStep::Fetching) {
                    job.pieces[index].step = PieceStep::Held;
                    isNew = true;
                }
        }
        if (isNew)
            this->dispatch(number, StageTick {});
    }

    Milliseconds learnedAfter(std::size_t number) const
    {
        const auto late = this->options.learnsAfter.find(number);
        return late == this->options.learnsAfter.end() ? Milliseconds {} : late->second;
    }

    void poll(std::size_t number)
    {
        Engine& engine = this->engines[number];
        constexpr Milliseconds period { 150 };
        constexpr Milliseconds loadingPeriod { 50 };
        EngineReport report { .models = { { .model = model, .version = { engine.version } } },
            .busy = engine.ordered != 0,
            .orders = engine.orders,
            .running = static_cast<std::uint32_t>(engine.streams.size()),
            .processStartedAt = 1 };
        this->dispatch(number, EngineReportRead { .report = report, .requestedAt = this->now });
        engine.nextPoll = this->now + (orderPending(engine.state) ? loadingPeriod : period);
    }

    void dispatch(std::size_t number, const StageEvent& event)
    {
        Engine& engine = this->engines[number];
        const std::vector<StageEffect> effects = reduceStage(engine.state, event, this->now);
        for (const StageEffect& effect : effects) {
            if (const auto* stage = std::get_if<StagePiece>(&effect))
                this->dispatch(number, PieceStaged { .version = stage->version, .index = stage->index, .ok = true });
            else if (const auto* check = std::get_if<CheckStagedPieces>(&effect)) {
                engine.checkEnds = this->now + checkTime;
                engine.checkRound = check->round;
                engine.checked = check->version;
            } else if (std::holds_alternative<PollReport>(effect))
                this->poll(number);
            else if (const auto* inspect = std::get_if<InspectStagedPieces>(&effect))
                this->dispatch(number, StagedPiecesInspected { .version = inspect->version, .whole = true });
            else if (const auto* order = std::get_if<SendLoadOrder>(&effect)) {
                engine.ordered = order->version.value;
                ++engine.orders;
                this->dispatch(number, LoadOrderAnswered { .version = order->version, .status = 202 });
            }
        }
        if (const bool pending = orderPending(engine.state); pending != engine.pending) {
            engine.announcedBefore = engine.pending;
            engine.pending = pending;
            engine.changedAt = this->now;
        }
        engine.clearing = isClearing(engine.state);
        for (const StageJob& job : engine.state.jobs)
            if (job.version.value == firstVersion && job.turn)
                this->result.turns[number] = job.turn->at - begin;
    }

    /// @return the engine in service with room and the fewest streams, in a data centre or anywhere
    std::optional<std::size_t> chooseEngine(const std::optional<DataCentreId>& dataCentre) const
    {
        std::optional<std::size_t> best;
        for (std::size_t number = 0; number < this->engines.size(); ++number) {
            if (dataCentre && this->dataCentreOf(number) != *dataCentre)
                continue;
            const std::size_t running = this->engines[number].streams.size();
            if (running < this->options.slots && this->isInService(number)
                && (!best || running < this->engines[*best].streams.size()))
                best = number;
        }
        return best;
    }

    std::optional<std::size_t> chooseEngineFor(const DataCentreId& dataCentre) const
    {
        const auto here = this->chooseEngine(dataCentre);
        return here ? here : this->chooseEngine({});
    }

    void arrive()
    {
        // Moved streams first: an engine waits for them.
        for (std::size_t number = 0; number < this->engines.size(); ++number) {
            Engine& engine = this->engines[number];
            while (engine.clearing && engine.ordered != 0 && !engine.streams.empty()) {
                const auto other = this->chooseEngineFor(this->dataCentreOf(number));
                if (!other)
                    break;
                this->engines[*other].streams.push_back(engine.streams.back() + resumeTime);
                engine.streams.pop_back();
                this->moves.push_back(this->now);
            }
        }
        this->due += this->options.load * this->options.slots * static_cast<double>(this->options.engines)
            * static_cast<double>(step.value) / static_cast<double>(this->options.streamTime.value);
        for (; this->due >= 1; this->due -= 1) {
            const auto home = static_cast<std::size_t>(this->draw() * static_cast<double>(this->options.dataCentres));
            this->queues[this->dataCentreOf(home)].push_back({ .arrivedAt = this->now });
        }
        for (auto& [dataCentre, queue] : this->queues) {
            while (!queue.empty()) {
                const auto engine = this->chooseEngineFor(dataCentre);
                if (!engine)
                    break;
                const double duration = (0.5 + this->draw()) * static_cast<double>(this->options.streamTime.value);
                this->engines[*engine].streams.push_back(
                    this->now + Milliseconds { static_cast<std::int64_t>(duration) });
                this->settle(queue.front().arrivedAt);
                queue.erase(queue.begin());
            }
            // Callers leave after a second.
            constexpr Milliseconds patience { 1000 };
            while (!queue.empty() && this->now - queue.front().arrivedAt > patience) {
                this->settle(queue.front().arrivedAt);
                queue.erase(queue.begin());
            }
        }
    }

    void settle(Milliseconds arrivedAt)
    {
        if (arrivedAt < begin)
            return;
        RolloutResult::Second& second = this->secondOf(arrivedAt);
        ++second.arrived;
        second.late += this->now - arrivedAt > lateWait ? 1 : 0;
    }

    RolloutResult::Second& secondOf(Milliseconds moment)
    {
        const auto index = static_cast<std::size_t>((moment - begin).value / 1000);
        if (this->result.seconds.size() <= index)
            this->result.seconds.resize(index + 1);
        return this->result.seconds[index];
    }

    void count()
    {
        if (this->now < begin)
            return;
        std::map<DataCentreId, std::size_t> out;
        std::size_t all = 0;
        std::size_t outdated = 0;
        for (std::size_t number = 0; number < this->engines.size(); ++number) {
            if (!this->isInService(number)) {
                ++out[this->dataCentreOf(number)];
                ++all;
            }
            outdated += !this->isDead(number) && this->engines[number].version < this->required() ? 1 : 0;
        }
        RolloutResult::Second& second = this->secondOf(this->now);
        for (const auto& [dataCentre, number] : out)
            second.out[dataCentre] = std::max(second.out[dataCentre], number);
        second.allOut = std::max(second.allOut, all);
        this->result.outdated = std::max(this->result.outdated, outdated);
    }

    void countMoves()
    {
        constexpr Milliseconds window { 10000 };
        this->result.moved = this->moves.size();
        std::size_t first = 0;
        for (std::size_t last = 0; last < this->moves.size(); ++last) {
            while (this->moves[last] - this->moves[first] > window)
                ++first;
            this->result.mostMovedIn10s = std::max(this->result.mostMovedIn10s, last - first + 1);
        }
    }

    static constexpr std::uint64_t firstVersion { 2 };
    RolloutOptions options;
    FleetView view;
    std::vector<Engine> engines;
    std::map<DataCentreId, std::vector<Waiting>> queues; ///< streams without an engine
    std::vector<Milliseconds> moves; ///< when entries moved a stream
    RolloutResult result;
    Milliseconds now { begin };
    double due { 0 }; ///< streams that have arrived, less those counted
    std::mt19937_64 random { 7 };
};

} // namespace hickory
