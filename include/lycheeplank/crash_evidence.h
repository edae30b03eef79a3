#ifndef LYCHEEPLANK_CRASH_EVIDENCE_H
#define LYCHEEPLANK_CRASH_EVIDENCE_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "lycheeplank/fleet.h"

// Evidence of one host that a target has crashed, strong enough that the other
// hosts needn't find out by themselves: a refused connection, or several calls
// that were lost at the same moment. A host that is cut off sees the same of
// sound targets. Therefore evidence counts only once another target of the data
// centre has sent something after it, which shows that the host reaches the
// targets there.
namespace lycheeplank::crash_evidence {

// A target that may have crashed.
struct Suspect
{
  std::int64_t startedAtMs_ = 0;
  std::string dataCentre_;
  // When the first of the lost calls was lost that count together, and their
  // number.
  absl::Time lostAt_ = absl::InfinitePast();
  std::uint32_t losses_ = 0;
  // When the evidence became sufficient; InfiniteFuture before.
  absl::Time provenAt_ = absl::InfiniteFuture();
};

struct State
{
  // By id of the target.
  absl::flat_hash_map<std::string, Suspect> suspects_;
};

// Calls lost within this time count as lost at the same moment: a crash resets
// all connections at once, and hosts read the resets within some milliseconds.
inline constexpr absl::Duration kLossWindow = absl::Milliseconds(50);
inline constexpr std::uint32_t kMinLosses = 2;
// Bytes of another target prove contact only if they are read this long after
// the evidence. When a host is cut off, it still reads what came before.
inline constexpr absl::Duration kContactDelay = absl::Milliseconds(10);
// Evidence is dropped after this time; the batched reports of unreachable
// targets go on without it.
inline constexpr absl::Duration kMaxAge = absl::Seconds(1);

// Records that a call to a target was lost or couldn't be connected. Returns
// whether the host should try to connect, to find out whether the target still
// listens.
bool
RecordLoss(State& aState, const fleet::Target& aTarget, absl::Time aNow);

// Records that a target refuses connections.
void
RecordRefusal(State& aState, const fleet::Target& aTarget, absl::Time aNow);

// Drops the evidence against a target that has started again.
void
Forget(State& aState, const std::string& aTarget);

// Records that a target has sent something. Returns the ids of the targets
// whose crash is proven by that; each is returned once.
std::vector<std::string>
RecordBytes(State& aState, const fleet::Target& aTarget, absl::Time aNow);

// Sets a target aside that has crashed by this host's evidence.
void
SetAside(fleet::Member& aMember, std::uint64_t aSeed, absl::Time aNow);

// Sets a target aside that has crashed by another host's evidence; returns
// whether it does. A target that has just sent something to this host stays in
// use, unless this host has lost a call there since.
bool
ApplyNotice(State& aState,
            fleet::Member& aMember,
            std::uint64_t aSeed,
            absl::Time aNow);

// Records at a member that the target has sent something, and ends a quarantine
// that was only caused by a notice.
void
NoteAlive(fleet::Member& aMember, absl::Time aNow);

} // namespace lycheeplank::crash_evidence

#endif
