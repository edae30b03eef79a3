#include <cstdio>

#include <catch2/catch.hpp>

#include "trace/runner.h"

namespace config = lycheeplank::config;
namespace trace = lycheeplank::trace;

namespace {

struct Row
{
  const char* name_;
  config::Policy policy_;
  trace::Keeping keeping_;
};

constexpr std::array<Row, 6> kRows{ {
  { "round-robin", config::Policy::RoundRobin, trace::Keeping::Nothing },
  { "least-loaded", config::Policy::LeastLoaded, trace::Keeping::Nothing },
  { "sticky", config::Policy::Sticky, trace::Keeping::Nothing },
  { "never-import", config::Policy::NeverImport, trace::Keeping::Nothing },
  { "always-import", config::Policy::AlwaysImport, trace::Keeping::All },
  { "estimate", config::Policy::Estimate, trace::Keeping::Planned },
} };

void
Print(const trace::Shape& aShape,
      const char* aName,
      const trace::Outcome& aOutcome)
{
  std::printf("%-13s %-14s p50=%.3f p95=%.3f mean=%.3f recomputed=%.3f "
              "import_gb=%.1f export_gb=%.1f missed=%u runs=%u\n",
              aShape.name_.c_str(),
              aName,
              aOutcome.p50_,
              aOutcome.p95_,
              aOutcome.mean_,
              aOutcome.recomputed_,
              aOutcome.importedGigabytes_,
              aOutcome.exportedGigabytes_,
              aOutcome.missedDeadlines_,
              aOutcome.runs_);
}

void
PrintAll(const trace::Shape& aShape, trace::Fault aFault)
{
  for (const auto& row : kRows) {
    trace::Rules rules;
    rules.policy_ = row.policy_;
    rules.keeping_ = row.keeping_;
    rules.fault_ = aFault;
    Print(aShape, row.name_, trace::Play(aShape, rules, 1));
  }
}

} // namespace

TEST_CASE("figures of all policies", "[.figures]")
{
  for (const double rate : { 2.0, 3.0, 4.0, 5.0 }) {
    std::printf("rate %.1f\n", rate);
    PrintAll(trace::MakeCooperative(1, rate), trace::Fault::None);
  }
  PrintAll(trace::MakeAuthority(1), trace::Fault::None);
}
