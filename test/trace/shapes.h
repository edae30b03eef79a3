#ifndef LYCHEEPLANK_TEST_TRACE_SHAPES_H
#define LYCHEEPLANK_TEST_TRACE_SHAPES_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "lycheeplank/config.h"

// Two small seeded workloads for the comparison of policies. Times are in
// seconds; days are shortened to keep the traces small.
namespace lycheeplank::trace {

inline constexpr std::uint32_t kBlockTokens = 2000;
inline constexpr std::uint64_t kKvBytesPerToken = 1000;
inline constexpr std::uint64_t kBlockBytes = kBlockTokens * kKvBytesPerToken;

struct Arrival
{
  double at_ = 0.0;
  std::uint32_t prompt_ = 0;
  bool interactive_ = true;
  // Infinite for interactive runs.
  double deadline_ = 0.0;
};

struct Prompt
{
  std::uint32_t workspace_ = 0;
  std::uint32_t blocks_ = 0;
  // Tokens after the last full block.
  std::uint32_t tailTokens_ = 0;
};

struct Shape
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
  // Results count from here on.
  double warmUp_ = 0.0;
  double end_ = 0.0;
  std::vector<Prompt> prompts_;
  std::vector<Arrival> arrivals_;
};

// A seeded source of numbers, equal on all platforms.
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

// Log-normal with the given median and spread of the logarithm.
inline double
LogNormal(Random& aRandom, double aMedian, double aSigma)
{
  const double radius = std::sqrt(-2.0 * std::log(Uniform(aRandom)));
  const double angle = 6.283185307179586 * Uniform(aRandom);
  return aMedian * std::exp(aSigma * radius * std::cos(angle));
}

inline std::uint32_t
AddPrompt(Shape& aShape,
          Random& aRandom,
          std::uint32_t aWorkspace,
          std::uint32_t aMinBlocks,
          std::uint32_t aMaxBlocks)
{
  aShape.prompts_.push_back({ aWorkspace,
                              Between(aRandom, aMinBlocks, aMaxBlocks),
                              Between(aRandom, 1, kBlockTokens - 1) });
  return static_cast<std::uint32_t>(aShape.prompts_.size() - 1);
}

inline void
AddArrival(Shape& aShape, double aAt, std::uint32_t aPrompt)
{
  if (aAt < aShape.end_) {
    aShape.arrivals_.push_back(
      { aAt, aPrompt, true, std::numeric_limits<double>::infinity() });
  }
}

inline void
SortArrivals(Shape& aShape)
{
  std::stable_sort(aShape.arrivals_.begin(),
                   aShape.arrivals_.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.at_ < aRight.at_;
                   });
}

// Long outlines of a few workspaces are read, return several times after long
// gaps, and compete with enrolment lists that are read once. Busy minutes
// alternate with quiet ones.
inline Shape
MakeCooperative(std::uint64_t aSeed, double aRunsPerSecond)
{
  constexpr double kBusyFactor = 2.0;
  constexpr double kPeriod = 300.0;
  constexpr double kBusyPart = 0.2;
  constexpr double kOutlineShare = 0.6;
  constexpr std::uint32_t kOutlines = 500;
  Shape shape;
  shape.name_ = "co-operative";
  shape.engines_ = 20;
  shape.storeBytes_ = 14'000'000'000;
  shape.objective_ = { 1.0, 0.005, 0.0005 };
  shape.warmUp_ = 2400.0;
  shape.end_ = 6000.0;
  Random random{ std::mt19937_64(aSeed) };
  std::vector<std::uint32_t> outlines;
  std::vector<double> nextAt;
  for (std::uint32_t i = 0; i < kOutlines; ++i) {
    const std::uint32_t workspace = i % 10 < 8 ? i % 2 : 2 + i % 3;
    outlines.push_back(AddPrompt(shape, random, workspace, 10, 40));
  }
  const double quiet =
    aRunsPerSecond / (kBusyPart * kBusyFactor + 1.0 - kBusyPart);
  double at = 0.0;
  while (at < shape.end_) {
    const bool busy = std::fmod(at, kPeriod) < kBusyPart * kPeriod;
    at += Exponential(random, 1.0 / (busy ? quiet * kBusyFactor : quiet));
    if (Uniform(random) < kOutlineShare) {
      AddArrival(shape, at, outlines[Between(random, 0, kOutlines - 1)]);
    } else {
      const auto workspace = Between(random, 5, 9);
      AddArrival(shape, at, AddPrompt(shape, random, workspace, 5, 20));
    }
  }
  SortArrivals(shape);
  return shape;
}

// Logbooks are digested each night and must be done before dawn; by day,
// entries are read on request, mostly once.
inline Shape
MakeAuthority(std::uint64_t aSeed)
{
  constexpr double kDay = 3600.0;
  constexpr double kNight = 900.0;
  constexpr std::uint32_t kLogbooks = 200;
  constexpr double kReadsPerSecond = 2.0;
  constexpr double kReturnShare = 0.2;
  Shape shape;
  shape.name_ = "authority";
  shape.engines_ = 12;
  shape.linkRate_ = 30e6;
  shape.storeBytes_ = 12'000'000'000;
  shape.objective_ = { 0.05, 1.0, 0.01 };
  shape.warmUp_ = 2.0 * kDay;
  shape.end_ = 6.0 * kDay;
  Random random{ std::mt19937_64(aSeed) };
  for (std::uint32_t i = 0; i < kLogbooks; ++i) {
    const auto prompt = AddPrompt(shape, random, i % 3, 20, 40);
    for (double night = 0.0; night < shape.end_; night += kDay) {
      const double at = night + Uniform(random) * kNight / 2.0;
      shape.arrivals_.push_back({ at, prompt, false, night + kNight });
    }
  }
  for (double at = 0.0; at < shape.end_;) {
    at += Exponential(random, 1.0 / kReadsPerSecond);
    const auto workspace = Between(random, 3, 9);
    const auto prompt = AddPrompt(shape, random, workspace, 3, 12);
    AddArrival(shape, at, prompt);
    if (workspace < 5 && Uniform(random) < kReturnShare) {
      AddArrival(shape, at + LogNormal(random, 600.0, 0.7), prompt);
    }
  }
  SortArrivals(shape);
  return shape;
}

} // namespace lycheeplank::trace

#endif
