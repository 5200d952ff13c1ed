#include "fleet_view_func.h"
#include "lookup_home_func.h"
#include "metrics_io.h"
#include "peer_table_func.h"
#include "platform_decode_func.h"
#include "relay_loop_io.h"

namespace hickory {

namespace {

    constexpr std::uint16_t statusOk = 200;
    constexpr std::uint16_t statusNotFound = 404;
    constexpr std::uint16_t statusUnavailable = 503;

} // namespace

// Lookups and control requests --------------------------------------------------------------------------------------

void RelayLoop::onLookup(const FrontRequest& request)
{
    constexpr std::size_t maxAddresses = 64;
    std::vector<LookupEntry> entries;
    if (this->ready())
        entries.push_back({ .front = this->settings.front, .dataCentre = this->settings.host.dataCentre });
    for (const PeerInfo& entry : liveEntries(this->peers, monotonicNow()))
        if (entry.ready)
            entries.push_back({ .front = entry.front, .dataCentre = entry.dataCentre });
    std::vector<std::string> addresses;
    for (const LookupEntry& entry : chooseLookupEntries(
             this->state.config.get(), this->state.options.regions, decodeLookupQuery(request.head.target), entries))
        if (addresses.size() < maxAddresses)
            addresses.push_back(entry.front);
    // During an outage of the store no entry is ready, but those with a configuration still serve routes without a key.
    if (addresses.empty() && this->drainingSince.value == 0 && this->state.config)
        addresses.push_back(this->settings.front);
    if (addresses.empty()) {
        this->front.answer(request.id, statusUnavailable, {}, "no entry is ready\n");
        return;
    }
    this->front.answer(request.id, statusOk, { { "Content-Type", "application/json" } },
        platform::encodeLookup(addresses, this->settings.lookupTimeToLive));
}

void RelayLoop::onControl(const FrontRequest& request)
{
    if (request.head.target == "/metrics")
        this->front.answer(request.id, statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, metricsPage());
    else if (request.head.target.starts_with(fleetViewPath))
        this->onFleetView(request);
    else if (request.head.target.starts_with(peerTablesPath)) {
        const PeerVersions have = decodePeerVersions(request.head.target);
        this->front.answer(request.id, statusOk, { { "Content-Type", "application/json" } },
            encodePeerTables({ .operators = this->operatorRows.snapshot(),
                                 .upstreams = this->upstreamRows.snapshot(),
                                 .declared = this->state.declared,
                                 .lostConfig = this->lostConfig(),
                                 .config = &this->configHistory },
                have, monotonicNow()));
    } else
        this->front.answer(request.id, statusNotFound, {}, "no such page\n");
}

void RelayLoop::onFleetView(const FrontRequest& request)
{
    const FleetViewRequest question = decodeFleetViewRequest(request.head.target);
    const std::optional<FleetView> view = makeFleetView(this->state, question.service);
    if (!view || view->hosts.empty()) {
        this->front.answer(request.id, statusUnavailable, {}, "no configuration or list yet\n");
        return;
    }
    std::optional<Milliseconds> unseenFor;
    if (const auto notBefore = declaredNotBefore(this->state, *view))
        unseenFor = monotonicNow() - *notBefore;
    this->front.answer(request.id, statusOk, { { "Content-Type", "application/json" } },
        encodeFleetView(*view, unseenFor, question.stamp));
}

} // namespace hickory
