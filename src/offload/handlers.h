#ifndef LYCHEEPLANK_OFFLOAD_HANDLERS_H
#define LYCHEEPLANK_OFFLOAD_HANDLERS_H

#include "lycheeplank/offload.h"

// Parts of the reducer, one source file each.
namespace lycheeplank::offload::detail {

// One step of the reducer.
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

// Learns from a run and plans the export of its blocks.
void
Handle(StepContext& aStep, const RunFinished& aEvent);

// Progress of exports.
void
Handle(StepContext& aStep, const ExportStarted& aEvent);
void
Handle(StepContext& aStep, const ExportReported& aEvent);

// Starts exports that may start, drops those that are too late and asks for
// the state of running ones.
void
DriveExports(StepContext& aStep);

// Load of stores and freeing of blocks.
void
Handle(StepContext& aStep, const StoreReported& aEvent);
void
Handle(StepContext& aStep, const InventoryRead& aEvent);
void
Handle(StepContext& aStep, const FreeEnded& aEvent);

// Asks the stores that this host uses or owns for their load.
void
PollStores(StepContext& aStep);

// Frees the next blocks of plans under way and drops plans that are too old.
void
DriveEvictions(StepContext& aStep);

// Time between two questions for a store's load; grows with the hosts.
absl::Duration
StorePollPeriod(const State& aState);

// Whether a store's load is known and recent.
bool
IsFresh(const State& aState, const StoreState& aStore, absl::Time aNow);

// Whether a store gave no answer the last time that it was asked.
bool
IsDown(const StoreState& aStore);

std::uint64_t
CapacityOf(const config::Store& aStore);

// What the value of a model's blocks depends on.
retention::ExportCandidate
ExportCandidateFor(const config::Config& aConfig, const std::string& aModel);

void
NoteHeld(State& aState,
         const StoredBlock& aBlock,
         const std::string& aStore,
         absl::Time aNow);

// Counts the end of an export and writes a line about it.
void
CountExport(StepContext& aStep, const Export& aExport, ExportResult aResult);

// Counts an export that was never ordered.
void
CountDropped(StepContext& aStep, ExportResult aResult);

} // namespace lycheeplank::offload::detail

#endif
