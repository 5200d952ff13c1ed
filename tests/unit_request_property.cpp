#include "request_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hickory;

namespace {

/// Checks a property with a fixed seed, so that a failure can be reproduced.
rc::detail::TestResult checkWithSeed(std::uint64_t seed, int successes, const std::function<void()>& property)
{
    const rc::detail::TestParams params { .seed = seed, .maxSuccess = successes, .maxSize = 300 };
    return rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params);
}

} // namespace

// Guards against the following, under random sequences of events: more waiting requests than allowed, a request that
// ends twice or never, a request with two attempts in flight or in no queue, a non-repeatable call that runs twice,
// `not-run` for a call that ran, or a refusal after a part was delivered.
TEST_CASE("Every request ends exactly once with a correct outcome under random sequences of events")
{
    for (const std::uint64_t seed : { 11U, 12U, 13U }) {
        const auto result = checkWithSeed(seed, 500, [] {
            const auto codes = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>());
            RequestModel model(codes.size());
            for (const std::uint32_t code : codes)
                model.runStep(code);
            model.drain();
        });
        std::ostringstream text;
        rc::detail::printResultMessage(result, text);
        INFO("seed " << seed << ": " << text.str());
        CHECK(result.template is<rc::detail::SuccessResult>());
    }
}
