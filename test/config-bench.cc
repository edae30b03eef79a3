#include "lycheeplank/config.h"

#include <string>

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

namespace config = lycheeplank::config;

namespace {

// Returns a document with aWorkspaces workspaces. Workspace 7 has the share
// aShare, all others have the share 1.
std::vector<config::Section>
MakeSections(std::int64_t aWorkspaces, std::int64_t aShare)
{
  std::string text = "workspaces:\n  owner: desk\n  entries:\n";
  for (std::int64_t i = 0; i < aWorkspaces; ++i) {
    const std::string digits = absl::StrCat(absl::Hex(i, absl::kZeroPad16));
    absl::StrAppend(&text, "    workspace-", i, ":\n      key_digests:\n");
    absl::StrAppend(&text, "        - ", digits, digits, digits, digits, "\n");
    absl::StrAppend(&text, "      max_running: 32\n");
    absl::StrAppend(&text, "      share: ", i == 7 ? aShare : 1, "\n");
  }
  return config::Split(text).sections_;
}

// Measures a check of the whole document.
void
ReadWhole(benchmark::State& aState)
{
  const auto sections = MakeSections(aState.range(0), 2);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(config::Check(sections));
  }
}

// Measures an incremental check after a change of one entry.
void
ReadOneChange(benchmark::State& aState)
{
  const auto before = MakeSections(aState.range(0), 2);
  const auto checked = config::Check(before);
  const auto after = MakeSections(aState.range(0), 3);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      config::CheckChanges(after, before, checked.config_));
  }
}

BENCHMARK(ReadWhole)->Arg(10)->Arg(1000)->Arg(42000)->Unit(
  benchmark::kMillisecond);
BENCHMARK(ReadOneChange)
  ->Arg(10)
  ->Arg(1000)
  ->Arg(42000)
  ->Unit(benchmark::kMillisecond);

} // namespace
