#include "lycheeplank/retry_budget.h"

#include <random>
#include <vector>

#include <catch2/catch.hpp>

namespace retry_budget = lycheeplank::retry_budget;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

retry_budget::Limits
MakeLimits(std::uint32_t aHosts)
{
  return { 0.2, absl::Seconds(10), 40.0, aHosts };
}

} // namespace

TEST_CASE("hosts share the slack equally")
{
  retry_budget::Ledger ledger;
  const auto limits = MakeLimits(8);
  int taken = 0;
  while (retry_budget::TakeResend(ledger, limits, kStart)) {
    ++taken;
  }
  CHECK(taken == 5);
}

TEST_CASE("requests add to the budget until they leave the window")
{
  retry_budget::Ledger ledger;
  const auto limits = MakeLimits(40);
  for (int i = 0; i < 100; ++i) {
    retry_budget::CountRequest(ledger, limits, kStart);
  }
  CHECK(retry_budget::ResendsLeft(ledger, limits, kStart) == Approx(17.0));
  const auto later = kStart + absl::Seconds(12);
  CHECK(retry_budget::ResendsLeft(ledger, limits, later) == Approx(1.0));
}

// Guards against too many resends in any window: requests arrive in waves, and
// each one asks for a resend.
TEST_CASE("all hosts together stay within the budget in every sliding window")
{
  constexpr std::uint32_t kHosts = 8;
  const auto limits = MakeLimits(kHosts);
  for (unsigned seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    std::vector<retry_budget::Ledger> ledgers(kHosts);
    std::vector<double> requests;
    std::vector<double> resends;
    for (int tick = 0; tick < 600; ++tick) {
      const auto now = kStart + absl::Milliseconds(100) * tick;
      const unsigned count = tick / 100 % 2 == 0 ? 12 : 1;
      double sent = 0;
      for (unsigned i = 0; i < count; ++i) {
        auto& ledger = ledgers[random() % kHosts];
        retry_budget::CountRequest(ledger, limits, now);
        sent += retry_budget::TakeResend(ledger, limits, now) ? 1 : 0;
      }
      requests.push_back(count);
      resends.push_back(sent);
    }
    const auto sum = [](const std::vector<double>& aValues,
                        std::size_t aFrom,
                        std::size_t aTo) {
      double total = 0;
      for (auto i = aFrom; i < aTo; ++i) {
        total += aValues[i];
      }
      return total;
    };
    for (std::size_t i = 100; i + 100 <= requests.size(); ++i) {
      const double most = std::max({ sum(requests, i, i + 100),
                                     sum(requests, i - 100, i),
                                     sum(requests, i - 50, i + 50) });
      REQUIRE(sum(resends, i, i + 100) <= limits.ratio_ * most + limits.slack_);
    }
  }
}
