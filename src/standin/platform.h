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

// An entry of the key-value store.
struct KvEntry
{
  std::string value_;
  std::uint64_t version_ = 0;
  // The lease that the entry is attached to; empty if there is none.
  std::string lease_;
};

// A lease; its keys are deleted when it expires.
struct Lease
{
  absl::Duration ttl_;
  absl::Time expiresAt_;
  absl::btree_set<std::string> keys_;
};

// A watch request that waits for a change of its key.
struct Watcher
{
  std::uint64_t id_ = 0;
  ExchangePtr exchange_;
};

// A version of the host list, as JSON text, valid from `since_`.
struct HostListVersion
{
  absl::Time since_;
  std::uint64_t revision_ = 0;
  std::string hosts_;
};

// A token bucket that holds the calls of one second.
struct RateLimit
{
  double perSecond_ = 0.0;
  double allowance_ = 0.0;
  absl::Time updatedAt_ = absl::InfinitePast();
};

// The counters reported by GET /calls.
struct CallCounters
{
  std::uint64_t total_ = 0;
  absl::btree_map<std::string, std::uint64_t> byKind_;
  absl::btree_map<std::string, std::uint64_t> byPrefix_;
  absl::btree_map<std::string, std::uint64_t> byCaller_;
};

// The state of the stand-in platform. Only the loop thread accesses it.
struct Platform
{
  PlatformOptions options_;
  Context& context_;
  absl::btree_map<std::string, KvEntry> entries_;
  std::uint64_t lastVersion_ = 0;
  absl::flat_hash_map<std::string, Lease> leases_;
  absl::flat_hash_map<std::string, std::vector<Watcher>> watchers_;
  std::uint64_t lastWatcherId_ = 0;
  // The hosts by name, as JSON text.
  absl::btree_map<std::string, std::string> hosts_;
  // The versions of the host list, oldest first.
  std::deque<HostListVersion> hostLists_;
  RateLimit writes_;
  RateLimit reads_;
  CallCounters calls_;
  // The number of weight fetches in progress.
  std::uint32_t weightFetches_ = 0;
};

// Takes one call from the bucket; returns false if it is empty.
bool
Allow(RateLimit& aLimit, absl::Time aNow);

// Handles reads, writes and deletions of a key.
void
HandleKv(Platform& aPlatform, const ExchangePtr& aExchange);

// Handles requests that list the keys with a prefix.
void
HandleList(Platform& aPlatform, const ExchangePtr& aExchange);

// Handles long polls for a change of a key.
void
HandleWatch(Platform& aPlatform, const ExchangePtr& aExchange);

// Deletes a key and notifies its watchers; no effect if it is absent.
void
DeleteKey(Platform& aPlatform, const std::string& aKey);

// Handles requests that create, renew or end a lease.
void
HandleLease(Platform& aPlatform, const ExchangePtr& aExchange);

// Handles requests that read or change the host list.
void
HandleHosts(Platform& aPlatform, const ExchangePtr& aExchange);

} // namespace lycheeplank::standin

#endif
