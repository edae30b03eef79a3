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

constexpr absl::Duration kTick = absl::Milliseconds(5);

// One host and a platform that answers at once.
struct Bench
{
  explicit Bench(FakePlatform& aPlatform, const std::string& aInstance = "i1")
    : platform_(aPlatform)
  {
    state_.settings_.instance_ = aInstance;
    state_.settings_.shards_ = 1;
  }

  void Give(const claims::Event& aEvent)
  {
    for (const auto& effect : claims::Step(state_, aEvent)) {
      Take(effect);
    }
  }

  void Take(const claims::Effect& aEffect)
  {
    if (const auto* const answer =
          std::get_if<claims::ClaimResponse>(&aEffect)) {
      answers_[answer->ticket_] = *answer;
    } else if (const auto* const done =
                 std::get_if<claims::ReportResponse>(&aEffect)) {
      recorded_[done->ticket_] = done->durable_;
    } else if (const auto* const count = std::get_if<claims::Count>(&aEffect)) {
      ++counts_[count->counter_];
    } else {
      commands_.push_back(std::get<platform::Command>(aEffect));
    }
  }

  // Carries out the oldest command.
  void Carry()
  {
    const auto command = commands_.front();
    commands_.erase(commands_.begin());
    Give(claims::PlatformReplied{ platform_.Apply(command), now_ });
  }

  // Cuts the reply to the oldest command, before or after its effect.
  void Lose(bool aTakesEffect)
  {
    const auto command = commands_.front();
    commands_.erase(commands_.begin());
    if (aTakesEffect) {
      platform_.Apply(command);
    }
    platform::Reply reply;
    reply.id_ = command.id_;
    reply.outcome_ = platform::Outcome::Lost;
    Give(claims::PlatformReplied{ reply, now_ });
  }

  void CarryAll()
  {
    while (!commands_.empty()) {
      Carry();
    }
  }

  // Lets time go by with a working platform.
  void Run(absl::Duration aTime)
  {
    for (const auto end = now_ + aTime; now_ < end; now_ += kTick) {
      Give(claims::Tick{ now_ });
      CarryAll();
    }
  }

  std::uint64_t Ask(const std::string& aKey,
                    const std::string& aAttempt,
                    const std::string& aDigest = "d")
  {
    Give(claims::ClaimRequest{
      ++ticket_, "w", aKey, aAttempt, "h", aDigest, now_ });
    return ticket_;
  }

  claims::Verdict AskAndRun(const std::string& aKey,
                            const std::string& aAttempt,
                            const std::string& aDigest = "d")
  {
    const auto ticket = Ask(aKey, aAttempt, aDigest);
    Run(absl::Milliseconds(200));
    return answers_.at(ticket).verdict_;
  }

  std::uint64_t Report(const std::string& aKey,
                       const std::string& aAttempt,
                       claims::AttemptOutcome aOutcome,
                       const claims::StoredAnswer& aAnswer = {})
  {
    Give(claims::OutcomeReport{
      ++ticket_, "w", aKey, aAttempt, aOutcome, aAnswer, now_ });
    return ticket_;
  }

  bool ReportAndRun(const std::string& aKey,
                    const std::string& aAttempt,
                    claims::AttemptOutcome aOutcome,
                    const claims::StoredAnswer& aAnswer = {})
  {
    const auto ticket = Report(aKey, aAttempt, aOutcome, aAnswer);
    Run(state_.settings_.outcomeDelay_ + absl::Milliseconds(300));
    return recorded_.at(ticket);
  }

  FakePlatform& platform_;
  claims::State state_;
  absl::Time now_ = absl::FromUnixSeconds(1800000000);
  std::uint64_t ticket_ = 0;
  std::vector<platform::Command> commands_;
  std::map<std::uint64_t, claims::ClaimResponse> answers_;
  std::map<std::uint64_t, bool> recorded_;
  std::map<claims::Counter, int> counts_;
};

using claims::AttemptOutcome;
using claims::Verdict;

const claims::StoredAnswer kAnswer{ 200, "application/json", "{\"serial\":1}" };

} // namespace

TEST_CASE("a claim is granted once and a repeat learns what happened")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  CHECK(host.AskAndRun("k", "a2") == Verdict::InProgress);
  host.Run(absl::Seconds(6));
  CHECK(host.AskAndRun("k", "a3") == Verdict::Unknown);
  CHECK(host.ReportAndRun("k", "a1", AttemptOutcome::Done, kAnswer));
  const auto ticket = host.Ask("k", "a4");
  CHECK(host.answers_.at(ticket).verdict_ == Verdict::Done);
  CHECK(host.answers_.at(ticket).answer_ == kAnswer);
}

TEST_CASE("the holder's word keeps a claim in progress")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  host.Run(absl::Seconds(4));
  host.Give(claims::Heartbeat{ "w", "k", "a1", host.now_ });
  host.Run(absl::Seconds(4));
  CHECK(host.AskAndRun("k", "a2") == Verdict::InProgress);
  host.Run(absl::Seconds(2));
  CHECK(host.AskAndRun("k", "a3") == Verdict::Unknown);
}

TEST_CASE("a key of another request is a mismatch, of another workspace is not")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1", "d1") == Verdict::Granted);
  CHECK(host.AskAndRun("k", "a2", "d2") == Verdict::Mismatch);
  host.Give(
    claims::ClaimRequest{ 900, "other", "k", "a3", "h", "d2", host.now_ });
  host.Run(absl::Milliseconds(200));
  CHECK(host.answers_.at(900).verdict_ == Verdict::Granted);
}

TEST_CASE("a withdrawn attempt frees the key and is never granted")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  CHECK(host.ReportAndRun("k", "a1", AttemptOutcome::Withdrawn));
  CHECK(host.AskAndRun("k", "a1") == Verdict::Unavailable);
  CHECK(host.AskAndRun("k", "a2") == Verdict::Granted);
}

TEST_CASE("an ask that arrives again after its refusal claims nothing")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  CHECK(host.AskAndRun("k", "a2") == Verdict::InProgress);
  CHECK(host.ReportAndRun("k", "a1", AttemptOutcome::Withdrawn));
  CHECK(host.AskAndRun("k", "a2") == Verdict::Unavailable);
  CHECK(host.AskAndRun("k", "a3") == Verdict::Granted);
}

TEST_CASE("a host knows what it still has to record")
{
  FakePlatform store;
  Bench host(store);
  host.Ask("k", "a1");
  CHECK(claims::UsageOf(host.state_).pendingRequests_ == 1);
  host.Run(absl::Milliseconds(200));
  CHECK(claims::UsageOf(host.state_).pendingRequests_ == 0);
  host.Report("k", "a1", AttemptOutcome::Done, kAnswer);
  CHECK(claims::UsageOf(host.state_).unrecorded_ == 1);
  host.Run(absl::Seconds(1));
  CHECK(claims::UsageOf(host.state_).unrecorded_ == 0);
}

TEST_CASE("a repeat waits for an outcome that is being written")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  host.Report("k", "a1", AttemptOutcome::Done, kAnswer);
  const auto repeat = host.Ask("k", "a2");
  CHECK(host.answers_.count(repeat) == 0);
  host.Run(host.state_.settings_.outcomeDelay_ / 2);
  REQUIRE(host.answers_.count(repeat) == 1);
  CHECK(host.answers_.at(repeat).verdict_ == Verdict::Done);
}

TEST_CASE("a withdrawal that arrives before its ask voids it")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.ReportAndRun("k", "a1", AttemptOutcome::Withdrawn));
  Bench other(store, "i2");
  CHECK(other.AskAndRun("k", "a1") == Verdict::Unavailable);
  CHECK(other.AskAndRun("k", "a2") == Verdict::Granted);
}

TEST_CASE("an outcome that was reported as unknown stays closed to new runs")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  CHECK(host.ReportAndRun("k", "a1", AttemptOutcome::Unknown));
  CHECK(host.AskAndRun("k", "a2") == Verdict::Unknown);
  CHECK_FALSE(host.ReportAndRun("k", "a1", AttemptOutcome::Withdrawn));
  CHECK(host.counts_[claims::Counter::Contradiction] == 1);
  CHECK(host.AskAndRun("k", "a3") == Verdict::Unknown);
}

TEST_CASE("a late answer replaces an unknown outcome")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  CHECK(host.ReportAndRun("k", "a1", AttemptOutcome::Unknown));
  CHECK(host.ReportAndRun("k", "a1", AttemptOutcome::Done, kAnswer));
  CHECK(host.AskAndRun("k", "a2") == Verdict::Done);
}

TEST_CASE("an outcome of an attempt that holds no claim is refused")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  CHECK_FALSE(host.ReportAndRun("k", "a9", AttemptOutcome::Done, kAnswer));
  CHECK(host.counts_[claims::Counter::Contradiction] == 1);
}

TEST_CASE("two hosts that write at once grant one attempt")
{
  FakePlatform store;
  Bench first(store, "i1");
  Bench second(store, "i2");
  first.AskAndRun("warm", "w1");
  second.AskAndRun("warm", "w2");
  const auto one = first.Ask("k", "a1");
  const auto two = second.Ask("k", "a2");
  REQUIRE(first.commands_.size() == 1);
  REQUIRE(second.commands_.size() == 1);
  second.Carry();
  first.Carry();
  first.Run(absl::Milliseconds(200));
  second.Run(absl::Milliseconds(200));
  CHECK(second.answers_.at(two).verdict_ == Verdict::Granted);
  CHECK(first.answers_.at(one).verdict_ == Verdict::InProgress);
  CHECK(first.counts_[claims::Counter::Conflict] == 1);
}

TEST_CASE("a host that didn't grant a claim listens before it calls it unknown")
{
  FakePlatform store;
  Bench old(store, "i1");
  CHECK(old.AskAndRun("k", "a1") == Verdict::Granted);
  Bench home(store, "i2");
  CHECK(home.AskAndRun("k", "a2") == Verdict::InProgress);
  home.Run(absl::Seconds(4));
  home.Give(claims::Heartbeat{ "w", "k", "a1", home.now_ });
  home.Run(absl::Seconds(4));
  CHECK(home.AskAndRun("k", "a3") == Verdict::InProgress);
  home.Run(absl::Seconds(2));
  CHECK(home.AskAndRun("k", "a4") == Verdict::Unknown);
}

TEST_CASE("a host that listens reads what others recorded")
{
  FakePlatform store;
  Bench old(store, "i1");
  CHECK(old.AskAndRun("k", "a1") == Verdict::Granted);
  Bench home(store, "i2");
  CHECK(home.AskAndRun("k", "a2") == Verdict::InProgress);
  CHECK(old.ReportAndRun("k", "a1", AttemptOutcome::Done, kAnswer));
  CHECK(home.AskAndRun("k", "a3") == Verdict::Done);
}

TEST_CASE("a claim that took the place of a withdrawn one is listened for anew")
{
  FakePlatform store;
  Bench old(store, "i1");
  CHECK(old.AskAndRun("k", "a1") == Verdict::Granted);
  Bench home(store, "i2");
  CHECK(home.AskAndRun("k", "a2") == Verdict::InProgress);
  home.Run(absl::Seconds(6));
  CHECK(old.ReportAndRun("k", "a1", AttemptOutcome::Withdrawn));
  CHECK(old.AskAndRun("k", "a3") == Verdict::Granted);
  CHECK(home.AskAndRun("k", "a4") == Verdict::InProgress);
}

TEST_CASE("an outcome is recorded while the clock stands still")
{
  FakePlatform store;
  Bench first(store, "i1");
  Bench second(store, "i2");
  // The second host has read the register before the claim was written.
  second.Ask("warm", "w1");
  second.CarryAll();
  CHECK(first.AskAndRun("k", "a1") == Verdict::Granted);
  const auto ticket = second.Report("k", "a1", AttemptOutcome::Done, kAnswer);
  second.CarryAll();
  second.Run(absl::Seconds(1));
  CHECK(second.recorded_.at(ticket));
  CHECK(second.counts_[claims::Counter::Contradiction] == 0);
}

TEST_CASE("a lost reply of a write that took place is settled by reading")
{
  FakePlatform store;
  Bench host(store);
  host.AskAndRun("warm", "w1");
  const auto ticket = host.Ask("k", "a1");
  REQUIRE(host.commands_.size() == 1);
  host.Lose(true);
  const auto writes = store.writes_;
  host.Run(absl::Milliseconds(300));
  CHECK(host.answers_.at(ticket).verdict_ == Verdict::Granted);
  CHECK(store.writes_ == writes);
}

TEST_CASE("a lost write that did not take place is repeated")
{
  FakePlatform store;
  Bench host(store);
  host.AskAndRun("warm", "w1");
  const auto ticket = host.Ask("k", "a1");
  host.Lose(false);
  host.Run(absl::Milliseconds(300));
  CHECK(host.answers_.at(ticket).verdict_ == Verdict::Granted);
}

TEST_CASE("a claim that was refused while its write was lost is withdrawn")
{
  FakePlatform store;
  Bench host(store);
  host.AskAndRun("warm", "w1");
  const auto ticket = host.Ask("k", "a1");
  const auto lost = host.commands_.front();
  host.Lose(false);
  for (int i = 0; i < 300; ++i) {
    host.now_ += kTick;
    host.Give(claims::Tick{ host.now_ });
    while (!host.commands_.empty()) {
      host.Lose(false);
    }
  }
  CHECK(host.answers_.at(ticket).verdict_ == Verdict::Unavailable);
  CHECK(host.counts_[claims::Counter::BackgroundWithdrawal] == 1);
  // The write arrives after all.
  store.Apply(lost);
  host.Run(absl::Seconds(5));
  CHECK(host.AskAndRun("k", "a1") == Verdict::Unavailable);
  CHECK(host.AskAndRun("k", "a2") == Verdict::Granted);
}

TEST_CASE("asks are refused at once while the platform is known to be down")
{
  FakePlatform store;
  Bench host(store);
  host.AskAndRun("warm", "w1");
  const auto first = host.Ask("k", "a1");
  for (int i = 0; i < 300; ++i) {
    host.now_ += kTick;
    host.Give(claims::Tick{ host.now_ });
    while (!host.commands_.empty()) {
      host.Lose(false);
    }
  }
  CHECK(host.answers_.at(first).verdict_ == Verdict::Unavailable);
  const auto second = host.Ask("k2", "b1");
  REQUIRE(host.answers_.count(second) == 1);
  CHECK(host.answers_.at(second).verdict_ == Verdict::Unavailable);
  CHECK(host.answers_.at(second).retryAfter_ > absl::ZeroDuration());
  host.Run(absl::Seconds(3));
  CHECK(host.AskAndRun("k2", "b2") == Verdict::Granted);
}

TEST_CASE("repeats are answered from memory while the platform is down")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  CHECK(host.ReportAndRun("k", "a1", AttemptOutcome::Done, kAnswer));
  host.Ask("k2", "b1");
  for (int i = 0; i < 300; ++i) {
    host.now_ += kTick;
    host.Give(claims::Tick{ host.now_ });
    while (!host.commands_.empty()) {
      host.Lose(false);
    }
  }
  const auto repeat = host.Ask("k", "a2");
  REQUIRE(host.answers_.count(repeat) == 1);
  CHECK(host.answers_.at(repeat).verdict_ == Verdict::Done);
  CHECK(host.answers_.at(repeat).answer_ == kAnswer);
}

TEST_CASE("writes that are refused are tried ever less often")
{
  FakePlatform store;
  Bench host(store);
  host.AskAndRun("warm", "w1");
  int writes = 0;
  for (int i = 0; i < 6000; ++i) {
    host.now_ += kTick;
    host.Ask(absl::StrCat("k", i), absl::StrCat("a", i));
    host.Give(claims::Tick{ host.now_ });
    while (!host.commands_.empty()) {
      if (host.commands_.front().operation_ == platform::Operation::Write) {
        ++writes;
        host.Lose(false);
      } else {
        host.Carry();
      }
    }
  }
  // About one in two seconds for half a minute, after the first few.
  CHECK(writes < 45);
  CHECK(host.answers_.size() > 5500);
  host.Run(absl::Seconds(3));
  CHECK(host.AskAndRun("k", "a") == Verdict::Granted);
}

TEST_CASE("a clock that is set back stops nothing")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  host.now_ -= absl::Hours(3);
  CHECK(host.AskAndRun("k2", "a2") == Verdict::Granted);
  CHECK(host.ReportAndRun("k2", "a2", AttemptOutcome::Done, kAnswer));
  host.now_ += absl::Hours(3);
  CHECK(host.AskAndRun("k2", "a3") == Verdict::Done);
}

TEST_CASE("asks that come before the number of shards is known are answered")
{
  FakePlatform store;
  Bench host(store);
  const auto ticket = host.Ask("k", "a1");
  const auto report = host.Report("k", "a1", AttemptOutcome::Withdrawn);
  for (int i = 0; i < 300; ++i) {
    host.now_ += kTick;
    host.Give(claims::Tick{ host.now_ });
    while (!host.commands_.empty()) {
      host.Lose(false);
    }
  }
  CHECK(host.answers_.at(ticket).verdict_ == Verdict::Unavailable);
  CHECK_FALSE(host.recorded_.at(report));
  host.Run(absl::Seconds(3));
  CHECK(host.AskAndRun("k", "a1") == Verdict::Unavailable);
  CHECK(host.AskAndRun("k", "a2") == Verdict::Granted);
}

TEST_CASE("a timed key older than the retention is refused")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun(TimedKey(host.now_ - absl::Hours(25), 1), "a1") ==
        Verdict::Expired);
  CHECK(host.AskAndRun(TimedKey(host.now_ - absl::Hours(23), 2), "a2") ==
        Verdict::Granted);
}

TEST_CASE("the time of a key is read from UUIDv7 only")
{
  const absl::Time time = absl::FromUnixMillis(1800000000123);
  CHECK(claims::KeyTime(TimedKey(time, 7)) == time);
  CHECK(!claims::KeyTime("order-17"));
  CHECK(!claims::KeyTime("01890a5d-ac96-4000-8000-000000000000"));
  CHECK(!claims::KeyTime("01890a5d-ac96-7000-c000-000000000000"));
  CHECK(!claims::KeyTime("01890a5d_ac96-7000-8000-000000000000"));
}

TEST_CASE("claims outlive restarts, seals and merges")
{
  FakePlatform store;
  Bench host(store);
  host.state_.settings_.maxOpenBytes_ = 500;
  host.state_.settings_.mergeCount_ = 3;
  host.state_.settings_.maxInlineAnswerBytes_ = 100;
  const claims::StoredAnswer large{ 201, "text/plain", std::string(5000, 'x') };
  for (int i = 0; i < 60; ++i) {
    const auto key = absl::StrCat("k", i);
    CHECK(host.AskAndRun(key, absl::StrCat("a", i)) == Verdict::Granted);
    CHECK(host.ReportAndRun(key,
                            absl::StrCat("a", i),
                            AttemptOutcome::Done,
                            i % 10 == 0 ? large : kAnswer));
  }
  CHECK(host.counts_[claims::Counter::SegmentWritten] > 10);
  Bench next(store, "i2");
  for (int i = 0; i < 60; ++i) {
    CHECK(next.AskAndRun(absl::StrCat("k", i), "b") == Verdict::Done);
    CHECK(next.answers_.at(next.ticket_).answer_ ==
          (i % 10 == 0 ? large : kAnswer));
  }
}

TEST_CASE("segments older than the retention are dropped and deleted")
{
  FakePlatform store;
  Bench host(store);
  host.state_.settings_.maxOpenBytes_ = 500;
  for (int i = 0; i < 20; ++i) {
    host.AskAndRun(TimedKey(host.now_, static_cast<std::uint64_t>(i)),
                   absl::StrCat("a", i));
  }
  const auto claims = claims::UsageOf(host.state_).claims_;
  host.now_ += absl::Hours(25);
  host.AskAndRun("new", "b");
  host.Run(absl::Seconds(1));
  CHECK(claims == 20);
  CHECK(claims::UsageOf(host.state_).claims_ < 10);
  for (const auto& [key, value] : store.values_) {
    INFO(key);
    CHECK((!absl::StrContains(key, "/objects/") ||
           host.state_.loadedShards_.at(0)->tail_.segments_.size() > 0));
  }
}

TEST_CASE("a segment that was written and never named is swept")
{
  FakePlatform store;
  Bench host(store);
  host.AskAndRun("k", "a1");
  store.values_["claims/0/objects/segment-1-dead-1"] = { 1000000, "rest" };
  host.state_.loadedShards_.at(0)->sweep_.nextAt_ = host.now_;
  host.Run(absl::Seconds(1));
  CHECK(store.values_.count("claims/0/objects/segment-1-dead-1") == 0);
}

TEST_CASE("the stored number of shards wins over the configured one")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  Bench other(store, "i2");
  other.state_.settings_.shards_ = 16;
  CHECK(other.AskAndRun("k", "a2") == Verdict::InProgress);
  CHECK(other.state_.shards_ == 1);
  CHECK(other.counts_[claims::Counter::LayoutDiffers] == 1);
}

TEST_CASE("a register that lost records is not gone on with")
{
  FakePlatform store;
  Bench host(store);
  host.AskAndRun("k", "a1");
  const auto old = store.values_.at("claims/0/tail").value_;
  host.AskAndRun("k2", "a2");
  store.values_["claims/0/tail"] = { 1000000, old };
  CHECK(host.AskAndRun("k3", "a3") == Verdict::Unavailable);
  CHECK(host.counts_[claims::Counter::Corrupt] > 0);
}

TEST_CASE("an idle shard leaves the memory and comes back")
{
  FakePlatform store;
  Bench host(store);
  CHECK(host.AskAndRun("k", "a1") == Verdict::Granted);
  host.state_.settings_.idleTimeout_ = absl::Seconds(1);
  host.Run(absl::Seconds(2));
  CHECK(claims::UsageOf(host.state_).shards_ == 0);
  CHECK(host.AskAndRun("k", "a2") == Verdict::InProgress);
}

TEST_CASE("the first claim in the order of the log stands")
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

TEST_CASE("a withdrawal after an outcome changes nothing")
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

TEST_CASE("a refusal says not run only where nothing can have run")
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

TEST_CASE("damaged values are errors and never crash")
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
    std::string broken = i % 2 == 0 ? tailValue : segmentValue;
    if (random() % 4 == 0) {
      broken.resize(random() % broken.size());
    } else {
      broken[random() % broken.size()] ^=
        static_cast<char>(1U << (random() % 8));
    }
    CHECK(!claims::DecodeOrNullopt(claims::DecodeTail, broken));
    CHECK(!claims::DecodeOrNullopt(claims::DecodeSegment, broken));
    CHECK(!claims::DecodeOrNullopt(claims::DecodeLayout, broken));
  }
}

TEST_CASE("the index stays within its bytes per claim")
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
