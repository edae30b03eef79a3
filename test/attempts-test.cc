#include "lycheeplank/attempts.h"

#include <catch2/catch.hpp>

namespace attempts = lycheeplank::attempts;
namespace catalog = lycheeplank::catalog;
using attempts::End;
using attempts::Step;

namespace {

constexpr absl::Duration kPlenty = absl::Seconds(5);

catalog::Route
MakeRoute(catalog::Repeat aRepeat,
          std::uint32_t aAttempts,
          bool aResumable = false)
{
  catalog::Route route;
  route.repeat_ = aRepeat;
  route.attempts_ = aAttempts;
  route.resumable_ = aResumable;
  route.goal_ = absl::Milliseconds(400);
  return route;
}

} // namespace

TEST_CASE("what may run once is never sent again after it may have run")
{
  const auto route = MakeRoute(catalog::Repeat::Once, 3);
  for (const auto end : { End::Failed, End::Silent, End::Error }) {
    const auto step = attempts::After(route, { 1, 1, 1 }, end, kPlenty, true);
    CHECK(step != Step::TryAgain);
    // It may have run, so it isn't called "not run" either.
    CHECK(step != Step::Refuse);
  }
}

TEST_CASE("what a target has not run goes to another one")
{
  const auto route = MakeRoute(catalog::Repeat::Once, 1);
  CHECK(attempts::After(route, { 1, 0, 1 }, End::NotRun, kPlenty, true) ==
        Step::TryAgain);
  CHECK(attempts::After(route, { 0, 0, 1 }, End::NotSent, kPlenty, false) ==
        Step::TryAgain);
}

TEST_CASE("a spent budget ends attempts that were sent")
{
  const auto route = MakeRoute(catalog::Repeat::Once, 1);
  CHECK(attempts::After(route, { 1, 0, 1 }, End::NotRun, kPlenty, false) ==
        Step::Refuse);
}

TEST_CASE("an idempotent request runs on as many targets as its route allows")
{
  const auto route = MakeRoute(catalog::Repeat::Idempotent, 2);
  CHECK(attempts::After(route, { 1, 1, 1 }, End::Failed, kPlenty, true) ==
        Step::TryAgain);
  CHECK(attempts::After(route, { 2, 2, 2 }, End::Failed, kPlenty, true) ==
        Step::Fail);
  CHECK(attempts::After(route, { 2, 2, 2 }, End::Error, kPlenty, true) ==
        Step::PassOn);
}

TEST_CASE("a cut stream goes on only if it may resume")
{
  CHECK(attempts::After(MakeRoute(catalog::Repeat::Stream, 2, true),
                        { 1, 1, 1 },
                        End::CutAnswer,
                        kPlenty,
                        true) == Step::TryAgain);
  CHECK(attempts::After(MakeRoute(catalog::Repeat::Stream, 2, false),
                        { 1, 1, 1 },
                        End::CutAnswer,
                        kPlenty,
                        true) == Step::Cut);
  CHECK(attempts::After(MakeRoute(catalog::Repeat::Idempotent, 2),
                        { 1, 1, 1 },
                        End::CutAnswer,
                        kPlenty,
                        true) == Step::Cut);
}

TEST_CASE("no attempt begins when no time is left")
{
  const auto route = MakeRoute(catalog::Repeat::Idempotent, 3);
  CHECK(attempts::After(
          route, { 1, 0, 1 }, End::NotRun, absl::Milliseconds(5), true) ==
        Step::Refuse);
}

TEST_CASE("only requests that may run again leave a silent target")
{
  CHECK(attempts::SilenceLimit(MakeRoute(catalog::Repeat::Once, 2), {}) ==
        absl::InfiniteDuration());
  auto route = MakeRoute(catalog::Repeat::Idempotent, 2);
  CHECK(attempts::SilenceLimit(route, { 1, 1, 1 }) < absl::Seconds(1));
  CHECK(attempts::SilenceLimit(route, { 2, 2, 2 }) == absl::InfiniteDuration());
}
