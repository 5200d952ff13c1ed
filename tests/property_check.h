#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <sstream>
#include <utility>

namespace hickory {

/// Checks a property with a fixed seed, so that each run sees the same cases.
/// @param seed of the generated cases
/// @param cases cases to try
/// @param property callable with generated arguments; RC_ASSERT and exceptions make it fail
template <typename Property> void requireProperty(std::uint64_t seed, int cases, Property property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    const auto result = rc::detail::checkTestable(std::move(property), rc::detail::TestMetadata {}, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO("seed " << seed << "\n" << text.str());
    REQUIRE(result.template is<rc::detail::SuccessResult>());
}

/// @return lists of random numbers, each of which a test decodes into one step
inline rc::Gen<std::vector<std::uint32_t>> randomSteps(int most)
{
    return rc::gen::resize(most,
        rc::gen::container<std::vector<std::uint32_t>>(rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>())));
}

} // namespace hickory
