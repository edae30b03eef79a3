#include "lycheeplank/claims.h"

#include <random>

#include <absl/types/optional.h>
#include <catch2/catch.hpp>

#include "claims-fakes.h"
#include "claims/index.h"
#include "claims/records.h"
#include "claims/shard.h"

namespace claims = lycheeplank::claims;
namespace platform = lycheeplank::platform;
using claims::test::FakePlatform;
using claims::test::TimedKey;

namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(5);

// One host whose platform commands are queued until the test executes them.
struct TestHost
{
  explicit TestHost(FakePlatform& aPlatform,
                    const std::string& aInstance = "i1")
    : platform_(aPlatform)
  {
    state_.settings_.instance_ = aInstance;
    state_.settings_.shards_ = 1;
  }

  void HandleEvent(const claims::Event& aEvent)
  {
    for (const auto& effect : claims::Step(state_, aEvent)) {
      HandleEffect(effect);
    }
  }

  void HandleEffect(const claims::Effect& aEffect)
  {
    if (const auto* const answer =
          std::get_if<claims::ClaimResponse>(&aEffect)) {
      responses_[answer->ticket_] = *answer;
    } else if (const auto* const response =
                 std::get_if<claims::ReportResponse>(&aEffect)) {
      recorded_[response->ticket_] = response->durable_;
    } else if (const auto* const count = std::get_if<claims::Count>(&aEffect)) {
      ++counts_[count->counter_];
    } else {
      commands_.push_back(std::get<platform::Command>(aEffect));
    }
  }

  // Executes the oldest command.
  void ExecuteCommand()
  {
    const auto command = commands_.front();
    commands_.erase(commands_.begin());
    HandleEvent(claims::PlatformReplied{ platform_.Apply(command), now_ });
  }

  // Loses the reply to the oldest command, which takes effect if aHasEffect is
  // set.
  void LoseReply(bool aHasEffect)
  {
    const auto command = commands_.front();
    commands_.erase(commands_.begin());
    if (aHasEffect) {
      platform_.Apply(command);
    }
    platform::Reply reply;
    reply.id_ = command.id_;
    reply.outcome_ = platform::Outcome::Lost;
    HandleEvent(claims::PlatformReplied{ reply, now_ });
  }

  void ExecuteAllCommands()
  {
    while (!commands_.empty()) {
      ExecuteCommand();
    }
  }

  // Advances the time with a working platform.
  void RunFor(absl::Duration aDuration)
  {
    for (const auto end = now_ + aDuration; now_ < end; now_ += kTickInterval) {
      HandleEvent(claims::Tick{ now_ });
      ExecuteAllCommands();
    }
  }

  std::uint64_t RequestClaim(const std::string& aKey,
                             const std::string& aAttempt,
                             const std::string& aDigest = "d")
  {
    HandleEvent(claims::ClaimRequest{
      ++ticket_, "w", aKey, aAttempt, "h", aDigest, now_ });
    return ticket_;
  }

  claims::Verdict RequestClaimAndWait(const std::string& aKey,
                                      const std::string& aAttempt,
                                      const std::string& aDigest = "d")
  {
    const auto ticket = RequestClaim(aKey, aAttempt, aDigest);
    RunFor(absl::Milliseconds(200));
    return responses_.at(ticket).verdict_;
  }

  std::uint64_t ReportOutcome(const std::string& aKey,
                              const std::string& aAttempt,
                              claims::AttemptOutcome aOutcome,
                              const claims::StoredAnswer& aAnswer = {})
  {
    HandleEvent(claims::OutcomeReport{
      ++ticket_, "w", aKey, aAttempt, aOutcome, aAnswer, now_ });
    return ticket_;
  }

  bool ReportOutcomeAndWait(const std::string& aKey,
                            const std::string& aAttempt,
                            claims::AttemptOutcome aOutcome,
                            const claims::StoredAnswer& aAnswer = {})
  {
    const auto ticket = ReportOutcome(aKey, aAttempt, aOutcome, aAnswer);
    RunFor(state_.settings_.outcomeDelay_ + absl::Milliseconds(300));
    return recorded_.at(ticket);
  }

  FakePlatform& platform_;
  claims::State state_;
  absl::Time now_ = absl::FromUnixSeconds(1800000000);
  std::uint64_t ticket_ = 0;
  std::vector<platform::Command> commands_;
  std::map<std::uint64_t, claims::ClaimResponse> responses_;
  std::map<std::uint64_t, bool> recorded_;
  std::map<claims::Counter, int> counts_;
};

using claims::AttemptOutcome;
using claims::Verdict;

const claims::StoredAnswer kAnswer{ 200, "application/json", "{\"serial\":1}" };

} // namespace

TEST_CASE("a claim is granted once and repeats get its state and answer")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  CHECK(host.RequestClaimAndWait("k", "a2") == Verdict::InProgress);
  host.RunFor(absl::Seconds(6));
  CHECK(host.RequestClaimAndWait("k", "a3") == Verdict::Unknown);
  CHECK(host.ReportOutcomeAndWait("k", "a1", AttemptOutcome::Done, kAnswer));
  const auto ticket = host.RequestClaim("k", "a4");
  CHECK(host.responses_.at(ticket).verdict_ == Verdict::Done);
  CHECK(host.responses_.at(ticket).answer_ == kAnswer);
}

TEST_CASE("a heartbeat of the holder keeps a claim in progress")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  host.RunFor(absl::Seconds(4));
  host.HandleEvent(claims::Heartbeat{ "w", "k", "a1", host.now_ });
  host.RunFor(absl::Seconds(4));
  CHECK(host.RequestClaimAndWait("k", "a2") == Verdict::InProgress);
  host.RunFor(absl::Seconds(2));
  CHECK(host.RequestClaimAndWait("k", "a3") == Verdict::Unknown);
}

TEST_CASE(
  "a key reused for another request is a mismatch, in another workspace not")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1", "d1") == Verdict::Granted);
  CHECK(host.RequestClaimAndWait("k", "a2", "d2") == Verdict::Mismatch);
  host.HandleEvent(
    claims::ClaimRequest{ 900, "other", "k", "a3", "h", "d2", host.now_ });
  host.RunFor(absl::Milliseconds(200));
  CHECK(host.responses_.at(900).verdict_ == Verdict::Granted);
}

TEST_CASE("a withdrawal frees the key, and its attempt is never granted")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  CHECK(host.ReportOutcomeAndWait("k", "a1", AttemptOutcome::Withdrawn));
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Unavailable);
  CHECK(host.RequestClaimAndWait("k", "a2") == Verdict::Granted);
}

TEST_CASE("a claim request that arrives again after its refusal claims nothing")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  CHECK(host.RequestClaimAndWait("k", "a2") == Verdict::InProgress);
  CHECK(host.ReportOutcomeAndWait("k", "a1", AttemptOutcome::Withdrawn));
  CHECK(host.RequestClaimAndWait("k", "a2") == Verdict::Unavailable);
  CHECK(host.RequestClaimAndWait("k", "a3") == Verdict::Granted);
}

TEST_CASE("the usage counts pending requests and outcomes")
{
  FakePlatform store;
  TestHost host(store);
  host.RequestClaim("k", "a1");
  CHECK(claims::UsageOf(host.state_).pendingRequests_ == 1);
  host.RunFor(absl::Milliseconds(200));
  CHECK(claims::UsageOf(host.state_).pendingRequests_ == 0);
  host.ReportOutcome("k", "a1", AttemptOutcome::Done, kAnswer);
  CHECK(claims::UsageOf(host.state_).unrecorded_ == 1);
  host.RunFor(absl::Seconds(1));
  CHECK(claims::UsageOf(host.state_).unrecorded_ == 0);
}

TEST_CASE("a repeat waits for an outcome that is being written")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  host.ReportOutcome("k", "a1", AttemptOutcome::Done, kAnswer);
  const auto repeat = host.RequestClaim("k", "a2");
  CHECK(host.responses_.count(repeat) == 0);
  host.RunFor(host.state_.settings_.outcomeDelay_ / 2);
  REQUIRE(host.responses_.count(repeat) == 1);
  CHECK(host.responses_.at(repeat).verdict_ == Verdict::Done);
}

TEST_CASE(
  "a withdrawal that arrives before its claim request voids the attempt")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.ReportOutcomeAndWait("k", "a1", AttemptOutcome::Withdrawn));
  TestHost other(store, "i2");
  CHECK(other.RequestClaimAndWait("k", "a1") == Verdict::Unavailable);
  CHECK(other.RequestClaimAndWait("k", "a2") == Verdict::Granted);
}

TEST_CASE("a key with an unknown outcome is not granted again")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  CHECK(host.ReportOutcomeAndWait("k", "a1", AttemptOutcome::Unknown));
  CHECK(host.RequestClaimAndWait("k", "a2") == Verdict::Unknown);
  CHECK_FALSE(host.ReportOutcomeAndWait("k", "a1", AttemptOutcome::Withdrawn));
  CHECK(host.counts_[claims::Counter::Contradiction] == 1);
  CHECK(host.RequestClaimAndWait("k", "a3") == Verdict::Unknown);
}

TEST_CASE("a late answer replaces an unknown outcome")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  CHECK(host.ReportOutcomeAndWait("k", "a1", AttemptOutcome::Unknown));
  CHECK(host.ReportOutcomeAndWait("k", "a1", AttemptOutcome::Done, kAnswer));
  CHECK(host.RequestClaimAndWait("k", "a2") == Verdict::Done);
}

TEST_CASE("an outcome of an attempt that holds no claim is dropped")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  CHECK_FALSE(
    host.ReportOutcomeAndWait("k", "a9", AttemptOutcome::Done, kAnswer));
  CHECK(host.counts_[claims::Counter::Contradiction] == 1);
}

TEST_CASE("two hosts that write concurrently grant one attempt")
{
  FakePlatform store;
  TestHost first(store, "i1");
  TestHost second(store, "i2");
  first.RequestClaimAndWait("warm", "w1");
  second.RequestClaimAndWait("warm", "w2");
  const auto one = first.RequestClaim("k", "a1");
  const auto two = second.RequestClaim("k", "a2");
  REQUIRE(first.commands_.size() == 1);
  REQUIRE(second.commands_.size() == 1);
  second.ExecuteCommand();
  first.ExecuteCommand();
  first.RunFor(absl::Milliseconds(200));
  second.RunFor(absl::Milliseconds(200));
  CHECK(second.responses_.at(two).verdict_ == Verdict::Granted);
  CHECK(first.responses_.at(one).verdict_ == Verdict::InProgress);
  CHECK(first.counts_[claims::Counter::Conflict] == 1);
}

TEST_CASE(
  "a host that did not grant a claim waits for heartbeats before unknown")
{
  FakePlatform store;
  TestHost granter(store, "i1");
  CHECK(granter.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  TestHost repeater(store, "i2");
  CHECK(repeater.RequestClaimAndWait("k", "a2") == Verdict::InProgress);
  repeater.RunFor(absl::Seconds(4));
  repeater.HandleEvent(claims::Heartbeat{ "w", "k", "a1", repeater.now_ });
  repeater.RunFor(absl::Seconds(4));
  CHECK(repeater.RequestClaimAndWait("k", "a3") == Verdict::InProgress);
  repeater.RunFor(absl::Seconds(2));
  CHECK(repeater.RequestClaimAndWait("k", "a4") == Verdict::Unknown);
}

TEST_CASE("a host that waits for heartbeats reads outcomes of other hosts")
{
  FakePlatform store;
  TestHost granter(store, "i1");
  CHECK(granter.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  TestHost repeater(store, "i2");
  CHECK(repeater.RequestClaimAndWait("k", "a2") == Verdict::InProgress);
  CHECK(granter.ReportOutcomeAndWait("k", "a1", AttemptOutcome::Done, kAnswer));
  CHECK(repeater.RequestClaimAndWait("k", "a3") == Verdict::Done);
}

TEST_CASE("a claim after a withdrawn one gets a new heartbeat wait")
{
  FakePlatform store;
  TestHost granter(store, "i1");
  CHECK(granter.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  TestHost repeater(store, "i2");
  CHECK(repeater.RequestClaimAndWait("k", "a2") == Verdict::InProgress);
  repeater.RunFor(absl::Seconds(6));
  CHECK(granter.ReportOutcomeAndWait("k", "a1", AttemptOutcome::Withdrawn));
  CHECK(granter.RequestClaimAndWait("k", "a3") == Verdict::Granted);
  CHECK(repeater.RequestClaimAndWait("k", "a4") == Verdict::InProgress);
}

TEST_CASE("an outcome is recorded while the clock does not advance")
{
  FakePlatform store;
  TestHost first(store, "i1");
  TestHost second(store, "i2");
  // The second host reads the register before the claim is written.
  second.RequestClaim("warm", "w1");
  second.ExecuteAllCommands();
  CHECK(first.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  const auto ticket =
    second.ReportOutcome("k", "a1", AttemptOutcome::Done, kAnswer);
  second.ExecuteAllCommands();
  second.RunFor(absl::Seconds(1));
  CHECK(second.recorded_.at(ticket));
  CHECK(second.counts_[claims::Counter::Contradiction] == 0);
}

TEST_CASE("a lost reply to a write that took effect is resolved by a read")
{
  FakePlatform store;
  TestHost host(store);
  host.RequestClaimAndWait("warm", "w1");
  const auto ticket = host.RequestClaim("k", "a1");
  REQUIRE(host.commands_.size() == 1);
  host.LoseReply(true);
  const auto writes = store.writes_;
  host.RunFor(absl::Milliseconds(300));
  CHECK(host.responses_.at(ticket).verdict_ == Verdict::Granted);
  CHECK(store.writes_ == writes);
}

TEST_CASE("a lost write that did not take effect is repeated")
{
  FakePlatform store;
  TestHost host(store);
  host.RequestClaimAndWait("warm", "w1");
  const auto ticket = host.RequestClaim("k", "a1");
  host.LoseReply(false);
  host.RunFor(absl::Milliseconds(300));
  CHECK(host.responses_.at(ticket).verdict_ == Verdict::Granted);
}

TEST_CASE("a claim that was refused while its write was lost is withdrawn")
{
  FakePlatform store;
  TestHost host(store);
  host.RequestClaimAndWait("warm", "w1");
  const auto ticket = host.RequestClaim("k", "a1");
  const auto lost = host.commands_.front();
  host.LoseReply(false);
  for (int i = 0; i < 300; ++i) {
    host.now_ += kTickInterval;
    host.HandleEvent(claims::Tick{ host.now_ });
    while (!host.commands_.empty()) {
      host.LoseReply(false);
    }
  }
  CHECK(host.responses_.at(ticket).verdict_ == Verdict::Unavailable);
  CHECK(host.counts_[claims::Counter::BackgroundWithdrawal] == 1);
  // The lost write reaches the platform late.
  store.Apply(lost);
  host.RunFor(absl::Seconds(5));
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Unavailable);
  CHECK(host.RequestClaimAndWait("k", "a2") == Verdict::Granted);
}

TEST_CASE(
  "claim requests are refused immediately while the platform keeps failing")
{
  FakePlatform store;
  TestHost host(store);
  host.RequestClaimAndWait("warm", "w1");
  const auto first = host.RequestClaim("k", "a1");
  for (int i = 0; i < 300; ++i) {
    host.now_ += kTickInterval;
    host.HandleEvent(claims::Tick{ host.now_ });
    while (!host.commands_.empty()) {
      host.LoseReply(false);
    }
  }
  CHECK(host.responses_.at(first).verdict_ == Verdict::Unavailable);
  const auto second = host.RequestClaim("k2", "b1");
  REQUIRE(host.responses_.count(second) == 1);
  CHECK(host.responses_.at(second).verdict_ == Verdict::Unavailable);
  CHECK(host.responses_.at(second).retryAfter_ > absl::ZeroDuration());
  host.RunFor(absl::Seconds(3));
  CHECK(host.RequestClaimAndWait("k2", "b2") == Verdict::Granted);
}

TEST_CASE("repeats are answered from memory while the platform is down")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  CHECK(host.ReportOutcomeAndWait("k", "a1", AttemptOutcome::Done, kAnswer));
  host.RequestClaim("k2", "b1");
  for (int i = 0; i < 300; ++i) {
    host.now_ += kTickInterval;
    host.HandleEvent(claims::Tick{ host.now_ });
    while (!host.commands_.empty()) {
      host.LoseReply(false);
    }
  }
  const auto repeat = host.RequestClaim("k", "a2");
  REQUIRE(host.responses_.count(repeat) == 1);
  CHECK(host.responses_.at(repeat).verdict_ == Verdict::Done);
  CHECK(host.responses_.at(repeat).answer_ == kAnswer);
}

TEST_CASE("lost writes are retried with backoff")
{
  FakePlatform store;
  TestHost host(store);
  host.RequestClaimAndWait("warm", "w1");
  int writes = 0;
  for (int i = 0; i < 6000; ++i) {
    host.now_ += kTickInterval;
    host.RequestClaim(absl::StrCat("k", i), absl::StrCat("a", i));
    host.HandleEvent(claims::Tick{ host.now_ });
    while (!host.commands_.empty()) {
      if (host.commands_.front().operation_ == platform::Operation::Write) {
        ++writes;
        host.LoseReply(false);
      } else {
        host.ExecuteCommand();
      }
    }
  }
  // After the first few writes, about one every two seconds for 30 seconds.
  CHECK(writes < 45);
  CHECK(host.responses_.size() > 5500);
  host.RunFor(absl::Seconds(3));
  CHECK(host.RequestClaimAndWait("k", "a") == Verdict::Granted);
}

TEST_CASE("claims are granted and recorded after the clock is set back")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  host.now_ -= absl::Hours(3);
  CHECK(host.RequestClaimAndWait("k2", "a2") == Verdict::Granted);
  CHECK(host.ReportOutcomeAndWait("k2", "a2", AttemptOutcome::Done, kAnswer));
  host.now_ += absl::Hours(3);
  CHECK(host.RequestClaimAndWait("k2", "a3") == Verdict::Done);
}

TEST_CASE(
  "requests that arrive before the number of shards is known are answered")
{
  FakePlatform store;
  TestHost host(store);
  const auto ticket = host.RequestClaim("k", "a1");
  const auto report = host.ReportOutcome("k", "a1", AttemptOutcome::Withdrawn);
  for (int i = 0; i < 300; ++i) {
    host.now_ += kTickInterval;
    host.HandleEvent(claims::Tick{ host.now_ });
    while (!host.commands_.empty()) {
      host.LoseReply(false);
    }
  }
  CHECK(host.responses_.at(ticket).verdict_ == Verdict::Unavailable);
  CHECK_FALSE(host.recorded_.at(report));
  host.RunFor(absl::Seconds(3));
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Unavailable);
  CHECK(host.RequestClaimAndWait("k", "a2") == Verdict::Granted);
}

TEST_CASE("a timed key older than the retention is refused")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait(TimedKey(host.now_ - absl::Hours(25), 1),
                                 "a1") == Verdict::Expired);
  CHECK(host.RequestClaimAndWait(TimedKey(host.now_ - absl::Hours(23), 2),
                                 "a2") == Verdict::Granted);
}

TEST_CASE("only UUIDv7 keys have a timestamp")
{
  const absl::Time time = absl::FromUnixMillis(1800000000123);
  CHECK(claims::KeyTime(TimedKey(time, 7)) == time);
  CHECK(!claims::KeyTime("order-17"));
  CHECK(!claims::KeyTime("01890a5d-ac96-4000-8000-000000000000"));
  CHECK(!claims::KeyTime("01890a5d-ac96-7000-c000-000000000000"));
  CHECK(!claims::KeyTime("01890a5d_ac96-7000-8000-000000000000"));
}

TEST_CASE("claims survive restarts, seals and merges")
{
  FakePlatform store;
  TestHost host(store);
  host.state_.settings_.maxOpenBytes_ = 500;
  host.state_.settings_.mergeCount_ = 3;
  host.state_.settings_.maxInlineAnswerBytes_ = 100;
  const claims::StoredAnswer large{ 201, "text/plain", std::string(5000, 'x') };
  for (int i = 0; i < 60; ++i) {
    const auto key = absl::StrCat("k", i);
    CHECK(host.RequestClaimAndWait(key, absl::StrCat("a", i)) ==
          Verdict::Granted);
    CHECK(host.ReportOutcomeAndWait(key,
                                    absl::StrCat("a", i),
                                    AttemptOutcome::Done,
                                    i % 10 == 0 ? large : kAnswer));
  }
  CHECK(host.counts_[claims::Counter::SegmentWritten] > 10);
  TestHost next(store, "i2");
  for (int i = 0; i < 60; ++i) {
    CHECK(next.RequestClaimAndWait(absl::StrCat("k", i), "b") == Verdict::Done);
    CHECK(next.responses_.at(next.ticket_).answer_ ==
          (i % 10 == 0 ? large : kAnswer));
  }
}

TEST_CASE("segments older than the retention are dropped and deleted")
{
  FakePlatform store;
  TestHost host(store);
  host.state_.settings_.maxOpenBytes_ = 500;
  for (int i = 0; i < 20; ++i) {
    host.RequestClaimAndWait(TimedKey(host.now_, static_cast<std::uint64_t>(i)),
                             absl::StrCat("a", i));
  }
  const auto claims = claims::UsageOf(host.state_).claims_;
  host.now_ += absl::Hours(25);
  host.RequestClaimAndWait("new", "b");
  host.RunFor(absl::Seconds(1));
  CHECK(claims == 20);
  CHECK(claims::UsageOf(host.state_).claims_ < 10);
  for (const auto& [key, value] : store.values_) {
    INFO(key);
    CHECK((!absl::StrContains(key, "/objects/") ||
           host.state_.loadedShards_.at(0)->tail_.segments_.size() > 0));
  }
}

TEST_CASE("a segment that was written but never referenced is swept")
{
  FakePlatform store;
  TestHost host(store);
  host.RequestClaimAndWait("k", "a1");
  store.values_["claims/0/objects/segment-1-dead-1"] = { 1000000, "rest" };
  host.state_.loadedShards_.at(0)->sweep_.nextAt_ = host.now_;
  host.RunFor(absl::Seconds(1));
  CHECK(store.values_.count("claims/0/objects/segment-1-dead-1") == 0);
}

TEST_CASE("the stored number of shards overrides the configured one")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  TestHost other(store, "i2");
  other.state_.settings_.shards_ = 16;
  CHECK(other.RequestClaimAndWait("k", "a2") == Verdict::InProgress);
  CHECK(other.state_.shards_ == 1);
  CHECK(other.counts_[claims::Counter::LayoutDiffers] == 1);
}

TEST_CASE("a register that lost records is not adopted")
{
  FakePlatform store;
  TestHost host(store);
  host.RequestClaimAndWait("k", "a1");
  const auto oldRegister = store.values_.at("claims/0/tail").value_;
  host.RequestClaimAndWait("k2", "a2");
  store.values_["claims/0/tail"] = { 1000000, oldRegister };
  CHECK(host.RequestClaimAndWait("k3", "a3") == Verdict::Unavailable);
  CHECK(host.counts_[claims::Counter::Corrupt] > 0);
}

TEST_CASE("an idle shard is evicted from memory and loaded again")
{
  FakePlatform store;
  TestHost host(store);
  CHECK(host.RequestClaimAndWait("k", "a1") == Verdict::Granted);
  host.state_.settings_.idleTimeout_ = absl::Seconds(1);
  host.RunFor(absl::Seconds(2));
  CHECK(claims::UsageOf(host.state_).shards_ == 0);
  CHECK(host.RequestClaimAndWait("k", "a2") == Verdict::InProgress);
}

TEST_CASE("the first claim in the order of the log is effective")
{
  claims::Index index;
  claims::Record record;
  record.key_ = claims::FingerprintOf("k");
  record.attempt_ = claims::FingerprintOf("a1");
  claims::Apply(index, record, 0);
  record.attempt_ = claims::FingerprintOf("a2");
  claims::Apply(index, record, 1);
  CHECK(claims::FindClaim(index, record.key_)->attempt_ ==
        claims::FingerprintOf("a1"));
}

TEST_CASE("a withdrawal after an outcome has no effect")
{
  for (const auto kind :
       { claims::RecordKind::Done, claims::RecordKind::Unknown }) {
    claims::Index index;
    claims::Record record;
    record.key_ = claims::FingerprintOf("k");
    record.attempt_ = claims::FingerprintOf("a1");
    claims::Apply(index, record, 0);
    record.kind_ = kind;
    claims::Apply(index, record, 1);
    record.kind_ = claims::RecordKind::Withdrawn;
    claims::Apply(index, record, 2);
    REQUIRE(claims::FindClaim(index, record.key_) != nullptr);
    CHECK(claims::OutcomePosition(*claims::FindClaim(index, record.key_)) == 1);
    CHECK(!claims::IsWithdrawn(index, record.attempt_));
  }
}

TEST_CASE("an error has the run state No only if nothing can have run")
{
  const auto errorOf = [](Verdict aVerdict) {
    return claims::ToError({ 1, aVerdict, {}, absl::Seconds(2) });
  };
  using lycheeplank::core::RunState;
  CHECK(errorOf(Verdict::Unavailable).run_ == RunState::No);
  CHECK(errorOf(Verdict::Unavailable).retryAfter_ == absl::Seconds(2));
  CHECK(errorOf(Verdict::Mismatch).run_ == RunState::No);
  CHECK(errorOf(Verdict::InProgress).run_ == RunState::Unknown);
  CHECK(errorOf(Verdict::Unknown).run_ == RunState::Unknown);
  CHECK(errorOf(Verdict::Expired).run_ == RunState::Unknown);
}

TEST_CASE("damaged values are errors and never crash the decoders")
{
  claims::Tail tail;
  tail.segments_.push_back({ "claims/0/objects/s", 5, 3, 700, 1 });
  tail.openFirst_ = 8;
  claims::Segment segment;
  segment.first_ = 5;
  for (int i = 0; i < 3; ++i) {
    claims::Record record;
    record.kind_ = claims::RecordKind::Done;
    record.answer_ = kAnswer;
    record.holder_ = std::string("h");
    segment.records_.push_back(record);
    tail.open_.push_back(record);
  }
  const std::string tailValue = claims::Encode(tail);
  const std::string segmentValue = claims::Encode(segment);
  CHECK(claims::DecodeOrNullopt(claims::DecodeTail, tailValue)->open_ ==
        tail.open_);
  CHECK(
    claims::DecodeOrNullopt(claims::DecodeSegment, segmentValue)->records_ ==
    segment.records_);
  std::mt19937_64 random(7);
  for (int i = 0; i < 20000; ++i) {
    std::string damaged = i % 2 == 0 ? tailValue : segmentValue;
    if (random() % 4 == 0) {
      damaged.resize(random() % damaged.size());
    } else {
      damaged[random() % damaged.size()] ^=
        static_cast<char>(1U << (random() % 8));
    }
    CHECK(!claims::DecodeOrNullopt(claims::DecodeTail, damaged));
    CHECK(!claims::DecodeOrNullopt(claims::DecodeSegment, damaged));
    CHECK(!claims::DecodeOrNullopt(claims::DecodeLayout, damaged));
  }
}

TEST_CASE("the index stays within its memory limit per claim")
{
  constexpr int kClaims = 200000;
  constexpr double kMaxBytesPerClaim = 150;
  claims::Index index;
  claims::Record record;
  for (int i = 0; i < kClaims; ++i) {
    record.key_ = claims::FingerprintOf(absl::StrCat("k", i));
    record.attempt_ = claims::FingerprintOf(absl::StrCat("a", i));
    claims::Apply(index, record, static_cast<std::uint64_t>(i));
  }
  const double bytes =
    static_cast<double>(claims::MemoryBytes(index)) / kClaims;
  INFO("bytes per claim: " << bytes);
  CHECK(bytes < kMaxBytesPerClaim);
}
