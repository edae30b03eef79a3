#include <iostream>

#include "cli/program.h"

int
main(int aCount, char** aArguments)
{
  return lycheeplank::cli::Run(
    aCount, aArguments, { std::cin, std::cout, std::cerr });
}
