#ifndef LYCHEEPLANK_SRC_GATEWAY_STORES_H
#define LYCHEEPLANK_SRC_GATEWAY_STORES_H

#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "gateway/host.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

// Follows what one cache store holds.
class StoreFollower : public std::enable_shared_from_this<StoreFollower>
{
public:
  StoreFollower(Host& aHost, std::string aName);

  void Start() { Ask(false); }
  void Stop();

private:
  // Asks for changes, or for all that the store holds.
  void Ask(bool aWhole);
  void OnAnswer(const http::Answer& aAnswer, bool aWhole, absl::Time aAskedAt);
  void Fail(int aStatus);
  void Tell(const StoreChanges& aChanges, bool aWhole);
  void Later(absl::Duration aPause);
  cache_index::StoreState* State();
  // Counts changes that never come; true if it is time to read the whole list.
  bool IsListDue(const StoreChanges& aChanges, std::uint64_t aFrom);

  Host& host_;
  const std::string name_;
  Timer timer_;
  // Changes that never came since the last list, and when that was read.
  std::uint64_t missed_ = 0;
  // The list under way is read since the store has lost changes, so that it is
  // told whole.
  bool afterGap_ = false;
  absl::Time listedAt_ = absl::InfinitePast();
  unsigned failures_ = 0;
  bool stopped_ = false;
};

// Follows each cache store of the catalogue.
class StoreFollowers
{
public:
  explicit StoreFollowers(Host& aHost)
    : host_(aHost)
  {
  }
  // Starts and ends followers after a change of the catalogue, or of how the
  // host hears of changes.
  void Update();

private:
  Host& host_;
  absl::flat_hash_map<std::string, std::shared_ptr<StoreFollower>> followers_;
};

} // namespace lycheeplank::gateway

#endif
