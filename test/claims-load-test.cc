#include <algorithm>
#include <memory>
#include <random>

#include <absl/strings/str_format.h>
#include <catch2/catch.hpp>

#include "claims-fakes.h"
#include "lycheeplank/claims.h"

// Counts platform calls and bytes under a steady load, on a virtual clock.

namespace claims = lycheeplank::claims;
namespace platform = lycheeplank::platform;
using claims::test::FakePlatform;
using claims::test::Timeline;

namespace {

constexpr absl::Duration kPlatformLatency = absl::Milliseconds(5);
constexpr absl::Duration kTick = absl::Milliseconds(5);
constexpr absl::Duration kCallTime = absl::Milliseconds(200);
constexpr std::size_t kAnswerBytes = 100;

struct Load
{
  double claimsPerSecond_ = 1;
  absl::Duration time_ = absl::Seconds(60);
  std::uint32_t shards_ = 8;
  std::uint64_t seed_ = 1;
  std::uint32_t maxOpenBytes_ = claims::Settings().maxOpenBytes_;
};

struct Figures
{
  std::uint64_t claims_ = 0;
  std::uint64_t granted_ = 0;
  double callsPerClaim_ = 0;
  double writesPerSecond_ = 0;
  double bytesPerSecond_ = 0;
  std::size_t largestValue_ = 0;
  absl::Duration meanWait_;
  absl::Duration longestWait_;
  // Of a host that starts with nothing and takes over one shard.
  std::uint64_t takeoverReads_ = 0;
  std::uint64_t takeoverBytes_ = 0;
  // Processor time of the same, without the platform's latency.
  absl::Duration takeoverCpu_;
  double indexBytesPerClaim_ = 0;
};

// One host that is home of all shards, with a working platform.
struct Run
{
  explicit Run(const Load& aLoad)
    : load_(aLoad)
    , random_(aLoad.seed_)
  {
    state_.settings_.instance_ = "i1";
    state_.settings_.shards_ = aLoad.shards_;
    state_.settings_.maxOpenBytes_ = aLoad.maxOpenBytes_;
  }

  void Give(const claims::Event& aEvent)
  {
    for (const auto& effect : claims::Step(state_, aEvent)) {
      if (const auto* const command = std::get_if<platform::Command>(&effect)) {
        Carry(*command);
      } else if (const auto* const answer =
                   std::get_if<claims::ClaimResponse>(&effect)) {
        OnAnswer(*answer);
      }
    }
  }

  void Carry(const platform::Command& aCommand)
  {
    timeline_.After(kPlatformLatency, [this, aCommand] {
      Give(
        claims::PlatformReplied{ platform_.Apply(aCommand), timeline_.now_ });
    });
  }

  void Ask()
  {
    const auto ticket = ++ticket_;
    asked_[ticket] = timeline_.now_;
    Give(claims::ClaimRequest{ ticket,
                               "w",
                               absl::StrCat("k", ticket),
                               absl::StrCat("a", ticket),
                               "entry-17",
                               "d",
                               timeline_.now_ });
  }

  void OnAnswer(const claims::ClaimResponse& aAnswer)
  {
    if (aAnswer.verdict_ != claims::Verdict::Granted) {
      return;
    }
    const auto wait = timeline_.now_ - asked_.at(aAnswer.ticket_);
    asked_.erase(aAnswer.ticket_);
    ++granted_;
    totalWait_ += wait;
    longestWait_ = std::max(longestWait_, wait);
    timeline_.After(kCallTime,
                    [this, ticket = aAnswer.ticket_] { Report(ticket); });
  }

  void Report(std::uint64_t aClaim)
  {
    Give(claims::OutcomeReport{
      ++ticket_ + kReportTickets,
      "w",
      absl::StrCat("k", aClaim),
      absl::StrCat("a", aClaim),
      claims::AttemptOutcome::Done,
      { 200, "application/json", std::string(kAnswerBytes, 'x') },
      timeline_.now_ });
  }

  // Arrivals are independent of each other and of the answers.
  void ArriveForEver()
  {
    std::exponential_distribution<double> gap(load_.claimsPerSecond_);
    timeline_.After(absl::Seconds(gap(random_)), [this] {
      ++arrived_;
      Ask();
      ArriveForEver();
    });
  }

  void TickForEver()
  {
    timeline_.After(kTick, [this] {
      Give(claims::Tick{ timeline_.now_ });
      TickForEver();
    });
  }

  static constexpr std::uint64_t kReportTickets = 1ULL << 60U;

  Load load_;
  std::mt19937_64 random_;
  Timeline timeline_;
  FakePlatform platform_;
  claims::State state_;
  std::map<std::uint64_t, absl::Time> asked_;
  std::uint64_t ticket_ = 0;
  std::uint64_t arrived_ = 0;
  std::uint64_t granted_ = 0;
  absl::Duration totalWait_;
  absl::Duration longestWait_;
};

// Lets a new host take over the shard of the first key.
void
MeasureTakeover(Run& aRun, Figures& aFigures)
{
  const auto callsBefore = aRun.platform_.calls_;
  const absl::Time start = absl::Now();
  claims::State fresh;
  fresh.settings_.instance_ = "i2";
  auto effects =
    claims::Step(fresh,
                 claims::ClaimRequest{
                   1, "w", "k1", "other", "h", "d", aRun.timeline_.now_ });
  bool isAnswered = false;
  while (!isAnswered) {
    std::vector<claims::Effect> next;
    for (const auto& effect : effects) {
      isAnswered |= std::holds_alternative<claims::ClaimResponse>(effect);
      if (const auto* const command = std::get_if<platform::Command>(&effect)) {
        const auto reply = aRun.platform_.Apply(*command);
        aFigures.takeoverBytes_ += reply.value_.size();
        auto more = claims::Step(
          fresh, claims::PlatformReplied{ reply, aRun.timeline_.now_ });
        next.insert(next.end(), more.begin(), more.end());
      }
    }
    effects = std::move(next);
  }
  aFigures.takeoverCpu_ = absl::Now() - start;
  aFigures.takeoverReads_ = aRun.platform_.calls_ - callsBefore;
}

Figures
Measure(const Load& aLoad)
{
  Run run(aLoad);
  run.TickForEver();
  run.ArriveForEver();
  run.timeline_.RunUntil(run.timeline_.now_ + aLoad.time_);
  const double seconds = absl::ToDoubleSeconds(aLoad.time_);
  const auto& store = run.platform_;
  Figures figures;
  figures.claims_ = run.arrived_;
  figures.granted_ = run.granted_;
  const auto claimed = static_cast<double>(run.arrived_);
  figures.callsPerClaim_ = static_cast<double>(store.calls_) / claimed;
  figures.writesPerSecond_ = static_cast<double>(store.writes_) / seconds;
  figures.bytesPerSecond_ = static_cast<double>(store.bytesWritten_) / seconds;
  figures.largestValue_ = store.largestValue_;
  figures.meanWait_ = run.totalWait_ / static_cast<double>(run.granted_);
  figures.longestWait_ = run.longestWait_;
  const auto usage = claims::UsageOf(run.state_);
  figures.indexBytesPerClaim_ =
    static_cast<double>(usage.indexBytes_) / static_cast<double>(usage.claims_);
  MeasureTakeover(run, figures);
  return figures;
}

std::string
Describe(const Load& aLoad, const Figures& aFigures)
{
  return absl::StrFormat(
    "%.1f claims/s on %d shards for %.0f s: %d claims, %.2f calls/claim, "
    "%.0f writes/s, %.1f KB/s written, largest value %.0f KB, wait mean "
    "%.1f ms longest %.0f ms, take-over of one shard %d reads %.0f KB %.1f ms "
    "of computing, index %.0f B/claim",
    aLoad.claimsPerSecond_,
    aLoad.shards_,
    absl::ToDoubleSeconds(aLoad.time_),
    aFigures.claims_,
    aFigures.callsPerClaim_,
    aFigures.writesPerSecond_,
    aFigures.bytesPerSecond_ / 1000,
    static_cast<double>(aFigures.largestValue_) / 1000,
    absl::ToDoubleMilliseconds(aFigures.meanWait_),
    absl::ToDoubleMilliseconds(aFigures.longestWait_),
    aFigures.takeoverReads_,
    static_cast<double>(aFigures.takeoverBytes_) / 1000,
    absl::ToDoubleMilliseconds(aFigures.takeoverCpu_),
    aFigures.indexBytesPerClaim_);
}

} // namespace

TEST_CASE("platform calls per claim fall as the load grows")
{
  const Load one{ 1 };
  const Load fifty{ 50 };
  const Load many{ 500 };
  const auto atOne = Measure(one);
  const auto atFifty = Measure(fifty);
  const auto atMany = Measure(many);
  INFO(Describe(one, atOne));
  INFO(Describe(fifty, atFifty));
  INFO(Describe(many, atMany));
  // A claim and its outcome each take a write when nothing shares it.
  CHECK(atOne.callsPerClaim_ < 2.5);
  CHECK(atFifty.callsPerClaim_ < 1.0);
  CHECK(atMany.callsPerClaim_ < 0.25);
  CHECK(atOne.meanWait_ < absl::Milliseconds(15));
  CHECK(atMany.meanWait_ < absl::Milliseconds(65));
  CHECK(atMany.granted_ > atMany.claims_ * 99 / 100);
}

TEST_CASE("figures of the design note", "[.figures]")
{
  for (const double rate : { 1.0, 50.0, 500.0 }) {
    const Load load{ rate };
    WARN(Describe(load, Measure(load)));
  }
  for (const std::uint32_t shards : { 4U, 8U, 16U, 32U, 64U }) {
    const Load load{ 90, absl::Minutes(20), shards };
    WARN(Describe(load, Measure(load)));
  }
}

TEST_CASE("figures of shorter registers", "[.open]")
{
  for (const std::uint32_t shards : { 8U, 32U, 64U }) {
    for (const std::uint32_t open :
         { 2U << 10U, 4U << 10U, 8U << 10U, 16U << 10U }) {
      const Load load{ 90, absl::Minutes(20), shards, 1, open };
      WARN(open << " bytes open: " << Describe(load, Measure(load)));
    }
  }
}

// Takes some minutes.
TEST_CASE("figures of a whole day", "[.day]")
{
  // One shard of 8, 16, 32 and 64 that share 90 claims/s.
  for (const std::uint32_t open : { 4U << 10U, 16U << 10U }) {
    for (const double shards : { 8.0, 16.0, 32.0, 64.0 }) {
      const Load load{ 90 / shards, absl::Hours(24), 1, 1, open };
      WARN(open << " bytes open: " << Describe(load, Measure(load)));
    }
  }
}
