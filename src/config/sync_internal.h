#ifndef LYCHEEPLANK_SRC_CONFIG_SYNC_INTERNAL_H
#define LYCHEEPLANK_SRC_CONFIG_SYNC_INTERNAL_H

#include <string>
#include <utility>
#include <vector>

#include "lycheeplank/config_sync.h"

// Parts of Step that its files share.
namespace lycheeplank::config {

// One run of Step.
struct Context
{
  SyncState& state_;
  absl::Time now_;
  std::uint64_t random_ = 0;
  std::vector<Effect>& effects_;
};

void
Count(Context& aContext, SyncCount aCount);

// Returns an interval lengthened or shortened at random by up to a quarter.
absl::Duration
Jittered(Context& aContext, absl::Duration aInterval);

// Returns a random number below a bound.
std::uint64_t
RandomBelow(Context& aContext, std::uint64_t aBound);

// Notes a request and returns its id.
std::uint64_t
AddRequest(Context& aContext, PendingRequest aRequest);

// Sends a platform command.
void
Send(Context& aContext, RequestKind aKind, platform::Command aCommand);

// Reads a key of the platform's service.
void
SendRead(Context& aContext, RequestKind aKind, std::string aKey);

// Tells whether a request of a kind awaits its reply, and how many do.
std::size_t
InFlight(const SyncState& aState, RequestKind aKind);

// Returns all digests that the sections of a head name.
absl::btree_set<std::string>
DigestsOf(const Head& aHead);

// fetch.cc

// Takes note of a head, read from the platform or given by a peer; a head that
// is not newer than the ones known is passed over.
void
LearnHead(Context& aContext, const std::string& aText);

// Keeps a chunk that the pending head misses.
void
AddChunk(Context& aContext, ChunkContent aChunk);

// Goes on with what is missing: newer heads, chunks, the check.
void
AdvanceFetch(Context& aContext);

void
OnPeerAnswer(Context& aContext,
             const PendingRequest& aRequest,
             const PeerReply& aAnswer);
void
OnPlatformChunk(Context& aContext,
                const PendingRequest& aRequest,
                const platform::Reply& aReply);
void
OnPendingChecked(Context& aContext, const DocumentChecked& aChecked);

// edit.cc

void
OnEditAsked(Context& aContext, const EditRequested& aEdit);
void
OnEditHead(Context& aContext, const platform::Reply& aReply);
void
OnEditChunkWritten(Context& aContext,
                   const PendingRequest& aRequest,
                   const platform::Reply& aReply);
void
OnEditHeadWritten(Context& aContext, const platform::Reply& aReply);
void
OnEditChecked(Context& aContext, const DocumentChecked& aChecked);

// Sends the next requests of the edit in progress, or gives it up.
void
AdvanceEdit(Context& aContext);

// cleanup.cc

void
OnCleanupDue(Context& aContext);
void
OnCleanupReply(Context& aContext,
               RequestKind aKind,
               const platform::Reply& aReply);

} // namespace lycheeplank::config

#endif
