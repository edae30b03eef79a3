#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include "config/sync_internal.h"

// Deletes chunks that the head no longer references. An edit may reference such
// a chunk again at any time. Therefore a clean-up lists the chunks with their
// versions, announces the deletion by a write of the head, and then deletes
// each chunk only if it still has the listed version. An edit that read the
// head before this write fails by compare-and-swap. An edit that reads the head
// later writes its chunks again, which gives them new versions.
namespace lycheeplank::config {

namespace {

constexpr std::size_t kMaxDeletesPerPass = 64;

std::string
DigestOf(const platform::Entry& aEntry)
{
  return std::string(absl::StripPrefix(aEntry.key_, kChunkPrefix));
}

void
EndPass(StepContext& aContext)
{
  aContext.state_.cleanup_.reset();
}

// Returns whether an unreferenced chunk has kept its version for the retention
// time.
bool
IsExpiredGarbage(StepContext& aContext,
                 const platform::Entry& aEntry,
                 const std::string& aDigest)
{
  auto& state = aContext.state_;
  auto& seen = state.garbage_[aDigest];
  if (seen.version_ != aEntry.version_) {
    seen = { aEntry.version_, aContext.now_ };
  }
  return aContext.now_ - seen.since_ >= state.options_.chunkRetention_;
}

// Returns for each retired chunk whether its retention time has ended.
absl::btree_map<std::string, bool>
RetentionEnded(const StepContext& aContext, const Head& aHead)
{
  absl::btree_map<std::string, bool> ended;
  for (const auto& chunk : aHead.retired_) {
    const absl::Duration age =
      aContext.now_ - absl::FromUnixMillis(chunk.unixMs_);
    ended[chunk.digest_] = age >= aContext.state_.options_.chunkRetention_;
  }
  return ended;
}

// Selects the listed chunks that the head does not reference and whose
// retention time has ended, up to kMaxDeletesPerPass.
void
SelectChunksToDelete(StepContext& aContext, const Head& aHead)
{
  auto& pass = *aContext.state_.cleanup_;
  const auto referenced = DigestsOf(aHead);
  const auto retired = RetentionEnded(aContext, aHead);
  for (const auto& entry : pass.listed_) {
    const std::string digest = DigestOf(entry);
    if (referenced.contains(digest)) {
      aContext.state_.garbage_.erase(digest);
      continue;
    }
    const auto found = retired.find(digest);
    const bool expired = found != retired.end()
                           ? found->second
                           : IsExpiredGarbage(aContext, entry, digest);
    if (expired && pass.toDelete_.size() < kMaxDeletesPerPass) {
      pass.toDelete_.push_back(entry);
    }
  }
}

// Writes the head without the selected chunks in its retired list, if the head
// still has the version that was read.
void
AnnounceDeletion(StepContext& aContext, Head aHead, std::uint64_t aVersion)
{
  const auto& pass = *aContext.state_.cleanup_;
  absl::btree_set<std::string> digests;
  for (const auto& entry : pass.toDelete_) {
    digests.insert(DigestOf(entry));
  }
  auto& retired = aHead.retired_;
  retired.erase(std::remove_if(retired.begin(),
                               retired.end(),
                               [&](const RetiredChunk& aChunk) {
                                 return digests.contains(aChunk.digest_);
                               }),
                retired.end());
  ++aHead.cleanups_;
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = std::string(kHeadKey);
  command.value_ = FormatHead(aHead);
  command.expect_ = aVersion;
  Send(aContext, RequestKind::CleanupAnnounce, std::move(command));
}

void
OnChunksListed(StepContext& aContext, const platform::Reply& aReply)
{
  auto& state = aContext.state_;
  state.cleanup_->listed_ = aReply.entries_;
  const bool more = aReply.more_ && !aReply.entries_.empty();
  state.cleanupCursor_ = more ? aReply.entries_.back().key_ : "";
  SendRead(aContext, RequestKind::CleanupReadHead, std::string(kHeadKey));
}

void
OnHeadRead(StepContext& aContext, const platform::Reply& aReply)
{
  auto head = ParseHead(aReply.value_);
  if (!head) {
    EndPass(aContext);
    return;
  }
  SelectChunksToDelete(aContext, *head);
  if (aContext.state_.cleanup_->toDelete_.empty()) {
    EndPass(aContext);
    return;
  }
  AnnounceDeletion(aContext, *std::move(head), aReply.version_);
}

void
DeleteSelectedChunks(StepContext& aContext)
{
  for (const auto& entry : aContext.state_.cleanup_->toDelete_) {
    platform::Command command;
    command.operation_ = platform::Operation::Delete;
    command.key_ = entry.key_;
    command.expect_ = entry.version_;
    Send(aContext, RequestKind::CleanupDelete, std::move(command));
    aContext.state_.garbage_.erase(DigestOf(entry));
  }
  EndPass(aContext);
}

} // namespace

void
OnCleanupDue(StepContext& aContext)
{
  auto& state = aContext.state_;
  if (state.cleanup_) {
    return;
  }
  state.cleanup_.emplace();
  platform::Command command;
  command.operation_ = platform::Operation::List;
  command.key_ = std::string(kChunkPrefix);
  command.value_ = state.cleanupCursor_;
  Send(aContext, RequestKind::CleanupList, std::move(command));
}

void
OnCleanupReply(StepContext& aContext,
               RequestKind aKind,
               const platform::Reply& aReply)
{
  const bool succeeded = aReply.outcome_ == platform::Outcome::Ok;
  if (aKind == RequestKind::CleanupDelete) {
    if (succeeded) {
      Count(aContext, SyncCount::ChunksDeleted);
    }
    return;
  }
  if (!succeeded) {
    // Nothing may be deleted unless the command succeeded. The next pass
    // retries.
    EndPass(aContext);
    return;
  }
  if (aKind == RequestKind::CleanupList) {
    OnChunksListed(aContext, aReply);
  } else if (aKind == RequestKind::CleanupReadHead) {
    OnHeadRead(aContext, aReply);
  } else {
    DeleteSelectedChunks(aContext);
  }
}

} // namespace lycheeplank::config
