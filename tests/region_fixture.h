#pragma once

#include "relay_fixture.h"

#include <algorithm>

namespace hickory {

/// @return options of an entry in data centre a1. Data centres a1 and a2 are in region "a", b1 in "b", c1 in "c"; the
/// region of any other is not known.
inline RelayOptions regionOptions()
{
    RelayOptions options;
    options.dataCentre = { "a1" };
    options.regions = { { { "a1" }, { "a" } }, { { "a2" }, { "a" } }, { { "b1" }, { "b" } }, { { "c1" }, { "c" } } };
    return options;
}

/// @return id of the upstream that the effects send a request to first, empty when they send none
inline std::string sentTo(const std::vector<RelayEffect>& effects)
{
    const auto* send = findEffect<SendToUpstream>(effects);
    return send ? send->upstream.value : std::string {};
}

/// @return status and reason of the first request that the effects refuse, empty when they refuse none
inline std::string refusal(const std::vector<RelayEffect>& effects)
{
    const auto* refused = findEffect<RefuseCall>(effects);
    return refused ? std::to_string(refused->status) + " " + refused->reason : std::string {};
}

/// @return value of a field of the first log line of an event, empty when there is none
inline std::string logged(const std::vector<RelayEffect>& effects, const std::string& event, const std::string& field)
{
    for (const RelayEffect& effect : effects) {
        const auto* line = std::get_if<LogLine>(&effect);
        if (!line || line->event != event)
            continue;
        for (const auto& [name, value] : line->fields)
            if (name == field)
                return value;
    }
    return {};
}

/// A relay with upstreams in several regions. Each upstream is named after its data centre and service.
struct RegionRelay : RelayFixture {
    RegionRelay()
        : RelayFixture(regionOptions())
    {
    }

    /// Puts a configuration in force in which a route and the workspace have homes.
    /// @return effects
    std::vector<RelayEffect> home(std::uint64_t version, const std::string& prefix, std::vector<RegionId> routeHomes,
        std::vector<RegionId> workspaceHomes = {})
    {
        auto made = config(version);
        for (RelayRoute& route : made->routes)
            if (route.prefix == prefix)
                route.homes = routeHomes;
        made->workspaces[0].homes = std::move(workspaceHomes);
        return this->event(ConfigUpdated { .config = made });
    }

    /// Lists one upstream of a service in each of the data centres.
    std::vector<RelayEffect> listAt(const std::vector<std::string>& dataCentres, const std::string& service)
    {
        std::vector<UpstreamEntry> entries;
        for (const std::string& dataCentre : dataCentres) {
            entries.push_back(upstream(dataCentre + "-" + service, service));
            entries.back().dataCentre = { dataCentre };
        }
        return this->list(entries);
    }

    /// Evacuates exactly these data centres.
    std::vector<RelayEffect> evacuate(std::set<DataCentreId> dataCentres)
    {
        return this->event(EvacuationsUpdated { .dataCentres = std::move(dataCentres) });
    }

    /// Sends requests of a route until one is not sent.
    /// @return the sends
    std::vector<SendToUpstream> fill(const std::string& prefix)
    {
        std::vector<SendToUpstream> sends;
        for (;;) {
            const auto effects = this->request(prefix);
            const auto* send = findEffect<SendToUpstream>(effects);
            if (!send)
                return sends;
            sends.push_back(*send);
        }
    }

    /// Delivers the head of a sound answer.
    std::vector<RelayEffect> begin(const SendToUpstream& send, bool stream)
    {
        return this->event(
            ResponseStarted { .call = send.call, .send = send.send, .status = 200, .sealed = true, .stream = stream });
    }

    /// Completes a send.
    std::vector<RelayEffect> finish(const SendToUpstream& send, bool stream)
    {
        std::vector<RelayEffect> all = this->begin(send, stream);
        for (const RelayEffect& effect :
            this->event(ResponseEnded { .call = send.call, .send = send.send, .end = SendResult::Complete }))
            all.push_back(effect);
        return all;
    }

    /// Lets time pass, with a tick every 20 ms.
    /// @return effects of that time
    std::vector<RelayEffect> pass(Milliseconds time)
    {
        std::vector<RelayEffect> all;
        for (const Milliseconds until = this->now + time; this->now < until;) {
            this->now += Milliseconds { 20 };
            for (const RelayEffect& effect : this->event(RelayTick {}))
                all.push_back(effect);
        }
        return all;
    }
};

} // namespace hickory
