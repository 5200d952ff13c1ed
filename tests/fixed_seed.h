#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sstream>
#include <string>

namespace hickory::test {

/// Checks a RapidCheck property with a fixed seed, so that a failure can be reproduced on any machine. Fails the Catch2
/// test with the smallest counterexample.
/// @param name statement of the property, shown on failure
/// @param seed seed from which all cases are generated
/// @param cases number of generated cases
/// @param testable callable that takes generated arguments and asserts the property with RC_ASSERT
template <typename Testable>
void checkProperty(const std::string& name, std::uint64_t seed, int cases, Testable testable)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    const rc::detail::TestMetadata metadata { .id = name, .description = name };
    const auto result = rc::detail::checkTestable(std::move(testable), metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(name << ", seed " << seed << "\n" << text.str());
    REQUIRE(result.template is<rc::detail::SuccessResult>());
}

} // namespace hickory::test
