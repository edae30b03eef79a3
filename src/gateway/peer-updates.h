#ifndef LYCHEEPLANK_SRC_GATEWAY_PEER_UPDATES_H
#define LYCHEEPLANK_SRC_GATEWAY_PEER_UPDATES_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/core.h"
#include "lycheeplank/kept.h"
#include "lycheeplank/replica.h"

// What hosts tell each other, and its form on the wire: JSON rows.
namespace lycheeplank::gateway {

// What one host tells the others at once, since the key-value service would
// tell it later or not at all.
struct Notice
{
  enum class Kind
  {
    // A target starts no requests until about pause_.
    LoadOrdered,
    // A target has loaded weights.
    WeightsLoaded,
    // A host takes no more callers.
    HostLeaving,
    // A target has said in an answer that it leaves.
    TargetLeaving,
  };
  Kind kind_ = Kind::LoadOrdered;
  // Target or host.
  std::string name_;
  std::string model_;
  std::uint64_t version_ = 0;
  absl::Duration pause_ = absl::ZeroDuration();
  // Start of the target that leaves, in milliseconds since 1970.
  std::int64_t startedAtMs_ = 0;
};

inline constexpr std::array<core::Named<Notice::Kind>, 4> kNoticeKinds{ {
  { Notice::Kind::LoadOrdered, "ordered" },
  { Notice::Kind::WeightsLoaded, "loaded" },
  { Notice::Kind::HostLeaving, "host_leaves" },
  { Notice::Kind::TargetLeaving, "target_leaves" },
} };

// What a cache store has told a relay.
struct StoreUpdate
{
  std::string store_;
  // It answers no more; the other fields say nothing.
  bool unreachable_ = false;
  // The changes are all that it holds.
  bool isSnapshot_ = false;
  std::uint64_t epoch_ = 0;
  std::uint64_t next_ = 0;
  std::vector<kept::Change> changes_;
};

// How a host hears of changes, beside the changes themselves.
struct SenderStatus
{
  // It asks the key-value service and the cache stores itself.
  bool isDirect_ = false;
  // The key-value service answers it.
  bool storeReachable_ = false;
  // Era of the key-value service as far as it knows.
  std::uint64_t era_ = 0;
  // The cache stores' clock in milliseconds; 0 if it isn't known.
  std::int64_t clockMs_ = 0;
  // Time since each cache store was heard.
  absl::flat_hash_map<std::string, absl::Duration> cacheStoreAges_;
};

// One answer of a host to another that asked for changes.
struct PeerUpdate
{
  std::uint64_t feed_ = 0;
  std::uint64_t next_ = 0;
  SenderStatus sender_;
  std::vector<replica::Item> items_;
  std::vector<StoreUpdate> stores_;
  std::vector<Notice> notices_;
};

// Return rows.
std::string
WriteRow(const replica::Item& aItem);
std::string
WriteRow(const StoreUpdate& aUpdate);
std::string
WriteRow(const Notice& aNotice);

// Returns an answer from rows that are joined by commas, and reads it; nothing
// if it is none. Rows that can't be read are left out.
std::string
WritePeerUpdate(std::uint64_t aFeed,
                std::uint64_t aNext,
                const SenderStatus& aSender,
                const std::string& aRows);
absl::optional<PeerUpdate>
ReadPeerUpdate(const std::string& aText);

// Returns notices as JSON, and reads them; what can't be read is left out.
std::string
WriteNotices(const std::vector<Notice>& aNotices);
std::vector<Notice>
ReadNotices(const std::string& aText);

} // namespace lycheeplank::gateway

#endif
