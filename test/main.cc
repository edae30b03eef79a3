// Catch2 defines the main function of the test program in this file.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
