#include "soak_pause_check.h"

#include <set>

namespace hickory::soak {

namespace {

    constexpr Milliseconds pauseLead { 500 }; ///< a pause binds from this long after it was asked for
    constexpr std::size_t maxArrivals = 2; ///< requests of an entry that may arrive in a pause

    /// @return whether the entry or its way to the upstream was disturbed, or the entry was started again, in the pause
    bool isExcused(const Ledger& ledger, const Pause& pause)
    {
        const auto [from, until] = pause.span;
        if (ledger.isDisturbed(pause.entry, from, until) || ledger.isDisturbed(pause.upstream, from, until))
            return true;
        const auto starts = ledger.starts.find(pause.entry);
        return starts != ledger.starts.end()
            && std::any_of(starts->second.begin(), starts->second.end(),
                [from = from, until = until](Milliseconds at) { return at >= from && at <= until; });
    }

    std::size_t countArrivals(const Ledger& ledger, const Pause& pause)
    {
        return static_cast<std::size_t>(
            std::count_if(ledger.arrivals.begin(), ledger.arrivals.end(), [&](const Arrival& arrival) {
                return arrival.server == pause.server && arrival.entry == pause.entry
                    && arrival.at >= pause.span.from + pauseLead && arrival.at <= pause.span.until;
            }));
    }

} // namespace

PauseFigures checkPauses(Ledger& ledger)
{
    PauseFigures figures { .asked = ledger.pauses.size() };
    std::set<std::pair<std::string, std::string>> reported;
    for (const Pause& pause : ledger.pauses) {
        if (pause.span.until - pause.span.from <= pauseLead)
            continue;
        if (isExcused(ledger, pause)) {
            ++figures.excused;
            continue;
        }
        const std::size_t arrivals = countArrivals(ledger, pause);
        ++figures.judged;
        figures.arrivals += arrivals;
        figures.most = std::max(figures.most, arrivals);
        if (arrivals > maxArrivals && reported.emplace(pause.server, pause.entry).second)
            ledger.addViolation("BUDGET " + std::to_string(arrivals) + " requests of " + pause.entry + " reached "
                + pause.server + ", which asked it for a pause from " + std::to_string(pause.span.from.value) + " to "
                + std::to_string(pause.span.until.value));
    }
    return figures;
}

std::string pauseText(const PauseFigures& figures)
{
    return std::to_string(figures.asked) + " pauses asked for, " + std::to_string(figures.judged) + " judged, "
        + std::to_string(figures.excused) + " excused; " + std::to_string(figures.arrivals)
        + " requests arrived in judged ones, at most " + std::to_string(figures.most) + " in one";
}

} // namespace hickory::soak
