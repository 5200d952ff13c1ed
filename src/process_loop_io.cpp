#include "process_loop_io.h"

#include <chrono>
#include <csignal>
#include <random>

namespace hickory {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 50 };

    constexpr std::chrono::milliseconds exitDelay { 200 }; ///< lets answers already written reach their peers

} // namespace

ProcessLoop::ProcessLoop()
    : timer(this->io)
    , exitTimer(this->io)
    , signals(this->io, SIGTERM, SIGINT)
{
}

void ProcessLoop::tick(const std::function<void()>& onTick)
{
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this, &onTick](std::error_code error) {
        if (error)
            return;
        onTick();
        this->tick(onTick);
    });
}

void ProcessLoop::run(std::function<void()> onTick, std::function<void()> onShutdown)
{
    this->signals.async_wait([onShutdown = std::move(onShutdown)](std::error_code error, int) {
        if (!error)
            onShutdown();
    });
    this->tick(onTick);
    this->io.run();
}

void ProcessLoop::exitSoon()
{
    if (this->exiting)
        return;
    this->exiting = true;
    this->exitTimer.expires_after(exitDelay);
    this->exitTimer.async_wait([this](std::error_code) { this->io.stop(); });
}

std::uint64_t drawSeed(ProcessSettings& settings)
{
    if (settings.seed == 0)
        settings.seed = std::random_device {}();
    return settings.seed;
}

} // namespace hickory
