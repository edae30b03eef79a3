#ifndef LYCHEEPLANK_ADAPTERS_STORE_H
#define LYCHEEPLANK_ADAPTERS_STORE_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/types/optional.h>

#include "lycheeplank/core.h"
#include "lycheeplank/net.h"

namespace lycheeplank::adapters {

// Use of a store's space and network link, as reported by the store.
struct StoreLoad
{
  std::uint64_t memoryUsed_ = 0;
  std::uint64_t diskUsed_ = 0;
  std::uint64_t linkBacklogBytes_ = 0;
  // Current rate of the link; zero if the store doesn't report it.
  double linkBytesPerSecond_ = 0.0;
  // ID that changes with each start of the store; zero if the store doesn't
  // report it.
  std::uint64_t instance_ = 0;
};

// A committed block of a store.
struct StoredBlock
{
  core::BlockKey key_;
  // Key of the first block of the same prompt.
  core::BlockKey root_;
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
  bool onDisk_ = false;
};

// A page of a store's inventory.
struct StorePage
{
  std::vector<StoredBlock> blocks_;
  // More pages follow.
  bool more_ = false;
};

// Returns the call that queries a store's load.
net::Call
QueryStoreLoad(const std::string& aUrl);

// Parses a store's load; returns nothing if it is malformed.
absl::optional<StoreLoad>
ReadStoreLoad(const std::string& aBody);

// Returns the call that queries the page of blocks after the key aAfter in
// hexadecimal form; an empty aAfter queries the first page.
net::Call
QueryStorePage(const std::string& aUrl, const std::string& aAfter);

// Parses a page; returns nothing if it is malformed.
absl::optional<StorePage>
ReadStorePage(const std::string& aBody);

// Returns the call that frees a block if it is of generation aGeneration.
net::Call
FreeBlock(const std::string& aUrl,
          const core::BlockKey& aKey,
          std::uint64_t aGeneration);

} // namespace lycheeplank::adapters

#endif
