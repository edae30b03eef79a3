#ifndef LYCHEEPLANK_LOAD_WORKLOAD_H
#define LYCHEEPLANK_LOAD_WORKLOAD_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "lycheeplank/core.h"

// Generates traces of requests. A trace depends on its options only.
namespace lycheeplank::load {

// The mix of request kinds in a trace.
enum class Profile
{
  CoOperative,
  Authority,
};

inline constexpr std::array<core::Named<Profile>, 2> kProfiles{ {
  { Profile::CoOperative, "co-operative" },
  { Profile::Authority, "authority" },
} };

// The kinds of request.
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

// The properties of one kind of request.
struct TaskTraits
{
  Task task_;
  // Fraction of the arrivals of its profile.
  double share_;
  // Service and call name; empty for completions.
  absl::string_view service_;
  absl::string_view call_;
  // Whether the call must be executed at most once.
  bool needsIdempotencyKey_;
  // Size of the document that prompts begin with, in KV cache blocks.
  std::uint32_t minBlocks_;
  std::uint32_t maxBlocks_;
  // Probability that a prompt begins with a document used before.
  double reuseProbability_;
  std::uint32_t maxTokens_;
  bool interactive_;
  absl::Duration deadline_;
};

// Returns the kinds of request of a profile.
const std::vector<TaskTraits>&
TasksOf(Profile aProfile);

const TaskTraits&
TraitsOf(Task aTask);

// The parameters of a trace; equal parameters give equal traces.
struct TraceOptions
{
  Profile profile_ = Profile::CoOperative;
  double requestsPerSecond_ = 4.0;
  absl::Duration duration_ = absl::Seconds(60);
  std::uint64_t seed_ = 1;
  std::uint32_t workspaces_ = 10;
  // Shortest time until a document is used again.
  absl::Duration minReuseGap_ = absl::Seconds(10);
  // Latencies of requests that arrive before this time are left out of the
  // report.
  absl::Duration warmUp_ = absl::ZeroDuration();
};

// A long text that several prompts of one workspace begin with.
struct Document
{
  std::uint32_t workspace_ = 0;
  std::uint32_t blocks_ = 0;
};

// One request of a trace.
struct Arrival
{
  // Time from the start of the trace.
  absl::Duration at_;
  Task task_ = Task::Draft;
  std::uint32_t workspace_ = 0;
  // Index in the trace's documents; used by completions only.
  std::uint32_t document_ = 0;
  // Time since the document was last used; zero for its first use.
  absl::Duration reuseGap_ = absl::ZeroDuration();
  // Makes the end of the prompt, or the body of the call, unique.
  std::uint64_t nonce_ = 0;
};

// The documents and, in order of time, the requests of a trace.
struct Trace
{
  TraceOptions options_;
  std::vector<Document> documents_;
  std::vector<Arrival> arrivals_;
};

// Generates a trace with exponentially distributed gaps between arrivals (open
// loop).
Trace
MakeTrace(const TraceOptions& aOptions);

// Returns the prompt of a completion. Its document fills whole blocks.
std::string
PromptOf(const Trace& aTrace,
         const Arrival& aArrival,
         std::uint32_t aBlockTokens);

// Returns the body of a service call.
std::string
CallBodyOf(const Arrival& aArrival);

} // namespace lycheeplank::load

#endif
