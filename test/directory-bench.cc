#include "lycheeplank/directory.h"

#include <random>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

namespace core = lycheeplank::core;
namespace directory = lycheeplank::directory;

namespace {

constexpr std::uint32_t kBlocks = 30;
constexpr std::size_t kEngines = 1200;

std::vector<core::BlockKey>
ChainOf(std::uint64_t aPrompt)
{
  std::mt19937_64 random(aPrompt);
  std::vector<core::BlockKey> chain(kBlocks);
  for (auto& key : chain) {
    key = { random(), random() };
  }
  return chain;
}

directory::HolderId
EngineOf(std::uint64_t aPrompt)
{
  return { "engine-" + std::to_string(aPrompt % kEngines),
           directory::HolderKind::Engine };
}

// Adds a prompt to one engine and one store.
void
AddPrompt(directory::State& aState, std::uint64_t aPrompt)
{
  const auto chain = ChainOf(aPrompt);
  const auto engine = EngineOf(aPrompt);
  const directory::HolderId store{ "store-" + std::to_string(aPrompt % 8),
                                   directory::HolderKind::Store };
  for (const auto& key : chain) {
    directory::Sighting sighting{ key, chain.front() };
    directory::Apply(aState, engine, sighting);
    sighting.generation_ = aPrompt;
    sighting.bytes_ = 2'000'000;
    directory::Apply(aState, store, sighting);
  }
}

directory::State
MakeState(std::uint64_t aPrompts)
{
  directory::State state;
  for (std::uint64_t i = 0; i < aPrompts; ++i) {
    AddPrompt(state, i);
  }
  return state;
}

// Prompts for each host if 260,000 are spread over 350 or 8 hosts; used as
// arguments.
constexpr std::int64_t kPromptsAt350Hosts = 1486;
constexpr std::int64_t kPromptsAt8Hosts = 65'000;

void
BenchLocate(benchmark::State& aState)
{
  const auto prompts = static_cast<std::uint64_t>(aState.range(0));
  const auto state = MakeState(prompts);
  std::vector<std::vector<core::BlockKey>> chains;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    chains.push_back(ChainOf(i * 7919 % prompts));
  }
  std::size_t next = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      directory::LocateHolders(state, chains[++next % chains.size()]));
  }
  const auto bytes = static_cast<double>(directory::MemoryBytes(state));
  aState.counters["bytes_per_block"] =
    bytes / static_cast<double>(state.blocks_.size());
  aState.counters["megabytes"] = bytes / 1e6;
}
BENCHMARK(BenchLocate)->Arg(kPromptsAt350Hosts)->Arg(kPromptsAt8Hosts);

// Measures how a prompt is added to an engine and removed again.
void
BenchApply(benchmark::State& aState)
{
  auto state = MakeState(static_cast<std::uint64_t>(aState.range(0)));
  const auto chain = ChainOf(std::uint64_t{ 1 } << 40U);
  const auto engine = EngineOf(3);
  for (auto _ : aState) {
    for (const bool present : { true, false }) {
      for (const auto& key : chain) {
        directory::Apply(state, engine, { key, chain.front(), present });
      }
    }
  }
  aState.SetItemsProcessed(aState.iterations() * 2 * kBlocks);
}
BENCHMARK(BenchApply)->Arg(kPromptsAt350Hosts)->Arg(kPromptsAt8Hosts);

// Measures an inventory that differs from the directory by one prompt.
void
BenchInventory(benchmark::State& aState)
{
  auto state = MakeState(static_cast<std::uint64_t>(aState.range(0)));
  const auto engine = EngineOf(0);
  std::vector<directory::Sighting> sightings;
  sightings.reserve(std::size_t{ 2 } * kBlocks);
  for (std::uint64_t i = 0; i < 2; ++i) {
    const auto chain = ChainOf(i * kEngines);
    for (const auto& key : chain) {
      sightings.push_back({ key, chain.front() });
    }
  }
  for (auto _ : aState) {
    directory::ApplyInventory(state, engine, sightings);
  }
}
BENCHMARK(BenchInventory)
  ->Arg(kPromptsAt350Hosts)
  ->Arg(kPromptsAt8Hosts)
  ->Unit(benchmark::kMillisecond);

std::vector<std::string>
HostNames(std::int64_t aCount)
{
  std::vector<std::string> names(static_cast<std::size_t>(aCount));
  for (std::size_t i = 0; i < names.size(); ++i) {
    names[i] = "host-" + std::to_string(i);
  }
  return names;
}

void
BenchHomes(benchmark::State& aState)
{
  const auto hosts = directory::MakeHostSet(HostNames(aState.range(0)));
  std::uint64_t next = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(directory::Homes({ next, ++next }, hosts));
  }
}
BENCHMARK(BenchHomes)->Arg(8)->Arg(350);

// Measures the plan after one of 350 hosts has left.
void
BenchHomeChange(benchmark::State& aState)
{
  const auto state = MakeState(static_cast<std::uint64_t>(aState.range(0)));
  auto names = HostNames(350);
  const auto before = directory::MakeHostSet(names);
  names.pop_back();
  const auto after = directory::MakeHostSet(names);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      directory::PlanHomeChange(state, "host-1", before, after));
  }
}
BENCHMARK(BenchHomeChange)
  ->Arg(kPromptsAt350Hosts)
  ->Unit(benchmark::kMillisecond);

} // namespace
