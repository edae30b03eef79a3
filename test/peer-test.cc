#include <catch2/catch.hpp>

#include "peer/convert.h"

namespace core = lycheeplank::core;
namespace directory = lycheeplank::directory;
namespace peer = lycheeplank::peer;

namespace {

const directory::HolderId kEngine{ "engine-1", directory::HolderKind::Engine };
const directory::HolderId kStore{ "store-1", directory::HolderKind::Store };

// Returns one sighting for each block of a prompt. Those of a store have a
// generation, a size and the disk tier.
std::vector<directory::Sighting>
SightingsOf(std::uint64_t aPrompt, std::uint64_t aBlocks, bool aStore)
{
  std::vector<directory::Sighting> sightings;
  const core::BlockKey root{ aPrompt, 1 };
  for (std::uint64_t i = 0; i < aBlocks; ++i) {
    directory::Sighting sighting{ { aPrompt, i + 1 }, root };
    if (aStore) {
      sighting.tier_ = directory::Tier::Disk;
      sighting.generation_ = 7 + i;
      sighting.bytes_ = 2'000'000;
    }
    sightings.push_back(sighting);
  }
  return sightings;
}

void
CheckEqual(const directory::Sighting& aLeft, const directory::Sighting& aRight)
{
  CHECK(aLeft.block_.low_ == aRight.block_.low_);
  CHECK(aLeft.root_ == aRight.root_);
  CHECK(aLeft.present_ == aRight.present_);
  CHECK(aLeft.tier_ == aRight.tier_);
  CHECK(aLeft.generation_ == aRight.generation_);
  CHECK(aLeft.bytes_ == aRight.bytes_);
}

} // namespace

TEST_CASE("sightings are unchanged after conversion to the wire and back")
{
  const bool store = GENERATE(false, true);
  auto sightings = SightingsOf(3, 5, store);
  const auto other = SightingsOf(4, 2, store);
  sightings.insert(sightings.end(), other.begin(), other.end());
  const auto again = SightingsOf(3, 1, store);
  sightings.insert(sightings.end(), again.begin(), again.end());
  sightings[2].present_ = false;
  const auto wire = peer::ToWire(store ? kStore : kEngine, sightings, store);
  std::string text;
  REQUIRE(wire.SerializeToString(&text));
  peer::ReportBlocksRequest read;
  REQUIRE(read.ParseFromString(text));
  CHECK(peer::HolderFromWire(read).name_ == (store ? "store-1" : "engine-1"));
  CHECK(read.inventory() == store);
  const auto found = peer::SightingsFromWire(read);
  REQUIRE(found.size() == sightings.size());
  for (std::size_t i = 0; i < found.size(); ++i) {
    CheckEqual(found[i], sightings[i]);
  }
}

TEST_CASE(
  "sightings that differ only in their block share their prompt on the wire")
{
  constexpr std::uint64_t kBlocks = 20;
  const auto bytes =
    peer::ToWire(kEngine, SightingsOf(3, kBlocks, false), false).ByteSizeLong();
  // The keys, the prompt's root, the holder's name, and 16 bytes for field tags
  // and lengths.
  CHECK(bytes <= kBlocks * 8 + 16 + kEngine.name_.size() + 16);
  const auto chain = SightingsOf(3, kBlocks, false);
  std::vector<core::BlockKey> keys;
  keys.reserve(chain.size());
  for (const auto& sighting : chain) {
    keys.push_back(sighting.block_);
  }
  CHECK(peer::LocateToWire(keys).ByteSizeLong() <= kBlocks * 8 + 8);
}

TEST_CASE("a prompt's blocks are located from sightings sent over the wire")
{
  directory::State state;
  const auto sightings = SightingsOf(3, 4, true);
  std::vector<core::BlockKey> chain;
  chain.reserve(sightings.size());
  for (const auto& sighting : sightings) {
    chain.push_back(sighting.block_);
  }
  for (const auto& sighting :
       peer::SightingsFromWire(peer::ToWire(kStore, sightings, false))) {
    directory::Apply(state, kStore, sighting);
  }
  const auto holders =
    directory::LocateHolders(state, peer::FromWire(peer::LocateToWire(chain)));
  REQUIRE(holders.size() == 1);
  CHECK(holders[0].leadingBlocks_ == 4);
  CHECK(holders[0].generations_ == std::vector<std::uint64_t>{ 7, 8, 9, 10 });
}

TEST_CASE("malformed sightings and block keys are skipped")
{
  peer::ReportBlocksRequest message;
  message.set_holder("engine-1");
  // No root, and no previous item to take it from.
  message.add_sightings()->set_block("12345678");
  auto* item = message.add_sightings();
  item->set_root(std::string(15, 'x'));
  item->set_block("12345678");
  item = message.add_sightings();
  item->set_root(std::string(16, 'x'));
  item->set_block("1234567");
  CHECK(peer::SightingsFromWire(message).empty());
  item->set_block("12345678");
  CHECK(peer::SightingsFromWire(message).size() == 1);
  peer::LocateRequest locate;
  locate.add_blocks("1234");
  CHECK(peer::FromWire(locate).empty());
}
