#pragma once

#include "scenario_fleet.h"

#include <map>
#include <string>

namespace hickory::scenario {

/// A scenario while it runs.
struct Scenario {
    Fleet& fleet; ///< the processes
    Json texts; ///< operators' texts by name, table [texts]
    std::map<std::string, std::string> manifests; ///< manifest digest by "model/version"
    std::uint64_t generation { 0 }; ///< newest accepted
    std::uint64_t changes { 0 }; ///< change ids drawn
    std::map<std::string, Process> loads; ///< load generators by name
    std::map<std::string, Json> summaries; ///< what they printed
    std::map<std::string, standin::SteadyClock::time_point> marks; ///< times of "mark" steps and starts of loads
};

/// Carries out one step; throws std::runtime_error with the reason when it fails.
/// @param step table [[step]]; "do" names it
void runStep(Scenario& scenario, const Json& step);

/// @param condition see docs in scenario_check.cpp
/// @return empty when the condition holds, otherwise what is seen
std::string unmet(Scenario& scenario, const Json& condition);

/// Checks what must hold after every scenario: no wrong answer, not-run never ran, at most once for each key, only
/// published weights, no stream cut off by a load, no falling generation.
/// @return what does not hold
std::vector<std::string> checkInvariants(Scenario& scenario);

/// @param condition "runs" names the hosts, "body" the request if only its runs count
/// @return lines in the runs logs of the matching hosts
std::size_t countRuns(Scenario& scenario, const Json& condition);

/// @param spec table [[metric]], see scenario_metric.cpp
/// @return the measured value
double measure(Scenario& scenario, const Json& spec);

/// Ends load generators that still run.
void stopLoads(Scenario& scenario);

} // namespace hickory::scenario
