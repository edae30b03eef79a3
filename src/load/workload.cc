#include "load/workload.h"

#include <random>

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

namespace lycheeplank::load {

namespace {

using Engine = std::mt19937_64;

// Texts of different seeds and documents share no block.
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
Uniform(Engine& aEngine)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(aEngine);
}

std::uint32_t
PickNumber(Engine& aEngine, std::uint32_t aLeast, std::uint32_t aMost)
{
  return std::uniform_int_distribution<std::uint32_t>(aLeast, aMost)(aEngine);
}

const TaskTraits&
PickTask(Engine& aEngine, Profile aProfile)
{
  const auto& tasks = TasksOf(aProfile);
  double left = Uniform(aEngine);
  for (const TaskTraits& task : tasks) {
    left -= task.share_;
    if (left < 0.0) {
      return task;
    }
  }
  return tasks.back();
}

// A few workspaces are large: the n-th has a weight of 1/n.
std::uint32_t
PickWorkspace(Engine& aEngine, std::uint32_t aCount)
{
  std::vector<double> weights;
  for (std::uint32_t n = 1; n <= aCount; ++n) {
    weights.push_back(1.0 / n);
  }
  return std::discrete_distribution<std::uint32_t>(weights.begin(),
                                                   weights.end())(aEngine);
}

// What is known of the documents while a trace is made.
struct Memory
{
  // By document.
  std::vector<absl::Duration> lastUse_;
  std::vector<Task> task_;
};

// Returns the documents of the task that were not used for the shortest gap.
std::vector<std::uint32_t>
Returnable(const Memory& aMemory,
           Task aTask,
           absl::Duration aNow,
           absl::Duration aMinGap)
{
  std::vector<std::uint32_t> documents;
  for (std::uint32_t at = 0; at < aMemory.lastUse_.size(); ++at) {
    if (aMemory.task_[at] == aTask && aNow - aMemory.lastUse_[at] >= aMinGap) {
      documents.push_back(at);
    }
  }
  return documents;
}

void
AddDocument(Engine& aEngine,
            const TaskTraits& aTask,
            Trace& aTrace,
            Memory& aMemory,
            Arrival& aArrival)
{
  aArrival.workspace_ = PickWorkspace(aEngine, aTrace.options_.workspaces_);
  aArrival.document_ = static_cast<std::uint32_t>(aTrace.documents_.size());
  aTrace.documents_.push_back(
    { aArrival.workspace_,
      PickNumber(aEngine, aTask.minBlocks_, aTask.maxBlocks_) });
  aMemory.lastUse_.push_back(aArrival.at_);
  aMemory.task_.push_back(aTask.task_);
}

// Lets a completion return to a document, or gives it a new one.
void
PickDocument(Engine& aEngine,
             const TaskTraits& aTask,
             Trace& aTrace,
             Memory& aMemory,
             Arrival& aArrival)
{
  const bool returns = Uniform(aEngine) < aTask.returnShare_;
  const auto known =
    Returnable(aMemory, aTask.task_, aArrival.at_, aTrace.options_.minGap_);
  if (!returns || known.empty()) {
    AddDocument(aEngine, aTask, aTrace, aMemory, aArrival);
    return;
  }
  aArrival.document_ =
    known[PickNumber(aEngine, 0, static_cast<std::uint32_t>(known.size() - 1))];
  aArrival.workspace_ = aTrace.documents_[aArrival.document_].workspace_;
  absl::Duration& lastUse = aMemory.lastUse_[aArrival.document_];
  aArrival.gap_ = aArrival.at_ - lastUse;
  lastUse = aArrival.at_;
}

// Returns text without meaning that depends on the seed only.
std::string
Filler(std::uint64_t aSeed, std::size_t aBytes)
{
  Engine engine(aSeed);
  std::string text;
  text.reserve(aBytes + kWordBytes);
  while (text.size() < aBytes) {
    std::uint64_t word = engine();
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
  Memory memory;
  Engine engine(aOptions.seed_);
  std::exponential_distribution<double> gap(aOptions.requestsPerSecond_);
  absl::Duration at = absl::Seconds(gap(engine));
  for (; at < aOptions.duration_; at += absl::Seconds(gap(engine))) {
    const TaskTraits& task = PickTask(engine, aOptions.profile_);
    Arrival arrival;
    arrival.at_ = at;
    arrival.task_ = task.task_;
    arrival.nonce_ = engine();
    if (task.service_.empty()) {
      PickDocument(engine, task, trace, memory, arrival);
    } else {
      arrival.workspace_ = PickWorkspace(engine, aOptions.workspaces_);
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
  return absl::StrCat(Filler(seed, bytes), " question ", aArrival.nonce_);
}

std::string
CallBodyOf(const Arrival& aArrival)
{
  return absl::StrCat("{\"learner\":\"", aArrival.nonce_, "\"}");
}

} // namespace lycheeplank::load
