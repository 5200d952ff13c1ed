#pragma once

#include "settings_type.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>

namespace hickory {

/// Event loop of a server program: one Asio thread with a tick timer, signals and a delayed end.
class ProcessLoop {
public:
    ProcessLoop();
    ProcessLoop(const ProcessLoop&) = delete;
    ProcessLoop& operator=(const ProcessLoop&) = delete;

    /// Runs a task on the loop's thread. Safe from any thread.
    void post(std::function<void()> task) { asio::post(this->io, std::move(task)); }

    /// Runs until the delay of exitSoon() has passed.
    /// @param onTick called every 50 ms
    /// @param onShutdown called on the first SIGTERM or SIGINT
    void run(std::function<void()> onTick, std::function<void()> onShutdown);

    /// Ends the loop after a delay in which answers already written reach their peers. Further calls change nothing.
    void exitSoon();

private:
    void tick(const std::function<void()>& onTick);

    asio::io_context io; ///< the loop
    asio::steady_timer timer; ///< ticks
    asio::steady_timer exitTimer; ///< delays the end
    asio::signal_set signals; ///< SIGTERM and SIGINT
    bool exiting { false }; ///< exitSoon was called
};

/// @param settings seed is set to a drawn one when it is 0, so that it can be logged
/// @return the seed of the process's random choices
std::uint64_t drawSeed(ProcessSettings& settings);

} // namespace hickory
