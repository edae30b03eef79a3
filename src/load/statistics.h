#ifndef LYCHEEPLANK_LOAD_STATISTICS_H
#define LYCHEEPLANK_LOAD_STATISTICS_H

#include <cstddef>
#include <vector>

namespace lycheeplank::load {

// Percentiles of a set of samples.
struct Summary
{
  std::size_t count_ = 0;
  double mean_ = 0.0;
  double p50_ = 0.0;
  double p95_ = 0.0;
  double p99_ = 0.0;
  double max_ = 0.0;
};

// Returns the smallest sample that is not below the given part of all; the
// samples have to be sorted.
double
Percentile(const std::vector<double>& aSorted, double aPart);

Summary
Summarise(std::vector<double> aSamples);

} // namespace lycheeplank::load

#endif
