#ifndef LYCHEEPLANK_PART_USE_H
#define LYCHEEPLANK_PART_USE_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include "lycheeplank/cache_index.h"
#include "lycheeplank/core.h"
#include "lycheeplank/fleet.h"
#include "lycheeplank/weights.h"

// Decides until when parts of prompts may be read from cache stores, and when
// parts that were computed with old weights may be freed there. A free can't be
// undone, so it doesn't rest on what one host believes of the others: each host
// ends its reads by a time that follows from what it knows itself, and parts
// are freed after the latest of these times.
namespace lycheeplank::part_use {

// Reads of parts end this long after the host last knew their weights to be the
// newest ones, so a host that is cut off stops reading. Longer than the age
// that the items of a host reach in operation, and than short outages of the
// key-value service.
inline constexpr absl::Duration kMaxReadAge = absl::Seconds(10);
// Reads of a version's parts have ended this long after newer weights were
// published, also those by hosts and targets that this host doesn't know.
inline const absl::Duration kUnknownReadTime =
  kMaxReadAge + cache_index::kMaxSilence + cache_index::kClockMargin;

// Returns the latest end of a read of parts of a version, infinite past if the
// target may not read them. aListedAt: when the host first listed the target,
// infinite past for any target. aCompleteAt: when the host's items were last
// known to be complete.
absl::Time
LatestReadEnd(const weights::PublishedVersions& aVersions,
              std::uint64_t aVersion,
              absl::Time aListedAt,
              absl::Time aCompleteAt);

// A target that has vanished, or whose entry names a model no more. Hosts that
// haven't heard of it may use it.
struct VanishedTarget
{
  fleet::Target target_;
  absl::Time vanishedAt_ = absl::InfinitePast();
};

// The targets that may read parts, beside the listed ones.
struct Readers
{
  // When this host's list of targets was first complete; targets that vanished
  // before are unknown to it.
  absl::Time knownSince_ = absl::InfiniteFuture();
  // By id. One that is listed again with a model counts with what it says then.
  absl::btree_map<std::string, VanishedTarget> vanished_;
};

// Records a target that has vanished, or whose entry names a model no more.
void
NoteVanished(Readers& aReaders, fleet::Target aTarget, absl::Time aNow);

// Forgets vanished targets whose reads have ended.
void
Sweep(Readers& aReaders, absl::Time aNow);

// Returns the oldest version of a model's weights that a listed or vanished
// target has, leaving ones included; 0 if none has the model.
std::uint64_t
OldestVersion(const fleet::Members& aMembers,
              const Readers& aReaders,
              const std::string& aModel);

// The times since which the targets have had a version of a model's weights, or
// newer ones: versions and times increase.
struct Rise
{
  std::uint64_t version_ = 0;
  absl::Time at_ = absl::InfinitePast();
};
using Rises = std::vector<Rise>;

// Records the oldest version. A target that has an older one than before undoes
// the rises above it.
void
RecordOldest(Rises& aRises, std::uint64_t aOldest, absl::Time aNow);

// Why no read of parts can be in progress.
enum class Proof
{
  None,
  // All targets that any host may use have newer weights.
  Targets,
  // Newer weights were published so long ago that no host reads the parts.
  Age,
};

inline constexpr std::array<core::Named<Proof>, 3> kProofs{ {
  { Proof::None, "none" },
  { Proof::Targets, "targets" },
  { Proof::Age, "age" },
} };

// Parts of versions below below_ may be freed.
struct Unused
{
  std::uint64_t below_ = 0;
  Proof proof_ = Proof::None;
  // When all targets had the version, or when the host learned of it.
  absl::Time since_ = absl::InfinitePast();
};

Unused
FindUnused(const Rises& aRises,
           const weights::PublishedVersions& aVersions,
           const Readers& aReaders,
           absl::Time aNow);

} // namespace lycheeplank::part_use

#endif
