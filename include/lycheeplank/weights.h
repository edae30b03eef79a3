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

// The published weight versions of each model, and the choice of the targets
// that are ordered next to load them.
namespace lycheeplank::weights {

// A published version of a model's weights.
struct PublishedVersion
{
  std::uint64_t version_ = 0;
  // When it was published, estimated from what this host knows.
  absl::Time publishedAt_ = absl::InfinitePast();
  // When this host learned of it, and a time at which it wasn't published yet:
  // this host's items were complete then, and it wasn't among them.
  absl::Time learnedAt_ = absl::InfiniteFuture();
  absl::Time absentAt_ = absl::InfinitePast();
};

// All published versions, oldest first. Each version has its own deadline; a
// later version does not postpone the deadlines of earlier ones.
using PublishedVersions = std::vector<PublishedVersion>;

// Adds a version; returns false if it is not newer than the known ones.
bool
AddVersion(PublishedVersions& aVersions, const PublishedVersion& aVersion);

// Returns the newest version; 0 if none was published.
std::uint64_t
NewestVersion(const PublishedVersions& aVersions);

// Returns the first version that is newer than a target's version; null if that
// version is the newest.
const PublishedVersion*
FindNewer(const PublishedVersions& aVersions, std::uint64_t aVersion);

// Returns the publication time of the first version that is newer than a
// target's version; infinite future if that version is the newest.
absl::Time
OutdatedSince(const PublishedVersions& aVersions, std::uint64_t aVersion);

// The progress of one target's update.
enum class Progress
{
  // No order was sent.
  Waiting,
  // The other hosts were notified; the order follows.
  Announced,
  // The order was sent and not answered.
  Ordering,
  // The target accepted the order and loads the weights, or finishes its runs
  // first.
  Loading,
  // It is not known whether the target accepted the order.
  Unconfirmed,
  // The target has stopped answering. It holds none of the places of those
  // ordered at the same time; its next report makes it wait again.
  Silent,
};

inline constexpr std::array<core::Named<Progress>, 6> kProgresses{ {
  { Progress::Waiting, "waiting" },
  { Progress::Announced, "announced" },
  { Progress::Ordering, "ordering" },
  { Progress::Loading, "loading" },
  { Progress::Unconfirmed, "unconfirmed" },
  { Progress::Silent, "silent" },
} };

// The update of one process of a target. Another process under the same id
// begins anew.
struct TargetProgress
{
  Progress progress_ = Progress::Waiting;
  absl::Time since_ = absl::InfinitePast();
  // Last time at which the process was announced or gave an answer, and the
  // last call for its report.
  absl::Time heardAt_ = absl::InfinitePast();
  absl::Time polledAt_ = absl::InfinitePast();
  // Orders and reports that led to nothing. Targets with fewer come first.
  std::uint32_t failures_ = 0;
  // Earliest time of the next order.
  absl::Time notBefore_ = absl::InfinitePast();
  // Number of orders that the target had accepted by its last status report.
  absl::optional<std::uint64_t> orders_;
  std::uint32_t sent_ = 0;
  // Start of the process, in milliseconds since 1970.
  std::int64_t bornMs_ = 0;
};

// The targets of one model's update, under the current owner.
struct Rollout
{
  std::uint64_t version_ = 0;
  absl::btree_map<std::string, TargetProgress> targets_;
  // Moments at which ordered targets were lost before any target had loaded the
  // version, the last of them, and the version that they count for.
  std::size_t lossMoments_ = 0;
  absl::Time lastLossAt_ = absl::InfinitePast();
  std::uint64_t countedVersion_ = 0;
};

// Maximum share of a model's targets that are out of service for new weights at
// the same time.
inline constexpr double kMaxConcurrentShare = 0.2;
// After losses at so many moments without a success, the version itself may
// crash the targets: one target is ordered at a time, this long after the last
// loss.
inline constexpr std::size_t kMaxLossMoments = 3;
inline constexpr absl::Duration kSlowedPause = absl::Seconds(5);
// Targets that are lost within this time count as lost together.
inline constexpr absl::Duration kLossMomentTime = absl::Milliseconds(200);
// An order without an answer may still be carried out, so the target's status
// is read only after this time.
inline constexpr absl::Duration kConfirmDelay = absl::Milliseconds(400);
// Periods at which the reports of targets are read that hold a place, and of
// silent ones.
inline constexpr absl::Duration kReportPeriod = absl::Milliseconds(250);
inline constexpr absl::Duration kSilentReportPeriod = absl::Seconds(1);
// A target that gives no answer for this time loses its place. Sound targets
// may pause for about a second.
inline constexpr absl::Duration kMaxSilence = absl::Seconds(2);

// A target that has lost its place.
struct Released
{
  std::string target_;
  Progress progress_ = Progress::Waiting;
  absl::Duration silence_;
  // An order may have been accepted.
  bool isOrdered_ = false;
};

// Takes the places from the targets that have been silent for kMaxSilence, so
// that those which can't be reached or confirmed don't keep others waiting.
std::vector<Released>
ReleaseSilent(Rollout& aRollout, absl::Time aNow);

// Records an answer of a target's process. Returns whether it was silent; it
// waits for an order then.
bool
NoteAnswer(TargetProgress& aWork, absl::Time aNow);

// Returns whether a report decides what is done next with a target.
bool
AwaitsReport(const TargetProgress& aWork);

// Returns the targets to order now, least busy first, and marks them as
// announced. Skips targets that leave or have the weights. Forgets what is
// known of earlier processes.
std::vector<std::string>
NextTargets(Rollout& aRollout,
            const fleet::Members& aMembers,
            const std::string& aModel,
            absl::Time aNow);

// Returns whether the version is suspected to crash the targets that load it.
bool
IsSlowed(const Rollout& aRollout);

// Returns the targets whose reports are to be read now, and records that they
// are.
std::vector<std::string>
TargetsToPoll(Rollout& aRollout, absl::Time aNow);

} // namespace lycheeplank::weights

#endif
