#include "digest_func.h"

#include <catch2/catch.hpp>

// Guards against a digester whose result depends on how the data was split.
TEST_CASE("A digest does not depend on how the data was split")
{
    hickory::Digester digester;
    digester.update("weights of ");
    digester.update("a model");
    REQUIRE(digester.finishHex() == hickory::digestHex("weights of a model"));
}
