#include <algorithm>
#include <memory>
#include <random>

#include <absl/strings/str_format.h>
#include <catch2/catch.hpp>

#include "claims-fakes.h"
#include "lycheeplank/claims.h"

// Counts platform calls and bytes under a constant mean load, on a virtual
// clock.

namespace claims = lycheeplank::claims;
namespace platform = lycheeplank::platform;
using claims::test::FakePlatform;
using claims::test::Timeline;

namespace {

constexpr absl::Duration kPlatformLatency = absl::Milliseconds(5);
constexpr absl::Duration kTickInterval = absl::Milliseconds(5);
constexpr absl::Duration kCallDuration = absl::Milliseconds(200);
constexpr std::size_t kAnswerBytes = 100;

struct Load
{
  double claimsPerSecond_ = 1;
  absl::Duration duration_ = absl::Seconds(60);
  std::uint32_t shards_ = 8;
  std::uint64_t seed_ = 1;
  std::uint32_t maxOpenBytes_ = claims::Settings().maxOpenBytes_;
};

struct Measurements
{
  std::uint64_t claims_ = 0;
  std::uint64_t granted_ = 0;
  double callsPerClaim_ = 0;
  double writesPerSecond_ = 0;
  double bytesPerSecond_ = 0;
  std::size_t largestValue_ = 0;
  absl::Duration meanWait_;
  absl::Duration longestWait_;
  // For a host that starts without state and takes over one shard.
  std::uint64_t takeoverReads_ = 0;
  std::uint64_t takeoverBytes_ = 0;
  // Elapsed computing time of the takeover, without the platform's latency.
  absl::Duration takeoverCpu_;
  double indexBytesPerClaim_ = 0;
};

// One host that serves all shards, with a platform without faults.
struct LoadRun
{
  explicit LoadRun(const Load& aLoad)
    : load_(aLoad)
    , random_(aLoad.seed_)
  {
    state_.settings_.instance_ = "i1";
    state_.settings_.shards_ = aLoad.shards_;
    state_.settings_.maxOpenBytes_ = aLoad.maxOpenBytes_;
  }

  void HandleEvent(const claims::Event& aEvent)
  {
    for (const auto& effect : claims::Step(state_, aEvent)) {
      if (const auto* const command = std::get_if<platform::Command>(&effect)) {
        ExecuteCommand(*command);
      } else if (const auto* const answer =
                   std::get_if<claims::ClaimResponse>(&effect)) {
        OnResponse(*answer);
      }
    }
  }

  void ExecuteCommand(const platform::Command& aCommand)
  {
    timeline_.After(kPlatformLatency, [this, aCommand] {
      HandleEvent(
        claims::PlatformReplied{ platform_.Apply(aCommand), timeline_.now_ });
    });
  }

  void RequestClaim()
  {
    const auto ticket = ++ticket_;
    requestedAt_[ticket] = timeline_.now_;
    HandleEvent(claims::ClaimRequest{ ticket,
                                      "w",
                                      absl::StrCat("k", ticket),
                                      absl::StrCat("a", ticket),
                                      "entry-17",
                                      "d",
                                      timeline_.now_ });
  }

  void OnResponse(const claims::ClaimResponse& aAnswer)
  {
    if (aAnswer.verdict_ != claims::Verdict::Granted) {
      return;
    }
    const auto wait = timeline_.now_ - requestedAt_.at(aAnswer.ticket_);
    requestedAt_.erase(aAnswer.ticket_);
    ++granted_;
    totalWait_ += wait;
    longestWait_ = std::max(longestWait_, wait);
    timeline_.After(kCallDuration,
                    [this, ticket = aAnswer.ticket_] { ReportDone(ticket); });
  }

  void ReportDone(std::uint64_t aClaim)
  {
    HandleEvent(claims::OutcomeReport{
      ++ticket_ + kReportTicketOffset,
      "w",
      absl::StrCat("k", aClaim),
      absl::StrCat("a", aClaim),
      claims::AttemptOutcome::Done,
      { 200, "application/json", std::string(kAnswerBytes, 'x') },
      timeline_.now_ });
  }

  // Schedules claim requests with exponentially distributed gaps, independent
  // of the responses.
  void ScheduleArrivals()
  {
    std::exponential_distribution<double> gap(load_.claimsPerSecond_);
    timeline_.After(absl::Seconds(gap(random_)), [this] {
      ++arrived_;
      RequestClaim();
      ScheduleArrivals();
    });
  }

  void ScheduleTicks()
  {
    timeline_.After(kTickInterval, [this] {
      HandleEvent(claims::Tick{ timeline_.now_ });
      ScheduleTicks();
    });
  }

  static constexpr std::uint64_t kReportTicketOffset = 1ULL << 60U;

  Load load_;
  std::mt19937_64 random_;
  Timeline timeline_;
  FakePlatform platform_;
  claims::State state_;
  std::map<std::uint64_t, absl::Time> requestedAt_;
  std::uint64_t ticket_ = 0;
  std::uint64_t arrived_ = 0;
  std::uint64_t granted_ = 0;
  absl::Duration totalWait_;
  absl::Duration longestWait_;
};

// Measures how a new host takes over the shard of the first key.
void
MeasureTakeover(LoadRun& aLoadRun, Measurements& aMeasurements)
{
  const auto callsBefore = aLoadRun.platform_.calls_;
  const absl::Time start = absl::Now();
  claims::State fresh;
  fresh.settings_.instance_ = "i2";
  auto effects =
    claims::Step(fresh,
                 claims::ClaimRequest{
                   1, "w", "k1", "other", "h", "d", aLoadRun.timeline_.now_ });
  bool isAnswered = false;
  while (!isAnswered) {
    std::vector<claims::Effect> next;
    for (const auto& effect : effects) {
      isAnswered |= std::holds_alternative<claims::ClaimResponse>(effect);
      if (const auto* const command = std::get_if<platform::Command>(&effect)) {
        const auto reply = aLoadRun.platform_.Apply(*command);
        aMeasurements.takeoverBytes_ += reply.value_.size();
        auto more = claims::Step(
          fresh, claims::PlatformReplied{ reply, aLoadRun.timeline_.now_ });
        next.insert(next.end(), more.begin(), more.end());
      }
    }
    effects = std::move(next);
  }
  aMeasurements.takeoverCpu_ = absl::Now() - start;
  aMeasurements.takeoverReads_ = aLoadRun.platform_.calls_ - callsBefore;
}

Measurements
Measure(const Load& aLoad)
{
  LoadRun run(aLoad);
  run.ScheduleTicks();
  run.ScheduleArrivals();
  run.timeline_.RunUntil(run.timeline_.now_ + aLoad.duration_);
  const double seconds = absl::ToDoubleSeconds(aLoad.duration_);
  const auto& store = run.platform_;
  Measurements measurements;
  measurements.claims_ = run.arrived_;
  measurements.granted_ = run.granted_;
  const auto claimed = static_cast<double>(run.arrived_);
  measurements.callsPerClaim_ = static_cast<double>(store.calls_) / claimed;
  measurements.writesPerSecond_ = static_cast<double>(store.writes_) / seconds;
  measurements.bytesPerSecond_ =
    static_cast<double>(store.bytesWritten_) / seconds;
  measurements.largestValue_ = store.largestValue_;
  measurements.meanWait_ = run.totalWait_ / static_cast<double>(run.granted_);
  measurements.longestWait_ = run.longestWait_;
  const auto usage = claims::UsageOf(run.state_);
  measurements.indexBytesPerClaim_ =
    static_cast<double>(usage.indexBytes_) / static_cast<double>(usage.claims_);
  MeasureTakeover(run, measurements);
  return measurements;
}

std::string
Describe(const Load& aLoad, const Measurements& aMeasurements)
{
  return absl::StrFormat(
    "%.1f claims/s on %d shards for %.0f s: %d claims, %.2f calls/claim, "
    "%.0f writes/s, %.1f KB/s written, largest value %.0f KB, wait mean "
    "%.1f ms longest %.0f ms, takeover of one shard %d reads %.0f KB %.1f ms "
    "of computing, index %.0f B/claim",
    aLoad.claimsPerSecond_,
    aLoad.shards_,
    absl::ToDoubleSeconds(aLoad.duration_),
    aMeasurements.claims_,
    aMeasurements.callsPerClaim_,
    aMeasurements.writesPerSecond_,
    aMeasurements.bytesPerSecond_ / 1000,
    static_cast<double>(aMeasurements.largestValue_) / 1000,
    absl::ToDoubleMilliseconds(aMeasurements.meanWait_),
    absl::ToDoubleMilliseconds(aMeasurements.longestWait_),
    aMeasurements.takeoverReads_,
    static_cast<double>(aMeasurements.takeoverBytes_) / 1000,
    absl::ToDoubleMilliseconds(aMeasurements.takeoverCpu_),
    aMeasurements.indexBytesPerClaim_);
}

} // namespace

TEST_CASE("platform calls per claim decrease as the load grows")
{
  const Load low{ 1 };
  const Load medium{ 50 };
  const Load high{ 500 };
  const auto atLow = Measure(low);
  const auto atMedium = Measure(medium);
  const auto atHigh = Measure(high);
  INFO(Describe(low, atLow));
  INFO(Describe(medium, atMedium));
  INFO(Describe(high, atHigh));
  // At low load a claim and its outcome each need a write of their own.
  CHECK(atLow.callsPerClaim_ < 2.5);
  CHECK(atMedium.callsPerClaim_ < 1.0);
  CHECK(atHigh.callsPerClaim_ < 0.25);
  CHECK(atLow.meanWait_ < absl::Milliseconds(15));
  CHECK(atHigh.meanWait_ < absl::Milliseconds(65));
  CHECK(atHigh.granted_ > atHigh.claims_ * 99 / 100);
}

TEST_CASE("measurements for the design note", "[.figures]")
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

TEST_CASE("measurements of smaller registers", "[.open]")
{
  for (const std::uint32_t shards : { 8U, 32U, 64U }) {
    for (const std::uint32_t open :
         { 2U << 10U, 4U << 10U, 8U << 10U, 16U << 10U }) {
      const Load load{ 90, absl::Minutes(20), shards, 1, open };
      WARN(open << " bytes open: " << Describe(load, Measure(load)));
    }
  }
}

// Takes several minutes.
TEST_CASE("measurements of a whole day", "[.day]")
{
  // Simulates one of 8, 16, 32 or 64 shards that share 90 claims/s.
  for (const std::uint32_t open : { 4U << 10U, 16U << 10U }) {
    for (const double shards : { 8.0, 16.0, 32.0, 64.0 }) {
      const Load load{ 90 / shards, absl::Hours(24), 1, 1, open };
      WARN(open << " bytes open: " << Describe(load, Measure(load)));
    }
  }
}
