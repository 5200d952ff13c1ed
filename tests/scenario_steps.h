#pragma once

#include "scenario_fleet.h"

#include <map>
#include <string>

namespace hickory::scenario {

/// State of a running scenario.
struct Scenario {
    Fleet& fleet; ///< the processes under test
    Json configTexts; ///< configuration templates by name, from the table [texts]
    std::map<std::string, std::string> manifests; ///< manifest digest by "model/version"
    std::uint64_t generation { 0 }; ///< newest accepted configuration generation
    std::uint64_t changes { 0 }; ///< number of change ids generated so far
    std::map<std::string, Process> loads; ///< load generators by name
    std::map<std::string, Json> summaries; ///< summary printed by each load generator that has ended
    std::map<std::string, standin::SteadyClock::time_point> marks; ///< times of "mark" steps and of the starts of loads
};

/// Executes one step; throws std::runtime_error with the reason if it fails.
/// @param step table [[step]]; "do" names the kind of step, see scenario_steps.cpp
void runStep(Scenario& scenario, const Json& step);

/// @param condition table whose keys are listed in scenario_check.cpp
/// @return empty if the condition holds, otherwise the observed value that contradicts it
std::string unmetReason(Scenario& scenario, const Json& condition);

/// Checks what must hold after every scenario: no response has wrong content, a request reported as not run was never
/// run, a request with an idempotency key ran at most once, engines ran only published weights, no load order cut off a
/// stream, and the configuration generation of no process decreased.
/// @return a message for each violation
std::vector<std::string> checkInvariants(Scenario& scenario);

/// Counts runs in the runs logs of hosts.
/// @param condition "runs" is a shell pattern of host names; with "body", only runs of that request body count
std::size_t countRuns(Scenario& scenario, const Json& condition);

/// Computes a metric.
/// @param spec table [[metric]], see scenario_metric.cpp
/// @return its value, 0 if there is no data or the divisor is 0
double measure(Scenario& scenario, const Json& spec);

/// Stops the load generators that are still running and collects their summaries.
void stopLoads(Scenario& scenario);

} // namespace hickory::scenario
