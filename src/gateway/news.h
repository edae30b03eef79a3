#ifndef LYCHEEPLANK_SRC_GATEWAY_NEWS_H
#define LYCHEEPLANK_SRC_GATEWAY_NEWS_H

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

// What hosts tell each other, and its form on the wire: JSON rows.
namespace lycheeplank::gateway {

// What one host tells the others at once, since the key-value service would
// tell it later or not at all.
struct Notice
{
  enum class Kind
  {
    // A target starts no requests until about until_.
    Ordered,
    // A target has loaded weights.
    Loaded,
    // A host takes no more callers.
    HostLeaves,
    // A target has said in an answer that it leaves.
    TargetLeaves,
  };
  Kind kind_ = Kind::Ordered;
  // Target or host.
  std::string name_;
  std::string model_;
  std::uint64_t version_ = 0;
  absl::Duration until_ = absl::ZeroDuration();
  // Start of the target that leaves, in milliseconds since 1970.
  std::int64_t bornMs_ = 0;
};

inline constexpr std::array<core::Named<Notice::Kind>, 4> kNoticeKinds{ {
  { Notice::Kind::Ordered, "ordered" },
  { Notice::Kind::Loaded, "loaded" },
  { Notice::Kind::HostLeaves, "host_leaves" },
  { Notice::Kind::TargetLeaves, "target_leaves" },
} };

// What a cache store has told a relay.
struct StoreNews
{
  std::string store_;
  // It answers no more; the other fields say nothing.
  bool lost_ = false;
  // The changes are all that it holds.
  bool whole_ = false;
  std::uint64_t epoch_ = 0;
  std::uint64_t next_ = 0;
  std::vector<cache_index::Change> changes_;
};

// How a host hears of changes, beside the changes themselves.
struct Source
{
  // It asks the key-value service and the cache stores itself.
  bool direct_ = false;
  // The key-value service answers it.
  bool reachable_ = false;
  // Era of the key-value service as far as it knows.
  std::uint64_t era_ = 0;
  // The cache stores' clock in milliseconds; 0 if it isn't known.
  std::int64_t clockMs_ = 0;
  // Time since each cache store was heard.
  absl::flat_hash_map<std::string, absl::Duration> heard_;
};

// One answer of a host to another that asked for changes.
struct News
{
  std::uint64_t feed_ = 0;
  std::uint64_t next_ = 0;
  Source source_;
  std::vector<replica::Item> items_;
  std::vector<StoreNews> stores_;
  std::vector<Notice> notices_;
};

// Return rows.
std::string
WriteRow(const replica::Item& aItem);
std::string
WriteRow(const StoreNews& aNews);
std::string
WriteRow(const Notice& aNotice);

// Returns an answer from rows that are joined by commas, and reads it; nothing
// if it is none. Rows that can't be read are left out.
std::string
WriteNews(std::uint64_t aFeed,
          std::uint64_t aNext,
          const Source& aSource,
          const std::string& aRows);
absl::optional<News>
ReadNews(const std::string& aText);

// Returns notices as JSON, and reads them; what can't be read is left out.
std::string
WriteNotices(const std::vector<Notice>& aNotices);
std::vector<Notice>
ReadNotices(const std::string& aText);

} // namespace lycheeplank::gateway

#endif
