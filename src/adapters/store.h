#ifndef LYCHEEPLANK_ADAPTERS_STORE_H
#define LYCHEEPLANK_ADAPTERS_STORE_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/types/optional.h>

#include "lycheeplank/core.h"
#include "lycheeplank/net.h"

namespace lycheeplank::adapters {

// Use of a store's space and link as it reports it.
struct StoreLoad
{
  std::uint64_t memoryUsed_ = 0;
  std::uint64_t diskUsed_ = 0;
  std::uint64_t linkBacklogBytes_ = 0;
  // Present rate of the link; zero if the store doesn't say.
  double linkBytesPerSecond_ = 0.0;
  // Differs between two starts of the store; zero if it doesn't say.
  std::uint64_t instance_ = 0;
};

// A committed block of a store.
struct StoredBlock
{
  core::BlockKey key_;
  core::BlockKey root_;
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
  bool onDisk_ = false;
};

// One page of a store's inventory.
struct StorePage
{
  std::vector<StoredBlock> blocks_;
  bool more_ = false;
};

// Returns the call that asks for a store's load.
net::Call
QueryStoreLoad(const std::string& aUrl);

absl::optional<StoreLoad>
ReadStoreLoad(const std::string& aBody);

// Returns the call that asks for the blocks after a key; empty for the first.
net::Call
QueryStorePage(const std::string& aUrl, const std::string& aAfter);

absl::optional<StorePage>
ReadStorePage(const std::string& aBody);

// Returns the call that frees a block of one generation.
net::Call
FreeBlock(const std::string& aUrl,
          const core::BlockKey& aKey,
          std::uint64_t aGeneration);

} // namespace lycheeplank::adapters

#endif
