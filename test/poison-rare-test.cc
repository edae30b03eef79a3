#include <catch2/catch.hpp>

#include "poison-sim.h"

// One case of poison-test in a program of its own, since its simulated days
// take long.

using lycheeplank::test::PoisonSim;
using lycheeplank::test::ScheduleCrashes;
using lycheeplank::test::SeedCount;
using lycheeplank::test::SizeOf;
namespace poison = lycheeplank::poison;

namespace {

// Messages that a host may send each other host.
constexpr double kMaxMessagesPerSecond = 4.0;

} // namespace

// Guards against blocks of rare sound parts on days on which targets crash all
// the time: a part that few requests have is lost several times in a row then,
// and no answer with it begins in between. Guards also against blocks that
// begin and end again and again, and against messages without bound.
TEST_CASE("rare sound parts are not blocked while targets crash all the time")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 77, 300);
  const auto time = hosts < 300 ? absl::Seconds(20) : absl::Seconds(6);
  for (int seed = 1; seed <= SeedCount(hosts); ++seed) {
    auto options = SizeOf(hosts, static_cast<std::uint64_t>(seed));
    options.poisonShare_ = 0.0;
    options.rareShare_ = 0.3;
    options.beginMs_ = 2500.0;
    options.attempts_ = 3;
    options.lostShare_ = 0.05;
    PoisonSim sim(options);
    std::size_t changes = 0;
    sim.onChange_ = [&](std::size_t, const poison::BlockChange&) { ++changes; };
    const auto pause = absl::Seconds(3) / static_cast<double>(options.targets_);
    ScheduleCrashes(sim, options.targets_, pause, sim.Now() + time);
    sim.RunFor(time);
    INFO(hosts << " hosts, seed " << seed << ", " << sim.Begun() << " begun, "
               << changes << " changes, " << sim.Messages() << " messages");
    CHECK(sim.Begun() > 0);
    CHECK(sim.Wronged() == 0);
    CHECK(changes == 0);
    const auto most = kMaxMessagesPerSecond *
                      static_cast<double>(hosts * hosts) *
                      absl::ToDoubleSeconds(time);
    CHECK(static_cast<double>(sim.Messages()) <= most);
  }
}
