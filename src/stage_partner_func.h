#pragma once

#include "stage_state_type.h"

#include <string>
#include <vector>

namespace hickory {

// Which agents tell each other about the pieces that they hold. An agent has a few partners in its data centre, by a
// rule that all agents apply to the same list of hosts, so its datagrams do not grow with the fleet. It tells them when
// it gets pieces. An agent that lacks pieces asks its partners and one host of each other data centre now and then. An
// agent that lacks nothing says nothing until it is asked.

/// Pieces that one datagram tells other agents.
struct PieceAnnouncement {
    std::vector<std::string> ips; ///< receivers
    std::vector<PieceSet> pieces; ///< held by this agent; a set without pieces names a version whose manifest it lacks
    bool wantsPieces { false }; ///< asks the receivers for what they hold
};

/// Computes from the list of hosts what source selection and announcements need.
StageFleet makeStageFleet(const std::vector<WeightsPeer>& peers, const StageOptions& options);

/// @return the host that fetches on behalf of others, in rotation so that each has the same share
/// @param hosts candidates, not empty
/// @param number position of the fetch in the rotation
/// @param rounds rounds that have ended without the fetch
const std::string& designatedFetcher(const std::vector<std::string>& hosts, std::uint64_t number, std::uint64_t rounds);

/// @return whether this agent lacks a manifest or pieces of a version that its engine does not hold
bool wantsPieces(const StageState& state);

/// Records that another agent asked for what this one holds.
void recordPieceRequest(StageState& state, const std::string& ip);

/// Takes the announcements that are due. Called every beacon period and when another agent's announcement arrived.
std::vector<PieceAnnouncement> takeAnnouncements(StageState& state, Milliseconds now);

} // namespace hickory
