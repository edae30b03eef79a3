#ifndef LYCHEEPLANK_STANDIN_PLATFORM_H
#define LYCHEEPLANK_STANDIN_PLATFORM_H

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "standin/standin.h"

namespace lycheeplank::standin {

// A value of the key-value service.
struct KvEntry
{
  std::string value_;
  std::uint64_t version_ = 0;
  // Empty if the key outlives all leases.
  std::string lease_;
};

struct Lease
{
  absl::Duration ttl_;
  absl::Time expiresAt_;
  absl::btree_set<std::string> keys_;
};

// A read that waits for a change of its key.
struct Watcher
{
  std::uint64_t id_ = 0;
  ExchangePtr exchange_;
};

// The host list from one time on, as JSON text.
struct HostListVersion
{
  absl::Time since_;
  std::uint64_t revision_ = 0;
  std::string hosts_;
};

// Allows a number of calls a second, with a burst of one second.
struct RateLimit
{
  double perSecond_ = 0.0;
  double allowance_ = 0.0;
  absl::Time updatedAt_ = absl::InfinitePast();
};

// Counters that GET /calls shows.
struct CallCounters
{
  std::uint64_t total_ = 0;
  absl::btree_map<std::string, std::uint64_t> byKind_;
  absl::btree_map<std::string, std::uint64_t> byPrefix_;
  absl::btree_map<std::string, std::uint64_t> byCaller_;
};

// All state of the platform.
struct Platform
{
  PlatformOptions options_;
  Context& context_;
  absl::btree_map<std::string, KvEntry> entries_;
  std::uint64_t lastVersion_ = 0;
  absl::flat_hash_map<std::string, Lease> leases_;
  absl::flat_hash_map<std::string, std::vector<Watcher>> watchers_;
  std::uint64_t lastWatcher_ = 0;
  // Hosts by name, as JSON text.
  absl::btree_map<std::string, std::string> hosts_;
  std::deque<HostListVersion> hostLists_;
  RateLimit writes_;
  RateLimit reads_;
  CallCounters calls_;
  std::uint32_t weightFetches_ = 0;
};

// Takes one call off the allowance; false if none is left.
bool
Allow(RateLimit& aLimit, absl::Time aNow);

// The key-value calls: reads, writes, lists and watches.
void
HandleKv(Platform& aPlatform, const ExchangePtr& aExchange);

void
HandleList(Platform& aPlatform, const ExchangePtr& aExchange);

void
HandleWatch(Platform& aPlatform, const ExchangePtr& aExchange);

// Deletes a key and tells its watchers; nothing happens if it is absent.
void
DeleteKey(Platform& aPlatform, const std::string& aKey);

// Creates, renews and ends leases.
void
HandleLease(Platform& aPlatform, const ExchangePtr& aExchange);

// Shows and changes the host list.
void
HandleHosts(Platform& aPlatform, const ExchangePtr& aExchange);

} // namespace lycheeplank::standin

#endif
