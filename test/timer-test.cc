#include "gateway/timer.h"

#include <chrono>
#include <memory>
#include <thread>

#include <catch2/catch.hpp>

using lycheeplank::gateway::Loop;
using lycheeplank::gateway::Timer;

namespace {

// Waits until both times have come, so that the loop finds them expired in the
// same iteration.
void
RunExpired(Loop& aLoop)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  aLoop.run();
}

} // namespace

// Guards against a second send of a request by the timer of a wait that is
// over.
TEST_CASE("a cancelled timer's action doesn't run, even if its time has come")
{
  Loop loop{ 1 };
  Timer first(loop);
  Timer second(loop);
  int ran = 0;
  first.Set(absl::Milliseconds(1), [&] {
    ++ran;
    second.Cancel();
  });
  second.Set(absl::Milliseconds(1), [&] {
    ++ran;
    first.Cancel();
  });
  RunExpired(loop);
  CHECK(ran == 1);
}

// Guards against the action of an earlier wait after the timer was set again.
TEST_CASE("a timer that is set again runs only the later action")
{
  Loop loop{ 1 };
  Timer first(loop);
  Timer second(loop);
  int early = 0;
  int late = 0;
  first.Set(absl::Milliseconds(1),
            [&] { second.Set(absl::Milliseconds(1), [&] { ++late; }); });
  second.Set(absl::Milliseconds(2), [&] { ++early; });
  RunExpired(loop);
  CHECK(early == 0);
  CHECK(late == 1);
}

// Guards against actions that use their destroyed owner.
TEST_CASE("a destroyed timer's action doesn't run, even if its time has come")
{
  Loop loop{ 1 };
  Timer first(loop);
  auto second = std::make_unique<Timer>(loop);
  bool ran = false;
  first.Set(absl::Milliseconds(1), [&] { second = nullptr; });
  second->Set(absl::Milliseconds(2), [&] { ran = true; });
  RunExpired(loop);
  CHECK_FALSE(ran);
}
