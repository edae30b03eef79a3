#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include "host-group.h"

// Tests requests that crash each target which begins to answer them.

using lycheeplank::test::FakeTarget;
using lycheeplank::test::HostGroup;
using lycheeplank::test::WholeAnswer;
namespace gateway = lycheeplank::gateway;

namespace {

// Crashes after which the platform's rule applies, the time that hosts have
// from the last of them, and the requests that it allows from then on.
constexpr std::size_t kFreeCrashes = 5;
constexpr absl::Duration kContact = absl::Seconds(3);
constexpr std::size_t kAllowedSends = 3;
constexpr std::size_t kTargets = 12;
// One request in so many has the part that crashes targets.
constexpr std::size_t kPoisonPeriod = 12;

// Targets that crash when they begin to answer a request with a part whose id
// begins with "bad"; counts the arrivals of such requests.
class PoisonedGroup
{
public:
  explicit PoisonedGroup(std::size_t aHosts)
    : group_(aHosts)
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      group_.AddTarget([this, i](FakeTarget& aTarget,
                                 const std::shared_ptr<gateway::Socket>& aOut) {
        OnRequest(i, aTarget, aOut);
      });
    }
  }

  // Sends a request every 10 ms, each to another host. aBadParts: number of
  // different parts that crash targets.
  void SendSteadily(absl::Duration aTime, std::size_t aBadParts)
  {
    const auto end = gateway::Now() + aTime;
    while (gateway::Now() < end) {
      const auto number = requests_++;
      const bool isBad = aBadParts > 0 && number % kPoisonPeriod == 0;
      const auto second =
        isBad ? absl::StrCat("bad", number / kPoisonPeriod % aBadParts)
              : absl::StrCat("good", number % 7);
      group_.Call(
        number * 5 % group_.Size(),
        absl::StrCat(
          "X-Prompt-Prefix: first:100,", second, ":50,own", number, ":10\r\n"));
      group_.RunFor(std::chrono::milliseconds(10));
    }
  }

  std::size_t ServedSince(std::size_t aAnswer) const
  {
    return static_cast<std::size_t>(std::count_if(
      group_.answers_.begin() + static_cast<std::ptrdiff_t>(aAnswer),
      group_.answers_.end(),
      [](const std::string& aText) {
        return absl::StartsWith(aText, "HTTP/1.1 200");
      }));
  }

  HostGroup group_;
  std::vector<absl::Time> badArrivals_;
  std::size_t requests_ = 0;

private:
  void OnRequest(std::size_t aIndex,
                 FakeTarget& aTarget,
                 const std::shared_ptr<gateway::Socket>& aOut)
  {
    const bool isBad = absl::StrContains(aTarget.received_, ",bad");
    aTarget.received_.clear();
    if (!isBad) {
      aOut->Send(WholeAnswer("x"));
      return;
    }
    badArrivals_.push_back(gateway::Now());
    aTarget.Crash();
    group_.RestartTarget(aIndex);
  }
};

} // namespace

// Guards against hosts that go on sending requests with a part under which
// targets crash, because each of them sees few of the crashes.
TEST_CASE("hosts stop sending a part that crashes targets")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 77, 300);
  PoisonedGroup poisoned(hosts);
  poisoned.SendSteadily(absl::Seconds(4), 1);
  REQUIRE(poisoned.badArrivals_.size() > 0);
  const auto limitFrom =
    poisoned
      .badArrivals_[std::min(kFreeCrashes, poisoned.badArrivals_.size()) - 1] +
    kContact;
  const auto answered = poisoned.group_.answers_.size();
  const auto sent = poisoned.requests_;
  poisoned.SendSteadily(absl::Seconds(3), 1);
  poisoned.group_.RunFor(std::chrono::milliseconds(300));
  const auto late =
    std::count_if(poisoned.badArrivals_.begin(),
                  poisoned.badArrivals_.end(),
                  [&](absl::Time aAt) { return aAt > limitFrom; });
  INFO(hosts << " hosts, " << poisoned.badArrivals_.size() << " arrivals");
  CHECK(static_cast<std::size_t>(late) <= kAllowedSends);
  // Sound requests share the first part and are all served.
  const auto sound =
    (poisoned.requests_ - sent) * (kPoisonPeriod - 1) / kPoisonPeriod;
  CHECK(poisoned.ServedSince(answered) + 10 >= sound);
}
