#pragma once

#include "clock_type.h"

#include <cstdint>

namespace hickory {

// Fetching and staging ----------------------------------------------------------------------------------------------

/// Piece requests in flight to the origin or another data centre, whose answers this host passes on to others. Six fill
/// a link of 7.6 Mbit/s over round trips between regions.
constexpr std::size_t maxSharedInFlight = 6;
/// Piece requests in flight to the origin, which accepts 48 connections from all hosts together.
constexpr std::size_t maxOriginInFlight = 1;
/// Piece requests in flight to hosts of the same data centre, for this host alone.
constexpr std::size_t maxOwnInFlight = 6;
/// Upper bound of the fetch window, on an uncongested link.
constexpr std::size_t maxPiecesInFlight = maxSharedInFlight + maxOwnInFlight;
/// Lower bound of the fetch window, on a congested link.
constexpr std::size_t minPiecesInFlight = 1;
/// Round trip to an entry of the same data centre above which the link counts as congested. Pieces in flight fill an
/// otherwise idle link for about as long.
constexpr Milliseconds maxUncongestedRoundTrip { 300 };
/// Piece requests in flight to one host. A second one would wait there while others may send the piece sooner; the
/// round trip between two pieces takes a tenth of their time.
constexpr std::size_t maxInFlightPerSource = 1;
/// Age after which an announcement of pieces is ignored. An agent that lacks pieces asks every
/// pieceRequestPeriod for what is held.
constexpr Milliseconds holdingsMaxAge { 5000 };
/// Least time between announcements of pieces to partners.
constexpr Milliseconds minAnnounceInterval { 140 };
/// The same while the engine holds no weights: its processor and link are free, and callers wait for the weights.
constexpr Milliseconds minAnnounceIntervalWithoutStreams { 50 };
/// Time between requests for what partners hold, while pieces are missing. Partners tell by themselves when they get
/// pieces; a request finds what was lost on the way, and what a host that has just joined was not told.
constexpr Milliseconds pieceRequestPeriod { 700 };
/// Least time between two answers to one host.
constexpr Milliseconds minPieceReplyInterval { 250 };
/// Pieces from the origin are announced for this time, again and again in case datagrams are lost.
constexpr Milliseconds originAnnounceTime { 2500 };
constexpr Milliseconds originAnnouncePeriod { 500 }; ///< between these announcements
/// Hosts that each announcement of a piece from the origin reaches in a data centre: the designated fetcher and those
/// that are designated if it is slow or gone.
constexpr std::uint64_t originAnnounceRounds = 3;
/// Pieces requested from the origin ahead of its sending rate, so that its link stays busy.
constexpr double originLeadPieces { 8.0 };
/// Interval between requests to the origin, relative to the time that its link needs for a piece. Below 1, so that its
/// link stays busy.
constexpr double originPacingFactor { 0.95 };
/// Number of hosts that may request a new version's manifest from the origin in the first round. In each further round
/// this many more may.
constexpr std::int64_t manifestHostsPerRound = 3;
/// Duration of a round of manifest requests to the origin: two beacon periods of an agent.
constexpr Milliseconds manifestRound { 300 };
/// Every n-th try for a manifest goes to the origin even if agents have it, in case their copies are unusable.
constexpr std::uint32_t manifestTriesPerOriginTry = 4;
/// Time until another host is designated to fetch a piece from the origin, which takes 0.4 s when paced.
constexpr Milliseconds originRound { 1500 };
/// Time until another host is designated to fetch a piece from another data centre, which takes 0.3 s over a slow link.
constexpr Milliseconds fetcherRound { 1000 };
/// Writes in flight to the staging area of the engine on the same host.
constexpr std::size_t maxWritesInFlight = 4;
/// Share of the host's link used for uploads; the engine's streams take a tenth of it.
constexpr double linkShareForWeights = 0.8;
/// The same while the engine holds no weights: it has no streams, and after a loss of power the whole fleet waits for
/// the uploads. The rest is for headers and acknowledgements.
constexpr double linkShareWithoutStreams = 0.95;
/// Wait after a failed request, before the next source is tried.
constexpr Milliseconds sourceRetryDelay { 120 };

// Load orders -----------------------------------------------------------------------------------------------------

/// Time between announcing a load order and sending it. Covers the 100 ms between beacons of entries.
constexpr Milliseconds announceLead { 120 };
/// Longest wait for running requests before a load order is sent; a response of usual length takes as long.
constexpr Milliseconds maxDrainTime { 1400 };
/// Streams that entries move to other engines for a load order. Resuming one costs another engine 40 ms.
constexpr std::uint32_t maxMovedStreams = 3;
/// Time after which an order without effect is sent again. An engine finishes its longest responses, then loads.
constexpr Milliseconds loadCompletionTimeout { 6000 };
// An agent may have to bring two versions into service, one after the other. The time allowed for a version is the
// setting for the longest weights delay (maxWeightsDelay), counted from when the agent learned of the version.

/// When a newer version is declared, work on the current one goes on if it began longer ago than this, and is dropped
/// otherwise. By then the origin has sent most of its copy of the current version.
constexpr Milliseconds keepFirstJobAfter { 1000 };
/// No load is ordered for this long after a write of another version was given up: the engine may carry it out late.
constexpr Milliseconds lateWriteTime { 3000 };
/// After its start an agent stages nothing for this long if the staging area holds a whole version other than the
/// wanted one: a process before it may have ordered that one. Pieces of the wanted version take longer to arrive.
constexpr Milliseconds formerOrderTime { 3000 };
/// Percentage of the newer version's pieces that must be held for the older version to be skipped, i.e. not loaded. The
/// remaining pieces arrive within a second.
constexpr std::int64_t skipMinHeldPercent = 60;
/// Percentage of the time allowed for the older version after which it is no longer skipped: the newer version would
/// come into service after that time has ended.
constexpr std::int64_t skipMaxElapsedPercent = 70;
/// Percentage of the time allowed for the newer version after which the older one is dropped if some of its pieces are
/// not staged yet: they would arrive too late.
constexpr std::int64_t fetchCutoffPercent = 60;
/// Percentage of the time allowed for the newer version after which the older one is dropped although all its pieces
/// are staged, if no load order for it was announced: draining and loading take up to 1.7 s.
constexpr std::int64_t orderCutoffPercent = 80;
/// Timeout of reading back all staged pieces, which takes a tenth of this.
constexpr Milliseconds checkTimeout { 1500 };
/// Wait after a read-back of what was staged before this process started has failed, before it is repeated.
constexpr Milliseconds readBackRetryDelay { 1000 };
/// Age of a read-back, from its start, above which it is repeated before a load order. A piece that turns bad must not
/// be loaded 3 s later; the rest of that time is for the order's way to the engine.
constexpr Milliseconds maxCheckAge { 2400 };
/// Age of a report, from its poll, above which it no longer shows that the engine has not restarted. A poll that takes
/// longer has failed, so an older report was held up in this process.
constexpr Milliseconds maxReportAge { 600 };
static_assert(maxCheckAge > checkTimeout + maxReportAge, "a read-back and a report in time must suffice for an order");
static_assert(maxCheckAge > announceLead + maxDrainTime + maxReportAge,
    "a drain of the usual length must not repeat the read-back");
/// Percentage of the time allowed for a version before the first host of a service loads it; the pieces take about as
/// long to arrive.
constexpr std::int64_t firstLoadPercent = 38;
/// Percentage of the time allowed for a version over which the loads of a service's hosts are spread.
constexpr std::int64_t loadSpreadPercent = 34;

} // namespace hickory
