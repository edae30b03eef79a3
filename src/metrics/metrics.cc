#include "lycheeplank/metrics.h"

#include <utility>

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <boost/histogram.hpp>

namespace lycheeplank::metrics {

namespace {

namespace bh = boost::histogram;

constexpr absl::string_view kPrefix = "lycheeplank_";
// Range of the histogram buckets in seconds.
constexpr double kLeastSeconds = 1e-4;
constexpr double kMostSeconds = 100.0;
constexpr unsigned kBuckets = 30;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram =
  decltype(bh::make_histogram(Axis(kBuckets, kLeastSeconds, kMostSeconds)));

struct Durations
{
  Histogram histogram_ =
    bh::make_histogram(Axis(kBuckets, kLeastSeconds, kMostSeconds));
  double sum_ = 0.0;
};

struct CounterKey
{
  std::string name_;
  std::string label_;
  std::string value_;

  friend bool operator<(const CounterKey& aLeft, const CounterKey& aRight)
  {
    return std::tie(aLeft.name_, aLeft.value_, aLeft.label_) <
           std::tie(aRight.name_, aRight.value_, aRight.label_);
  }
};

// Appends counters or gauges; aType is the name of their kind.
void
AppendValues(std::string& aText,
             const absl::btree_map<CounterKey, double>& aValues,
             absl::string_view aType)
{
  const std::string* previous = nullptr;
  for (const auto& [key, value] : aValues) {
    if (previous == nullptr || *previous != key.name_) {
      absl::StrAppend(&aText, "# TYPE ", kPrefix, key.name_, " ", aType, "\n");
    }
    previous = &key.name_;
    absl::StrAppend(&aText, kPrefix, key.name_);
    if (!key.label_.empty()) {
      absl::StrAppend(&aText, "{", key.label_, "=\"", key.value_, "\"}");
    }
    absl::StrAppend(&aText, " ", value, "\n");
  }
}

void
AppendHistogram(std::string& aText,
                const std::string& aName,
                const Durations& aDurations)
{
  absl::StrAppend(&aText, "# TYPE ", kPrefix, aName, " histogram\n");
  const auto& axis = aDurations.histogram_.axis();
  double below = aDurations.histogram_.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    below += aDurations.histogram_.at(i);
    absl::StrAppend(&aText, kPrefix, aName, "_bucket{le=\"");
    absl::StrAppend(&aText, axis.bin(i).upper(), "\"} ", below, "\n");
  }
  below += aDurations.histogram_.at(axis.size());
  absl::StrAppend(&aText, kPrefix, aName, "_bucket{le=\"+Inf\"} ", below, "\n");
  absl::StrAppend(&aText, kPrefix, aName, "_sum ", aDurations.sum_, "\n");
  absl::StrAppend(&aText, kPrefix, aName, "_count ", below, "\n");
}

} // namespace

struct Registry::Impl
{
  mutable absl::Mutex mutex_;
  absl::btree_map<CounterKey, double> counters_;
  absl::btree_map<CounterKey, double> gauges_;
  absl::btree_map<std::string, Durations> durations_;
};

Registry::Registry()
  : impl_(std::make_unique<Impl>())
{
}

Registry::~Registry() = default;

void
Registry::Count(absl::string_view aName,
                absl::string_view aLabel,
                absl::string_view aValue,
                double aBy)
{
  const absl::MutexLock lock(&impl_->mutex_);
  impl_->counters_[{
    std::string(aName), std::string(aLabel), std::string(aValue) }] += aBy;
}

void
Registry::Count(absl::string_view aName, double aBy)
{
  Count(aName, "", "", aBy);
}

void
Registry::Set(absl::string_view aName, double aValue)
{
  const absl::MutexLock lock(&impl_->mutex_);
  impl_->gauges_[{ std::string(aName), {}, {} }] = aValue;
}

void
Registry::Set(absl::string_view aName,
              absl::string_view aLabel,
              absl::string_view aLabelValue,
              double aValue)
{
  const absl::MutexLock lock(&impl_->mutex_);
  impl_->gauges_[{
    std::string(aName), std::string(aLabel), std::string(aLabelValue) }] =
    aValue;
}

void
Registry::Observe(absl::string_view aName, absl::Duration aDuration)
{
  const double seconds = absl::ToDoubleSeconds(aDuration);
  const absl::MutexLock lock(&impl_->mutex_);
  Durations& durations = impl_->durations_[std::string(aName)];
  durations.histogram_(std::max(seconds, kLeastSeconds));
  durations.sum_ += seconds;
}

double
Registry::CounterValue(absl::string_view aName, absl::string_view aValue) const
{
  const absl::MutexLock lock(&impl_->mutex_);
  double value = 0.0;
  for (const auto& [key, count] : impl_->counters_) {
    if (key.name_ == aName && key.value_ == aValue) {
      value += count;
    }
  }
  return value;
}

std::string
Registry::Text() const
{
  const absl::MutexLock lock(&impl_->mutex_);
  std::string text;
  AppendValues(text, impl_->counters_, "counter");
  AppendValues(text, impl_->gauges_, "gauge");
  for (const auto& [name, durations] : impl_->durations_) {
    AppendHistogram(text, name, durations);
  }
  return text;
}

} // namespace lycheeplank::metrics
