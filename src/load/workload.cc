#include "load/workload.h"

#include <random>

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

namespace lycheeplank::load {

namespace {

using RandomEngine = std::mt19937_64;

// Length of a filler word with its leading space. Words are random, so texts of
// different seeds and documents share no block.
constexpr std::size_t kWordBytes = 8;

const std::vector<TaskTraits>&
CoOperativeTasks()
{
  static const auto* const tasks = new std::vector<TaskTraits>{
    { Task::Draft,
      0.5,
      "",
      "",
      false,
      4,
      10,
      0.65,
      24,
      true,
      absl::Seconds(60) },
    { Task::NameCheck,
      0.3,
      "registry",
      "check",
      false,
      0,
      0,
      0.0,
      0,
      true,
      absl::Seconds(10) },
    { Task::Issuance,
      0.2,
      "registry",
      "issue",
      true,
      0,
      0,
      0.0,
      0,
      true,
      absl::Seconds(10) },
  };
  return *tasks;
}

const std::vector<TaskTraits>&
AuthorityTasks()
{
  static const auto* const tasks = new std::vector<TaskTraits>{
    { Task::EntryRead,
      0.55,
      "",
      "",
      false,
      2,
      5,
      0.6,
      16,
      true,
      absl::Seconds(60) },
    { Task::Digest,
      0.3,
      "",
      "",
      false,
      6,
      14,
      0.75,
      40,
      false,
      absl::Minutes(5) },
    { Task::Callout,
      0.15,
      "registry",
      "callout",
      true,
      0,
      0,
      0.0,
      0,
      true,
      absl::Seconds(10) },
  };
  return *tasks;
}

double
Uniform(RandomEngine& aRandom)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(aRandom);
}

std::uint32_t
PickNumber(RandomEngine& aRandom, std::uint32_t aMin, std::uint32_t aMax)
{
  return std::uniform_int_distribution<std::uint32_t>(aMin, aMax)(aRandom);
}

const TaskTraits&
PickTask(RandomEngine& aRandom, Profile aProfile)
{
  const auto& tasks = TasksOf(aProfile);
  double remaining = Uniform(aRandom);
  for (const TaskTraits& task : tasks) {
    remaining -= task.share_;
    if (remaining < 0.0) {
      return task;
    }
  }
  return tasks.back();
}

// Picks a workspace; the n-th has a weight of 1/n, so a few workspaces send
// most requests.
std::uint32_t
PickWorkspace(RandomEngine& aRandom, std::uint32_t aCount)
{
  std::vector<double> weights;
  for (std::uint32_t n = 1; n <= aCount; ++n) {
    weights.push_back(1.0 / n);
  }
  return std::discrete_distribution<std::uint32_t>(weights.begin(),
                                                   weights.end())(aRandom);
}

// The last use and the task of each document while a trace is generated.
struct DocumentUsage
{
  // Both are indexed by document.
  std::vector<absl::Duration> lastUse_;
  std::vector<Task> task_;
};

// Returns the documents of the task whose last use is at least the shortest
// reuse gap ago.
std::vector<std::uint32_t>
ReusableDocuments(const DocumentUsage& aUsage,
                  Task aTask,
                  absl::Duration aNow,
                  absl::Duration aMinReuseGap)
{
  std::vector<std::uint32_t> documents;
  for (std::uint32_t at = 0; at < aUsage.lastUse_.size(); ++at) {
    if (aUsage.task_[at] == aTask &&
        aNow - aUsage.lastUse_[at] >= aMinReuseGap) {
      documents.push_back(at);
    }
  }
  return documents;
}

// Adds a document to the trace and assigns it to the arrival.
void
AddDocument(RandomEngine& aRandom,
            const TaskTraits& aTask,
            Trace& aTrace,
            DocumentUsage& aUsage,
            Arrival& aArrival)
{
  aArrival.workspace_ = PickWorkspace(aRandom, aTrace.options_.workspaces_);
  aArrival.document_ = static_cast<std::uint32_t>(aTrace.documents_.size());
  aTrace.documents_.push_back(
    { aArrival.workspace_,
      PickNumber(aRandom, aTask.minBlocks_, aTask.maxBlocks_) });
  aUsage.lastUse_.push_back(aArrival.at_);
  aUsage.task_.push_back(aTask.task_);
}

// Assigns a completion a document: one used before if possible, with the task's
// reuse probability, and a new one otherwise.
void
PickDocument(RandomEngine& aRandom,
             const TaskTraits& aTask,
             Trace& aTrace,
             DocumentUsage& aUsage,
             Arrival& aArrival)
{
  const bool reuses = Uniform(aRandom) < aTask.reuseProbability_;
  const auto reusable = ReusableDocuments(
    aUsage, aTask.task_, aArrival.at_, aTrace.options_.minReuseGap_);
  if (!reuses || reusable.empty()) {
    AddDocument(aRandom, aTask, aTrace, aUsage, aArrival);
    return;
  }
  aArrival.document_ = reusable[PickNumber(
    aRandom, 0, static_cast<std::uint32_t>(reusable.size() - 1))];
  aArrival.workspace_ = aTrace.documents_[aArrival.document_].workspace_;
  absl::Duration& lastUse = aUsage.lastUse_[aArrival.document_];
  aArrival.reuseGap_ = aArrival.at_ - lastUse;
  lastUse = aArrival.at_;
}

// Returns random words that depend on the seed only.
std::string
FillerText(std::uint64_t aSeed, std::size_t aBytes)
{
  RandomEngine random(aSeed);
  std::string text;
  text.reserve(aBytes + kWordBytes);
  while (text.size() < aBytes) {
    std::uint64_t word = random();
    text += ' ';
    for (std::size_t at = 1; at < kWordBytes; ++at, word /= 26) {
      text += static_cast<char>('a' + word % 26);
    }
  }
  text.resize(aBytes);
  return text;
}

} // namespace

const std::vector<TaskTraits>&
TasksOf(Profile aProfile)
{
  return aProfile == Profile::CoOperative ? CoOperativeTasks()
                                          : AuthorityTasks();
}

const TaskTraits&
TraitsOf(Task aTask)
{
  for (const auto& named : kProfiles) {
    for (const TaskTraits& traits : TasksOf(named.value_)) {
      if (traits.task_ == aTask) {
        return traits;
      }
    }
  }
  return CoOperativeTasks().front();
}

Trace
MakeTrace(const TraceOptions& aOptions)
{
  Trace trace{ aOptions, {}, {} };
  DocumentUsage usage;
  RandomEngine random(aOptions.seed_);
  std::exponential_distribution<double> gap(aOptions.requestsPerSecond_);
  absl::Duration at = absl::Seconds(gap(random));
  for (; at < aOptions.duration_; at += absl::Seconds(gap(random))) {
    const TaskTraits& task = PickTask(random, aOptions.profile_);
    Arrival arrival;
    arrival.at_ = at;
    arrival.task_ = task.task_;
    arrival.nonce_ = random();
    if (task.service_.empty()) {
      PickDocument(random, task, trace, usage, arrival);
    } else {
      arrival.workspace_ = PickWorkspace(random, aOptions.workspaces_);
    }
    trace.arrivals_.push_back(arrival);
  }
  return trace;
}

std::string
PromptOf(const Trace& aTrace,
         const Arrival& aArrival,
         std::uint32_t aBlockTokens)
{
  const Document& document = aTrace.documents_[aArrival.document_];
  const std::uint64_t seed = core::StableHash(
    absl::StrCat("document ", aArrival.document_), aTrace.options_.seed_);
  const std::size_t bytes =
    core::kBytesPerToken * document.blocks_ * aBlockTokens;
  return absl::StrCat(FillerText(seed, bytes), " question ", aArrival.nonce_);
}

std::string
CallBodyOf(const Arrival& aArrival)
{
  return absl::StrCat("{\"learner\":\"", aArrival.nonce_, "\"}");
}

} // namespace lycheeplank::load
