#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <catch2/catch.hpp>

#include "host-group.h"

// Tests requests that crash each target which begins to answer them.

using lycheeplank::test::FakeTarget;
using lycheeplank::test::HostGroup;
using lycheeplank::test::WholeAnswer;
using lycheeplank::test::World;
namespace gateway = lycheeplank::gateway;

namespace {

// Crashes after which the platform's rule applies, the time that hosts have
// from the last of them, and the requests that it allows from then on.
constexpr std::size_t kFreeCrashes = 5;
constexpr std::size_t kFreeCrashesOfRequest = 3;
constexpr absl::Duration kContact = absl::Seconds(3);
constexpr std::size_t kAllowedSends = 3;
constexpr std::size_t kTargets = 12;
// One request in so many crashes targets.
constexpr std::size_t kPoisonPeriod = 12;
// Body of a request that crashes targets whatever its parts are.
const std::string kDeadlyBody = "deadly";

// Field with the id of a request, and as World::Request writes it.
const std::string kIdField = "X-Request-Id: ";
const std::string kAnyId = kIdField + "r1";

std::string
RequestWith(std::size_t aId, const std::string& aParts)
{
  return absl::StrReplaceAll(
    World::Request("/again/x",
                   absl::StrCat("X-Prompt-Prefix: ", aParts, "\r\n")),
    { { kAnyId, absl::StrCat(kIdField, "id", aId) } });
}

// Returns an attempt of a caller at a request without parts.
std::string
AttemptWith(std::size_t aId, const std::string& aBody)
{
  return absl::StrReplaceAll(World::Request("/again/x", "", aBody),
                             { { kAnyId, absl::StrCat(kIdField, "id", aId) } });
}

// Targets that crash when they begin to answer a request with a part whose id
// begins with "bad", or with the deadly body; counts the arrivals of such
// requests.
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
      if (isBad && sendsDeadlyBody_) {
        group_.Call(number * 5 % group_.Size(),
                    AttemptWith(number, kDeadlyBody));
        group_.RunFor(std::chrono::milliseconds(10));
        continue;
      }
      const auto second =
        isBad ? absl::StrCat("bad", number / kPoisonPeriod % aBadParts)
              : absl::StrCat("good", number % 7);
      group_.Call(
        number * 5 % group_.Size(),
        RequestWith(
          number,
          absl::StrCat("first:100,", second, ":50,own", number, ":10")));
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

  // Returns the end of the time that hosts have after so many crashes, or after
  // the last one so far.
  absl::Time LimitFrom(std::size_t aFreeCrashes) const
  {
    return badArrivals_[std::min(aFreeCrashes, badArrivals_.size()) - 1] +
           kContact;
  }

  std::size_t ArrivalsAfter(absl::Time aTime) const
  {
    return static_cast<std::size_t>(std::count_if(
      badArrivals_.begin(), badArrivals_.end(), [&](absl::Time aAt) {
        return aAt > aTime;
      }));
  }

  HostGroup group_;
  // The bad requests are attempts at one request with the deadly body.
  bool sendsDeadlyBody_ = false;
  std::vector<absl::Time> badArrivals_;
  std::size_t requests_ = 0;

private:
  void OnRequest(std::size_t aIndex,
                 FakeTarget& aTarget,
                 const std::shared_ptr<gateway::Socket>& aOut)
  {
    const auto request = std::exchange(aTarget.received_, {});
    if (!absl::StrContains(request, ",bad") &&
        !absl::EndsWith(request, kDeadlyBody)) {
      const auto id = request.find(kIdField);
      aOut->Send(absl::StrReplaceAll(
        WholeAnswer("x"),
        { { kAnyId, request.substr(id, request.find('\r', id) - id) } }));
      return;
    }
    badArrivals_.push_back(gateway::Now());
    aTarget.Crash();
    group_.RestartTarget(aIndex);
  }
};

} // namespace

namespace {

// Sends bad requests before and after the time that hosts have, and checks that
// few of them arrive later and that sound requests are served.
void
CheckLateArrivals(PoisonedGroup& aPoisoned, std::size_t aFreeCrashes)
{
  aPoisoned.SendSteadily(absl::Seconds(4), 1);
  REQUIRE(aPoisoned.badArrivals_.size() > 0);
  const auto limitFrom = aPoisoned.LimitFrom(aFreeCrashes);
  const auto answered = aPoisoned.group_.answers_.size();
  const auto sent = aPoisoned.requests_;
  aPoisoned.SendSteadily(absl::Seconds(3), 1);
  aPoisoned.group_.RunFor(std::chrono::milliseconds(300));
  INFO(aPoisoned.group_.Size()
       << " hosts, " << aPoisoned.badArrivals_.size() << " arrivals");
  CHECK(aPoisoned.ArrivalsAfter(limitFrom) <= kAllowedSends);
  // Sound requests share the first part and are all served.
  const auto sound =
    (aPoisoned.requests_ - sent) * (kPoisonPeriod - 1) / kPoisonPeriod;
  CHECK(aPoisoned.ServedSince(answered) + 10 >= sound);
}

} // namespace

// Guards against hosts that go on sending requests with a part under which
// targets crash, because each of them sees few of the crashes.
TEST_CASE("hosts stop sending a part that crashes targets")
{
  PoisonedGroup poisoned(GENERATE(std::size_t{ 8 }, 77, 300));
  CheckLateArrivals(poisoned, kFreeCrashes);
}

// Guards against hosts that send a request which crashes targets without end,
// because its caller gives each attempt a new id.
TEST_CASE("hosts stop sending a request that crashes targets")
{
  PoisonedGroup poisoned(GENERATE(std::size_t{ 8 }, 77, 300));
  poisoned.sendsDeadlyBody_ = true;
  CheckLateArrivals(poisoned, kFreeCrashesOfRequest);
}

// Guards against a host that starts after a part was blocked and sends it to
// targets once more.
TEST_CASE("a starting host learns which parts are blocked")
{
  PoisonedGroup poisoned(8);
  poisoned.SendSteadily(absl::Seconds(2), 1);
  // Lost requests that wait for a verdict are sent again or withdrawn.
  poisoned.group_.RunFor(std::chrono::milliseconds(700));
  const auto before = poisoned.badArrivals_.size();
  auto& host = poisoned.group_.HostAt(3);
  host.poison_ = {};
  host.poison_.self_ = host.settings_.name_;
  poisoned.group_.RunFor(std::chrono::milliseconds(500));
  for (std::size_t i = 0; i < 5; ++i) {
    poisoned.group_.Call(3, RequestWith(90000 + i, "first:100,bad0:50,own:10"));
  }
  poisoned.group_.RunFor(std::chrono::milliseconds(200));
  CHECK(poisoned.badArrivals_.size() == before);
}

// Guards against blocks of parts that sound requests share when targets crash
// for other causes.
TEST_CASE("crashes of other causes block no part")
{
  PoisonedGroup poisoned(8);
  for (std::size_t i = 0; i < 30; ++i) {
    poisoned.SendSteadily(absl::Milliseconds(100), 0);
    poisoned.group_.targets_[i % kTargets]->Crash();
    poisoned.group_.RestartTarget(i % kTargets);
  }
  poisoned.group_.RunFor(std::chrono::milliseconds(500));
  for (std::size_t i = 0; i < poisoned.group_.Size(); ++i) {
    CHECK(poisoned.group_.HostAt(i).poison_.blocks_.empty());
  }
}

namespace {

// A host that knows a block of the parts "first" and "bad".
void
AddBlock(gateway::Host& aHost)
{
  lycheeplank::poison::Message message;
  message.sender_ = "other";
  message.blocks_.push_back(
    { { "/bad", "/first" }, 3, gateway::Now(), gateway::Now() });
  gateway::ReceiveBlockMessage(
    aHost, lycheeplank::poison::WriteMessage(message, gateway::Now()));
}

const std::string kBadParts = "X-Prompt-Prefix: first:9,bad:9,own:9\r\n";

} // namespace

TEST_CASE("a blocked request is refused and reaches no target")
{
  World world;
  auto& target = world.AddTarget(lycheeplank::test::Sends(WholeAnswer("x")));
  AddBlock(world.host_);
  const auto refusal = world.Ask(World::Request("/again/", kBadParts));
  CHECK(absl::StartsWith(refusal, "HTTP/1.1 503"));
  CHECK(absl::StrContains(refusal, "Retry-After: "));
  CHECK(target.requests_ == 0);
  const auto sound =
    World::Request("/again/", "X-Prompt-Prefix: first:9,good:9,bad:9\r\n");
  CHECK(absl::StartsWith(world.Ask(sound), "HTTP/1.1 200"));
}

// Guards against blame of sound requests with the same path, caller or body,
// and against a request that isn't recognized because its body comes in pieces.
TEST_CASE("only attempts at the same request are blocked")
{
  World world;
  auto& target = world.AddTarget(lycheeplank::test::Sends(WholeAnswer("x")));
  gateway::CallerRequest request;
  request.host_ = "h";
  lycheeplank::http::RequestHead head;
  head.method_ = "POST";
  head.target_ = "/again/a";
  lycheeplank::poison::Message message;
  message.sender_ = "other";
  message.blocks_.push_back(
    { { lycheeplank::poison::RequestTrait(
        gateway::FingerprintOf(request, head, kDeadlyBody, "")) },
      3,
      gateway::Now(),
      gateway::Now() });
  gateway::ReceiveBlockMessage(
    world.host_, lycheeplank::poison::WriteMessage(message, gateway::Now()));
  const auto ask = [&](const std::string& aPath,
                       const std::string& aFields,
                       const std::string& aBody) {
    return world.Ask(World::Request(aPath, aFields, aBody)).substr(0, 12);
  };
  CHECK(ask("/again/a", "", kDeadlyBody) == "HTTP/1.1 503");
  CHECK(ask("/again/a", "X-Deadline-Ms: 500\r\n", kDeadlyBody) ==
        "HTTP/1.1 503");
  const auto pieces =
    World::Request("/again/a", "Transfer-Encoding: chunked\r\n") +
    "2\r\nde\r\n4\r\nadly\r\n0\r\n\r\n";
  CHECK(world.Ask(absl::StrReplaceAll(pieces, { { "GET", "POST" } }))
          .substr(0, 12) == "HTTP/1.1 503");
  CHECK(target.requests_ == 0);
  CHECK(ask("/again/b", "", kDeadlyBody) == "HTTP/1.1 200");
  CHECK(ask("/again/a", "", "deadlier") == "HTTP/1.1 200");
  CHECK(ask("/again/a", "Authorization: Token k\r\n", kDeadlyBody) ==
        "HTTP/1.1 200");
  CHECK(ask("/again/a", "", "") == "HTTP/1.1 200");
}

// Guards against a second send of a request whose parts were blocked while it
// waited, and against a false statement that it hasn't run.
TEST_CASE("a block withdraws requests that wait at a target")
{
  World world;
  auto& target = world.AddTarget(
    [](FakeTarget&, const std::shared_ptr<gateway::Socket>&) {});
  auto& other = world.AddTarget(lycheeplank::test::Sends(WholeAnswer("x")));
  world.caller_ = world.Call(World::Request("/again/", kBadParts));
  REQUIRE(world.RunUntil([&] { return target.requests_ == 1; }));
  AddBlock(world.host_);
  REQUIRE(world.RunUntil([&] { return world.IsWhole(); }));
  CHECK(absl::StartsWith(world.answer_, "HTTP/1.1 502"));
  CHECK(world.RunUntil([&] { return target.closed_ == 1; }));
  CHECK(other.requests_ == 0);
  for (const auto& [id, member] : world.host_.members_) {
    CHECK(member.inFlight_ == 0);
  }
}

TEST_CASE("an answer with the parts of a block ends it")
{
  World world;
  world.AddTarget(lycheeplank::test::Sends(WholeAnswer("x")));
  AddBlock(world.host_);
  world.Ask(World::Request("/again/", "X-Prompt-Prefix: bad:9,own:9\r\n"));
  gateway::TickBlocks(world.host_);
  REQUIRE(world.host_.poison_.blocks_.size() == 1);
  CHECK(world.host_.poison_.blocks_.front().traits_ ==
        lycheeplank::poison::Traits{ "/first" });
  world.Ask(World::Request("/again/", "X-Prompt-Prefix: first:9,own:9\r\n"));
  CHECK(world.host_.poison_.blocks_.size() == 1);
}

// Guards against a stream that is resumed although its parts were blocked after
// it had begun.
TEST_CASE("a blocked stream isn't resumed at another target")
{
  World world;
  std::shared_ptr<gateway::Socket> out;
  auto& first = world.AddTarget(
    [&](FakeTarget&, const std::shared_ptr<gateway::Socket>& aOut) {
      out = aOut;
      aOut->Send(lycheeplank::test::Events("id: 1\ndata: a\n\n", false));
    });
  auto& second = world.AddTarget(lycheeplank::test::Sends(
    lycheeplank::test::Events("id: 2\ndata: b\n\n", true)));
  world.caller_ = world.Call(World::Request("/resume/", kBadParts));
  REQUIRE(world.RunUntil(
    [&] { return absl::StrContains(world.answer_, "data: a"); }));
  AddBlock(world.host_);
  first.Crash();
  CHECK(world.RunUntil([&] { return world.answerClosed_; }));
  CHECK(second.requests_ == 0);
  CHECK_FALSE(absl::StrContains(world.answer_, "\r\n0\r\n\r\n"));
}

// Guards against evidence from targets that stop as planned while requests wait
// there.
TEST_CASE("only the loss of a target that doesn't leave is evidence")
{
  const auto state = GENERATE(lycheeplank::fleet::TargetState::Ready,
                              lycheeplank::fleet::TargetState::Leaving);
  HostGroup group(8);
  for (std::size_t i = 0; i < kTargets; ++i) {
    group.AddTarget(
      [](FakeTarget&, const std::shared_ptr<gateway::Socket>&) {});
  }
  for (std::size_t i = 0; i < group.Size(); ++i) {
    group.Call(i, RequestWith(i, "first:100,second:50,own:10"));
  }
  group.RunFor(std::chrono::milliseconds(100));
  for (std::size_t i = 0; i < group.Size(); ++i) {
    for (auto& [id, member] : group.HostAt(i).members_) {
      member.target_.state_ = state;
    }
  }
  for (const auto& target : group.targets_) {
    target->Crash();
  }
  group.RunFor(std::chrono::milliseconds(400));
  for (std::size_t i = 0; i < group.Size(); ++i) {
    const bool hasEvidence = !group.HostAt(i).poison_.crashes_.empty();
    CHECK(hasEvidence == (state == lycheeplank::fleet::TargetState::Ready));
  }
}

// Guards against hosts that forget a part, or send it on, while some of them
// stop as planned.
TEST_CASE("hosts stop sending a part while some of them stop")
{
  PoisonedGroup poisoned(8);
  poisoned.SendSteadily(absl::Milliseconds(400), 1);
  for (std::size_t i = 0; i < 3; ++i) {
    auto& host = poisoned.group_.HostAt(i);
    host.stopping_ = true;
    host.stoppedAt_ = gateway::Now();
  }
  poisoned.SendSteadily(absl::Seconds(3), 1);
  const auto before = poisoned.badArrivals_.size();
  poisoned.SendSteadily(absl::Seconds(2), 1);
  CHECK(poisoned.badArrivals_.size() <= before + kAllowedSends);
}

// Guards against a second send of a lost request right before its parts are
// blocked.
TEST_CASE("a lost request waits until its suspected parts are judged")
{
  const auto isBlocked = GENERATE(false, true);
  World world;
  auto& first = world.AddTarget(
    [](FakeTarget& aTarget, const std::shared_ptr<gateway::Socket>&) {
      aTarget.Crash();
    });
  auto& second = world.AddTarget(
    [](FakeTarget& aTarget, const std::shared_ptr<gateway::Socket>&) {
      aTarget.Crash();
    });
  auto& state = world.host_.poison_;
  for (int i = 1; i <= 2; ++i) {
    lycheeplank::poison::RecordLoss(state,
                                    { "gone", i },
                                    static_cast<std::uint64_t>(i),
                                    { "/bad", "/first" },
                                    gateway::Now() -
                                      absl::Milliseconds(500 * i));
  }
  world.caller_ = world.Call(World::Request("/again/", kBadParts));
  const auto sends = [&] { return first.requests_ + second.requests_; };
  REQUIRE(world.RunUntil([&] { return sends() == 1; }));
  world.RunFor(std::chrono::milliseconds(300));
  CHECK(sends() == 1);
  if (isBlocked) {
    AddBlock(world.host_);
  }
  REQUIRE(world.RunUntil([&] { return world.IsWhole(); }));
  CHECK(sends() == (isBlocked ? 1 : 2));
  CHECK(absl::StartsWith(world.answer_, "HTTP/1.1 502"));
}

// Guards against a second run of a request whose wait for the evaluation of
// crashes ends when the request has already been sent from the memory queue.
TEST_CASE("a suspected request that waits for memory is sent once")
{
  World world;
  auto& route =
    world.AddRoute("/long/", lycheeplank::catalog::RepeatPolicy::Once, 1);
  route.timeout_ = absl::Seconds(4);
  route.maxGap_ = absl::Seconds(4);
  route.priority_ = 1;
  world.catalog_.services_["s"].memoryTokens_ = 100;
  world.Publish();
  std::vector<std::shared_ptr<gateway::Socket>> running;
  const auto run = [&](FakeTarget&,
                       const std::shared_ptr<gateway::Socket>& aSocket) {
    running.push_back(aSocket);
  };
  auto& first = world.AddTarget(run);
  auto& second = world.AddTarget(run);
  for (auto& [id, member] : world.host_.members_) {
    member.target_.weights_["m"] = 1;
  }
  const auto sends = [&] { return first.requests_ + second.requests_; };
  const auto ask = [](const std::string& aId) {
    return absl::StrReplaceAll(
      World::Request("/long/", "X-Model: m\r\nX-Token-Count: 60,0\r\n", "x"),
      { { kAnyId, kIdField + aId } });
  };
  const auto others = { world.Call(ask("r2")), world.Call(ask("r3")) };
  REQUIRE(world.RunUntil([&] { return sends() == 2; }));
  world.caller_ = world.Call(ask("r1"));
  REQUIRE(
    world.RunUntil([&] { return world.host_.waiting_.entries_.size() == 1; }));

  gateway::CallerRequest request;
  request.host_ = "h";
  request.model_ = "m";
  lycheeplank::http::RequestHead head;
  head.method_ = "POST";
  head.target_ = "/long/";
  const lycheeplank::poison::Traits traits{ lycheeplank::poison::RequestTrait(
    gateway::FingerprintOf(request, head, "x", "")) };
  lycheeplank::poison::RecordLoss(
    world.host_.poison_, { "gone", 1 }, 1, traits, gateway::Now());
  gateway::StartWaitingRequests(world.host_);
  const auto delay = gateway::SendDelay(world.host_, traits, false);
  REQUIRE(delay.time_ > absl::ZeroDuration());
  REQUIRE(sends() == 2);
  // The suspicion ends, and a target has memory for the request.
  lycheeplank::poison::RecordBegin(
    world.host_.poison_, traits, gateway::Now() + absl::Seconds(1));
  running.front()->Send(absl::StrReplaceAll(
    WholeAnswer("x"), { { kAnyId, kIdField + std::string("r2") } }));
  REQUIRE(world.RunUntil([&] {
    gateway::StartWaitingRequests(world.host_);
    return sends() == 3;
  }));
  world.RunFor(
    absl::ToChronoMilliseconds(delay.time_ + absl::Milliseconds(200)));
  CHECK(sends() == 3);
  running.back()->Send(WholeAnswer("done"));
  REQUIRE(
    world.RunUntil([&] { return absl::StrContains(world.answer_, "done"); }));
  CHECK(others.size() == 2);
}
