#include <cstdlib>
#include <memory>
#include <random>

#include <absl/strings/numbers.h>
#include <catch2/catch.hpp>

#include "claims-fakes.h"
#include "lycheeplank/claims.h"

// Random runs of several hosts against a failing platform, on a virtual clock.

namespace claims = lycheeplank::claims;
namespace platform = lycheeplank::platform;
using claims::AttemptOutcome;
using claims::Verdict;
using claims::test::FakePlatform;
using claims::test::TimedKey;
using claims::test::Timeline;

namespace {

constexpr std::size_t kHosts = 6;
constexpr absl::Duration kTick = absl::Milliseconds(10);
constexpr absl::Duration kFaultyTime = absl::Seconds(60);
constexpr absl::Duration kQuietTime = absl::Seconds(30);
constexpr absl::Duration kShortRetention = absl::Seconds(15);
constexpr absl::Duration kAnswerTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kCallTimeout = absl::Seconds(1);
constexpr int kMaxReportTries = 200;

// One idempotency key and all that happened to it.
struct Key
{
  std::string name_;
  int executions_ = 0;
  claims::StoredAnswer answer_;
  std::vector<claims::StoredAnswer> doneAnswers_;
  // A holder was lost, or a call gave no answer: nobody may know the outcome.
  bool mayBeUnknown_ = false;
  absl::optional<Verdict> last_;
};

struct Attempt
{
  std::string id_;
  std::size_t key_ = 0;
  std::size_t holder_ = 0;
  std::uint64_t generation_ = 0;
  absl::Time start_;
  bool decided_ = false;
  // The caller was told that it was not run.
  bool notRun_ = false;
  bool reported_ = false;
  // Its end is recorded, or it never held a claim.
  bool settled_ = false;
  int tries_ = 0;
};

using AttemptPtr = std::shared_ptr<Attempt>;

struct Host
{
  claims::State state_;
  std::uint64_t generation_ = 0;
  absl::Time frozenUntil_ = absl::InfinitePast();
  absl::Duration clockError_;
  std::map<std::uint64_t, std::function<void(const claims::ClaimResponse&)>>
    asks_;
  std::map<std::uint64_t, std::function<void(bool)>> reports_;
};

// How a run differs from others.
struct Options
{
  std::uint64_t seed_ = 1;
  std::size_t keys_ = 800;
  bool ignoresCompare_ = false;
  // Keys carry their time, and the retention is shorter than the run.
  bool shortRetention_ = false;
};

struct Simulation
{
  explicit Simulation(const Options& aOptions)
    : options_(aOptions)
    , random_(aOptions.seed_)
    , hosts_(kHosts)
  {
    platform_.faults_.ignoresCompare_ = aOptions.ignoresCompare_;
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_[i].clockError_ = Between(-200, 200);
      Restart(i);
      TickForEver(i);
    }
  }

  std::uint64_t Draw(std::uint64_t aBelow) { return random_() % aBelow; }
  bool Chance(int aPermille)
  {
    return faulty_ && Draw(1000) < static_cast<std::uint64_t>(aPermille);
  }
  absl::Duration Between(std::int64_t aLowMs, std::int64_t aHighMs)
  {
    const auto span = static_cast<std::uint64_t>(aHighMs - aLowMs + 1);
    return absl::Milliseconds(aLowMs + static_cast<std::int64_t>(Draw(span)));
  }
  void Violation(std::string aText) { violations_.push_back(std::move(aText)); }
  absl::Time Clock(std::size_t aHost) const
  {
    return time_.now_ + hosts_[aHost].clockError_;
  }

  void Restart(std::size_t aHost)
  {
    auto& host = hosts_[aHost];
    ++host.generation_;
    host.asks_.clear();
    host.reports_.clear();
    host.state_ = claims::State();
    auto& settings = host.state_.settings_;
    settings.instance_ = absl::StrCat("i", aHost, ".", host.generation_);
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

  // Runs a task on a host once it isn't frozen, unless it was restarted.
  void OnHost(std::size_t aHost,
              std::uint64_t aGeneration,
              absl::Duration aDelay,
              Timeline::Task aTask)
  {
    time_.After(aDelay, [this, aHost, aGeneration, task = std::move(aTask)] {
      auto& host = hosts_[aHost];
      if (host.generation_ != aGeneration) {
        return;
      }
      if (time_.now_ < host.frozenUntil_) {
        const auto left = host.frozenUntil_ - time_.now_;
        return OnHost(aHost, aGeneration, left + Between(0, 3), task);
      }
      task();
    });
  }

  // A message between hosts, which may be lost or late.
  void Message(std::size_t aTo, Timeline::Task aTask)
  {
    if (Chance(30)) {
      return;
    }
    const auto delay = Chance(20) ? Between(500, 4000) : Between(0, 3);
    OnHost(aTo, hosts_[aTo].generation_, delay, std::move(aTask));
  }

  void TickForEver(std::size_t aHost)
  {
    OnHost(aHost, hosts_[aHost].generation_, kTick, [this, aHost] {
      Give(aHost, claims::Tick{ Clock(aHost) });
      TickForEver(aHost);
    });
  }

  void Give(std::size_t aHost, const claims::Event& aEvent)
  {
    ++steps_;
    lastCounter_ = claims::Counter::Granted;
    for (auto& effect : claims::Step(hosts_[aHost].state_, aEvent)) {
      Take(aHost, effect);
    }
  }

  void Take(std::size_t aHost, const claims::Effect& aEffect)
  {
    auto& host = hosts_[aHost];
    if (const auto* const command = std::get_if<platform::Command>(&aEffect)) {
      return Carry(aHost, *command);
    }
    if (const auto* const answer =
          std::get_if<claims::ClaimResponse>(&aEffect)) {
      if (const auto ask = host.asks_.extract(answer->ticket_); ask) {
        ask.mapped()(*answer);
      } else {
        Violation("an ask was answered twice");
      }
    } else if (const auto* const report =
                 std::get_if<claims::ReportResponse>(&aEffect)) {
      if (const auto found = host.reports_.extract(report->ticket_); found) {
        found.mapped()(report->durable_);
        lastCounter_ = claims::Counter::Granted;
      } else {
        Violation("a report was answered twice");
      }
    } else {
      lastCounter_ = std::get<claims::Count>(aEffect).counter_;
      ++counts_[lastCounter_];
    }
  }

  void Reply(std::size_t aHost,
             std::uint64_t aGeneration,
             absl::Duration aDelay,
             platform::Reply aReply)
  {
    OnHost(
      aHost, aGeneration, aDelay, [this, aHost, reply = std::move(aReply)] {
        Give(aHost, claims::PlatformReplied{ reply, Clock(aHost) });
      });
  }

  // Carries out a command of a host, with the faults of the platform.
  void Carry(std::size_t aHost, const platform::Command& aCommand)
  {
    const auto generation = hosts_[aHost].generation_;
    const auto& faults = platform_.faults_;
    platform::Reply reply;
    reply.id_ = aCommand.id_;
    reply.outcome_ = platform::Outcome::Lost;
    if (faults.down_ || Chance(faults.lostBefore_)) {
      return Reply(aHost, generation, Between(20, 200), reply);
    }
    if (Chance(faults.refused_)) {
      reply.outcome_ = platform::Outcome::Refused;
      return Reply(aHost, generation, Between(1, 5), reply);
    }
    if (Chance(faults.lostAfter_) || Chance(faults.lateEffect_)) {
      const auto delay = Chance(500) ? Between(1, 5) : Between(100, 4000);
      time_.After(delay, [this, aCommand] { platform_.Apply(aCommand); });
      return Reply(aHost, generation, Between(20, 200), reply);
    }
    const auto delay =
      Chance(faults.slow_) ? Between(200, 1500) : Between(1, 5);
    time_.After(delay, [this, aHost, generation, aCommand] {
      Reply(aHost, generation, Between(0, 4), platform_.Apply(aCommand));
    });
  }

  std::size_t HomeOf(const Attempt& aAttempt)
  {
    return Chance(250) ? Draw(kHosts) : aAttempt.key_ % kHosts;
  }

  // The caller's side: a request or a repeat of it.
  void Request(std::size_t aKey, std::size_t aHolder)
  {
    auto attempt = std::make_shared<Attempt>();
    attempts_.push_back(attempt);
    attempt->id_ = absl::StrCat("attempt", attempts_.size());
    attempt->key_ = aKey;
    attempt->holder_ = aHolder;
    attempt->start_ = time_.now_;
    attempt->generation_ = hosts_[aHolder].generation_;
    const std::size_t home = HomeOf(*attempt);
    const auto generation = hosts_[home].generation_;
    Message(home, [this, attempt, home] { AskAt(home, attempt); });
    if (options_.shortRetention_ && Chance(20)) {
      // The same message arrives a second time.
      OnHost(home, generation, Between(0, 2500), [this, attempt, home] {
        AskAt(home, attempt);
      });
    }
    OnHost(aHolder, attempt->generation_, kAnswerTimeout, [this, attempt] {
      if (!attempt->decided_) {
        GiveUp(attempt);
      }
    });
  }

  void AskAt(std::size_t aHome, const AttemptPtr& aAttempt)
  {
    const auto ticket = ++tickets_;
    hosts_[aHome].asks_[ticket] =
      [this, aAttempt](const claims::ClaimResponse& aAnswer) {
        Message(aAttempt->holder_, [this, aAttempt, aAnswer] {
          if (hosts_[aAttempt->holder_].generation_ == aAttempt->generation_) {
            Decide(aAttempt, aAnswer);
          }
        });
      };
    Give(aHome,
         claims::ClaimRequest{ ticket,
                               "w",
                               keys_[aAttempt->key_].name_,
                               aAttempt->id_,
                               absl::StrCat("h", aAttempt->holder_),
                               "digest",
                               Clock(aHome) });
  }

  void Decide(const AttemptPtr& aAttempt, const claims::ClaimResponse& aAnswer)
  {
    if (aAttempt->decided_) {
      return;
    }
    auto& key = keys_[aAttempt->key_];
    key.last_ = aAnswer.verdict_;
    if (aAnswer.verdict_ == Verdict::Unavailable ||
        (aAnswer.verdict_ == Verdict::Granted && Chance(50))) {
      return GiveUp(aAttempt);
    }
    aAttempt->decided_ = true;
    if (aAnswer.verdict_ == Verdict::Granted) {
      const auto pause = Chance(100) ? Between(0, 3000) : Between(0, 2);
      return OnHost(aAttempt->holder_,
                    aAttempt->generation_,
                    pause,
                    [this, aAttempt] { Dispatch(aAttempt); });
    }
    aAttempt->notRun_ = true;
    aAttempt->settled_ = true;
    if (aAnswer.verdict_ == Verdict::Done) {
      key.doneAnswers_.push_back(aAnswer.answer_);
    }
  }

  void GiveUp(const AttemptPtr& aAttempt)
  {
    aAttempt->decided_ = true;
    aAttempt->notRun_ = true;
    Report(aAttempt, AttemptOutcome::Withdrawn, {});
  }

  void Dispatch(const AttemptPtr& aAttempt)
  {
    const std::size_t home = HomeOf(*aAttempt);
    Message(home, [this, aAttempt, home] {
      Give(home,
           claims::Heartbeat{
             "w", keys_[aAttempt->key_].name_, aAttempt->id_, Clock(home) });
    });
    OnHost(
      aAttempt->holder_, aAttempt->generation_, kCallTimeout, [this, aAttempt] {
        if (!aAttempt->reported_) {
          keys_[aAttempt->key_].mayBeUnknown_ = true;
          Report(aAttempt, AttemptOutcome::Unknown, {});
        }
      });
    if (!Chance(30)) {
      time_.After(Between(0, 10), [this, aAttempt] { Execute(aAttempt); });
    }
  }

  // The service's side.
  void Execute(const AttemptPtr& aAttempt)
  {
    auto& key = keys_[aAttempt->key_];
    if (aAttempt->notRun_) {
      Violation(absl::StrCat(key.name_, " ran after it was told not to be"));
    }
    if (++key.executions_ > 1) {
      Violation(absl::StrCat(key.name_, " ran twice"));
    }
    key.answer_ = { 200, "text/plain", std::string(Draw(120), 'x') };
    key.answer_.body_ += absl::StrCat(++serial_);
    if (Chance(30)) {
      return;
    }
    OnHost(aAttempt->holder_,
           aAttempt->generation_,
           Chance(50) ? Between(900, 3000) : Between(1, 300),
           [this, aAttempt, answer = key.answer_] {
             aAttempt->reported_ = true;
             Report(aAttempt, AttemptOutcome::Done, answer);
           });
  }

  // Reports until the outcome is recorded or the holder is lost.
  void Report(const AttemptPtr& aAttempt,
              AttemptOutcome aOutcome,
              const claims::StoredAnswer& aAnswer)
  {
    if (++aAttempt->tries_ > kMaxReportTries) {
      return;
    }
    auto isSettled = std::make_shared<bool>(false);
    const std::size_t home = HomeOf(*aAttempt);
    Message(home, [this, aAttempt, aOutcome, aAnswer, home, isSettled] {
      ReportAt(home, aAttempt, aOutcome, aAnswer, isSettled);
    });
    OnHost(aAttempt->holder_,
           aAttempt->generation_,
           Between(1200, 2500),
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
    hosts_[aHome].reports_[ticket] =
      [this, aAttempt, aIsSettled](bool aDurable) {
        // Counters come before the answer that they belong to.
        if (!aDurable && lastCounter_ == claims::Counter::Contradiction &&
            time_.now_ - aAttempt->start_ < kShortRetention) {
          Violation(absl::StrCat(aAttempt->id_, " has a dropped report"));
        }
        if (aDurable) {
          Message(aAttempt->holder_, [aAttempt, aIsSettled] {
            *aIsSettled = true;
            aAttempt->settled_ = true;
          });
        }
      };
    Give(aHome,
         claims::OutcomeReport{ ticket,
                                "w",
                                keys_[aAttempt->key_].name_,
                                aAttempt->id_,
                                aOutcome,
                                aAnswer,
                                Clock(aHome) });
  }

  // Faults that come at random times while the run is faulty.
  void BreakThings()
  {
    if (!faulty_) {
      return;
    }
    const std::size_t host = Draw(kHosts);
    if (Chance(250)) {
      LoseHost(host);
    } else if (Chance(400)) {
      hosts_[host].frozenUntil_ = time_.now_ + Between(100, 8000);
    } else if (Chance(100) && !options_.shortRetention_) {
      hosts_[host].clockError_ = Between(-3600000, 3600000);
    } else if (Chance(150)) {
      platform_.faults_.down_ = true;
      time_.After(Between(200, 4000),
                  [this] { platform_.faults_.down_ = false; });
    }
    time_.After(Between(200, 1200), [this] { BreakThings(); });
  }

  void LoseHost(std::size_t aHost)
  {
    for (const auto& attempt : attempts_) {
      if (attempt->holder_ == aHost && !attempt->settled_) {
        keys_[attempt->key_].mayBeUnknown_ = true;
      }
    }
    Restart(aHost);
    TickForEver(aHost);
  }

  void Run()
  {
    platform_.faults_ = { 10, 20, 20, 20, 10, false, options_.ignoresCompare_ };
    faulty_ = true;
    BreakThings();
    keys_.resize(options_.keys_);
    for (std::size_t i = 0; i < options_.keys_; ++i) {
      const auto start = kFaultyTime * (static_cast<double>(Draw(1000)) / 1000);
      time_.After(start, [this, i] { StartKey(i); });
    }
    time_.RunUntil(time_.now_ + kFaultyTime);
    faulty_ = false;
    platform_.faults_.down_ = false;
    time_.RunUntil(time_.now_ + kQuietTime);
    CheckEnd();
  }

  void StartKey(std::size_t aKey)
  {
    keys_[aKey].name_ = options_.shortRetention_ ? TimedKey(time_.now_, aKey)
                                                 : absl::StrCat("key", aKey);
    const std::size_t repeats = 1 + Draw(5);
    Request(aKey, Draw(kHosts));
    for (std::size_t i = 0; i < repeats; ++i) {
      const auto delay = Draw(3) == 0 ? Between(0, 20) : Between(0, 25000);
      time_.After(delay, [this, aKey] { Request(aKey, Draw(kHosts)); });
    }
  }

  void CheckEnd()
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (!hosts_[i].asks_.empty() || !hosts_[i].reports_.empty()) {
        Violation(absl::StrCat("host ", i, " has unanswered tickets"));
      }
    }
    for (auto& key : keys_) {
      key.last_ = absl::nullopt;
    }
    for (std::size_t i = 0; i < keys_.size(); ++i) {
      time_.After(Between(0, 5000), [this, i] { RequestUntilFinal(i); });
    }
    time_.RunUntil(time_.now_ + kQuietTime);
    for (const auto& key : keys_) {
      CheckKey(key);
    }
  }

  // Repeats as a caller does that is told to come back.
  void RequestUntilFinal(std::size_t aKey)
  {
    Request(aKey, Draw(kHosts));
    time_.After(absl::Seconds(2), [this, aKey] {
      if (keys_[aKey].last_ == Verdict::InProgress) {
        RequestUntilFinal(aKey);
      }
    });
  }

  void CheckKey(const Key& aKey)
  {
    for (const auto& answer : aKey.doneAnswers_) {
      if (!(answer == aKey.answer_)) {
        Violation(absl::StrCat(aKey.name_, " has two answers"));
      }
    }
    if (!aKey.last_ || *aKey.last_ == Verdict::Unavailable ||
        *aKey.last_ == Verdict::Mismatch ||
        *aKey.last_ == Verdict::InProgress) {
      Violation(absl::StrCat(aKey.name_, " can't be asked for in the end"));
    } else if (*aKey.last_ == Verdict::Granted) {
      ++grantedInTheEnd_;
    } else if (*aKey.last_ == Verdict::Done) {
      ++doneInTheEnd_;
    } else if (*aKey.last_ == Verdict::Unknown && !aKey.mayBeUnknown_) {
      Violation(absl::StrCat(aKey.name_, " is blocked for no reason"));
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
  std::uint64_t doneInTheEnd_ = 0;
  std::uint64_t grantedInTheEnd_ = 0;
  std::map<claims::Counter, int> counts_;
  claims::Counter lastCounter_ = claims::Counter::Granted;
  std::vector<std::string> violations_;
};

std::uint64_t
FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  std::uint64_t value = 0;
  const char* const text = std::getenv(aName);
  return text != nullptr && absl::SimpleAtoi(text, &value) ? value : aDefault;
}

std::vector<std::uint64_t>
Seeds()
{
  if (const auto seed = FromEnvironment("LYCHEEPLANK_SEED", 0); seed != 0) {
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
                                  aRun.options_.keys_,
                                  " build/claims-sim-test\n",
                                  aRun.steps_,
                                  " steps, ",
                                  aRun.doneInTheEnd_,
                                  " done, ",
                                  aRun.grantedInTheEnd_,
                                  " granted in the end\n");
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

TEST_CASE("the simulation finds out a platform that does not compare")
{
  std::size_t violations = 0;
  for (const auto seed : Seeds()) {
    Options options;
    options.seed_ = seed;
    options.ignoresCompare_ = true;
    Simulation run(options);
    run.Run();
    violations += run.violations_.size();
  }
  CHECK(violations > 0);
}

TEST_CASE("no key runs twice whatever fails")
{
  for (const auto seed : Seeds()) {
    Options options;
    options.seed_ = seed;
    options.keys_ = FromEnvironment("LYCHEEPLANK_STEPS", options.keys_);
    options.shortRetention_ = seed % 2 == 0;
    Simulation run(options);
    run.Run();
    INFO(Describe(run));
    CHECK(run.violations_.empty());
    CHECK(run.steps_ > options.keys_);
    if (std::getenv("LYCHEEPLANK_SEED") != nullptr) {
      WARN(Describe(run));
    }
  }
}
