#pragma once

#include "relay_config_type.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace hickory {

/// One request at a simulated engine. `call` and `send` are numbers given by the entry.
struct ModelledRequest {
    std::size_t entry { 0 }; ///< index of the entry that sent the request
    std::uint64_t call { 0 }; ///< CallId of the caller's request
    std::uint64_t send { 0 }; ///< SendId of the attempt at this engine
    std::uint8_t urgency { 5 }; ///< 0 is the most urgent and admitted first
    std::uint32_t promptTokens { 0 }; ///< tokens that are still to be prefilled; the first pass reads them all, unless
                                      ///< EngineModel::prefillPerPass bounds it
    std::uint32_t eventsLeft { 1 }; ///< events still to be sent, one in each pass
    bool started { false }; ///< the prompt was prefilled and the first event sent
};

/// Deterministic simulation of an engine with continuous batching. Each pass admits requests into free slots by
/// urgency, prefills the prompts of those admitted and sends one event of each request in a slot whose prompt is read.
struct EngineModel {
    EngineProfile profile; ///< number of slots and speed
    std::vector<ModelledRequest> waiting; ///< queued requests in order of arrival
    std::vector<ModelledRequest> running; ///< requests in slots, in order of admission
    double passEndsAt { 0 }; ///< end of the current pass in ms, 0 while idle
    std::uint32_t prefillPerPass { std::numeric_limits<std::uint32_t>::max() }; ///< most prompt tokens read in a pass
    double slowdown { 1.0 }; ///< of passes that begin now; above 1 when it is slower than its profile

    /// Begins a pass when there are requests.
    /// @pre no pass is in progress
    void beginPass(double now)
    {
        while (this->running.size() < this->profile.slots && !this->waiting.empty()) {
            const auto next = std::min_element(this->waiting.begin(), this->waiting.end(),
                [](const ModelledRequest& left, const ModelledRequest& right) { return left.urgency < right.urgency; });
            this->running.push_back(*next);
            this->waiting.erase(next);
        }
        if (this->running.empty())
            return;
        double length = 0;
        std::uint32_t tokensLeft = this->prefillPerPass;
        for (ModelledRequest& request : this->running) {
            const std::uint32_t read = std::min(request.promptTokens, tokensLeft);
            request.promptTokens -= read;
            tokensLeft -= read;
            length += read / this->profile.prefillTokensPerMs;
        }
        length += this->profile.stride
            * (this->profile.stepMs + static_cast<double>(this->running.size()) * this->profile.stepPerRequestMs);
        this->passEndsAt = now + length * this->slowdown;
    }

    /// Ends the current pass when it is over and begins the next one.
    /// @return the requests that sent an event in the ended pass; one with eventsLeft 0 has finished
    std::vector<ModelledRequest> advance(double now)
    {
        std::vector<ModelledRequest> moved;
        if (this->passEndsAt > 0 && now >= this->passEndsAt) {
            for (ModelledRequest& request : this->running) {
                if (request.promptTokens > 0)
                    continue;
                request.started = true;
                --request.eventsLeft;
                moved.push_back(request);
            }
            std::erase_if(this->running, [](const ModelledRequest& request) { return request.eventsLeft == 0; });
            this->passEndsAt = 0;
        }
        if (this->passEndsAt == 0)
            this->beginPass(now);
        return moved;
    }

    /// Removes a request that was cancelled or whose caller has disconnected.
    void drop(std::size_t entry, std::uint64_t send)
    {
        const auto same
            = [&](const ModelledRequest& request) { return request.entry == entry && request.send == send; };
        std::erase_if(this->waiting, same);
        std::erase_if(this->running, same);
    }
};

} // namespace hickory
