#include "lycheeplank/directory.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

namespace core = lycheeplank::core;
namespace directory = lycheeplank::directory;

namespace {

const directory::HolderId kEngine{ "e1", directory::HolderKind::Engine };
const directory::HolderId kOtherEngine{ "e2", directory::HolderKind::Engine };
const directory::HolderId kStore{ "s1", directory::HolderKind::Store };

// Returns the block keys of an artificial prompt.
std::vector<core::BlockKey>
ChainOf(std::uint64_t aPrompt, std::size_t aBlocks)
{
  std::vector<core::BlockKey> chain;
  for (std::size_t i = 0; i < aBlocks; ++i) {
    const auto text = std::to_string(aPrompt) + "/" + std::to_string(i);
    chain.push_back({ core::StableHash(text, 1), core::StableHash(text, 2) });
  }
  return chain;
}

void
AddBlocks(directory::State& aState,
          const directory::HolderId& aHolder,
          const std::vector<core::BlockKey>& aChain,
          std::size_t aFrom,
          std::size_t aTo)
{
  for (std::size_t i = aFrom; i < aTo; ++i) {
    directory::Sighting sighting{ aChain[i], aChain.front() };
    if (aHolder.kind_ == directory::HolderKind::Store) {
      sighting.generation_ = 10 + i;
      sighting.bytes_ = 2000000;
    }
    directory::Apply(aState, aHolder, sighting);
  }
}

const directory::Holder*
FindHolder(const std::vector<directory::Holder>& aHolders,
           const std::string& aName)
{
  for (const auto& holder : aHolders) {
    if (holder.id_.name_ == aName) {
      return &holder;
    }
  }
  return nullptr;
}

} // namespace

TEST_CASE("holders are found with their leading blocks")
{
  directory::State state;
  const auto chain = ChainOf(1, 10);
  AddBlocks(state, kEngine, chain, 0, 4);
  AddBlocks(state, kStore, chain, 0, 10);
  const auto holders = directory::LocateHolders(state, chain);
  REQUIRE(holders.size() == 2);
  CHECK(FindHolder(holders, "e1")->leadingBlocks_ == 4);
  CHECK(FindHolder(holders, "s1")->leadingBlocks_ == 10);
  CHECK(FindHolder(holders, "s1")->generations_[9] == 19);
  CHECK(directory::LocateHolders(state, ChainOf(2, 10)).empty());
}

TEST_CASE(
  "a gap ends the leading blocks; for stores the blocks after it are counted")
{
  directory::State state;
  const auto chain = ChainOf(1, 10);
  AddBlocks(state, kStore, chain, 0, 3);
  AddBlocks(state, kStore, chain, 5, 10);
  AddBlocks(state, kEngine, chain, 5, 10);
  const auto holders = directory::LocateHolders(state, chain);
  REQUIRE(holders.size() == 1);
  CHECK(holders[0].leadingBlocks_ == 3);
  CHECK(holders[0].generations_.size() == 3);
  CHECK(holders[0].blocksAfterGap_ == 5);
}

TEST_CASE("a removed block is forgotten and its table entries are released")
{
  directory::State state;
  const auto chain = ChainOf(1, 3);
  AddBlocks(state, kEngine, chain, 0, 3);
  for (const auto& key : chain) {
    directory::Apply(state, kEngine, { key, chain[0], false });
  }
  CHECK(directory::LocateHolders(state, chain).empty());
  CHECK(state.blocks_.empty());
  CHECK(state.rootIndex_.empty());
  CHECK(state.freeCopies_.size() == state.copies_.size_);
}

TEST_CASE("a block missing under an old generation keeps its newer copy")
{
  directory::State state;
  const auto chain = ChainOf(1, 1);
  AddBlocks(state, kStore, chain, 0, 1);
  directory::Sighting missing{ chain[0], chain[0], false };
  missing.generation_ = 9;
  directory::Apply(state, kStore, missing);
  CHECK(directory::LocateHolders(state, chain).size() == 1);
  missing.generation_ = 10;
  directory::Apply(state, kStore, missing);
  CHECK(directory::LocateHolders(state, chain).empty());
}

TEST_CASE("a newer sighting replaces generation and tier")
{
  directory::State state;
  const auto chain = ChainOf(1, 1);
  AddBlocks(state, kStore, chain, 0, 1);
  directory::Sighting sighting{ chain[0], chain[0] };
  sighting.generation_ = 77;
  sighting.tier_ = directory::Tier::Disk;
  directory::Apply(state, kStore, sighting);
  const auto holders = directory::LocateHolders(state, chain);
  CHECK(holders[0].generations_ == std::vector<std::uint64_t>{ 77 });
  CHECK(holders[0].onDisk_);
  CHECK(state.copies_.size_ == 1);
}

TEST_CASE("an inventory replaces the known copies of its holder only")
{
  directory::State state;
  const auto first = ChainOf(1, 5);
  const auto second = ChainOf(2, 5);
  AddBlocks(state, kEngine, first, 0, 5);
  AddBlocks(state, kOtherEngine, first, 0, 5);
  std::vector<directory::Sighting> now;
  now.reserve(second.size());
  for (const auto& key : second) {
    now.push_back({ key, second[0] });
  }
  directory::ApplyInventory(state, kEngine, now);
  CHECK(FindHolder(directory::LocateHolders(state, first), "e1") == nullptr);
  CHECK(
    FindHolder(directory::LocateHolders(state, first), "e2")->leadingBlocks_ ==
    5);
  CHECK(
    FindHolder(directory::LocateHolders(state, second), "e1")->leadingBlocks_ ==
    5);
}

TEST_CASE("a dropped holder leaves nothing behind and its number is reused")
{
  directory::State state;
  const auto chain = ChainOf(1, 5);
  AddBlocks(state, kEngine, chain, 0, 5);
  AddBlocks(state, kStore, chain, 0, 5);
  directory::DropHolder(state, "e1");
  const auto holders = directory::LocateHolders(state, chain);
  REQUIRE(holders.size() == 1);
  CHECK(holders[0].id_.name_ == "s1");
  AddBlocks(state, kOtherEngine, chain, 0, 2);
  CHECK(state.holders_.size() == 2);
  CHECK(
    FindHolder(directory::LocateHolders(state, chain), "e2")->leadingBlocks_ ==
    2);
}

TEST_CASE("a run corrects what the directory holds about its engine")
{
  directory::State state;
  const auto chain = ChainOf(1, 6);
  AddBlocks(state, kEngine, chain, 0, 6);
  directory::ApplyRunResult(state, kEngine, chain, 2);
  CHECK(directory::LocateHolders(state, chain)[0].leadingBlocks_ == 2);
  directory::ApplyRunResult(state, kEngine, chain, 5);
  CHECK(directory::LocateHolders(state, chain)[0].leadingBlocks_ == 5);
}

TEST_CASE("a failed import removes old copies but not newer ones")
{
  directory::State state;
  const auto chain = ChainOf(1, 4);
  AddBlocks(state, kStore, chain, 0, 4);
  // The store's block 2 has generation 12; its block 3 has a newer one.
  directory::Apply(state, kStore, { chain[2], chain[0], false, {}, 12 });
  directory::Apply(state, kStore, { chain[3], chain[0], false, {}, 12 });
  const auto holders = directory::LocateHolders(state, chain);
  CHECK(holders[0].leadingBlocks_ == 2);
  CHECK(holders[0].blocksAfterGap_ == 1);
}

TEST_CASE("a full directory refuses new blocks and counts them")
{
  directory::State state;
  state.maxBlocks_ = 3;
  AddBlocks(state, kEngine, ChainOf(1, 5), 0, 5);
  CHECK(state.blocks_.size() == 3);
  CHECK(state.droppedSightings_ == 2);
}

TEST_CASE("missing event numbers require an inventory")
{
  using directory::SequenceResult;
  directory::EventCursor cursor;
  CHECK(directory::Advance(cursor, {}, 0) == SequenceResult::Gap);
  directory::AdvanceToInventory(cursor, 10);
  CHECK(directory::Advance(cursor, { 11, 12 }, 12) == SequenceResult::Complete);
  CHECK(directory::Advance(cursor, {}, 12) == SequenceResult::Complete);
  SECTION("in the middle")
  {
    CHECK(directory::Advance(cursor, { 13, 15 }, 15) == SequenceResult::Gap);
    CHECK(directory::Advance(cursor, { 16 }, 16) == SequenceResult::Gap);
    directory::AdvanceToInventory(cursor, 20);
    CHECK(directory::Advance(cursor, { 21 }, 21) == SequenceResult::Complete);
  }
  SECTION("at the end")
  {
    CHECK(directory::Advance(cursor, { 13 }, 14) == SequenceResult::Gap);
  }
  SECTION("after a restart of the engine")
  {
    CHECK(directory::Advance(cursor, { 1, 2 }, 2) == SequenceResult::Gap);
  }
}

TEST_CASE("homes agree with rendezvous hashing and don't depend on order")
{
  const auto one = directory::MakeHostSet({ "h1", "h2", "h3", "h4" });
  const auto two = directory::MakeHostSet({ "h4", "h3", "h2", "h1" });
  std::map<std::string, int> counts;
  for (std::uint64_t i = 0; i < 400; ++i) {
    const auto root = ChainOf(i, 1)[0];
    const auto homes = directory::Homes(root, one);
    REQUIRE(homes.size() == 2);
    CHECK(homes[0] != homes[1]);
    CHECK(homes == directory::Homes(root, two));
    ++counts[homes[0]];
  }
  for (const auto& [host, count] : counts) {
    CHECK(count > 60);
  }
  CHECK(directory::Homes({ 1, 2 }, directory::MakeHostSet({ "h1" })).size() ==
        1);
}

TEST_CASE("after a change of hosts every home holds what it is responsible for")
{
  const std::vector<std::string> names{ "h1", "h2", "h3", "h4", "h5" };
  const auto before = directory::MakeHostSet(names);
  const auto after = directory::MakeHostSet({ "h1", "h3", "h4", "h5", "h6" });
  std::map<std::string, directory::State> states;
  constexpr std::uint64_t kPrompts = 200;
  for (std::uint64_t i = 0; i < kPrompts; ++i) {
    const auto chain = ChainOf(i, 4);
    for (const auto& home : directory::Homes(chain[0], before)) {
      AddBlocks(states[home], kEngine, chain, 0, 3);
      AddBlocks(states[home], kStore, chain, 0, 4);
    }
  }
  std::vector<directory::HandOver> handOvers;
  for (auto& [name, state] : states) {
    auto change = directory::PlanHomeChange(state, name, before, after);
    CHECK(!change.rebuild_);
    directory::ForgetPrompts(state, change.forget_);
    if (name != "h2") {
      handOvers.insert(
        handOvers.end(), change.handOvers_.begin(), change.handOvers_.end());
    }
  }
  for (const auto& handOver : handOvers) {
    for (const auto& sighting : handOver.sightings_) {
      directory::Apply(states[handOver.host_], handOver.holder_, sighting);
    }
  }
  for (std::uint64_t i = 0; i < kPrompts; ++i) {
    const auto chain = ChainOf(i, 4);
    const auto homes = directory::Homes(chain[0], after);
    for (const auto& name : after.names_) {
      const bool isHome =
        std::find(homes.begin(), homes.end(), name) != homes.end();
      const auto holders = directory::LocateHolders(states[name], chain);
      REQUIRE(holders.size() == (isHome ? 2 : 0));
      if (isHome) {
        CHECK(FindHolder(holders, "e1")->leadingBlocks_ == 3);
        CHECK(FindHolder(holders, "s1")->generations_.size() == 4);
      }
    }
  }
}

TEST_CASE("two hosts that leave at once require a rebuild")
{
  const auto before = directory::MakeHostSet({ "h1", "h2", "h3", "h4" });
  const auto after = directory::MakeHostSet({ "h1", "h2" });
  const directory::State state;
  CHECK(directory::PlanHomeChange(state, "h1", before, after).rebuild_);
  CHECK(!directory::PlanHomeChange(state, "h1", before, before).rebuild_);
}

TEST_CASE("sightings go to both homes of their prompt")
{
  const auto hosts = directory::MakeHostSet({ "h1", "h2", "h3", "h4" });
  std::vector<directory::Sighting> sightings;
  for (std::uint64_t i = 0; i < 50; ++i) {
    const auto chain = ChainOf(i, 2);
    sightings.push_back({ chain[0], chain[0] });
    sightings.push_back({ chain[1], chain[0] });
  }
  std::size_t total = 0;
  for (const auto& batch : directory::SplitByHome(sightings, hosts)) {
    total += batch.sightings_.size();
    for (const auto& sighting : batch.sightings_) {
      const auto homes = directory::Homes(sighting.root_, hosts);
      CHECK(std::count(homes.begin(), homes.end(), batch.host_) == 1);
    }
  }
  CHECK(total == 200);
  CHECK(directory::SplitByHome({}, hosts).empty());
  CHECK(directory::SplitByHome({}, hosts, true).size() == 4);
}

namespace {

// The positions of each holder's blocks as a plain table, with which the
// directory is compared.
using Model =
  std::map<std::string, std::set<std::pair<std::size_t, std::size_t>>>;

struct RandomRun
{
  std::mt19937_64 random_;
  directory::State state_;
  Model model_;
  std::vector<std::vector<core::BlockKey>> chains_;
};

std::size_t
Below(RandomRun& aRun, std::size_t aLimit)
{
  return aRun.random_() % aLimit;
}

directory::HolderId
RandomHolder(RandomRun& aRun)
{
  const auto number = Below(aRun, 8);
  return number < 6 ? directory::HolderId{ "e" + std::to_string(number),
                                           directory::HolderKind::Engine }
                    : directory::HolderId{ "s" + std::to_string(number),
                                           directory::HolderKind::Store };
}

void
ApplyRandomSighting(RandomRun& aRun)
{
  const auto holder = RandomHolder(aRun);
  const auto prompt = Below(aRun, aRun.chains_.size());
  const auto& chain = aRun.chains_[prompt];
  const auto position = Below(aRun, chain.size());
  const bool present = Below(aRun, 3) > 0;
  directory::Apply(aRun.state_, holder, { chain[position], chain[0], present });
  if (present) {
    aRun.model_[holder.name_].emplace(prompt, position);
  } else {
    aRun.model_[holder.name_].erase({ prompt, position });
  }
}

void
ApplyRandomInventory(RandomRun& aRun)
{
  const auto holder = RandomHolder(aRun);
  auto& known = aRun.model_[holder.name_];
  known.clear();
  std::vector<directory::Sighting> sightings;
  for (std::size_t i = Below(aRun, 20); i > 0; --i) {
    const auto prompt = Below(aRun, aRun.chains_.size());
    const auto& chain = aRun.chains_[prompt];
    const auto position = Below(aRun, chain.size());
    sightings.push_back({ chain[position], chain[0] });
    known.emplace(prompt, position);
  }
  directory::ApplyInventory(aRun.state_, holder, sightings);
}

void
ForgetRandomPrompt(RandomRun& aRun)
{
  const auto prompt = Below(aRun, aRun.chains_.size());
  directory::ForgetPrompts(aRun.state_, { aRun.chains_[prompt][0] });
  for (auto& [name, known] : aRun.model_) {
    for (std::size_t i = 0; i < aRun.chains_[prompt].size(); ++i) {
      known.erase({ prompt, i });
    }
  }
}

void
RandomStep(RandomRun& aRun)
{
  const auto choice = Below(aRun, 100);
  if (choice < 90) {
    ApplyRandomSighting(aRun);
  } else if (choice < 95) {
    ApplyRandomInventory(aRun);
  } else if (choice < 98) {
    ForgetRandomPrompt(aRun);
  } else {
    const auto holder = RandomHolder(aRun);
    directory::DropHolder(aRun.state_, holder.name_);
    aRun.model_[holder.name_].clear();
  }
}

std::size_t
LeadingBlocksInModel(const RandomRun& aRun,
                     const std::string& aHolder,
                     std::size_t aPrompt)
{
  const auto found = aRun.model_.find(aHolder);
  std::size_t leading = 0;
  while (found != aRun.model_.end() &&
         found->second.count({ aPrompt, leading }) > 0) {
    ++leading;
  }
  return leading;
}

void
CompareWithModel(const RandomRun& aRun)
{
  for (std::size_t prompt = 0; prompt < aRun.chains_.size(); ++prompt) {
    const auto holders =
      directory::LocateHolders(aRun.state_, aRun.chains_[prompt]);
    for (const auto& [name, known] : aRun.model_) {
      const auto* holder = FindHolder(holders, name);
      REQUIRE((holder == nullptr ? 0 : holder->leadingBlocks_) ==
              LeadingBlocksInModel(aRun, name, prompt));
    }
  }
}

std::size_t
CopiesIn(const Model& aModel)
{
  std::size_t copies = 0;
  for (const auto& [name, known] : aModel) {
    copies += known.size();
  }
  return copies;
}

} // namespace

TEST_CASE("random changes leave what a plain table would hold")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    RandomRun run{ std::mt19937_64(seed) };
    for (std::uint64_t i = 0; i < 12; ++i) {
      run.chains_.push_back(ChainOf(i, 1 + i % 6));
    }
    for (int step = 0; step < 4000; ++step) {
      RandomStep(run);
      const auto& state = run.state_;
      REQUIRE(state.copies_.size_ - state.freeCopies_.size() ==
              CopiesIn(run.model_));
      REQUIRE(state.roots_.size() - state.freeRoots_.size() ==
              state.rootIndex_.size());
      if (step % 20 == 0) {
        CompareWithModel(run);
      }
    }
  }
}
