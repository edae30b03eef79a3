#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include "config/sync_internal.h"

// Deletes chunks that no head names any more. A chunk may come back into use
// at any moment, so a clean-up lists the chunks with their versions, announces
// itself by a write of the head, and only then deletes, each chunk only if it
// still has the listed version. An edit that read the head before that write
// fails by compare-and-swap; one that reads it later writes its chunks anew,
// which gives them another version.
namespace lycheeplank::config {

namespace {

constexpr std::size_t kMaxDeletesPerPass = 64;

std::string
DigestOf(const platform::Entry& aEntry)
{
  return std::string(absl::StripPrefix(aEntry.key_, kChunkPrefix));
}

void
EndPass(Context& aContext)
{
  aContext.state_.cleanup_.reset();
}

// Tells whether a chunk that no head names was seen unchanged long enough.
bool
IsOldGarbage(Context& aContext,
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

// Returns what became of each retired chunk: true if its retention is over.
absl::btree_map<std::string, bool>
RetirementOver(const Context& aContext, const Head& aHead)
{
  absl::btree_map<std::string, bool> over;
  for (const auto& chunk : aHead.retired_) {
    const absl::Duration age =
      aContext.now_ - absl::FromUnixMillis(chunk.unixMs_);
    over[chunk.digest_] = age >= aContext.state_.options_.chunkRetention_;
  }
  return over;
}

// Chooses the listed chunks to delete under a head.
void
ChooseDoomed(Context& aContext, const Head& aHead)
{
  auto& run = *aContext.state_.cleanup_;
  const auto named = DigestsOf(aHead);
  const auto retired = RetirementOver(aContext, aHead);
  for (const auto& entry : run.listed_) {
    const std::string digest = DigestOf(entry);
    if (named.contains(digest)) {
      aContext.state_.garbage_.erase(digest);
      continue;
    }
    const auto found = retired.find(digest);
    const bool doomed = found != retired.end()
                          ? found->second
                          : IsOldGarbage(aContext, entry, digest);
    if (doomed && run.toDelete_.size() < kMaxDeletesPerPass) {
      run.toDelete_.push_back(entry);
    }
  }
}

void
Announce(Context& aContext, Head aHead, std::uint64_t aVersion)
{
  const auto& run = *aContext.state_.cleanup_;
  absl::btree_set<std::string> doomed;
  for (const auto& entry : run.toDelete_) {
    doomed.insert(DigestOf(entry));
  }
  auto& retired = aHead.retired_;
  retired.erase(std::remove_if(retired.begin(),
                               retired.end(),
                               [&](const RetiredChunk& aChunk) {
                                 return doomed.contains(aChunk.digest_);
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
OnListed(Context& aContext, const platform::Reply& aReply)
{
  auto& state = aContext.state_;
  state.cleanup_->listed_ = aReply.entries_;
  const bool more = aReply.more_ && !aReply.entries_.empty();
  state.cleanupCursor_ = more ? aReply.entries_.back().key_ : "";
  SendRead(aContext, RequestKind::CleanupReadHead, std::string(kHeadKey));
}

void
OnHeadRead(Context& aContext, const platform::Reply& aReply)
{
  auto head = ParseHead(aReply.value_);
  if (!head) {
    EndPass(aContext);
    return;
  }
  ChooseDoomed(aContext, *head);
  if (aContext.state_.cleanup_->toDelete_.empty()) {
    EndPass(aContext);
    return;
  }
  Announce(aContext, *std::move(head), aReply.version_);
}

void
DeleteDoomed(Context& aContext)
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
OnCleanupDue(Context& aContext)
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
OnCleanupReply(Context& aContext,
               RequestKind aKind,
               const platform::Reply& aReply)
{
  const bool taken = aReply.outcome_ == platform::Outcome::Ok;
  if (aKind == RequestKind::CleanupDelete) {
    if (taken) {
      Count(aContext, SyncCount::ChunksDeleted);
    }
    return;
  }
  if (!taken) {
    // Without a certain reply nothing is deleted; the next pass tries again.
    EndPass(aContext);
    return;
  }
  if (aKind == RequestKind::CleanupList) {
    OnListed(aContext, aReply);
  } else if (aKind == RequestKind::CleanupReadHead) {
    OnHeadRead(aContext, aReply);
  } else {
    DeleteDoomed(aContext);
  }
}

} // namespace lycheeplank::config
