#pragma once

#include "clock_type.h"
#include "id_type.h"
#include "upstream_notice_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hickory {

/// What one request observed at an upstream.
struct ServiceSample {
    std::uint32_t load { 1 }; ///< requests in flight there at the send, this one included
    /// Mean of the same over the time of service, 0 when unknown. A load that falls or rises meanwhile would make the
    /// service time seem to depend on the load less than it does.
    double meanLoad { 0 };
    /// Time from the send to the answer: ms for plain upstreams, a multiple of the predicted time for engines.
    double time { 0 };
    bool rejected { false }; ///< the upstream was full; `time` is ignored
    std::optional<double> slowdown; ///< as the upstream stated it in this answer
    Milliseconds at { 0 }; ///< when the answer arrived
};

/// What is known about the service time of one process of an upstream. It is `level` up to a load of `knee` and grows
/// with the square of the load above.
struct LearnedEstimate {
    double level { 0 }; ///< service time up to the knee without a slowdown, in the unit of ServiceSample::time
    double knee { 0 }; ///< requests in flight, 0 when unknown
    double weight { 0 }; ///< samples behind it, weighted by age
    Milliseconds at { 0 }; ///< when the newest of these arrived

    bool operator==(const LearnedEstimate&) const = default;
};

/// Loads that are told apart; greater ones count as this.
constexpr std::size_t maxLearnedLoad = 48;

/// Samples at one load.
struct LoadSamples {
    double weight { 0 }; ///< samples, at most maxLoadSamples, as of `at`; they fade with age
    double load { 0 }; ///< moving average of the load
    double logTime { 0 }; ///< moving average of the logarithm of the time without slowdown
    Milliseconds at { 0 }; ///< when the last one arrived
};

/// A short time with another limit: the service times at one load alone do not tell a full upstream from a slow one.
struct LimitTrial {
    bool upward { false }; ///< tries a greater limit
    bool judged { true }; ///< its samples have arrived
    double limit { 0 }; ///< limit before
    Milliseconds until { 0 }; ///< its end
    std::uint32_t samples { 0 }; ///< since its begin, at loads above `limit`
};

/// What one entry has learned about one process of an upstream from its own requests.
struct LearnedLimit {
    std::uint32_t slots { 1 }; ///< of the upstream
    bool slowStart { true }; ///< begins with a part of the slots, and not with all
    LearnedEstimate own; ///< from own samples
    std::array<LoadSamples, maxLearnedLoad + 1> loads; ///< by load
    double allWeight { 0 }; ///< weight of the estimates of all entries together, as of the last merge
    Milliseconds decayedAt { 0 }; ///< moment as of which the weight of `own` counts
    double slowdown { 1 }; ///< as last stated
    Milliseconds slowdownAt { -1'000'000 }; ///< when it was stated; starts far in the past
    LimitTrial trial; ///< the last one
    bool grown { false }; ///< an upward trial has failed, or the limit has reached the slots
    bool lastUpward { false }; ///< the next trial is a downward one
    Milliseconds trialAt { 0 }; ///< another limit may be tried from then on
};

/// Estimate of another entry.
struct PeerEstimate {
    HostId peer; ///< host of that entry
    LearnedEstimate estimate;
};

/// Load of an upstream, summed over time.
struct LoadIntegral {
    double sum { 0 }; ///< requests in flight times ms
    double load { 0 }; ///< requests in flight since `at`
    Milliseconds at { 0 }; ///< until when the sum counts
};

/// What an entry knows about one process of an upstream.
struct LearnedUpstream {
    double others { 0 }; ///< mean of the others' requests in flight, over othersMemory
    LoadIntegral integral; ///< of the requests of all entries, as far as known
    LearnedLimit learned; ///< from own samples
    std::vector<PeerEstimate> peers; ///< newest of each peer, at most maxPeerEstimates
    LearnedEstimate merged; ///< of all of these, as of the last change
    std::uint32_t limit { 0 }; ///< follows the merged knee once that is clearly another one; 0 before the first sample
    LearnedEstimate told; ///< own estimate as last told to others
    Milliseconds toldAt { -1'000'000 }; ///< when it was told; starts far in the past
    double loggedLimit { 0 }; ///< limit as last logged, 0 before
    Milliseconds loggedAt { -1'000'000 }; ///< when it was logged; starts far in the past
    ServiceId service; ///< service of the upstream
};

/// By process, so that a restarted upstream is learned anew.
using LearnedUpstreams = std::map<UpstreamProcessId, LearnedUpstream>;

/// What an entry has learned about all upstreams.
struct LearnedCapacity {
    std::set<ServiceId> services; ///< those with an upstream that stated its slowdown
    LearnedUpstreams upstreams; ///< with samples
    std::map<ServiceId, double> usualLevels; ///< usualLevel() of each service, as of the last tick
    double newsAllowance { 0 }; ///< reports that may be sent at once, counted once for each receiver
    Milliseconds newsAllowanceAt { 0 }; ///< when that was last computed
    Milliseconds gaugedAt { -1'000'000 }; ///< when the gauges were last set; starts far in the past
};

/// What is noted of a send where the capacity of its upstream is learned.
struct LearnedSend {
    std::uint32_t load { 0 }; ///< requests in flight at the upstream at the send, this one included; 0 if not noted
    double integral { 0 }; ///< LoadIntegral::sum at the send
    double predictedMs { 1 }; ///< predicted time to the first token of an engine; 1 for plain upstreams
};

/// An entry's own estimate, as it tells it the others.
struct LearnedLimitReport {
    UpstreamProcessId process;
    double level { 0 }; ///< as in LearnedEstimate
    double knee { 0 }; ///< as in LearnedEstimate
    double weight { 0 }; ///< as in LearnedEstimate
    Milliseconds age { 0 }; ///< time since its newest sample

    bool operator==(const LearnedLimitReport&) const = default;
};

} // namespace hickory
