#include "digest_func.h"

#include <catch2/catch.hpp>

// Guards against an incremental digest that differs from the digest of the whole data.
TEST_CASE("An incremental digest equals the digest of the joined data")
{
    hickory::Digester digester;
    digester.update("weights of ");
    digester.update("a model");
    REQUIRE(digester.finishHex() == hickory::digestHex("weights of a model"));
}
