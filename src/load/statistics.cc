#include "load/statistics.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lycheeplank::load {

double
Percentile(const std::vector<double>& aSorted, double aFraction)
{
  if (aSorted.empty()) {
    return 0.0;
  }
  const double rank =
    std::ceil(aFraction * static_cast<double>(aSorted.size()));
  const auto place = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return aSorted[std::min(place, aSorted.size() - 1)];
}

Summary
Summarise(std::vector<double> aSamples)
{
  Summary summary;
  if (aSamples.empty()) {
    return summary;
  }
  std::sort(aSamples.begin(), aSamples.end());
  summary.count_ = aSamples.size();
  summary.mean_ = std::accumulate(aSamples.begin(), aSamples.end(), 0.0) /
                  static_cast<double>(aSamples.size());
  summary.p50_ = Percentile(aSamples, 0.5);
  summary.p95_ = Percentile(aSamples, 0.95);
  summary.p99_ = Percentile(aSamples, 0.99);
  summary.max_ = aSamples.back();
  return summary;
}

} // namespace lycheeplank::load
