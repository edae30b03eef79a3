#ifndef LYCHEEPLANK_WEIGHTS_H
#define LYCHEEPLANK_WEIGHTS_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include "lycheeplank/core.h"
#include "lycheeplank/fleet.h"

// Which weights were named for a model and since when, and which targets are
// told next to load them.
namespace lycheeplank::weights {

// A version of a model's weights, and when it was named as far as a host knows.
struct PublishedVersion
{
  std::uint64_t version_ = 0;
  absl::Time publishedAt_ = absl::InfinitePast();
};

// All versions that were named, oldest first. Each is due by its own time: one
// that is named later doesn't put off the ones before it.
using PublishedVersions = std::vector<PublishedVersion>;

// Notes a version; false if it isn't newer than those that are known.
bool
AddVersion(PublishedVersions& aVersions,
           std::uint64_t aVersion,
           absl::Time aPublishedAt);

// Returns the newest version; 0 if none was named.
std::uint64_t
NewestVersion(const PublishedVersions& aVersions);

// Returns when the first version was named that is newer than the one that a
// target has; infinite future if that one is the newest.
absl::Time
OutdatedSince(const PublishedVersions& aVersions, std::uint64_t aVersion);

// Where one target stands.
enum class Progress
{
  // Nothing was sent.
  Waiting,
  // The other hosts have been told; the order follows.
  Announced,
  // The order is on its way.
  Ordering,
  // It was accepted; the target loads, or lets its runs end before.
  Loading,
  // It is not known whether the order was accepted.
  Unconfirmed,
};

struct TargetProgress
{
  Progress progress_ = Progress::Waiting;
  absl::Time since_ = absl::InfinitePast();
  // No order before this time.
  absl::Time notBefore_ = absl::InfinitePast();
  // Orders that the target had accepted by its last account.
  absl::optional<std::uint64_t> orders_;
  std::uint32_t sent_ = 0;
};

// The targets of one model under the present owner.
struct Rollout
{
  std::uint64_t version_ = 0;
  absl::btree_map<std::string, TargetProgress> targets_;
};

// Part of a model's targets that are out of service at once for new weights.
inline constexpr double kMaxConcurrentShare = 0.2;
// An order without an answer may still be carried out; its target is asked for
// its account only after this time.
inline constexpr absl::Duration kConfirmDelay = absl::Milliseconds(400);

// Returns the targets that are to be ordered now, least busy first, and counts
// them as announced. Targets that leave, or have the weights, are passed over.
std::vector<std::string>
NextTargets(Rollout& aRollout,
            const fleet::Members& aMembers,
            const std::string& aModel,
            absl::Time aNow);

// Returns the targets whose account is to be read now.
std::vector<std::string>
TargetsToPoll(const Rollout& aRollout, absl::Time aNow);

// Returns the oldest version of a model's weights that a target has, also one
// that leaves; 0 if none has the model.
std::uint64_t
OldestVersion(const fleet::Members& aMembers, const std::string& aModel);

} // namespace lycheeplank::weights

#endif
