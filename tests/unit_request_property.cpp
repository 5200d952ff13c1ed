#include "request_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hickory;

namespace {

rc::detail::TestResult checkWithSeed(std::uint64_t seed, int successes, const std::function<void()>& property)
{
    const rc::detail::TestParams params { .seed = seed, .maxSuccess = successes, .maxSize = 300 };
    return rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params);
}

} // namespace

// Guards, over random orders of events, against: a queue past its bound, a request that ends twice or never, that is
// in two places or in none, a non-repeatable call that runs twice, a false not-run, an answer refused after a part.
TEST_CASE("Every request ends exactly once and tells the truth, whatever happens in whatever order")
{
    for (const std::uint64_t seed : { 11U, 12U, 13U }) {
        const auto result = checkWithSeed(seed, 500, [] {
            const auto codes = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>());
            RequestModel model(codes.size());
            for (const std::uint32_t code : codes)
                model.command(code);
            model.drain();
        });
        std::ostringstream text;
        rc::detail::printResultMessage(result, text);
        INFO("seed " << seed << ": " << text.str());
        CHECK(result.template is<rc::detail::SuccessResult>());
    }
}
