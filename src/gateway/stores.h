#ifndef LYCHEEPLANK_SRC_GATEWAY_STORES_H
#define LYCHEEPLANK_SRC_GATEWAY_STORES_H

#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "gateway/host.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

// Keeps the host's copy of one cache store's directory up to date and relays
// changes to other hosts.
class StoreFollower : public std::enable_shared_from_this<StoreFollower>
{
public:
  StoreFollower(Host& aHost, std::string aName);

  void Start() { Request(false); }
  void Stop();

private:
  // Requests changes, or with aWhole the list of all parts.
  void Request(bool aWhole);
  void OnAnswer(const http::Answer& aAnswer, bool aWhole, absl::Time aAskedAt);
  void Fail(int aStatus);
  void Relay(const StoreChanges& aChanges, bool aWhole);
  void PollLater(absl::Duration aPause);
  cache_index::StoreState* State();
  // Counts missing changes; returns whether the full list must be read now.
  bool IsListDue(const StoreChanges& aChanges, std::uint64_t aFrom);

  Host& host_;
  const std::string name_;
  Timer timer_;
  // Number of changes missing since the last full list.
  std::uint64_t missedChanges_ = 0;
  // The list in progress is read because the store has lost changes, so the
  // whole list must be relayed.
  bool afterGap_ = false;
  // When the last full list was requested.
  absl::Time listedAt_ = absl::InfinitePast();
  unsigned failures_ = 0;
  bool stopped_ = false;
};

// Runs one StoreFollower per cache store of the catalog.
class StoreFollowers
{
public:
  explicit StoreFollowers(Host& aHost)
    : host_(aHost)
  {
  }
  // Starts and stops followers after a change of the catalog or of the host's
  // role.
  void Update();

private:
  Host& host_;
  absl::flat_hash_map<std::string, std::shared_ptr<StoreFollower>> followers_;
};

} // namespace lycheeplank::gateway

#endif
