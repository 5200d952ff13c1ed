#define CATCH_CONFIG_MAIN // provides main()
#include <catch2/catch.hpp>
