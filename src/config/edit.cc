#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/strip.h>
#include <glog/logging.h>

#include "config/proposal.h"
#include "config/sync_internal.h"

namespace lycheeplank::config {

namespace {

constexpr std::size_t kMaxWaitingEdits = 16;
constexpr std::size_t kParallelChunkWrites = 8;
// Maximum number of retired chunks in a head. It keeps the head well below the
// platform's limit of 1 MB per value.
constexpr std::size_t kMaxRetiredChunks = 4000;
constexpr absl::Duration kRetryAfter = absl::Seconds(10);
// Author names are truncated to this size, because a head contains up to
// kMaxHistory of them.
constexpr std::size_t kMaxAuthorBytes = 128;

// Removes the edit in progress and its pending requests.
void
DropEdit(StepContext& aContext)
{
  auto& requests = aContext.state_.requests_;
  for (auto request = requests.begin(); request != requests.end();) {
    switch (request->second.kind_) {
      case RequestKind::EditReadHead:
      case RequestKind::EditWriteChunk:
      case RequestKind::EditWriteHead:
      case RequestKind::EditCheck:
        request = requests.erase(request);
        break;
      default:
        ++request;
    }
  }
  aContext.state_.edit_.reset();
}

// Replies to the edit in progress and removes it.
void
FinishEdit(StepContext& aContext, AnswerEdit aAnswer)
{
  aAnswer.id_ = aContext.state_.edit_->request_.id_;
  aContext.effects_.emplace_back(std::move(aAnswer));
  DropEdit(aContext);
}

void
AcceptEdit(StepContext& aContext, std::uint64_t aRevision)
{
  Count(aContext, SyncCount::EditsAccepted);
  AnswerEdit answer;
  answer.revision_ = aRevision;
  FinishEdit(aContext, std::move(answer));
}

void
RejectEdit(StepContext& aContext, SyncCount aCount, core::Error aError)
{
  Count(aContext, aCount);
  AnswerEdit answer;
  answer.error_ = std::move(aError);
  FinishEdit(aContext, std::move(answer));
}

void
RejectUnknownOutcome(StepContext& aContext)
{
  const auto& edit = *aContext.state_.edit_;
  RejectEdit(
    aContext,
    SyncCount::EditsUnknown,
    { core::ErrorKind::OutcomeUnknown,
      absl::StrCat("the platform's service did not confirm whether change ",
                   edit.changeId_,
                   " was accepted"),
      "Look for the change in the history before you apply it again.",
      core::RunState::Unknown });
}

void
ExpireEdit(StepContext& aContext)
{
  if (aContext.state_.edit_->headWriteUnresolved_) {
    RejectUnknownOutcome(aContext);
    return;
  }
  RejectEdit(aContext,
             SyncCount::EditsUnavailable,
             { core::ErrorKind::PlatformUnavailable,
               "the change could not be written in time; nothing was changed",
               "",
               core::RunState::No,
               kRetryAfter });
}

void
PauseEdit(StepContext& aContext)
{
  auto& edit = *aContext.state_.edit_;
  edit.pausedUntil_ =
    aContext.now_ + Jittered(aContext, aContext.state_.options_.retryPause_);
}

// Makes a head that was read from the platform the base of the edit's proposal.
void
RebaseEdit(StepContext& aContext, Head aHead, std::uint64_t aVersion)
{
  auto& edit = *aContext.state_.edit_;
  if (aHead.revision_ < RevisionOf(aContext.state_)) {
    RejectEdit(aContext,
               SyncCount::EditsUnavailable,
               { core::ErrorKind::Internal,
                 absl::StrCat("the platform's service has revision ",
                              aHead.revision_,
                              ", older than the one in force, ",
                              RevisionOf(aContext.state_)),
                 "Restore the key config/head in the platform's service." });
    return;
  }
  edit.baseHead_ = std::move(aHead);
  edit.baseVersion_ = aVersion;
  edit.headWriteUnresolved_ = false;
  edit.phase_ = EditPhase::AwaitInForce;
}

// Determines from the current head whether an earlier head write without a
// known outcome took effect.
void
ResolveHeadWrite(StepContext& aContext,
                 const Head& aHead,
                 std::uint64_t aVersion)
{
  auto& edit = *aContext.state_.edit_;
  const std::uint64_t proposed = edit.proposal_.revision_;
  if (aHead.revision_ < proposed) {
    if (aVersion == edit.baseVersion_) {
      // The write may still take effect. It is sent again, and compare-and-swap
      // lets at most one of the two succeed.
      edit.phase_ = EditPhase::WriteHead;
    } else {
      RebaseEdit(aContext, aHead, aVersion);
    }
    return;
  }
  const auto change = std::find_if(
    aHead.history_.begin(), aHead.history_.end(), [&](const Change& aChange) {
      return aChange.revision_ == proposed;
    });
  if (change == aHead.history_.end()) {
    RejectUnknownOutcome(aContext);
  } else if (change->id_ == edit.changeId_) {
    AcceptEdit(aContext, proposed);
  } else {
    Count(aContext, SyncCount::EditsMergedAgain);
    RebaseEdit(aContext, aHead, aVersion);
  }
}

// Merges the edit into the configuration in force, which must be that of
// baseHead_, and starts the check of the result.
void
MergeAndCheck(StepContext& aContext)
{
  auto& edit = *aContext.state_.edit_;
  const auto conflicts = MergeEdit(edit, aContext.state_.inForce_.get());
  if (!conflicts.empty()) {
    RejectEdit(aContext,
               SyncCount::EditsConflicting,
               { core::ErrorKind::ConfigConflict,
                 absl::StrCat("changed after the edit's base: ",
                              absl::StrJoin(conflicts, ", ")) });
    return;
  }
  if (edit.changed_.empty()) {
    AcceptEdit(aContext, edit.baseHead_.revision_);
    return;
  }
  edit.phase_ = EditPhase::Check;
  PendingRequest request;
  request.kind_ = RequestKind::EditCheck;
  request.deadline_ = absl::InfiniteFuture();
  const std::uint64_t id = AddRequest(aContext, std::move(request));
  aContext.effects_.emplace_back(CheckDocument{
    id, edit.baseHead_.revision_ + 1, edit.merged_, aContext.state_.inForce_ });
}

// Writes the next chunks, at most kParallelChunkWrites at a time.
void
WriteChunks(StepContext& aContext)
{
  auto& edit = *aContext.state_.edit_;
  absl::btree_set<std::string> inProgress;
  for (const auto& [id, request] : aContext.state_.requests_) {
    if (request.kind_ == RequestKind::EditWriteChunk) {
      inProgress.insert(request.digests_.front());
    }
  }
  for (const auto& digest : edit.unwritten_) {
    const std::string key = absl::StrCat(kChunkPrefix, digest);
    if (inProgress.size() >= kParallelChunkWrites) {
      return;
    }
    if (!inProgress.insert(key).second) {
      continue;
    }
    platform::Command command;
    command.operation_ = platform::Operation::Write;
    command.key_ = key;
    command.value_ = edit.chunks_.at(digest);
    Send(aContext, RequestKind::EditWriteChunk, std::move(command));
  }
}

void
WriteHead(StepContext& aContext)
{
  auto& edit = *aContext.state_.edit_;
  if (CountInFlight(aContext.state_, RequestKind::EditWriteHead) > 0) {
    return;
  }
  Count(aContext, SyncCount::HeadWrites);
  edit.earlierWriteUnresolved_ = edit.headWriteUnresolved_;
  edit.headWriteUnresolved_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = std::string(kHeadKey);
  command.value_ = edit.proposalText_;
  command.expect_ = edit.baseVersion_;
  Send(aContext, RequestKind::EditWriteHead, std::move(command));
}

// Merges the edit once baseHead_ is in force on this host. If a newer revision
// is already in force, the head is read again.
void
MergeOnceInForce(StepContext& aContext)
{
  auto& edit = *aContext.state_.edit_;
  const std::uint64_t inForce = RevisionOf(aContext.state_);
  if (inForce == edit.baseHead_.revision_) {
    MergeAndCheck(aContext);
  } else if (inForce > edit.baseHead_.revision_) {
    edit.phase_ = EditPhase::ReadHead;
  }
}

void
SendNextRequests(StepContext& aContext)
{
  auto& edit = *aContext.state_.edit_;
  switch (edit.phase_) {
    case EditPhase::ReadHead:
      if (CountInFlight(aContext.state_, RequestKind::EditReadHead) == 0) {
        SendRead(aContext, RequestKind::EditReadHead, std::string(kHeadKey));
      }
      break;
    case EditPhase::AwaitInForce:
      MergeOnceInForce(aContext);
      break;
    case EditPhase::Check:
      break;
    case EditPhase::WriteChunks:
      WriteChunks(aContext);
      break;
    case EditPhase::WriteHead:
      WriteHead(aContext);
      break;
  }
}

void
StartNextEdit(SyncState& aState)
{
  if (!aState.edit_ && !aState.waitingEdits_.empty()) {
    aState.edit_ = std::move(aState.waitingEdits_.front());
    aState.waitingEdits_.pop_front();
  }
}

// Records the head and the chunks of an accepted proposal, so that this host
// does not have to fetch them.
void
RecordProposal(StepContext& aContext)
{
  const PendingEdit edit = *aContext.state_.edit_;
  RecordHead(aContext, edit.proposalText_);
  for (const auto& [digest, content] : edit.chunks_) {
    AddChunk(aContext, { digest, content });
  }
}

} // namespace

void
OnEditRequested(StepContext& aContext, const EditRequested& aEdit)
{
  auto& state = aContext.state_;
  if (state.waitingEdits_.size() >= kMaxWaitingEdits) {
    Count(aContext, SyncCount::EditsQueueFull);
    AnswerEdit answer;
    answer.id_ = aEdit.id_;
    answer.error_ = core::Error{ core::ErrorKind::QueueFull,
                                 "too many edits are queued on this host",
                                 "",
                                 core::RunState::No,
                                 kRetryAfter };
    aContext.effects_.emplace_back(std::move(answer));
    return;
  }
  PendingEdit edit;
  edit.request_ = aEdit;
  edit.request_.author_ = edit.request_.author_.substr(0, kMaxAuthorBytes);
  edit.deadline_ = aContext.now_ + state.options_.editDeadline_;
  edit.changeId_ = absl::StrFormat("%s-%016x", state.host_, aContext.random_);
  state.waitingEdits_.push_back(std::move(edit));
}

void
OnEditHead(StepContext& aContext, const platform::Reply& aReply)
{
  Head head;
  if (aReply.outcome_ == platform::Outcome::Ok) {
    auto parsed = ParseHead(aReply.value_);
    if (!parsed) {
      Count(aContext, SyncCount::MalformedHeads);
      PauseEdit(aContext);
      return;
    }
    head = *std::move(parsed);
    RecordHead(aContext, aReply.value_);
  } else if (aReply.outcome_ != platform::Outcome::Absent) {
    PauseEdit(aContext);
    return;
  }
  const std::uint64_t version =
    aReply.outcome_ == platform::Outcome::Ok ? aReply.version_ : 0;
  if (aContext.state_.edit_->headWriteUnresolved_) {
    ResolveHeadWrite(aContext, head, version);
  } else {
    RebaseEdit(aContext, std::move(head), version);
  }
}

void
OnEditChecked(StepContext& aContext, const DocumentChecked& aChecked)
{
  auto& edit = *aContext.state_.edit_;
  if (!aChecked.problems_.empty()) {
    Count(aContext, SyncCount::EditsInvalid);
    AnswerEdit answer;
    answer.problems_ = aChecked.problems_;
    answer.error_ = core::Error{ core::ErrorKind::ConfigInvalid,
                                 Describe(aChecked.problems_.front()) };
    FinishEdit(aContext, std::move(answer));
    return;
  }
  BuildProposal(edit, aContext.now_);
  if (edit.proposal_.retired_.size() > kMaxRetiredChunks) {
    RejectEdit(aContext,
               SyncCount::EditsUnavailable,
               { core::ErrorKind::QueueFull,
                 "too many changes within the retention of chunks",
                 "Come back later, or put several changes into one.",
                 core::RunState::No,
                 absl::Hours(1) });
    return;
  }
  ListUnwrittenChunks(edit);
  edit.phase_ =
    edit.unwritten_.empty() ? EditPhase::WriteHead : EditPhase::WriteChunks;
}

void
OnEditChunkWritten(StepContext& aContext,
                   const PendingRequest& aRequest,
                   const platform::Reply& aReply)
{
  auto& edit = *aContext.state_.edit_;
  if (aReply.outcome_ != platform::Outcome::Ok) {
    PauseEdit(aContext);
    return;
  }
  edit.unwritten_.erase(
    std::string(absl::StripPrefix(aRequest.digests_.front(), kChunkPrefix)));
  if (edit.unwritten_.empty() && edit.phase_ == EditPhase::WriteChunks) {
    edit.phase_ = EditPhase::WriteHead;
  }
}

void
OnEditHeadWritten(StepContext& aContext, const platform::Reply& aReply)
{
  auto& edit = *aContext.state_.edit_;
  switch (aReply.outcome_) {
    case platform::Outcome::Ok:
      RecordProposal(aContext);
      AcceptEdit(aContext, edit.proposal_.revision_);
      break;
    case platform::Outcome::Refused:
      edit.headWriteUnresolved_ = edit.earlierWriteUnresolved_;
      PauseEdit(aContext);
      break;
    case platform::Outcome::Lost:
      Count(aContext, SyncCount::LostHeadWrites);
      edit.phase_ = EditPhase::ReadHead;
      PauseEdit(aContext);
      break;
    case platform::Outcome::Absent:
    case platform::Outcome::Conflict:
      // An earlier write of this edit may have succeeded. The head is read
      // again to find out.
      edit.phase_ = EditPhase::ReadHead;
      break;
  }
}

void
AdvanceEdit(StepContext& aContext)
{
  auto& state = aContext.state_;
  StartNextEdit(state);
  if (state.edit_ && aContext.now_ >= state.edit_->deadline_) {
    ExpireEdit(aContext);
    StartNextEdit(state);
  }
  if (state.edit_ && aContext.now_ >= state.edit_->pausedUntil_) {
    SendNextRequests(aContext);
  }
}

} // namespace lycheeplank::config
