#include <catch2/catch.hpp>

#include "poison-sim.h"

// One case of poison-test in a program of its own, since its simulated days
// take long.

using lycheeplank::test::PoisonSim;
using lycheeplank::test::ScheduleCrashes;
using lycheeplank::test::SeedCount;
using lycheeplank::test::SizeOf;

// Guards against blocks of parts that sound requests share, at full load, when
// many targets crash one after the other, at once, or are out of a host's
// reach.
TEST_CASE("parts that sound requests share are never blocked")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 77, 300);
  const auto time = absl::Seconds(15);
  for (int seed = 1; seed <= SeedCount(hosts); ++seed) {
    auto options = SizeOf(hosts, static_cast<std::uint64_t>(seed));
    options.poisonShare_ = 0.0;
    options.requestsPerSecond_ *= 3.0;
    PoisonSim sim(options);
    ScheduleCrashes(
      sim, options.targets_, absl::Milliseconds(100), sim.Now() + time);
    for (int i = 1; i < 20; i += 3) {
      sim.At(sim.Now() + absl::Seconds(i), [&sim, &options] {
        for (std::size_t target = 0; target < options.targets_; target += 2) {
          sim.Crash(target, absl::Seconds(1));
        }
      });
    }
    for (std::size_t i = 0; i < hosts; i += 2) {
      sim.At(sim.Now() + absl::Seconds(5),
             [&sim, i] { sim.CutFromTargets(i, absl::Seconds(5)); });
    }
    sim.RunFor(time);
    INFO(hosts << " hosts, seed " << seed << ", " << sim.Begun() << " begun");
    CHECK(sim.Wronged() == 0);
  }
}
