#pragma once

#include "relay_config_type.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace hickory {

/// One request at a modelled engine.
struct ModelledRequest {
    std::size_t entry { 0 }; ///< which entry sent it
    std::uint64_t call { 0 }; ///< of that entry
    std::uint64_t send { 0 }; ///< of that entry
    std::uint8_t urgency { 5 }; ///< 0 is admitted first
    std::uint32_t promptTokens { 0 }; ///< to read
    std::uint32_t eventsLeft { 1 }; ///< to write, one each pass
    bool begun { false }; ///< its first event is out
};

/// Deterministic model of an engine that works in passes: it admits by urgency into its slots, reads the prompts of
/// those admitted, and writes one event for each request in a slot.
struct EngineModel {
    EngineProfile profile; ///< speed
    std::vector<ModelledRequest> waiting; ///< in order of arrival
    std::vector<ModelledRequest> running; ///< in slots
    double passEndsAt { 0 }; ///< ms, 0 while idle

    /// Begins a pass when the engine is idle and has work.
    void begin(double now)
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
        for (const ModelledRequest& request : this->running)
            length += request.begun ? 0 : request.promptTokens / this->profile.prefillTokensPerMs;
        length += this->profile.stride
            * (this->profile.stepMs + static_cast<double>(this->running.size()) * this->profile.stepPerRequestMs);
        this->passEndsAt = now + length;
    }

    /// Ends the pass under way when its time has come.
    /// @return the requests that made an event, after it; those with none left are done
    std::vector<ModelledRequest> advance(double now)
    {
        std::vector<ModelledRequest> moved;
        if (this->passEndsAt > 0 && now >= this->passEndsAt) {
            for (ModelledRequest& request : this->running) {
                request.begun = true;
                --request.eventsLeft;
            }
            moved = this->running;
            std::erase_if(this->running, [](const ModelledRequest& request) { return request.eventsLeft == 0; });
            this->passEndsAt = 0;
        }
        if (this->passEndsAt == 0)
            this->begin(now);
        return moved;
    }

    /// Drops a request whose caller left or that was cancelled.
    void drop(std::size_t entry, std::uint64_t send)
    {
        const auto same
            = [&](const ModelledRequest& request) { return request.entry == entry && request.send == send; };
        std::erase_if(this->waiting, same);
        std::erase_if(this->running, same);
    }
};

} // namespace hickory
