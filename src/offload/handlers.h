#ifndef LYCHEEPLANK_OFFLOAD_HANDLERS_H
#define LYCHEEPLANK_OFFLOAD_HANDLERS_H

#include "lycheeplank/offload.h"

// Event handlers of the reducer and the helpers that they share.
namespace lycheeplank::offload::detail {

// The state, time and effects of one step of the reducer.
struct StepContext
{
  State& state_;
  absl::Time now_;
  Effects effects_;
};

void
Handle(StepContext& aStep, const ConfigChanged& aEvent);
void
Handle(StepContext& aStep, const HostsChanged& aEvent);
void
Handle(StepContext& aStep, const Tick& aEvent);

// Records a run and plans the export of its blocks.
void
Handle(StepContext& aStep, const RunFinished& aEvent);

// Handle the progress of exports.
void
Handle(StepContext& aStep, const ExportStarted& aEvent);
void
Handle(StepContext& aStep, const ExportReported& aEvent);

// Drops exports that are too late, starts those that may start and polls the
// running ones.
void
AdvanceExports(StepContext& aStep);

// Handle the load reports of stores and the freeing of blocks.
void
Handle(StepContext& aStep, const StoreReported& aEvent);
void
Handle(StepContext& aStep, const InventoryRead& aEvent);
void
Handle(StepContext& aStep, const FreeEnded& aEvent);

// Polls the load of the stores that this host uses or owns.
void
PollStores(StepContext& aStep);

// Frees the next blocks of eviction plans and drops plans that are too old.
void
AdvanceEvictions(StepContext& aStep);

// Returns the time between two polls of a store's load, which grows with the
// number of hosts.
absl::Duration
StorePollPeriod(const State& aState);

// Returns whether a store's load is known and recent.
bool
IsFresh(const State& aState, const StoreState& aStore, absl::Time aNow);

// Returns whether a store didn't answer the last poll.
bool
IsDown(const StoreState& aStore);

std::uint64_t
CapacityOf(const config::Store& aStore);

// Returns an export candidate with the properties of a model that determine the
// value of its blocks.
retention::ExportCandidate
ExportCandidateFor(const config::Config& aConfig, const std::string& aModel);

void
RecordHeldBlock(State& aState,
                const StoredBlock& aBlock,
                const std::string& aStore,
                absl::Time aNow);

// Counts the result of an ended export and logs it.
void
RecordExportEnd(StepContext& aStep,
                const Export& aExport,
                ExportResult aResult);

// Counts the result of an export.
void
CountExportResult(StepContext& aStep, ExportResult aResult);

} // namespace lycheeplank::offload::detail

#endif
