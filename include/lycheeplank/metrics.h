#ifndef LYCHEEPLANK_METRICS_H
#define LYCHEEPLANK_METRICS_H

#include <memory>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

// Counters, gauges and histograms, written as Prometheus text.
namespace lycheeplank::metrics {

// Holds all metrics of a process. Thread-safe.
class Registry
{
public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // Adds to a counter: `Count("refusals_total", "kind", "no_target")`.
  void Count(absl::string_view aName,
             absl::string_view aLabel,
             absl::string_view aValue,
             double aBy = 1.0);
  // Adds to a counter without a label.
  void Count(absl::string_view aName, double aBy = 1.0);
  // Sets a gauge.
  void Set(absl::string_view aName, double aValue);
  // Sets a gauge with a label.
  void Set(absl::string_view aName,
           absl::string_view aLabel,
           absl::string_view aLabelValue,
           double aValue);
  // Adds one duration to a histogram in seconds.
  void Observe(absl::string_view aName, absl::Duration aDuration);

  // Returns the value of a counter, for tests; zero if it was never
  // incremented.
  double CounterValue(absl::string_view aName, absl::string_view aValue) const;
  // Returns all metrics in the Prometheus text format.
  std::string Text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lycheeplank::metrics

#endif
