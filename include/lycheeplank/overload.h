#ifndef LYCHEEPLANK_OVERLOAD_H
#define LYCHEEPLANK_OVERLOAD_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "lycheeplank/core.h"
#include "lycheeplank/fleet.h"
#include "lycheeplank/request_queue.h"

// Decides under overload, with priority scheduling, which requests are sent,
// which wait and which are refused. Every host decides alike from its own queue
// and the loads that all hosts share.
namespace lycheeplank::overload {

enum class Action
{
  Send,
  Wait,
  Refuse,
};

inline constexpr std::array<core::Named<Action>, 3> kActions{ {
  { Action::Send, "send" },
  { Action::Wait, "wait" },
  { Action::Refuse, "refuse" },
} };

// Why a request is refused; the names are reasons in the log.
enum class Reason
{
  None,
  // It is expected to start so late that its caller will hardly get an answer:
  // when it arrives, and when that becomes known while it waits.
  QueueFull,
  ExpectedTooLate,
  // Its caller no longer waits.
  WaitedTooLong,
};

inline constexpr std::array<core::Named<Reason>, 4> kReasons{ {
  { Reason::None, "none" },
  { Reason::QueueFull, "queue_full" },
  { Reason::ExpectedTooLate, "expected_too_late" },
  { Reason::WaitedTooLong, "waited_too_long" },
} };

// What decides about one request.
struct Situation
{
  // 0 is the most urgent.
  std::uint32_t priority_ = 0;
  // See request_queue::WorkspaceShare.
  double workspaceShare_ = 1.0;
  // A target has room for it, and nothing that goes before it waits.
  bool hasRoom_ = false;
  bool isWaiting_ = false;
  // Expected time until its start; zero if not known.
  absl::Duration expectedWait_ = absl::ZeroDuration();
  // Time in which it has to start to meet its goal, and until its caller
  // leaves.
  absl::Duration goalLeft_ = absl::ZeroDuration();
  absl::Duration timeLeft_ = absl::ZeroDuration();
  // Random number in [0, 1) that spreads the callers.
  double draw_ = 0.0;
};

struct Decision
{
  Action action_ = Action::Send;
  Reason reason_ = Reason::None;
  absl::Duration retryAfter_ = absl::ZeroDuration();
};

// Value of a late answer as a share of one within the goal; fleet::kLateCost is
// the loss.
inline constexpr double kLateValue = 1.0 - fleet::kLateCost;
// A request whose expected value is below this share is refused: its caller
// gains more from an early retry elsewhere.
inline constexpr double kMinValue = 0.02;
// Callers wait for a retry at most this share of their remaining time.
inline constexpr double kRetryShare = 1.0 / 3.0;
// Shortest Retry-After: the time in which a host tries its waiting requests
// twice.
inline constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(50);
// Share of the throughput that less urgent and late requests get at least by
// the estimate. The rates vary by chance, so a request is not refused because
// they suggest that nothing is left for a moment.
inline constexpr double kMinFreeShare = 0.1;
// Priorities from this one on are spread alike.
inline constexpr std::uint32_t kSpreadPriorities = 3;

// Returns the expected time until a request starts that waits or would be
// added, zero if it isn't known: the tokens before it, at the measured
// throughput less what more urgent requests take that arrive meanwhile. A late
// request also leaves room to all that arrive in time.
absl::Duration
ExpectedWait(const request_queue::Queue& aQueue,
             const fleet::PriorityLoads& aLoads,
             const request_queue::QueuedRequest& aRequest,
             absl::Time aNow);

// Returns what decides about a request, apart from its room.
Situation
Assess(const request_queue::Queue& aQueue,
       const fleet::PriorityLoads& aLoads,
       const request_queue::QueuedRequest& aRequest,
       absl::Time aNow);

Decision
Decide(const Situation& aSituation);

// Returns the time after which the caller of a refused request is to try again:
// callers are spread over the time until there is room, or over the longest
// time that they wait for a retry. The most urgent and those of workspaces that
// have had the least come first.
absl::Duration
RetryAfter(const Situation& aSituation);

using Loads = absl::flat_hash_map<std::string, fleet::PriorityLoads>;

// Removes and returns the waiting requests that have become hopeless. aLoads:
// by service.
std::vector<std::uint64_t>
RemoveHopeless(request_queue::Queue& aQueue,
               const Loads& aLoads,
               absl::Time aNow);

} // namespace lycheeplank::overload

#endif
