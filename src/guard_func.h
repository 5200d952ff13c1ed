#pragma once

#include <exception>
#include <string>

namespace hickory {

/// Logs and counts an error that nobody expected.
/// @param step what failed
/// @param peer whose message it was, empty for a timer of our own
void reportUnexpected(const char* step, const std::string& peer, const char* what);

/// Runs the handling of one message. An error that nobody expected costs this message, not the process with the
/// requests of all other callers.
/// @return false if it failed; the caller then ends what the message belongs to
template <typename Action> bool guarded(const char* step, const std::string& peer, const Action& action)
{
    try {
        action();
        return true;
    } catch (const std::exception& error) {
        reportUnexpected(step, peer, error.what());
        return false;
    }
}

} // namespace hickory
