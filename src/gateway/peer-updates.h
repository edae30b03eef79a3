#ifndef LYCHEEPLANK_SRC_GATEWAY_PEER_UPDATES_H
#define LYCHEEPLANK_SRC_GATEWAY_PEER_UPDATES_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/cache_index.h"
#include "lycheeplank/core.h"
#include "lycheeplank/replica.h"

// Updates that hosts send each other over HTTP, and their wire format: JSON
// rows.
namespace lycheeplank::gateway {

// An event that a host sends to the other hosts at once, because the key-value
// service would report it later or not at all.
struct Notice
{
  enum class Kind
  {
    // A target is ordered to load weights and starts no requests for about
    // pause_.
    LoadOrdered,
    // A target has loaded weights.
    WeightsLoaded,
    // A host accepts no more callers.
    HostLeaving,
    // A target has announced in a response that it leaves.
    TargetLeaving,
  };
  Kind kind_ = Kind::LoadOrdered;
  // Id of the target, or name of the host.
  std::string name_;
  std::string model_;
  // Version of the weights. HostLeaving: revision of the host's entry that the
  // notice is about; 0 if it isn't known.
  std::uint64_t version_ = 0;
  absl::Duration pause_ = absl::ZeroDuration();
  // Start time of the target's process, in milliseconds since 1970.
  std::int64_t startedAtMs_ = 0;
};

inline constexpr std::array<core::Named<Notice::Kind>, 4> kNoticeKinds{ {
  { Notice::Kind::LoadOrdered, "ordered" },
  { Notice::Kind::WeightsLoaded, "loaded" },
  { Notice::Kind::HostLeaving, "host_leaves" },
  { Notice::Kind::TargetLeaving, "target_leaves" },
} };

// Changes that a relay has received from a cache store.
struct StoreUpdate
{
  std::string store_;
  // The store doesn't answer. The fields below have no meaning then.
  bool unreachable_ = false;
  // changes_ lists all parts that the store holds.
  bool isSnapshot_ = false;
  std::uint64_t epoch_ = 0;
  std::uint64_t next_ = 0;
  std::vector<cache_index::Change> changes_;
};

// State of the sources from which the sender of an update gets its changes.
struct SenderStatus
{
  // The sender follows the key-value service and the cache stores itself.
  bool isDirect_ = false;
  // The sender forwards the changes of a relay that does.
  bool forwards_ = false;
  // The key-value service answers the sender, or the relay behind it.
  bool storeReachable_ = false;
  // The update ends before the newest row of the feed.
  bool hasMoreRows_ = false;
  // Latest era of the key-value service that the sender knows.
  std::uint64_t era_ = 0;
  // Time since the sender's items were last known to be complete, and time for
  // which the receiver knows all targets then, see part_use::Readers; zero if
  // the update is a snapshot, which doesn't tell the targets that vanished.
  absl::Duration itemsAge_ = absl::InfiniteDuration();
  absl::Duration knownTime_ = absl::ZeroDuration();
  // The cache stores' clock in milliseconds; 0 if the sender doesn't know it.
  std::int64_t clockMs_ = 0;
  // Time since each cache store's last answer.
  absl::flat_hash_map<std::string, absl::Duration> cacheStoreAges_;
};

// A host's response to a peer that has polled it for changes.
struct PeerUpdate
{
  // Id of the sender's feed, and the number of the row to poll for next.
  std::uint64_t feed_ = 0;
  std::uint64_t next_ = 0;
  // The receiver has all urgent rows before this number; 0 from hosts of an
  // earlier release.
  std::uint64_t urgent_ = 0;
  SenderStatus sender_;
  std::vector<replica::Item> items_;
  std::vector<StoreUpdate> stores_;
  std::vector<Notice> notices_;
};

// Return an item, an update or a notice as a JSON row.
std::string
WriteRow(const replica::Item& aItem);
std::string
WriteRow(const StoreUpdate& aUpdate);
std::string
WriteRow(const Notice& aNotice);

// Returns an update as JSON. aRows has its rows, joined by commas. aUrgent: see
// PeerUpdate::urgent_.
std::string
WritePeerUpdate(std::uint64_t aFeed,
                std::uint64_t aNext,
                const SenderStatus& aSender,
                const std::string& aRows,
                std::uint64_t aUrgent = 0);

// Parses an update; returns nothing if the text isn't one. Skips rows that
// can't be parsed.
absl::optional<PeerUpdate>
ReadPeerUpdate(const std::string& aText);

// Decompresses an update, if it is compressed, and parses it.
absl::optional<PeerUpdate>
ReadPackedPeerUpdate(const std::string& aText);

// Returns notices as JSON.
std::string
WriteNotices(const std::vector<Notice>& aNotices);

// Parses notices and skips those that can't be parsed.
std::vector<Notice>
ReadNotices(const std::string& aText);

} // namespace lycheeplank::gateway

#endif
