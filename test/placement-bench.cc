#include "lycheeplank/placement.h"

#include <random>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "lycheeplank/directory.h"

namespace core = lycheeplank::core;
namespace directory = lycheeplank::directory;
namespace placement = lycheeplank::placement;

namespace {

constexpr std::uint64_t kPrompts = 260'000;
constexpr std::uint32_t kBlocks = 30;
constexpr std::size_t kHosts = 350;
constexpr std::size_t kTargetsPerDataCentre = 150;
// Number of prompts for which one host is a home.
constexpr std::uint64_t kHomePrompts = kPrompts * directory::kHomes / kHosts;

// The data on which one host decides: the directory of the prompts for which it
// is a home, and all targets.
struct HostView
{
  std::vector<std::string> names_;
  std::vector<placement::Candidate> snapshot_;
  std::vector<std::uint32_t> followed_;
  directory::State directory_;
  std::vector<std::vector<core::BlockKey>> chains_;
};

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

void
AddTargets(HostView& aView, std::size_t aTargets)
{
  std::mt19937_64 random(7);
  for (std::size_t i = 0; i < aTargets; ++i) {
    aView.names_.push_back("engine-" + std::to_string(i));
  }
  for (std::size_t i = 0; i < aTargets; ++i) {
    placement::Candidate candidate;
    candidate.name_ = aView.names_[i];
    candidate.oneWayDelay_ = absl::Milliseconds(1);
    candidate.load_ = { static_cast<std::uint32_t>(random() % 16),
                        0,
                        random() % 100000,
                        absl::Milliseconds(random() % 500) };
    candidate.maxRuns_ = 16;
    candidate.prefillTokensPerSecond_ = 20000.0;
    candidate.meanSlotTime_ = absl::Seconds(2);
    aView.snapshot_.push_back(candidate);
  }
}

void
AddPrompts(HostView& aView)
{
  std::mt19937_64 random(8);
  const directory::HolderId store{ "store-0", directory::HolderKind::Store };
  for (std::uint64_t i = 0; i < kHomePrompts; ++i) {
    auto chain = ChainOf(i);
    const auto target = random() % aView.names_.size();
    for (const auto& key : chain) {
      directory::Sighting sighting{ key, chain.front() };
      directory::Apply(aView.directory_,
                       { aView.names_[target], directory::HolderKind::Engine },
                       sighting);
      sighting.generation_ = i;
      directory::Apply(aView.directory_, store, sighting);
    }
    aView.chains_.push_back(std::move(chain));
  }
}

HostView
MakeHostView(std::size_t aTargets)
{
  HostView view;
  AddTargets(view, aTargets);
  AddPrompts(view);
  const std::size_t hosts = std::max<std::size_t>(8, aTargets * kHosts / 1200);
  std::vector<placement::Follower> followers(hosts);
  const std::size_t dataCentres = 1 + aTargets / kTargetsPerDataCentre;
  const auto dataCentreOf = [&](std::size_t aIndex) {
    return "dc" + std::to_string(aIndex % dataCentres);
  };
  for (std::size_t i = 0; i < hosts; ++i) {
    followers[i] = { "h" + std::to_string(i), dataCentreOf(i) };
  }
  for (std::uint32_t i = 0; i < aTargets; ++i) {
    if (placement::IsFollower(
          view.names_[i], dataCentreOf(i), "h0", followers, aTargets)) {
      view.followed_.push_back(i);
    }
  }
  return view;
}

// Splits the holders found in the directory into engines and import sources.
void
SplitHolders(
  const std::vector<directory::Holder>& aHolders,
  const absl::flat_hash_map<absl::string_view, std::uint32_t>& aIndex,
  std::vector<placement::HolderRef>& aEngines,
  std::vector<placement::ImportSource>& aSources)
{
  for (const auto& holder : aHolders) {
    if (holder.id_.kind_ == directory::HolderKind::Engine) {
      aEngines.push_back(
        { aIndex.at(holder.id_.name_), holder.leadingBlocks_ });
      continue;
    }
    placement::ImportSource source;
    source.store_ = holder.id_.name_;
    source.leadingBlocks_ = holder.leadingBlocks_;
    source.generations_ = holder.generations_;
    source.linkBytesPerSecond_ = 100e6;
    aSources.push_back(std::move(source));
  }
}

placement::PlacementRequest
MakeRequest(std::uint64_t aSeed)
{
  placement::PlacementRequest request;
  request.promptTokens_ = std::uint64_t{ kBlocks } * 2000;
  request.blocks_ = kBlocks;
  request.blockTokens_ = 2000;
  request.kvBytesPerToken_ = 1000;
  request.seed_ = aSeed;
  return request;
}

// Measures a whole decision at the prompt's home: look-up, short list, choice.
void
BenchDecision(benchmark::State& aState)
{
  const HostView view = MakeHostView(static_cast<std::size_t>(aState.range(0)));
  absl::flat_hash_map<absl::string_view, std::uint32_t> index;
  for (std::uint32_t i = 0; i < view.names_.size(); ++i) {
    index[view.names_[i]] = i;
  }
  std::uint64_t seed = 0;
  for (auto _ : aState) {
    const auto& chain = view.chains_[++seed % view.chains_.size()];
    const auto holders = directory::LocateHolders(view.directory_, chain);
    std::vector<placement::HolderRef> engines;
    std::vector<placement::ImportSource> sources;
    SplitHolders(holders, index, engines, sources);
    std::vector<placement::Candidate> candidates;
    for (const auto i : placement::Shortlist(view.followed_, engines, seed)) {
      candidates.push_back(view.snapshot_[i]);
      for (const auto& engine : engines) {
        if (engine.target_ == i) {
          candidates.back().cachedBlocks_ = engine.leadingBlocks_;
        }
      }
    }
    benchmark::DoNotOptimize(
      placement::ChooseTarget(MakeRequest(seed), candidates, sources));
  }
  aState.counters["followed"] = static_cast<double>(view.followed_.size());
}
BENCHMARK(BenchDecision)->Arg(24)->Arg(240)->Arg(1200);

// Measures the choice alone, with all targets as candidates.
void
BenchChooseAmongAll(benchmark::State& aState)
{
  HostView view;
  AddTargets(view, static_cast<std::size_t>(aState.range(0)));
  placement::ImportSource source;
  source.store_ = "store-0";
  source.leadingBlocks_ = kBlocks;
  source.linkBytesPerSecond_ = 100e6;
  std::uint64_t seed = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      placement::ChooseTarget(MakeRequest(++seed), view.snapshot_, { source }));
  }
}
BENCHMARK(BenchChooseAmongAll)->Arg(24)->Arg(240)->Arg(1200);

void
BenchFollowers(benchmark::State& aState)
{
  const auto hosts = static_cast<std::size_t>(aState.range(0));
  std::vector<placement::Follower> followers(hosts);
  for (std::size_t i = 0; i < hosts; ++i) {
    followers[i] = { "h" + std::to_string(i), "dc" + std::to_string(i % 8) };
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      placement::Followers("engine-1", "dc1", followers, 7));
  }
}
BENCHMARK(BenchFollowers)->Arg(8)->Arg(350);

} // namespace
