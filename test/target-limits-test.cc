#include "lycheeplank/target_limits.h"

#include <cstdlib>

#include <catch2/catch.hpp>

#include "limits-sim.h"

using lycheeplank::test::LimitsSim;
namespace limits = lycheeplank::target_limits;
namespace fleet = lycheeplank::fleet;

namespace {

// The platform's rule: window, and time that hosts have from the first naming.
constexpr absl::Duration kWindow = absl::Seconds(4);
constexpr absl::Duration kContact = absl::Seconds(3);

// Returns the largest number of requests in any window as a share of what the
// rule allows at that limit; 1 is the bound. Leaves out requests of hosts that
// were frozen or restarted.
double
MostUsed(LimitsSim& aSim,
         std::size_t aTarget,
         absl::Time aFrom,
         absl::Time aTo,
         double aPerSecond)
{
  const auto& all = aSim.TargetAt(aTarget).arrivals_;
  std::vector<absl::Time> counted;
  for (const auto& arrival : all) {
    if (arrival.at_ >= aFrom && arrival.at_ < aTo &&
        !aSim.IsDisturbed(arrival.host_, arrival.at_, kContact)) {
      counted.push_back(arrival.at_);
    }
  }
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < counted.size(); ++last) {
    while (counted[last] - counted[first] >= kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<double>(most) /
         (1.5 * aPerSecond * absl::ToDoubleSeconds(kWindow) + 5.0);
}

std::size_t
CountBetween(LimitsSim& aSim,
             std::size_t aTarget,
             absl::Time aFrom,
             absl::Time aTo)
{
  const auto& all = aSim.TargetAt(aTarget).arrivals_;
  return static_cast<std::size_t>(
    std::count_if(all.begin(), all.end(), [&](const auto& aArrival) {
      return aArrival.at_ >= aFrom && aArrival.at_ < aTo;
    }));
}

// Returns the number of seeds: three, or what LYCHEEPLANK_LIMIT_SEEDS says for
// long runs by hand.
int
SeedCount()
{
  const auto* text = std::getenv("LYCHEEPLANK_LIMIT_SEEDS");
  return text == nullptr ? 3 : std::atoi(text);
}

LimitsSim::Options
SizeOf(std::size_t aHosts)
{
  LimitsSim::Options options;
  options.hosts_ = aHosts;
  options.seed_ = aHosts;
  return options;
}

fleet::Member
MakeMember()
{
  fleet::Member member;
  member.target_.id_ = "t";
  member.target_.bornMs_ = 7;
  return member;
}

} // namespace

// Guards against a limit that each host keeps alone.
TEST_CASE("all hosts together keep a limit, and use most of it")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 77, 300);
  const auto perSecond = GENERATE(0.3, 1.7, 20.0);
  LimitsSim sim(SizeOf(hosts));
  const auto start = sim.Now();
  sim.TargetAt(0).perSecond_ = perSecond;
  const auto end = start + absl::Seconds(23);
  sim.RunUntil(end);
  INFO(hosts << " hosts, " << perSecond << " a second");
  const auto from = start + kContact;
  CHECK(MostUsed(sim, 0, from, end, perSecond) <= 1.0);
  CHECK(static_cast<double>(CountBetween(sim, 0, from, end)) >=
        0.7 * perSecond * absl::ToDoubleSeconds(end - from) - 1.0);
  CHECK(sim.Refused() > 0);
}

TEST_CASE("several limited targets, lost messages, freezes, restarts and hosts "
          "that leave")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 77, 300);
  const auto seed = GENERATE(range(1, SeedCount() + 1));
  auto options = SizeOf(hosts);
  options.seed_ = static_cast<std::uint64_t>(seed);
  options.targets_ = 3;
  options.lostShare_ = 0.1;
  LimitsSim sim(options);
  const auto start = sim.Now();
  for (std::size_t i = 0; i < 3; ++i) {
    sim.TargetAt(i).perSecond_ = 2.0;
  }
  // Each of these hits the host that issues the permits.
  sim.At(start + absl::Seconds(5),
         [&] { sim.Freeze(sim.Issuer(0), absl::Seconds(4)); });
  sim.At(start + absl::Seconds(8), [&] { sim.Restart(sim.Issuer(1)); });
  sim.At(start + absl::Seconds(11), [&] {
    const auto leaving = sim.Issuer(2);
    sim.SetLeaving(leaving, true);
    sim.At(sim.Now() + absl::Seconds(3),
           [&sim, leaving] { sim.SetLeaving(leaving, false); });
  });
  sim.At(start + absl::Seconds(16), [&] {
    for (std::size_t i = 0; i < hosts; i += 2) {
      sim.Restart(i);
    }
  });
  const auto end = start + absl::Seconds(24);
  sim.RunUntil(end);
  INFO(hosts << " hosts, seed " << seed);
  const auto from = start + kContact;
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(MostUsed(sim, i, from, end, 2.0) <= 1.0);
    CHECK(static_cast<double>(CountBetween(sim, i, from, end)) >=
          0.5 * 2.0 * absl::ToDoubleSeconds(end - from));
  }
}

TEST_CASE("a limit that changes is followed, and one that ends is lifted")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 77, 300);
  LimitsSim sim(SizeOf(hosts));
  const auto start = sim.Now();
  const auto at = [start](int aSeconds) {
    return start + absl::Seconds(aSeconds);
  };
  sim.TargetAt(0).perSecond_ = 8.0;
  sim.At(at(10), [&] { sim.TargetAt(0).perSecond_ = 2.0; });
  sim.At(at(20), [&] { sim.TargetAt(0).perSecond_ = absl::nullopt; });
  sim.RunUntil(at(30));
  INFO(hosts << " hosts");
  CHECK(MostUsed(sim, 0, at(3), at(10), 8.0) <= 1.0);
  CHECK(MostUsed(sim, 0, at(11), at(20), 2.0) <= 1.0);
  CHECK(CountBetween(sim, 0, at(11), at(20)) >= 12);
  // A hundred requests a second come from the callers.
  CHECK(CountBetween(sim, 0, at(25), at(30)) >= 300);
}

TEST_CASE("an answer without a limit ends it only if it was asked for later")
{
  limits::State state;
  auto member = MakeMember();
  const auto now = absl::FromUnixSeconds(100);
  CHECK(limits::Note(state, member, 2.0, now, now) == limits::Change::Named);
  CHECK(member.requestsPerSecond_ == 2.0);
  // Asked for before, or just after, the answer that named it.
  CHECK(limits::Note(state, member, absl::nullopt, now, now) ==
        limits::Change::None);
  CHECK(limits::Note(state,
                     member,
                     absl::nullopt,
                     now + limits::kEndMargin / 2,
                     now + absl::Seconds(1)) == limits::Change::None);
  CHECK(member.requestsPerSecond_ == 2.0);
  CHECK(limits::Note(state,
                     member,
                     absl::nullopt,
                     now + limits::kEndMargin,
                     now + absl::Seconds(1)) == limits::Change::Ended);
  CHECK_FALSE(member.requestsPerSecond_.has_value());
  // A late message with the old naming doesn't bring it back.
  CHECK(limits::Note(state, member, 2.0, now, now + absl::Seconds(2)) ==
        limits::Change::None);
}

TEST_CASE("a new start of a target has no limit")
{
  limits::State state;
  auto member = MakeMember();
  const auto now = absl::FromUnixSeconds(100);
  limits::Note(state, member, 2.0, now, now);
  member.target_.bornMs_ = 8;
  limits::Apply(state, member);
  CHECK_FALSE(member.requestsPerSecond_.has_value());
}

TEST_CASE("refused callers are told different times, each with a permit")
{
  limits::State state;
  state.self_ = "h";
  auto member = MakeMember();
  fleet::Members members{ { "t", member } };
  const auto now = absl::FromUnixSeconds(100);
  limits::Note(state, members.at("t"), 2.0, now, now);
  limits::Tick(state, {}, members, now);
  absl::Duration before = absl::ZeroDuration();
  for (int i = 0; i < 30; ++i) {
    const auto permit = limits::Issue(state, "t", true, now);
    CHECK(permit.verdict_ == limits::Verdict::Denied);
    CHECK(permit.nextPermit_ == absl::Milliseconds(500));
    CHECK(permit.retryAfter_ >=
          std::min(before + absl::Milliseconds(500), limits::kMaxRetryAfter));
    before = permit.retryAfter_;
  }
  CHECK(
    limits::Issue(state, "t", true, now + absl::Milliseconds(500)).verdict_ ==
    limits::Verdict::Granted);
}

TEST_CASE("a target that names a limit of 0 is still asked now and then")
{
  limits::State state;
  state.self_ = "h";
  fleet::Members members{ { "t", MakeMember() } };
  const auto now = absl::FromUnixSeconds(100);
  limits::Note(state, members.at("t"), 0.0, now, now);
  limits::Tick(state, {}, members, now);
  CHECK(limits::Issue(state, "t", false, now).verdict_ ==
        limits::Verdict::Denied);
  CHECK(limits::Issue(state, "t", false, now + absl::Seconds(10)).verdict_ ==
        limits::Verdict::Granted);
}

namespace {

constexpr double kWarmupPerSecond = 14.0;
constexpr absl::Duration kColdFor = absl::Seconds(10);
constexpr std::size_t kColdTargets = 20;

// Returns the largest number of requests that a target got in any second of a
// time.
std::size_t
MostInSecond(LimitsSim& aSim,
             std::size_t aTarget,
             absl::Time aFrom,
             absl::Time aTo)
{
  const auto& all = aSim.TargetAt(aTarget).arrivals_;
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < all.size(); ++last) {
    if (all[last].at_ < aFrom || all[last].at_ >= aTo) {
      first = last + 1;
      continue;
    }
    while (all[last].at_ - all[first].at_ >= absl::Seconds(1)) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

} // namespace

// Guards against a crash of the targets that return at once and that all hosts
// prefer because they are empty. The load: 1,000 requests a second at 60
// targets, of which a third crashes and returns after 3 s, cold for 10 s. In
// other variants datagrams are lost, and the issuers of two targets freeze.
TEST_CASE("all hosts together warm up the targets that return at once")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 78, 300);
  const auto isTroubled = GENERATE(false, true);
  const auto seed = GENERATE(range(1, std::max(2, SeedCount() - 1)));
  auto options = SizeOf(hosts);
  options.seed_ = static_cast<std::uint64_t>(seed);
  options.targets_ = 60;
  options.requestsPerSecond_ = 1000.0;
  options.prefersCold_ = true;
  options.lostShare_ = isTroubled ? 0.1 : 0.0;
  LimitsSim sim(options);
  const auto crash = sim.Now() + absl::Seconds(2);
  const auto back = crash + absl::Seconds(3);
  sim.At(crash, [&] {
    for (std::size_t i = 0; i < kColdTargets; ++i) {
      sim.Crash(i, kWarmupPerSecond, kColdFor);
    }
  });
  sim.At(back, [&] {
    for (std::size_t i = 0; i < kColdTargets; ++i) {
      sim.Return(i, kWarmupPerSecond, kColdFor);
    }
  });
  std::size_t asksAtReturn = 0;
  sim.At(back, [&] { asksAtReturn = sim.Asks(); });
  if (isTroubled) {
    for (const std::size_t target : { 0, 1 }) {
      sim.At(back + absl::Seconds(4), [&sim, target] {
        sim.Freeze(sim.Issuer(target), absl::Seconds(3));
      });
    }
  }
  const auto end = back + kColdFor;
  sim.RunUntil(end);
  INFO(hosts << " hosts, seed " << seed << (isTroubled ? ", troubled" : ""));
  double arrived = 0.0;
  for (std::size_t i = 0; i < kColdTargets; ++i) {
    INFO("target " << i);
    CHECK(static_cast<double>(MostInSecond(sim, i, back, end)) <=
          1.5 * kWarmupPerSecond + 5.0);
    arrived += static_cast<double>(CountBetween(sim, i, back, end));
  }
  const auto seconds = absl::ToDoubleSeconds(kColdFor);
  CHECK(arrived >=
        0.6 * kWarmupPerSecond * seconds * static_cast<double>(kColdTargets));
  // Guards against an end of the pauses between asks: all requests together
  // would ask 3,000 times a second.
  const auto asks = static_cast<double>(sim.Asks() - asksAtReturn);
  CHECK(asks <= 2.4 * options.requestsPerSecond_ * seconds);
}

TEST_CASE("a cold target's limit ends by itself, and the lower limit applies")
{
  limits::State state;
  state.self_ = "h";
  fleet::Members members{ { "t", MakeMember() } };
  auto& member = members.at("t");
  const auto now = absl::FromUnixSeconds(100);
  const auto until = now + absl::Seconds(10);
  CHECK(limits::NoteCold(state, member, 14.0, until, now));
  // Earlier evidence doesn't shorten the time.
  CHECK_FALSE(
    limits::NoteCold(state, member, 14.0, now + absl::Seconds(1), now));
  CHECK(member.requestsPerSecond_ == 14.0);
  CHECK(member.isCold_);
  limits::Note(state, member, 2.0, now, now);
  CHECK(member.requestsPerSecond_ == 2.0);
  CHECK_FALSE(member.isCold_);
  limits::Note(state, member, 20.0, now, now);
  CHECK(member.requestsPerSecond_ == 14.0);
  // A new start is cold as well: the evidence may be of it.
  member.target_.bornMs_ = 8;
  limits::Apply(state, member);
  CHECK(member.requestsPerSecond_ == 14.0);
  limits::Note(state, member, 20.0, now, now);
  limits::Tick(state, {}, members, until - absl::Milliseconds(1));
  CHECK(member.requestsPerSecond_ == 14.0);
  limits::Tick(state, {}, members, until);
  CHECK(member.requestsPerSecond_ == 20.0);
  limits::Note(state, member, absl::nullopt, until, until);
  CHECK_FALSE(member.requestsPerSecond_.has_value());
}

// Guards against an issuer that doesn't know yet that a target is cold and lets
// all hosts send, and against one that stops them when it knows better.
TEST_CASE("an issuer that takes a target for warm answers by the newer entry")
{
  const auto now = absl::FromUnixSeconds(100);
  limits::State asker;
  fleet::Members theirs{ { "t", MakeMember() } };
  theirs.at("t").position_ = { 0, 5 };
  limits::NoteCold(asker, theirs.at("t"), 14.0, now + absl::Seconds(9), now);
  limits::Message message;
  message.kind_ = limits::MessageKind::Ask;
  message.limits_ = { limits::AskOf(asker, theirs.at("t"), now) };
  const auto read = limits::ReadMessage(limits::WriteMessage(message));
  REQUIRE(read);
  REQUIRE(read->limits_.size() == 1);
  const auto& ask = read->limits_.front();
  CHECK(ask.isCold_);

  limits::State issuer;
  fleet::Members members{ { "t", MakeMember() } };
  auto& member = members.at("t");
  const auto verdict = [&] {
    return limits::IssueFor(issuer, members, ask, false, now).verdict_;
  };
  member.position_ = { 0, 4 };
  CHECK(verdict() == limits::Verdict::NoIssuer);
  member.position_ = { 0, 5 };
  CHECK(verdict() == limits::Verdict::Unlimited);
  member.target_.bornMs_ = 6;
  CHECK(verdict() == limits::Verdict::NoIssuer);
  // The ask doesn't end a limit that the target has named.
  member.target_.bornMs_ = 7;
  limits::Note(issuer, member, 2.0, now, now);
  CHECK(limits::Note(issuer,
                     member,
                     ask.perSecond_,
                     now + absl::Seconds(5) - ask.age_,
                     now + absl::Seconds(5)) == limits::Change::None);
}

TEST_CASE("messages are read back as they were written, and others ignored")
{
  limits::Message message;
  message.kind_ = limits::MessageKind::Reply;
  message.sender_ = "h1";
  message.dataCentre_ = "a";
  message.ask_ = 0xfedcba9876543210U;
  message.isLastChoice_ = true;
  message.permit_ = { limits::Verdict::Denied,
                      absl::Milliseconds(40),
                      absl::Milliseconds(70) };
  message.limits_ = { { "t1", 7, 1.7, absl::Milliseconds(30) },
                      { "t2", 8, absl::nullopt, absl::Seconds(2) } };
  const auto text = limits::WriteMessage(message);
  const auto read = limits::ReadMessage(text);
  REQUIRE(read);
  CHECK(read->kind_ == message.kind_);
  CHECK(read->sender_ == "h1");
  CHECK(read->dataCentre_ == "a");
  CHECK(read->ask_ == message.ask_);
  CHECK(read->isLastChoice_);
  CHECK(read->permit_.verdict_ == limits::Verdict::Denied);
  CHECK(read->permit_.retryAfter_ == absl::Milliseconds(70));
  REQUIRE(read->limits_.size() == 2);
  CHECK(read->limits_[0].perSecond_ == 1.7);
  CHECK(read->limits_[0].startedAtMs_ == 7);
  CHECK_FALSE(read->limits_[1].perSecond_.has_value());
  CHECK(read->limits_[1].age_ == absl::Seconds(2));
  for (std::size_t size = 0; size < text.size(); ++size) {
    CHECK_FALSE(limits::ReadMessage(text.substr(0, size)));
  }
}
