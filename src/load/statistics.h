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

// Returns the percentile by nearest rank: the smallest sample that is greater
// than or equal to the given fraction (0 to 1) of all samples; 0 without
// samples. The samples must be sorted.
double
Percentile(const std::vector<double>& aSorted, double aFraction);

// Returns the mean and the percentiles; zeros without samples.
Summary
Summarise(std::vector<double> aSamples);

} // namespace lycheeplank::load

#endif
