#ifndef LYCHEEPLANK_SRC_CONFIG_SYNC_INTERNAL_H
#define LYCHEEPLANK_SRC_CONFIG_SYNC_INTERNAL_H

#include <string>
#include <utility>
#include <vector>

#include "lycheeplank/config_sync.h"

// Functions that the source files of Step share.
namespace lycheeplank::config {

// The state, the inputs and the effects of one call of Step.
struct StepContext
{
  SyncState& state_;
  absl::Time now_;
  std::uint64_t random_ = 0;
  std::vector<Effect>& effects_;
};

// Increments a counter.
void
Count(StepContext& aContext, SyncCount aCount);

// Returns an interval that is randomly changed by up to a quarter in either
// direction.
absl::Duration
Jittered(StepContext& aContext, absl::Duration aInterval);

// Returns a random number less than aBound.
std::uint64_t
RandomBelow(StepContext& aContext, std::uint64_t aBound);

// Adds a pending request and returns its id.
std::uint64_t
AddRequest(StepContext& aContext, PendingRequest aRequest);

// Adds a pending request for a platform command and sends the command.
void
Send(StepContext& aContext, RequestKind aKind, platform::Command aCommand);

// Sends a platform command that reads a key.
void
SendRead(StepContext& aContext, RequestKind aKind, std::string aKey);

// Returns the number of pending requests of a kind.
std::size_t
CountInFlight(const SyncState& aState, RequestKind aKind);

// Returns the digests of all chunks that a head references.
absl::btree_set<std::string>
DigestsOf(const Head& aHead);

// fetch.cc

// Parses a head received from the platform or a peer and makes it the pending
// head. Ignores a head that is not newer than the one in force and the pending
// one.
void
RecordHead(StepContext& aContext, const std::string& aText);

// Stores a chunk if the pending head is missing it and its digest is correct.
void
AddChunk(StepContext& aContext, ChunkContent aChunk);

// Sends the next requests that are needed to put a newer head in force: for the
// head, for its chunks, or for the check.
void
AdvanceFetch(StepContext& aContext);

void
OnPeerReply(StepContext& aContext,
            const PendingRequest& aRequest,
            const PeerReply& aPeerReply);
void
OnPlatformChunk(StepContext& aContext,
                const PendingRequest& aRequest,
                const platform::Reply& aReply);
void
OnPendingChecked(StepContext& aContext, const DocumentChecked& aChecked);

// edit.cc

void
OnEditRequested(StepContext& aContext, const EditRequested& aEdit);
void
OnEditHead(StepContext& aContext, const platform::Reply& aReply);
void
OnEditChunkWritten(StepContext& aContext,
                   const PendingRequest& aRequest,
                   const platform::Reply& aReply);
void
OnEditHeadWritten(StepContext& aContext, const platform::Reply& aReply);
void
OnEditChecked(StepContext& aContext, const DocumentChecked& aChecked);

// Starts the next queued edit if none is in progress, fails the edit in
// progress after its deadline, or else sends its next requests.
void
AdvanceEdit(StepContext& aContext);

// cleanup.cc

void
OnCleanupDue(StepContext& aContext);
void
OnCleanupReply(StepContext& aContext,
               RequestKind aKind,
               const platform::Reply& aReply);

} // namespace lycheeplank::config

#endif
