#include "soak_pause_check.h"

#include <catch2/catch.hpp>

using namespace hickory;
using namespace hickory::soak;

namespace {

/// An upstream that asked entry-1 for a pause from 1.0 to 3.0 s, and requests of an entry that reached it at some
/// times.
Ledger pausedUpstream(const std::string& entry, const std::vector<std::int64_t>& times)
{
    Ledger ledger;
    ledger.pauses.push_back({ .upstream = "plain4",
        .server = "plain4-1",
        .entry = "entry-1",
        .span = { .from = { 1000 }, .until = { 3000 } } });
    for (const std::int64_t at : times)
        ledger.arrivals.push_back({ .server = "plain4-1", .entry = entry, .at = { at } });
    return ledger;
}

} // namespace

TEST_CASE("the soak counts what reaches an upstream in a pause that it asked for", "[soak]")
{
    Ledger kept = pausedUpstream("entry-1", { 1100, 1400, 1600, 2900, 3100, 3200 });
    CHECK(checkPauses(kept).arrivals == 2);
    CHECK(kept.violations.empty());
    Ledger broken = pausedUpstream("entry-1", { 1600, 2000, 2900 });
    CHECK(checkPauses(broken).judged == 1);
    REQUIRE(broken.violations.size() == 1);
    CHECK(broken.violations[0].starts_with("BUDGET 3 requests of entry-1"));
    Ledger ofAnother = pausedUpstream("entry-2", { 1600, 2000, 2900 });
    CHECK(checkPauses(ofAnother).arrivals == 0);
}

TEST_CASE("the soak excuses a pause of an entry that was restarted, frozen or cut off", "[soak]")
{
    for (const char* host : { "entry-1", "plain4" }) {
        Ledger disturbed = pausedUpstream("entry-1", { 1600, 2000, 2900 });
        disturbed.disturbances[host].push_back({ .from = { 1200 }, .until = { 1300 } });
        CHECK(checkPauses(disturbed).excused == 1);
        CHECK(disturbed.violations.empty());
    }
    Ledger restarted = pausedUpstream("entry-1", { 1600, 2000, 2900 });
    restarted.starts["entry-1"].push_back({ 1500 });
    CHECK(checkPauses(restarted).excused == 1);
}
