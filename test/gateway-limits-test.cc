#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include "host-group.h"

// Tests the limits on requests per second that targets name for all hosts
// together.

using lycheeplank::test::FakeTarget;
using lycheeplank::test::HostGroup;
using lycheeplank::test::WholeAnswer;
namespace gateway = lycheeplank::gateway;

namespace {

using Arrivals = std::vector<absl::Time>;

// Window of the platform's rule on limits.
constexpr absl::Duration kWindow = absl::Seconds(4);

// Returns the largest number of arrivals in any window that begins at aSince or
// later.
std::size_t
MostInWindow(const Arrivals& aArrivals, absl::Time aSince)
{
  std::size_t most = 0;
  for (auto first = aArrivals.begin(); first != aArrivals.end(); ++first) {
    const auto last =
      std::find_if(first, aArrivals.end(), [&](absl::Time aTime) {
        return aTime - *first >= kWindow;
      });
    if (*first >= aSince) {
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
  }
  return most;
}

std::size_t
Allowed(double aPerSecond)
{
  return static_cast<std::size_t>(
    1.5 * aPerSecond * absl::ToDoubleSeconds(kWindow) + 5.0);
}

// Returns an answer function that notes the arrival and names a limit.
FakeTarget::Answer
NamesLimit(Arrivals& aArrivals, double aPerSecond)
{
  return [&aArrivals, aPerSecond](
           FakeTarget&, const std::shared_ptr<gateway::Socket>& aSocket) {
    aArrivals.push_back(gateway::Now());
    aSocket->Send(WholeAnswer(
      "x", "200 OK", absl::StrCat("Server-Limit: ", aPerSecond, "\r\n")));
  };
}

// Sends a request to every host at once, and then one to another host every 10
// ms.
void
SendSteadily(HostGroup& aGroup, absl::Duration aTime)
{
  for (std::size_t i = 0; i < aGroup.Size(); ++i) {
    aGroup.Call(i);
  }
  const auto end = gateway::Now() + aTime;
  for (std::size_t i = 0; gateway::Now() < end; ++i) {
    aGroup.Call(i % aGroup.Size());
    aGroup.RunFor(std::chrono::milliseconds(10));
  }
}

} // namespace

// Guards against hosts that send a target more requests in total than the limit
// it has named.
TEST_CASE("hosts keep a target's limit in total")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 77, 300);
  constexpr double kPerSecond = 2.0;
  HostGroup group(hosts);
  Arrivals arrivals;
  group.AddTarget(NamesLimit(arrivals, kPerSecond));
  group.Call(0);
  group.RunFor(std::chrono::milliseconds(1500));
  const auto told = gateway::Now();
  REQUIRE(group.answers_.size() == 1);
  SendSteadily(group, absl::Seconds(5));
  group.RunFor(std::chrono::milliseconds(500));
  INFO(hosts << " hosts");
  CHECK(MostInWindow(arrivals, told) <= Allowed(kPerSecond));
  CHECK(arrivals.size() > 1);
  std::size_t refused = 0;
  for (const auto& answer : group.answers_) {
    const bool isRefusal = absl::StartsWith(answer, "HTTP/1.1 503") &&
                           absl::StrContains(answer, "Retry-After: ");
    refused += isRefusal ? 1 : 0;
    CHECK((isRefusal || absl::StartsWith(answer, "HTTP/1.1 200")));
  }
  CHECK(refused + arrivals.size() == group.answers_.size());
}
