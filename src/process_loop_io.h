#pragma once

#include "settings_type.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>

namespace hickory {

/// Event loop of a server program: runs a periodic tick, handles signals and exits with a delay.
class ProcessLoop {
public:
    ProcessLoop();
    ProcessLoop(const ProcessLoop&) = delete;
    ProcessLoop& operator=(const ProcessLoop&) = delete;

    /// Runs a task on the loop's thread. Safe from any thread.
    void post(std::function<void()> task) { asio::post(this->io, std::move(task)); }

    /// Runs the loop on the calling thread until the delay after exitSoon() has passed.
    /// @param onTick called every 50 ms
    /// @param onShutdown called on the first SIGTERM or SIGINT
    void run(std::function<void()> onTick, std::function<void()> onShutdown);

    /// Ends the loop after 200 ms, so that answers already written can reach their peers. Further calls have no effect.
    void exitSoon();

private:
    /// Schedules the next tick.
    void tick(const std::function<void()>& onTick);

    asio::io_context io;
    asio::steady_timer timer; ///< schedules the next tick
    asio::steady_timer exitTimer; ///< delays the end of the loop
    asio::signal_set signals; ///< SIGTERM and SIGINT
    bool exiting { false }; ///< exitSoon() was called
};

/// Replaces a seed of 0 in the settings by a random one, so that it can be logged.
/// @return the seed of the process's random number generator
std::uint64_t drawSeed(ProcessSettings& settings);

} // namespace hickory
