#ifndef LYCHEEPLANK_LOAD_WORKLOAD_H
#define LYCHEEPLANK_LOAD_WORKLOAD_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "lycheeplank/core.h"

// Traces of requests that depend on their options only.
namespace lycheeplank::load {

enum class Profile
{
  CoOperative,
  Authority,
};

inline constexpr std::array<core::Named<Profile>, 2> kProfiles{ {
  { Profile::CoOperative, "co-operative" },
  { Profile::Authority, "authority" },
} };

// Kinds of request.
enum class Task
{
  Draft,
  NameCheck,
  Issuance,
  EntryRead,
  Digest,
  Callout,
};

inline constexpr std::array<core::Named<Task>, 6> kTasks{ {
  { Task::Draft, "draft" },
  { Task::NameCheck, "name_check" },
  { Task::Issuance, "issuance" },
  { Task::EntryRead, "entry_read" },
  { Task::Digest, "digest" },
  { Task::Callout, "callout" },
} };

// How requests of one kind look.
struct TaskTraits
{
  Task task_;
  // Part of the arrivals of its profile.
  double share_;
  // Empty for completions.
  absl::string_view service_;
  absl::string_view call_;
  // The call needs an idempotency key.
  bool once_;
  // Size of the long text that prompts begin with.
  std::uint32_t minBlocks_;
  std::uint32_t maxBlocks_;
  // Chance that a prompt begins with a text seen before.
  double returnShare_;
  std::uint32_t maxTokens_;
  bool interactive_;
  absl::Duration deadline_;
};

// Returns the kinds of request of a profile.
const std::vector<TaskTraits>&
TasksOf(Profile aProfile);

const TaskTraits&
TraitsOf(Task aTask);

struct TraceOptions
{
  Profile profile_ = Profile::CoOperative;
  double requestsPerSecond_ = 4.0;
  absl::Duration duration_ = absl::Seconds(60);
  std::uint64_t seed_ = 1;
  std::uint32_t workspaces_ = 10;
  // Shortest time until a text returns.
  absl::Duration minGap_ = absl::Seconds(10);
  // Times of requests that arrive before this don't count.
  absl::Duration warmUp_ = absl::ZeroDuration();
};

// A long text that several prompts of a workspace begin with.
struct Document
{
  std::uint32_t workspace_ = 0;
  std::uint32_t blocks_ = 0;
};

// One request of a trace.
struct Arrival
{
  absl::Duration at_;
  Task task_ = Task::Draft;
  std::uint32_t workspace_ = 0;
  // Position in the trace's documents; completions only.
  std::uint32_t document_ = 0;
  // Time since the document was last asked for; zero the first time.
  absl::Duration gap_ = absl::ZeroDuration();
  // Makes the end of the prompt or the body of the call unique.
  std::uint64_t nonce_ = 0;
};

struct Trace
{
  TraceOptions options_;
  std::vector<Document> documents_;
  std::vector<Arrival> arrivals_;
};

// Returns arrivals with exponential gaps (open loop).
Trace
MakeTrace(const TraceOptions& aOptions);

// Returns the prompt of a completion; the document takes whole blocks.
std::string
PromptOf(const Trace& aTrace,
         const Arrival& aArrival,
         std::uint32_t aBlockTokens);

// Returns the body of a service call.
std::string
CallBodyOf(const Arrival& aArrival);

} // namespace lycheeplank::load

#endif
