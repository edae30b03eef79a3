#ifndef LYCHEEPLANK_BODY_BUDGET_H
#define LYCHEEPLANK_BODY_BUDGET_H

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "lycheeplank/core.h"

// The memory that a host has for callers: which requests get memory for their
// bodies, and which are ended when it is used up; which slow readers and which
// idle connections are closed first. Pure functions over plain structs.
namespace lycheeplank::body_budget {

// Parts of a host's memory, derived from the limit of its process.
struct Memory
{
  // Requests of callers: bytes that have been read and not been answered.
  std::uint64_t bodyBytes_ = std::numeric_limits<std::uint64_t>::max();
  // Answers that are kept until they are complete.
  std::uint64_t answerBytes_ = std::numeric_limits<std::uint64_t>::max();
  // Answers that wait for slow callers.
  std::uint64_t unsentBytes_ = std::numeric_limits<std::uint64_t>::max();
  // Number of connections of callers.
  std::uint64_t connections_ = std::numeric_limits<std::uint64_t>::max();
};

// Returns the parts for a process with a memory limit and a limit of
// descriptors; 0 stands for no limit.
Memory
MemoryOf(std::uint64_t aMemoryBytes, std::uint64_t aDescriptors);

// Descriptors that aren't used for connections of callers: those to targets,
// listening sockets, the log.
inline constexpr std::uint64_t kReservedDescriptors = 200;

// Size up to which a request needs no reservation.
inline constexpr std::uint64_t kUnreservedBytes = 16U << 10U;
// Size up to which a request is small. Small ones may use the whole budget, the
// others only kLargeShare of it.
inline constexpr std::uint64_t kSmallBytes = 64U << 10U;
inline constexpr double kLargeShare = 0.75;
// Largest share of the budget that one address may hold with several requests.
inline constexpr double kAddressShare = 0.5;
// A body that has got fewer than kMinRecentBytes within about kProgressTime
// makes no progress, if it has had memory for at least kProgressTime. It can be
// ended while others wait. Callers on a link of 1 Mbit/s send twice as fast.
inline constexpr absl::Duration kProgressTime = absl::Milliseconds(500);
inline constexpr double kMinRecentBytes = 32U << 10U;
// Bytes beyond this count as no more progress, so that a body that stops is
// noticed after 0.7 s, however fast it came before.
inline constexpr double kMaxRecentBytes = 4 * kMinRecentBytes;
// Longest time for which a request waits for memory. At the slowest links of
// hosts, 10 Mbit/s, a body of 4 MiB takes 3.4 s.
inline constexpr absl::Duration kMaxWait = absl::Seconds(5);

// A request that is being read or answered.
struct Request
{
  std::string address_;
  // Memory that it has, or that is reserved for it.
  std::uint64_t held_ = 0;
  // Memory that it waits for, in all; 0 if it doesn't wait.
  std::uint64_t wanted_ = 0;
  absl::Time waitsSince_ = absl::InfinitePast();
  // When it got its memory.
  absl::Time admittedAt_ = absl::InfinitePast();
  // Bytes read, of which earlier ones count less and less.
  double recentBytes_ = 0.0;
  absl::Time notedAt_ = absl::InfinitePast();
  // It has been read to its end, so that it may run; it isn't ended.
  bool isComplete_ = false;
};

struct Budget
{
  std::uint64_t bytes_ = std::numeric_limits<std::uint64_t>::max();
  // By an id that the owner chooses; ids increase in the order of arrival.
  absl::flat_hash_map<std::uint64_t, Request> requests_;
  std::uint64_t used_ = 0;
  // Memory of requests that aren't small.
  std::uint64_t largeUsed_ = 0;
  std::uint64_t waiting_ = 0;
  absl::flat_hash_map<std::string, std::uint64_t> usedByAddress_;
};

// Records how much memory a request holds without a reservation, and that
// aRead more bytes of it have arrived.
void
RecordHeld(Budget& aBudget,
           std::uint64_t aId,
           const std::string& aAddress,
           std::uint64_t aHeld,
           std::uint64_t aRead,
           absl::Time aNow);

enum class Answer
{
  Granted,
  // The request waits; nothing more may be read of it until Decide grants it.
  Waits,
  // The whole budget is too small.
  TooLarge,
};

// Reserves memory for a request, aBytes in all. RecordHeld must have recorded
// it.
Answer
Reserve(Budget& aBudget,
        std::uint64_t aId,
        std::uint64_t aBytes,
        absl::Time aNow);

// Records that a request has been read to its end and holds this much memory.
void
Complete(Budget& aBudget, std::uint64_t aId, std::uint64_t aHeld);

// Removes a request.
void
Release(Budget& aBudget, std::uint64_t aId);

// Why a request is ended before it has run, or a connection closed.
enum class Reason
{
  // Its body makes the least progress while others wait for memory.
  StalledBody,
  // It found no memory in time.
  NoMemory,
  // It exceeds the whole budget.
  TooLarge,
  // Its answers aren't read.
  UnreadAnswers,
  // It reads the slowest while answers wait in too much memory.
  SlowReader,
  // It is the least useful idle connection when there are too many.
  IdleConnection,
  // There are too many connections, none of which is idle.
  TooManyConnections,
  // It isn't a request, or exceeds a limit of the configuration.
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
  Timeout,
};

inline constexpr std::array<core::Named<Reason>, 11> kReasons{ {
  { Reason::StalledBody, "stalled_body" },
  { Reason::NoMemory, "no_memory" },
  { Reason::TooLarge, "body_exceeds_memory" },
  { Reason::UnreadAnswers, "unread_answers" },
  { Reason::SlowReader, "slow_reader" },
  { Reason::IdleConnection, "idle_connection" },
  { Reason::TooManyConnections, "too_many_connections" },
  { Reason::Malformed, "malformed_request" },
  { Reason::HeadTooLarge, "head_too_large" },
  { Reason::BodyTooLarge, "body_too_large" },
  { Reason::Timeout, "request_timeout" },
} };

struct Ended
{
  std::uint64_t id_ = 0;
  Reason reason_ = Reason::NoMemory;
};

struct Decision
{
  // Requests that waited and have their memory now.
  std::vector<std::uint64_t> granted_;
  // Requests to end. The owner releases them; what they held is granted by the
  // next decision.
  std::vector<Ended> ended_;
};

// Grants memory to waiting requests, those of the addresses that hold least
// first, and ends requests: those that have waited too long, and those that
// make the least progress if memory is missing. aReadSince: since when the host
// has read without a pause; a pause says nothing about the callers.
Decision
Decide(Budget& aBudget,
       absl::Time aNow,
       absl::Time aReadSince = absl::InfinitePast());

// A connection with bytes that its peer hasn't taken.
struct Reader
{
  std::uint64_t id_ = 0;
  std::uint64_t unsent_ = 0;
  // Bytes that the peer has taken since there have been unsent ones.
  std::uint64_t sent_ = 0;
  absl::Time since_ = absl::InfinitePast();
};

// Returns the readers to disconnect so that aExcess bytes are freed, those that
// take the fewest bytes a second first.
std::vector<std::uint64_t>
SlowestReaders(std::vector<Reader> aReaders,
               std::uint64_t aExcess,
               absl::Time aNow);

struct Idle
{
  std::uint64_t id_ = 0;
  absl::Time since_ = absl::InfinitePast();
  // Number of connections of its address.
  std::uint64_t ofAddress_ = 0;
};

// Returns the index of the idle connection to close: of the addresses with the
// most connections the one that has been idle for longest. aIdle isn't empty.
std::size_t
LeastUseful(const std::vector<Idle>& aIdle);

} // namespace lycheeplank::body_budget

#endif
