#include "lycheeplank/mechanisms.h"

#include <set>

#include <catch2/catch.hpp>

namespace core = lycheeplank::core;
namespace mechanisms = lycheeplank::mechanisms;

TEST_CASE("each mechanism is switched off independently")
{
  for (const auto& [off, name] : mechanisms::kMechanisms) {
    mechanisms::Switches switches;
    mechanisms::SwitchOff(switches, off);
    for (const auto& [other, otherName] : mechanisms::kMechanisms) {
      CHECK(mechanisms::IsOn(switches, other) == (other != off));
    }
  }
}

TEST_CASE("each mechanism has a unique name")
{
  std::set<std::string> names;
  for (const auto& [mechanism, name] : mechanisms::kMechanisms) {
    names.emplace(name.data(), name.size());
    CHECK(core::ValueOf(mechanisms::kMechanisms, name) == mechanism);
  }
  CHECK(names.size() == mechanisms::kMechanisms.size());
}
