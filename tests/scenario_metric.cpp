#include "scenario_steps.h"

#include <regex>

namespace hickory::scenario {

namespace {

    /// @return the number at "pointer" in the summary of a load generator, 0 if there is none
    double summaryValue(Scenario& scenario, const Json& spec)
    {
        const Json& summary = scenario.summaries.at(spec.at("load"));
        const Json::json_pointer pointer(spec.at("pointer").get<std::string>());
        return summary.contains(pointer) ? summary.at(pointer).get<double>() : 0;
    }

    /// @return Jain's fairness index of the values at the pointers "jain": 1 if all are equal, 1/n if only one of n is
    /// not 0
    double jainIndex(Scenario& scenario, const Json& spec)
    {
        double sum = 0;
        double squares = 0;
        for (const Json& pointer : spec.at("jain")) {
            const double value = summaryValue(scenario, { { "load", spec.at("load") }, { "pointer", pointer } });
            sum += value;
            squares += value * value;
        }
        return squares == 0 ? 0 : sum * sum / (static_cast<double>(spec.at("jain").size()) * squares);
    }

    /// @return seconds from a mark to the end of the last time slice in which the rank missed its latency targets
    double recoverySeconds(Scenario& scenario, const Json& spec)
    {
        const auto begin = scenario.marks.at(spec.at("load"));
        const double mark
            = std::chrono::duration<double, std::milli>(scenario.marks.at(spec.at("recovery")) - begin).count();
        constexpr double sliceMs = 500; // default of the load generator
        double lastUnmet = mark;
        for (const Json& slice : scenario.summaries.at(spec.at("load")).at("timeline")) {
            const double end = slice.at("ms").get<double>() + sliceMs;
            const bool met = slice.at("first_token_p95_ms") <= spec.at("first_token_ms")
                && slice.at("between_tokens_p95_ms") <= spec.at("between_tokens_ms");
            if (slice.at("rank") == spec.at("rank") && end > mark && !met)
                lastUnmet = std::max(lastUnmet, end);
        }
        return (lastUnmet - mark) / 1000;
    }

    /// @return largest value of a series on the metrics pages of the processes that match "process"
    double largestSeriesValue(Scenario& scenario, const Json& spec)
    {
        const std::regex line(
            "(?:^|\n)[a-z_]*" + spec.at("series").get<std::string>() + "(?:\\{[^\n]*\\})? ([0-9.e+-]+)");
        double largest = 0;
        for (const std::string& name : scenario.fleet.matchProcesses(spec.at("process"))) {
            const std::string page = scenario.fleet.call(name, "GET", "/metrics").at("body");
            for (std::sregex_iterator match(page.begin(), page.end(), line), end; match != end; ++match)
                largest = std::max(largest, std::stod((*match)[1]));
        }
        return largest;
    }

} // namespace

// A metric is one of the following tables. Its value is multiplied by "scale" and divided by the metric "divide", if
// they are given:
//   load, pointer; jain = [pointers], load; recovery = "mark", load, rank, first_token_ms, between_tokens_ms;
//   series = "name", process = "pattern"; from = "mark", to = "mark"; get = "process:/path", pointer;
//   runs = "host pattern" [body]; number.
double measure(Scenario& scenario, const Json& spec)
{
    double value = 0;
    if (spec.contains("jain")) {
        value = jainIndex(scenario, spec);
    } else if (spec.contains("recovery")) {
        value = recoverySeconds(scenario, spec);
    } else if (spec.contains("series")) {
        value = largestSeriesValue(scenario, spec);
    } else if (spec.contains("from")) {
        value = std::chrono::duration<double>(scenario.marks.at(spec.at("to")) - scenario.marks.at(spec.at("from")))
                    .count();
    } else if (spec.contains("get")) {
        const std::string target = spec["get"];
        const std::size_t colon = target.find(':');
        const Json response = scenario.fleet.call(target.substr(0, colon), "GET", target.substr(colon + 1));
        const Json body = Json::parse(response.at("body").get<std::string>());
        const Json::json_pointer pointer(spec.at("pointer").get<std::string>());
        value = body.contains(pointer) ? body.at(pointer).get<double>() : 0;
    } else if (spec.contains("runs")) {
        value = static_cast<double>(countRuns(scenario, spec));
    } else if (spec.contains("number")) {
        value = spec["number"];
    } else {
        value = summaryValue(scenario, spec);
    }
    const double divisor = spec.contains("divide") ? measure(scenario, spec["divide"]) : 1;
    return divisor == 0 ? 0 : value * spec.value("scale", 1.0) / divisor;
}

} // namespace hickory::scenario
