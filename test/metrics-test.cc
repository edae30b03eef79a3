#include "lycheeplank/metrics.h"

#include <absl/strings/match.h>
#include <catch2/catch.hpp>

namespace metrics = lycheeplank::metrics;

TEST_CASE("counters count each label value separately")
{
  metrics::Registry registry;
  registry.Count("refusals_total", "kind", "no_target");
  registry.Count("refusals_total", "kind", "no_target", 2);
  registry.Count("refusals_total", "kind", "draining");
  CHECK(registry.CounterValue("refusals_total", "no_target") == 3);
  CHECK(registry.CounterValue("refusals_total", "draining") == 1);
  CHECK(absl::StrContains(
    registry.Text(), "lycheeplank_refusals_total{kind=\"no_target\"} 3\n"));
}

TEST_CASE("a histogram counts every duration once, also the extreme ones")
{
  metrics::Registry registry;
  registry.Observe("ttft_seconds", absl::ZeroDuration());
  registry.Observe("ttft_seconds", absl::Milliseconds(20));
  registry.Observe("ttft_seconds", absl::Hours(1));
  const std::string text = registry.Text();
  CHECK(absl::StrContains(text, "lycheeplank_ttft_seconds_count 3\n"));
  CHECK(absl::StrContains(text, "_bucket{le=\"+Inf\"} 3\n"));
}
