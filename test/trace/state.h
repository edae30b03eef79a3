#ifndef LYCHEEPLANK_TEST_TRACE_STATE_H
#define LYCHEEPLANK_TEST_TRACE_STATE_H

#include <functional>
#include <limits>
#include <queue>
#include <string>
#include <vector>

#include "fakes.h"
#include "lycheeplank/directory.h"
#include "lycheeplank/placement.h"

// The state of a simulated trace, with its settings, events and outcome.
namespace lycheeplank::trace {

enum class ExportPolicy
{
  // Exports no blocks.
  Nothing,
  // Exports all blocks and frees the least recently used ones.
  All,
  // Exports and frees blocks as retention::PlanExport and
  // retention::PlanEvictions plan it.
  Planned,
};

enum class Fault
{
  None,
  // The first store dies at the end of the warm-up.
  DeadStore,
  // The first store's link gets ten times slower at the end of the warm-up.
  SlowLink,
};

struct TrialSettings
{
  config::Policy policy_ = config::Policy::Estimate;
  ExportPolicy exportPolicy_ = ExportPolicy::Planned;
  placement::Tuning tuning_;
  Fault fault_ = Fault::None;
  std::uint32_t hosts_ = 8;
  // Seconds between two load reports that a host receives.
  double reportPeriod_ = 0.5;
  // Whether hosts add the work that they have sent since the last report.
  bool countUnreported_ = true;
};

struct Outcome
{
  double p50_ = 0.0;
  double p95_ = 0.0;
  double mean_ = 0.0;
  // Recomputed tokens divided by all tokens that had been computed before.
  double recomputed_ = 0.0;
  double importedGigabytes_ = 0.0;
  double exportedGigabytes_ = 0.0;
  std::uint32_t missedDeadlines_ = 0;
  std::uint32_t runs_ = 0;
};

// A host's last report of an engine and the runs sent since.
struct KnownEngine
{
  placement::LoadReport report_;
  double reportedAt_ = 0.0;
  std::vector<placement::SentRun> sent_;
};

// A host's information about a store.
struct KnownStore
{
  placement::LinkQueue queue_;
  double linkRate_ = 0.0;
  bool alive_ = true;
};

struct Host
{
  std::vector<KnownEngine> engines_;
  std::vector<KnownStore> stores_;
  // This host's position among each engine's followers.
  std::vector<std::uint32_t> ranks_;
  std::uint64_t sentRuns_ = 0;
};

enum class EventKind
{
  Arrival,
  Report,
  ImportEnd,
  PrefillEnd,
  TransferEnd,
  Fault,
  Sweep,
};

struct Event
{
  double at_ = 0.0;
  std::uint64_t order_ = 0;
  EventKind kind_ = EventKind::Arrival;
  std::uint32_t index_ = 0;

  friend bool operator>(const Event& aLeft, const Event& aRight)
  {
    return aLeft.at_ != aRight.at_ ? aLeft.at_ > aRight.at_
                                   : aLeft.order_ > aRight.order_;
  }
};

// The past runs of a prompt.
struct PromptHistory
{
  bool ran_ = false;
  bool abandoned_ = false;
  double lastRun_ = 0.0;
};

struct Trace
{
  const Workload* workload_ = nullptr;
  TrialSettings settings_;
  Random random_;
  double now_ = 0.0;
  std::uint64_t nextOrder_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Engine> engines_;
  std::vector<Store> stores_;
  // Link rates in bytes per second that stores measure and report.
  std::vector<double> linkRates_;
  std::vector<std::string> engineNames_;
  std::vector<std::string> storeNames_;
  std::vector<Host> hosts_;
  std::vector<Run> runs_;
  std::vector<std::uint32_t> prefilling_;
  std::vector<PromptHistory> history_;
  std::vector<retention::ReturnHistogram> returns_;
  std::vector<std::uint32_t> deferredBatch_;
  directory::State directory_;
  std::vector<double> ttfts_;
  std::uint64_t repeatedTokens_ = 0;
  std::uint64_t recomputedTokens_ = 0;
  Outcome outcome_;
};

// Idle time after which a prompt counts as abandoned; also the period within
// which returns count for a block's value.
inline constexpr double kHorizonSeconds = 4500.0;
// Network time between a host and an engine, one way.
inline constexpr double kOneWaySeconds = 0.0015;
// Time after which an import from a dead store fails.
inline constexpr double kImportTimeoutSeconds = 1.0;
// Time after which all hosts have detected that a store is dead.
inline constexpr double kDetectionSeconds = 3.0;
inline constexpr double kSweepSeconds = 60.0;
inline constexpr double kBytesPerGigabyte = 1e9;

// Returns the number in a name, e.g. 12 for "e12".
inline std::uint32_t
IndexOf(const std::string& aName)
{
  return static_cast<std::uint32_t>(std::stoul(aName.substr(1)));
}

inline absl::Time
AsTime(double aSeconds)
{
  return absl::UnixEpoch() + absl::Seconds(aSeconds);
}

inline void
Schedule(Trace& aTrace, double aAt, EventKind aKind, std::uint32_t aIndex)
{
  aTrace.events_.push({ aAt, aTrace.nextOrder_++, aKind, aIndex });
}

inline core::BlockKey
KeyOf(BlockId aBlock)
{
  return { PromptOf(aBlock), aBlock };
}

inline std::vector<core::BlockKey>
ChainOf(std::uint32_t aPrompt, std::uint32_t aBlocks)
{
  std::vector<core::BlockKey> chain;
  for (std::uint32_t i = 0; i < aBlocks; ++i) {
    chain.push_back(KeyOf(MakeBlockId(aPrompt, i)));
  }
  return chain;
}

inline directory::HolderId
EngineId(const Trace& aTrace, std::uint32_t aEngine)
{
  return { aTrace.engineNames_[aEngine], directory::HolderKind::Engine };
}

inline directory::HolderId
StoreId(const Trace& aTrace, std::uint32_t aStore)
{
  return { aTrace.storeNames_[aStore], directory::HolderKind::Store };
}

inline directory::Sighting
SightingOf(BlockId aBlock, bool aPresent, std::uint64_t aGeneration = 0)
{
  directory::Sighting sighting;
  sighting.block_ = KeyOf(aBlock);
  sighting.root_ = KeyOf(MakeBlockId(PromptOf(aBlock), 0));
  sighting.present_ = aPresent;
  sighting.generation_ = aGeneration;
  sighting.bytes_ = kBlockBytes;
  return sighting;
}

inline bool
IsMeasured(const Trace& aTrace)
{
  return aTrace.now_ >= aTrace.workload_->warmUp_;
}

inline double
Percentile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto rank =
    static_cast<std::size_t>(aPart * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(rank),
                   aValues.end());
  return aValues[rank];
}

} // namespace lycheeplank::trace

#endif
