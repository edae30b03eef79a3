#include <cstdlib>
#include <memory>
#include <random>

#include <absl/strings/numbers.h>
#include <catch2/catch.hpp>

#include "claims-fakes.h"
#include "lycheeplank/claims.h"

// Simulates several hosts with a faulty platform at random, on a virtual clock.

namespace claims = lycheeplank::claims;
namespace platform = lycheeplank::platform;
using claims::AttemptOutcome;
using claims::Verdict;
using claims::test::FakePlatform;
using claims::test::TimedKey;
using claims::test::Timeline;

namespace {

constexpr std::size_t kHosts = 6;
constexpr absl::Duration kTickInterval = absl::Milliseconds(10);
constexpr absl::Duration kFaultyDuration = absl::Seconds(60);
constexpr absl::Duration kFaultFreeDuration = absl::Seconds(30);
constexpr absl::Duration kShortRetention = absl::Seconds(15);
constexpr absl::Duration kAnswerTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kCallTimeout = absl::Seconds(1);
constexpr int kMaxReportTries = 200;

// One idempotency key and the record of its calls.
struct Key
{
  std::string name_;
  int executions_ = 0;
  claims::StoredAnswer answer_;
  std::vector<claims::StoredAnswer> doneAnswers_;
  // A holder crashed or a call timed out, so the outcome may stay unknown.
  bool mayEndUnknown_ = false;
  absl::optional<Verdict> lastVerdict_;
};

struct Attempt
{
  std::string id_;
  std::size_t key_ = 0;
  std::size_t holder_ = 0;
  std::uint64_t incarnation_ = 0;
  absl::Time startedAt_;
  bool hasVerdict_ = false;
  // The caller was told that the attempt was not run.
  bool reportedNotRun_ = false;
  bool resultReceived_ = false;
  // Its outcome is durable, or it never held a claim.
  bool isFinished_ = false;
  int reportTries_ = 0;
};

using AttemptPtr = std::shared_ptr<Attempt>;

struct Host
{
  claims::State state_;
  std::uint64_t incarnation_ = 0;
  absl::Time frozenUntil_ = absl::InfinitePast();
  absl::Duration clockError_;
  std::map<std::uint64_t, std::function<void(const claims::ClaimResponse&)>>
    responseHandlers_;
  std::map<std::uint64_t, std::function<void(bool)>> reportHandlers_;
};

// The parameters of one simulation.
struct Options
{
  std::uint64_t seed_ = 1;
  std::size_t keyCount_ = 800;
  bool ignoresExpectedVersion_ = false;
  // Keys contain their time, and the retention is shorter than the simulation.
  bool shortRetention_ = false;
};

struct Simulation
{
  explicit Simulation(const Options& aOptions)
    : options_(aOptions)
    , random_(aOptions.seed_)
    , hosts_(kHosts)
  {
    platform_.faults_.ignoresExpectedVersion_ =
      aOptions.ignoresExpectedVersion_;
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_[i].clockError_ = DurationBetween(-200, 200);
      Restart(i);
      ScheduleTicks(i);
    }
  }

  std::uint64_t Draw(std::uint64_t aBelow) { return random_() % aBelow; }
  bool Chance(int aPermille)
  {
    return faulty_ && Draw(1000) < static_cast<std::uint64_t>(aPermille);
  }
  absl::Duration DurationBetween(std::int64_t aLowMs, std::int64_t aHighMs)
  {
    const auto span = static_cast<std::uint64_t>(aHighMs - aLowMs + 1);
    return absl::Milliseconds(aLowMs + static_cast<std::int64_t>(Draw(span)));
  }
  void AddViolation(std::string aText)
  {
    violations_.push_back(std::move(aText));
  }
  absl::Time Clock(std::size_t aHost) const
  {
    return time_.now_ + hosts_[aHost].clockError_;
  }

  void Restart(std::size_t aHost)
  {
    auto& host = hosts_[aHost];
    ++host.incarnation_;
    host.responseHandlers_.clear();
    host.reportHandlers_.clear();
    host.state_ = claims::State();
    auto& settings = host.state_.settings_;
    settings.instance_ = absl::StrCat("i", aHost, ".", host.incarnation_);
    settings.shards_ = 3;
    settings.maxOpenBytes_ = 800;
    settings.maxInlineAnswerBytes_ = 60;
    settings.maxSegmentBytes_ = 12000;
    settings.mergeCount_ = 3;
    settings.sweepInterval_ = absl::Seconds(4);
    settings.idleTimeout_ = absl::Seconds(6);
    settings.clockMargin_ = absl::Seconds(1);
    if (options_.shortRetention_) {
      settings.retention_ = kShortRetention;
    }
  }

  // Runs a task on a host once the host is not frozen, unless it was restarted.
  void RunOnHost(std::size_t aHost,
                 std::uint64_t aIncarnation,
                 absl::Duration aDelay,
                 Timeline::Task aTask)
  {
    time_.After(aDelay, [this, aHost, aIncarnation, task = std::move(aTask)] {
      auto& host = hosts_[aHost];
      if (host.incarnation_ != aIncarnation) {
        return;
      }
      if (time_.now_ < host.frozenUntil_) {
        const auto left = host.frozenUntil_ - time_.now_;
        return RunOnHost(
          aHost, aIncarnation, left + DurationBetween(0, 3), task);
      }
      task();
    });
  }

  // Sends a message between hosts, which may be lost or delayed.
  void SendMessage(std::size_t aTo, Timeline::Task aTask)
  {
    if (Chance(30)) {
      return;
    }
    const auto delay =
      Chance(20) ? DurationBetween(500, 4000) : DurationBetween(0, 3);
    RunOnHost(aTo, hosts_[aTo].incarnation_, delay, std::move(aTask));
  }

  void ScheduleTicks(std::size_t aHost)
  {
    RunOnHost(aHost, hosts_[aHost].incarnation_, kTickInterval, [this, aHost] {
      HandleEvent(aHost, claims::Tick{ Clock(aHost) });
      ScheduleTicks(aHost);
    });
  }

  void HandleEvent(std::size_t aHost, const claims::Event& aEvent)
  {
    ++steps_;
    lastCounter_ = claims::Counter::Granted;
    for (auto& effect : claims::Step(hosts_[aHost].state_, aEvent)) {
      HandleEffect(aHost, effect);
    }
  }

  void HandleEffect(std::size_t aHost, const claims::Effect& aEffect)
  {
    auto& host = hosts_[aHost];
    if (const auto* const command = std::get_if<platform::Command>(&aEffect)) {
      return ExecuteCommand(aHost, *command);
    }
    if (const auto* const answer =
          std::get_if<claims::ClaimResponse>(&aEffect)) {
      if (const auto handler = host.responseHandlers_.extract(answer->ticket_);
          handler) {
        handler.mapped()(*answer);
      } else {
        AddViolation("a claim request was answered twice");
      }
    } else if (const auto* const report =
                 std::get_if<claims::ReportResponse>(&aEffect)) {
      if (const auto found = host.reportHandlers_.extract(report->ticket_);
          found) {
        found.mapped()(report->durable_);
        lastCounter_ = claims::Counter::Granted;
      } else {
        AddViolation("a report was answered twice");
      }
    } else {
      lastCounter_ = std::get<claims::Count>(aEffect).counter_;
      ++counts_[lastCounter_];
    }
  }

  void DeliverReply(std::size_t aHost,
                    std::uint64_t aIncarnation,
                    absl::Duration aDelay,
                    platform::Reply aReply)
  {
    RunOnHost(
      aHost, aIncarnation, aDelay, [this, aHost, reply = std::move(aReply)] {
        HandleEvent(aHost, claims::PlatformReplied{ reply, Clock(aHost) });
      });
  }

  // Executes a command of a host, subject to the platform's faults.
  void ExecuteCommand(std::size_t aHost, const platform::Command& aCommand)
  {
    const auto incarnation = hosts_[aHost].incarnation_;
    const auto& faults = platform_.faults_;
    platform::Reply reply;
    reply.id_ = aCommand.id_;
    reply.outcome_ = platform::Outcome::Lost;
    if (faults.isDown_ || Chance(faults.lostBeforeEffect_)) {
      return DeliverReply(aHost, incarnation, DurationBetween(20, 200), reply);
    }
    if (Chance(faults.refused_)) {
      reply.outcome_ = platform::Outcome::Refused;
      return DeliverReply(aHost, incarnation, DurationBetween(1, 5), reply);
    }
    if (Chance(faults.lostAfterEffect_) || Chance(faults.delayedEffect_)) {
      const auto delay =
        Chance(500) ? DurationBetween(1, 5) : DurationBetween(100, 4000);
      time_.After(delay, [this, aCommand] { platform_.Apply(aCommand); });
      return DeliverReply(aHost, incarnation, DurationBetween(20, 200), reply);
    }
    const auto delay = Chance(faults.slowCall_) ? DurationBetween(200, 1500)
                                                : DurationBetween(1, 5);
    time_.After(delay, [this, aHost, incarnation, aCommand] {
      DeliverReply(
        aHost, incarnation, DurationBetween(0, 4), platform_.Apply(aCommand));
    });
  }

  std::size_t HomeOf(const Attempt& aAttempt)
  {
    return Chance(250) ? Draw(kHosts) : aAttempt.key_ % kHosts;
  }

  // Simulates a caller's request or a repeat of it.
  void StartAttempt(std::size_t aKey, std::size_t aHolder)
  {
    auto attempt = std::make_shared<Attempt>();
    attempts_.push_back(attempt);
    attempt->id_ = absl::StrCat("attempt", attempts_.size());
    attempt->key_ = aKey;
    attempt->holder_ = aHolder;
    attempt->startedAt_ = time_.now_;
    attempt->incarnation_ = hosts_[aHolder].incarnation_;
    const std::size_t home = HomeOf(*attempt);
    const auto incarnation = hosts_[home].incarnation_;
    SendMessage(home, [this, attempt, home] { RequestClaimAt(home, attempt); });
    if (options_.shortRetention_ && Chance(20)) {
      // The same message is delivered a second time.
      RunOnHost(home,
                incarnation,
                DurationBetween(0, 2500),
                [this, attempt, home] { RequestClaimAt(home, attempt); });
    }
    RunOnHost(aHolder, attempt->incarnation_, kAnswerTimeout, [this, attempt] {
      if (!attempt->hasVerdict_) {
        Withdraw(attempt);
      }
    });
  }

  void RequestClaimAt(std::size_t aHome, const AttemptPtr& aAttempt)
  {
    const auto ticket = ++tickets_;
    hosts_[aHome].responseHandlers_[ticket] =
      [this, aAttempt](const claims::ClaimResponse& aAnswer) {
        SendMessage(aAttempt->holder_, [this, aAttempt, aAnswer] {
          if (hosts_[aAttempt->holder_].incarnation_ ==
              aAttempt->incarnation_) {
            OnResponse(aAttempt, aAnswer);
          }
        });
      };
    HandleEvent(aHome,
                claims::ClaimRequest{ ticket,
                                      "w",
                                      keys_[aAttempt->key_].name_,
                                      aAttempt->id_,
                                      absl::StrCat("h", aAttempt->holder_),
                                      "digest",
                                      Clock(aHome) });
  }

  void OnResponse(const AttemptPtr& aAttempt,
                  const claims::ClaimResponse& aAnswer)
  {
    if (aAttempt->hasVerdict_) {
      return;
    }
    auto& key = keys_[aAttempt->key_];
    key.lastVerdict_ = aAnswer.verdict_;
    if (aAnswer.verdict_ == Verdict::Unavailable ||
        (aAnswer.verdict_ == Verdict::Granted && Chance(50))) {
      return Withdraw(aAttempt);
    }
    aAttempt->hasVerdict_ = true;
    if (aAnswer.verdict_ == Verdict::Granted) {
      const auto pause =
        Chance(100) ? DurationBetween(0, 3000) : DurationBetween(0, 2);
      return RunOnHost(aAttempt->holder_,
                       aAttempt->incarnation_,
                       pause,
                       [this, aAttempt] { StartCall(aAttempt); });
    }
    aAttempt->reportedNotRun_ = true;
    aAttempt->isFinished_ = true;
    if (aAnswer.verdict_ == Verdict::Done) {
      key.doneAnswers_.push_back(aAnswer.answer_);
    }
  }

  void Withdraw(const AttemptPtr& aAttempt)
  {
    aAttempt->hasVerdict_ = true;
    aAttempt->reportedNotRun_ = true;
    Report(aAttempt, AttemptOutcome::Withdrawn, {});
  }

  void StartCall(const AttemptPtr& aAttempt)
  {
    const std::size_t home = HomeOf(*aAttempt);
    SendMessage(home, [this, aAttempt, home] {
      HandleEvent(
        home,
        claims::Heartbeat{
          "w", keys_[aAttempt->key_].name_, aAttempt->id_, Clock(home) });
    });
    RunOnHost(aAttempt->holder_,
              aAttempt->incarnation_,
              kCallTimeout,
              [this, aAttempt] {
                if (!aAttempt->resultReceived_) {
                  keys_[aAttempt->key_].mayEndUnknown_ = true;
                  Report(aAttempt, AttemptOutcome::Unknown, {});
                }
              });
    if (!Chance(30)) {
      time_.After(DurationBetween(0, 10),
                  [this, aAttempt] { RunCall(aAttempt); });
    }
  }

  // Simulates the target that runs the call.
  void RunCall(const AttemptPtr& aAttempt)
  {
    auto& key = keys_[aAttempt->key_];
    if (aAttempt->reportedNotRun_) {
      AddViolation(absl::StrCat(
        key.name_, " ran after its caller was told that it was not run"));
    }
    if (++key.executions_ > 1) {
      AddViolation(absl::StrCat(key.name_, " ran twice"));
    }
    key.answer_ = { 200, "text/plain", std::string(Draw(120), 'x') };
    key.answer_.body_ += absl::StrCat(++serial_);
    if (Chance(30)) {
      return;
    }
    RunOnHost(aAttempt->holder_,
              aAttempt->incarnation_,
              Chance(50) ? DurationBetween(900, 3000) : DurationBetween(1, 300),
              [this, aAttempt, answer = key.answer_] {
                aAttempt->resultReceived_ = true;
                Report(aAttempt, AttemptOutcome::Done, answer);
              });
  }

  // Reports the outcome until it is durable or the holder crashes.
  void Report(const AttemptPtr& aAttempt,
              AttemptOutcome aOutcome,
              const claims::StoredAnswer& aAnswer)
  {
    if (++aAttempt->reportTries_ > kMaxReportTries) {
      return;
    }
    auto isSettled = std::make_shared<bool>(false);
    const std::size_t home = HomeOf(*aAttempt);
    SendMessage(home, [this, aAttempt, aOutcome, aAnswer, home, isSettled] {
      ReportAt(home, aAttempt, aOutcome, aAnswer, isSettled);
    });
    RunOnHost(aAttempt->holder_,
              aAttempt->incarnation_,
              DurationBetween(1200, 2500),
              [this, aAttempt, aOutcome, aAnswer, isSettled] {
                if (!*isSettled) {
                  Report(aAttempt, aOutcome, aAnswer);
                }
              });
  }

  void ReportAt(std::size_t aHome,
                const AttemptPtr& aAttempt,
                AttemptOutcome aOutcome,
                const claims::StoredAnswer& aAnswer,
                const std::shared_ptr<bool>& aIsSettled)
  {
    const auto ticket = ++tickets_;
    hosts_[aHome].reportHandlers_[ticket] =
      [this, aAttempt, aIsSettled](bool aDurable) {
        // Step emits a counter before the response that it belongs to.
        if (!aDurable && lastCounter_ == claims::Counter::Contradiction &&
            time_.now_ - aAttempt->startedAt_ < kShortRetention) {
          AddViolation(absl::StrCat(aAttempt->id_, " had a report dropped"));
        }
        if (aDurable) {
          SendMessage(aAttempt->holder_, [aAttempt, aIsSettled] {
            *aIsSettled = true;
            aAttempt->isFinished_ = true;
          });
        }
      };
    HandleEvent(aHome,
                claims::OutcomeReport{ ticket,
                                       "w",
                                       keys_[aAttempt->key_].name_,
                                       aAttempt->id_,
                                       aOutcome,
                                       aAnswer,
                                       Clock(aHome) });
  }

  // Injects faults at random times during the faulty phase.
  void InjectFaults()
  {
    if (!faulty_) {
      return;
    }
    const std::size_t host = Draw(kHosts);
    if (Chance(250)) {
      CrashHost(host);
    } else if (Chance(400)) {
      hosts_[host].frozenUntil_ = time_.now_ + DurationBetween(100, 8000);
    } else if (Chance(100) && !options_.shortRetention_) {
      hosts_[host].clockError_ = DurationBetween(-3600000, 3600000);
    } else if (Chance(150)) {
      platform_.faults_.isDown_ = true;
      time_.After(DurationBetween(200, 4000),
                  [this] { platform_.faults_.isDown_ = false; });
    }
    time_.After(DurationBetween(200, 1200), [this] { InjectFaults(); });
  }

  void CrashHost(std::size_t aHost)
  {
    for (const auto& attempt : attempts_) {
      if (attempt->holder_ == aHost && !attempt->isFinished_) {
        keys_[attempt->key_].mayEndUnknown_ = true;
      }
    }
    Restart(aHost);
    ScheduleTicks(aHost);
  }

  void Run()
  {
    platform_.faults_ = {
      10, 20, 20, 20, 10, false, options_.ignoresExpectedVersion_
    };
    faulty_ = true;
    InjectFaults();
    keys_.resize(options_.keyCount_);
    for (std::size_t i = 0; i < options_.keyCount_; ++i) {
      const auto start =
        kFaultyDuration * (static_cast<double>(Draw(1000)) / 1000);
      time_.After(start, [this, i] { ScheduleRequests(i); });
    }
    time_.RunUntil(time_.now_ + kFaultyDuration);
    faulty_ = false;
    platform_.faults_.isDown_ = false;
    time_.RunUntil(time_.now_ + kFaultFreeDuration);
    CheckFinalState();
  }

  void ScheduleRequests(std::size_t aKey)
  {
    keys_[aKey].name_ = options_.shortRetention_ ? TimedKey(time_.now_, aKey)
                                                 : absl::StrCat("key", aKey);
    const std::size_t repeats = 1 + Draw(5);
    StartAttempt(aKey, Draw(kHosts));
    for (std::size_t i = 0; i < repeats; ++i) {
      const auto delay =
        Draw(3) == 0 ? DurationBetween(0, 20) : DurationBetween(0, 25000);
      time_.After(delay, [this, aKey] { StartAttempt(aKey, Draw(kHosts)); });
    }
  }

  void CheckFinalState()
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (!hosts_[i].responseHandlers_.empty() ||
          !hosts_[i].reportHandlers_.empty()) {
        AddViolation(absl::StrCat("host ", i, " has unanswered tickets"));
      }
    }
    for (auto& key : keys_) {
      key.lastVerdict_ = absl::nullopt;
    }
    for (std::size_t i = 0; i < keys_.size(); ++i) {
      time_.After(DurationBetween(0, 5000),
                  [this, i] { RequestUntilFinal(i); });
    }
    time_.RunUntil(time_.now_ + kFaultFreeDuration);
    for (const auto& key : keys_) {
      CheckKey(key);
    }
  }

  // Repeats the request like a caller that is told to retry.
  void RequestUntilFinal(std::size_t aKey)
  {
    StartAttempt(aKey, Draw(kHosts));
    time_.After(absl::Seconds(2), [this, aKey] {
      if (keys_[aKey].lastVerdict_ == Verdict::InProgress) {
        RequestUntilFinal(aKey);
      }
    });
  }

  void CheckKey(const Key& aKey)
  {
    for (const auto& answer : aKey.doneAnswers_) {
      if (!(answer == aKey.answer_)) {
        AddViolation(absl::StrCat(aKey.name_, " got different answers"));
      }
    }
    if (!aKey.lastVerdict_ || *aKey.lastVerdict_ == Verdict::Unavailable ||
        *aKey.lastVerdict_ == Verdict::Mismatch ||
        *aKey.lastVerdict_ == Verdict::InProgress) {
      AddViolation(absl::StrCat(aKey.name_, " has no final verdict"));
    } else if (*aKey.lastVerdict_ == Verdict::Granted) {
      ++finallyGranted_;
    } else if (*aKey.lastVerdict_ == Verdict::Done) {
      ++finallyDone_;
    } else if (*aKey.lastVerdict_ == Verdict::Unknown && !aKey.mayEndUnknown_) {
      AddViolation(absl::StrCat(
        aKey.name_, " has an unknown outcome without a crash or timeout"));
    }
  }

  Options options_;
  std::mt19937_64 random_;
  Timeline time_;
  FakePlatform platform_;
  std::vector<Host> hosts_;
  std::vector<Key> keys_;
  bool faulty_ = false;
  std::vector<AttemptPtr> attempts_;
  std::uint64_t tickets_ = 0;
  std::uint64_t serial_ = 0;
  std::uint64_t steps_ = 0;
  std::uint64_t finallyDone_ = 0;
  std::uint64_t finallyGranted_ = 0;
  std::map<claims::Counter, int> counts_;
  claims::Counter lastCounter_ = claims::Counter::Granted;
  std::vector<std::string> violations_;
};

std::uint64_t
NumberFromEnvironment(const char* aName, std::uint64_t aDefault)
{
  std::uint64_t value = 0;
  const char* const text = std::getenv(aName);
  return text != nullptr && absl::SimpleAtoi(text, &value) ? value : aDefault;
}

std::vector<std::uint64_t>
Seeds()
{
  if (const auto seed = NumberFromEnvironment("LYCHEEPLANK_SEED", 0);
      seed != 0) {
    return { seed };
  }
  return { 1, 2, 3, 4, 5, 6 };
}

std::string
Describe(const Simulation& aRun)
{
  std::string text = absl::StrCat("repeat with LYCHEEPLANK_SEED=",
                                  aRun.options_.seed_,
                                  " LYCHEEPLANK_STEPS=",
                                  aRun.options_.keyCount_,
                                  " build/claims-sim-test\n",
                                  aRun.steps_,
                                  " steps, ",
                                  aRun.finallyDone_,
                                  " done, ",
                                  aRun.finallyGranted_,
                                  " granted at the end\n");
  for (const auto& [counter, count] : aRun.counts_) {
    absl::StrAppend(&text,
                    claims::kCounters[static_cast<std::size_t>(counter)].name_,
                    "=",
                    count,
                    " ");
  }
  for (const auto& violation : aRun.violations_) {
    absl::StrAppend(&text, "\n", violation);
  }
  return text;
}

} // namespace

TEST_CASE("the simulation detects a platform that ignores expected versions")
{
  std::size_t violations = 0;
  for (const auto seed : Seeds()) {
    Options options;
    options.seed_ = seed;
    options.ignoresExpectedVersion_ = true;
    Simulation run(options);
    run.Run();
    violations += run.violations_.size();
  }
  CHECK(violations > 0);
}

TEST_CASE("no key runs twice under random faults")
{
  for (const auto seed : Seeds()) {
    Options options;
    options.seed_ = seed;
    options.keyCount_ =
      NumberFromEnvironment("LYCHEEPLANK_STEPS", options.keyCount_);
    options.shortRetention_ = seed % 2 == 0;
    Simulation run(options);
    run.Run();
    INFO(Describe(run));
    CHECK(run.violations_.empty());
    CHECK(run.steps_ > options.keyCount_);
    if (std::getenv("LYCHEEPLANK_SEED") != nullptr) {
      WARN(Describe(run));
    }
  }
}
