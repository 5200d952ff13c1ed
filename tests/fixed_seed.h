#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sstream>
#include <string>

namespace hickory::test {

/// Checks a property with a fixed seed, so that a failure is the same on every machine.
/// @param name what holds
/// @param seed seed of all cases
/// @param cases how many cases are tried
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
