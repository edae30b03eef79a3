#include "gateway/stall-detector.h"

#include <catch2/catch.hpp>

namespace gateway = lycheeplank::gateway;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

absl::Time
At(int aMilliseconds)
{
  return kStart + absl::Milliseconds(aMilliseconds);
}

// Turns each 25 ms up to a moment.
void
RunLoop(gateway::StallDetector& aDetector, int aFrom, int aUntil)
{
  for (int at = aFrom; at <= aUntil; at += 25) {
    gateway::RecordIteration(aDetector, At(at));
  }
}

} // namespace

TEST_CASE("what a running host hears is as old as its last turn at most")
{
  gateway::StallDetector detector;
  RunLoop(detector, 0, 1000);
  CHECK(gateway::EarliestSendTime(detector, At(0), At(1010)) == At(1000));
  CHECK(gateway::EarliestSendTime(detector, At(1005), At(1010)) == At(1005));
  CHECK(gateway::EarliestSendTime(detector, absl::InfinitePast(), At(1010)) ==
        At(1000));
}

TEST_CASE("what was written while a host stood still is as old as the gap")
{
  gateway::StallDetector detector;
  RunLoop(detector, 0, 1000);
  SECTION("read before the first turn")
  {
    CHECK(gateway::EarliestSendTime(detector, At(900), At(5000)) == At(1000));
  }
  SECTION("read after it")
  {
    RunLoop(detector, 5000, 5050);
    CHECK(gateway::EarliestSendTime(detector, At(900), At(5060)) == At(1000));
    CHECK(gateway::EarliestSendTime(detector, absl::InfinitePast(), At(5060)) ==
          At(1000));
    // Asked for after the gap.
    CHECK(gateway::EarliestSendTime(detector, At(5010), At(5060)) == At(5010));
  }
  SECTION("read once all of the gap has been read")
  {
    RunLoop(detector, 5000, 5500);
    CHECK(gateway::EarliestSendTime(detector, At(900), At(5510)) == At(5500));
  }
}

TEST_CASE("a host that has not turned yet takes what it asked for")
{
  const gateway::StallDetector detector;
  CHECK(gateway::EarliestSendTime(detector, At(3), At(5)) == At(3));
  CHECK(gateway::EarliestSendTime(detector, absl::InfinitePast(), At(5)) ==
        At(5));
}
