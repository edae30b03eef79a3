#include "lycheeplank/retry.h"

#include <catch2/catch.hpp>

namespace retry = lycheeplank::retry;
namespace catalog = lycheeplank::catalog;
using retry::AttemptEnd;
using retry::NextStep;

namespace {

constexpr absl::Duration kPlenty = absl::Seconds(5);

catalog::Route
MakeRoute(catalog::RepeatPolicy aRepeat,
          std::uint32_t aAttempts,
          bool aResumable = false)
{
  catalog::Route route;
  route.repeatPolicy_ = aRepeat;
  route.attempts_ = aAttempts;
  route.resumable_ = aResumable;
  route.goal_ = absl::Milliseconds(400);
  return route;
}

} // namespace

TEST_CASE("a request that may run once is not sent again after a possible run")
{
  const auto route = MakeRoute(catalog::RepeatPolicy::Once, 3);
  for (const auto end : { AttemptEnd::Failed,
                          AttemptEnd::Silent,
                          AttemptEnd::Error,
                          AttemptEnd::UnprovenRefusal }) {
    const auto step =
      retry::DecideNextStep(route, { 1, 1, 1 }, end, kPlenty, true);
    CHECK(step != NextStep::TryAgain);
    // The request may have run, so it is not reported as not run either.
    CHECK(step != NextStep::Refuse);
  }
}

TEST_CASE("a request that a target has not run goes to another target")
{
  const auto route = MakeRoute(catalog::RepeatPolicy::Once, 1);
  CHECK(retry::DecideNextStep(
          route, { 1, 0, 1 }, AttemptEnd::NotRun, kPlenty, true) ==
        NextStep::TryAgain);
  CHECK(retry::DecideNextStep(
          route, { 0, 0, 1 }, AttemptEnd::NotSent, kPlenty, false) ==
        NextStep::TryAgain);
}

TEST_CASE("a request that was sent is not sent again without budget")
{
  const auto route = MakeRoute(catalog::RepeatPolicy::Once, 1);
  CHECK(retry::DecideNextStep(
          route, { 1, 0, 1 }, AttemptEnd::NotRun, kPlenty, false) ==
        NextStep::Refuse);
}

TEST_CASE("an idempotent request runs on as many targets as its route allows")
{
  const auto route = MakeRoute(catalog::RepeatPolicy::Idempotent, 2);
  CHECK(retry::DecideNextStep(
          route, { 1, 1, 1 }, AttemptEnd::Failed, kPlenty, true) ==
        NextStep::TryAgain);
  CHECK(retry::DecideNextStep(
          route, { 2, 2, 2 }, AttemptEnd::Failed, kPlenty, true) ==
        NextStep::Fail);
  CHECK(retry::DecideNextStep(
          route, { 2, 2, 2 }, AttemptEnd::Error, kPlenty, true) ==
        NextStep::PassOn);
}

// Guards against callers that take a target's status for the promise that their
// request hasn't run.
TEST_CASE("an unproven refusal is never passed on")
{
  const auto next = [](const catalog::Route& aRoute, std::uint32_t aRuns) {
    return retry::DecideNextStep(aRoute,
                                 { aRuns, aRuns, aRuns },
                                 AttemptEnd::UnprovenRefusal,
                                 kPlenty,
                                 true);
  };
  CHECK(next(MakeRoute(catalog::RepeatPolicy::Once, 3), 1) == NextStep::Fail);
  const auto route = MakeRoute(catalog::RepeatPolicy::Idempotent, 2);
  CHECK(next(route, 1) == NextStep::TryAgain);
  CHECK(next(route, 2) == NextStep::Fail);
}

TEST_CASE("a cut stream continues only on a resumable route")
{
  CHECK(retry::DecideNextStep(MakeRoute(catalog::RepeatPolicy::Stream, 2, true),
                              { 1, 1, 1 },
                              AttemptEnd::CutAnswer,
                              kPlenty,
                              true) == NextStep::TryAgain);
  CHECK(
    retry::DecideNextStep(MakeRoute(catalog::RepeatPolicy::Stream, 2, false),
                          { 1, 1, 1 },
                          AttemptEnd::CutAnswer,
                          kPlenty,
                          true) == NextStep::Cut);
  CHECK(retry::DecideNextStep(MakeRoute(catalog::RepeatPolicy::Idempotent, 2),
                              { 1, 1, 1 },
                              AttemptEnd::CutAnswer,
                              kPlenty,
                              true) == NextStep::Cut);
}

TEST_CASE("no attempt starts when no time is left")
{
  const auto route = MakeRoute(catalog::RepeatPolicy::Idempotent, 3);
  CHECK(
    retry::DecideNextStep(
      route, { 1, 0, 1 }, AttemptEnd::NotRun, absl::Milliseconds(5), true) ==
    NextStep::Refuse);
}

TEST_CASE("only requests that may run again leave a silent target")
{
  CHECK(retry::SilenceLimit(MakeRoute(catalog::RepeatPolicy::Once, 2), {}) ==
        absl::InfiniteDuration());
  auto route = MakeRoute(catalog::RepeatPolicy::Idempotent, 2);
  CHECK(retry::SilenceLimit(route, { 1, 1, 1 }) < absl::Seconds(1));
  CHECK(retry::SilenceLimit(route, { 2, 2, 2 }) == absl::InfiniteDuration());
}
