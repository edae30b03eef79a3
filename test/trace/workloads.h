#ifndef LYCHEEPLANK_TEST_TRACE_WORKLOADS_H
#define LYCHEEPLANK_TEST_TRACE_WORKLOADS_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "lycheeplank/config.h"

// Two small workloads with which policies are compared, generated from a seed.
// Times are in seconds; days are shortened to keep the traces small.
namespace lycheeplank::trace {

inline constexpr std::uint32_t kBlockTokens = 2000;
inline constexpr std::uint64_t kKvBytesPerToken = 1000;
inline constexpr std::uint64_t kBlockBytes = kBlockTokens * kKvBytesPerToken;

struct Arrival
{
  double at_ = 0.0;
  std::uint32_t prompt_ = 0;
  bool interactive_ = true;
  // Infinity for interactive runs.
  double deadline_ = 0.0;
};

struct Prompt
{
  std::uint32_t workspace_ = 0;
  std::uint32_t blocks_ = 0;
  // Tokens after the last full block.
  std::uint32_t tailTokens_ = 0;
};

struct Workload
{
  std::string name_;
  std::uint32_t engines_ = 0;
  std::uint32_t cacheBlocks_ = 64;
  double prefillRate_ = 20000.0;
  std::uint32_t stores_ = 2;
  double linkRate_ = 100e6;
  std::uint64_t storeBytes_ = 0;
  std::uint32_t workspaces_ = 10;
  config::Objective objective_;
  // Arrivals before this time are not measured.
  double warmUp_ = 0.0;
  double end_ = 0.0;
  std::vector<Prompt> prompts_;
  std::vector<Arrival> arrivals_;
};

// A seeded random generator with equal results on all platforms.
struct Random
{
  std::mt19937_64 engine_;
};

inline double
Uniform(Random& aRandom)
{
  return (static_cast<double>(aRandom.engine_() >> 11U) + 0.5) /
         9007199254740992.0;
}

inline std::uint32_t
Between(Random& aRandom, std::uint32_t aLow, std::uint32_t aHigh)
{
  return aLow +
         static_cast<std::uint32_t>(Uniform(aRandom) * (aHigh - aLow + 1));
}

inline double
Exponential(Random& aRandom, double aMean)
{
  return -aMean * std::log(Uniform(aRandom));
}

// Returns a log-normal number; aSigma is the standard deviation of its
// logarithm.
inline double
LogNormal(Random& aRandom, double aMedian, double aSigma)
{
  const double radius = std::sqrt(-2.0 * std::log(Uniform(aRandom)));
  const double angle = 6.283185307179586 * Uniform(aRandom);
  return aMedian * std::exp(aSigma * radius * std::cos(angle));
}

inline std::uint32_t
AddPrompt(Workload& aWorkload,
          Random& aRandom,
          std::uint32_t aWorkspace,
          std::uint32_t aMinBlocks,
          std::uint32_t aMaxBlocks)
{
  aWorkload.prompts_.push_back({ aWorkspace,
                                 Between(aRandom, aMinBlocks, aMaxBlocks),
                                 Between(aRandom, 1, kBlockTokens - 1) });
  return static_cast<std::uint32_t>(aWorkload.prompts_.size() - 1);
}

inline void
AddArrival(Workload& aWorkload, double aAt, std::uint32_t aPrompt)
{
  if (aAt < aWorkload.end_) {
    aWorkload.arrivals_.push_back(
      { aAt, aPrompt, true, std::numeric_limits<double>::infinity() });
  }
}

inline void
SortArrivals(Workload& aWorkload)
{
  std::stable_sort(aWorkload.arrivals_.begin(),
                   aWorkload.arrivals_.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.at_ < aRight.at_;
                   });
}

// Makes a workload in which the long outlines of a few workspaces return
// several times after long gaps and compete with enrolment lists that are read
// once. Busy minutes alternate with quiet ones.
inline Workload
MakeCooperative(std::uint64_t aSeed, double aRunsPerSecond)
{
  constexpr double kBusyFactor = 2.0;
  constexpr double kPeriod = 300.0;
  constexpr double kBusyPart = 0.2;
  constexpr double kOutlineShare = 0.6;
  constexpr std::uint32_t kOutlines = 500;
  Workload workload;
  workload.name_ = "co-operative";
  workload.engines_ = 20;
  workload.storeBytes_ = 14'000'000'000;
  workload.objective_ = { 1.0, 0.005, 0.0005 };
  workload.warmUp_ = 2400.0;
  workload.end_ = 6000.0;
  Random random{ std::mt19937_64(aSeed) };
  std::vector<std::uint32_t> outlines;
  std::vector<double> nextAt;
  for (std::uint32_t i = 0; i < kOutlines; ++i) {
    const std::uint32_t workspace = i % 10 < 8 ? i % 2 : 2 + i % 3;
    outlines.push_back(AddPrompt(workload, random, workspace, 10, 40));
  }
  const double quiet =
    aRunsPerSecond / (kBusyPart * kBusyFactor + 1.0 - kBusyPart);
  double at = 0.0;
  while (at < workload.end_) {
    const bool busy = std::fmod(at, kPeriod) < kBusyPart * kPeriod;
    at += Exponential(random, 1.0 / (busy ? quiet * kBusyFactor : quiet));
    if (Uniform(random) < kOutlineShare) {
      AddArrival(workload, at, outlines[Between(random, 0, kOutlines - 1)]);
    } else {
      const auto workspace = Between(random, 5, 9);
      AddArrival(workload, at, AddPrompt(workload, random, workspace, 5, 20));
    }
  }
  SortArrivals(workload);
  return workload;
}

// Makes a workload in which logbooks are digested as batch work each night,
// with a deadline at its end. Interactive runs read entries, mostly once.
inline Workload
MakeAuthority(std::uint64_t aSeed)
{
  constexpr double kDay = 3600.0;
  constexpr double kNight = 900.0;
  constexpr std::uint32_t kLogbooks = 200;
  constexpr double kReadsPerSecond = 2.0;
  constexpr double kReturnShare = 0.2;
  Workload workload;
  workload.name_ = "authority";
  workload.engines_ = 12;
  workload.linkRate_ = 30e6;
  workload.storeBytes_ = 12'000'000'000;
  workload.objective_ = { 0.05, 1.0, 0.01 };
  workload.warmUp_ = 2.0 * kDay;
  workload.end_ = 6.0 * kDay;
  Random random{ std::mt19937_64(aSeed) };
  for (std::uint32_t i = 0; i < kLogbooks; ++i) {
    const auto prompt = AddPrompt(workload, random, i % 3, 20, 40);
    for (double night = 0.0; night < workload.end_; night += kDay) {
      const double at = night + Uniform(random) * kNight / 2.0;
      workload.arrivals_.push_back({ at, prompt, false, night + kNight });
    }
  }
  for (double at = 0.0; at < workload.end_;) {
    at += Exponential(random, 1.0 / kReadsPerSecond);
    const auto workspace = Between(random, 3, 9);
    const auto prompt = AddPrompt(workload, random, workspace, 3, 12);
    AddArrival(workload, at, prompt);
    if (workspace < 5 && Uniform(random) < kReturnShare) {
      AddArrival(workload, at + LogNormal(random, 600.0, 0.7), prompt);
    }
  }
  SortArrivals(workload);
  return workload;
}

} // namespace lycheeplank::trace

#endif
