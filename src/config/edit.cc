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
// Bound on a head's list of retired chunks, which keeps the head well under
// the platform's 1 MB.
constexpr std::size_t kMaxRetired = 4000;
constexpr absl::Duration kRetryAfter = absl::Seconds(10);
// Longer names of authors are cut, since each head holds many.
constexpr std::size_t kMaxAuthorBytes = 128;

// Forgets the edit in progress together with its requests.
void
DropEdit(Context& aContext)
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

void
Answer(Context& aContext, AnswerEdit aAnswer)
{
  aAnswer.id_ = aContext.state_.edit_->request_.id_;
  aContext.effects_.emplace_back(std::move(aAnswer));
  DropEdit(aContext);
}

void
Accept(Context& aContext, std::uint64_t aRevision)
{
  Count(aContext, SyncCount::EditsAccepted);
  AnswerEdit answer;
  answer.revision_ = aRevision;
  Answer(aContext, std::move(answer));
}

void
Refuse(Context& aContext, SyncCount aCount, core::Error aError)
{
  Count(aContext, aCount);
  AnswerEdit answer;
  answer.error_ = std::move(aError);
  Answer(aContext, std::move(answer));
}

void
RefuseUnknown(Context& aContext)
{
  const auto& run = *aContext.state_.edit_;
  Refuse(aContext,
         SyncCount::EditsUnknown,
         { core::ErrorKind::OutcomeUnknown,
           absl::StrCat("the platform's service did not say whether change ",
                        run.changeId_,
                        " was taken"),
           "Look for the change in the history before you apply it again.",
           core::RunState::Unknown });
}

void
GiveUp(Context& aContext)
{
  if (aContext.state_.edit_->headWriteUnresolved_) {
    RefuseUnknown(aContext);
    return;
  }
  Refuse(aContext,
         SyncCount::EditsUnavailable,
         { core::ErrorKind::PlatformUnavailable,
           "the change could not be written in time; nothing was changed",
           "",
           core::RunState::No,
           kRetryAfter });
}

void
Pause(Context& aContext)
{
  auto& run = *aContext.state_.edit_;
  run.pausedUntil_ =
    aContext.now_ + Jittered(aContext, aContext.state_.options_.retryPause_);
}

// Starts to build a proposal on a head that was read from the platform.
void
BuildOn(Context& aContext, Head aHead, std::uint64_t aVersion)
{
  auto& run = *aContext.state_.edit_;
  if (aHead.revision_ < RevisionOf(aContext.state_)) {
    Refuse(aContext,
           SyncCount::EditsUnavailable,
           { core::ErrorKind::Internal,
             absl::StrCat("the platform's service has revision ",
                          aHead.revision_,
                          ", older than the one in force, ",
                          RevisionOf(aContext.state_)),
             "Restore the key config/head in the platform's service." });
    return;
  }
  run.baseHead_ = std::move(aHead);
  run.baseVersion_ = aVersion;
  run.headWriteUnresolved_ = false;
  run.phase_ = EditPhase::AwaitInForce;
}

// Decides what became of a head write whose reply is missing.
void
Settle(Context& aContext, const Head& aHead, std::uint64_t aVersion)
{
  auto& run = *aContext.state_.edit_;
  const std::uint64_t proposed = run.proposal_.revision_;
  if (aHead.revision_ < proposed) {
    if (aVersion == run.baseVersion_) {
      // The write may still arrive; sent again, at most one of the two wins.
      run.phase_ = EditPhase::WriteHead;
    } else {
      BuildOn(aContext, aHead, aVersion);
    }
    return;
  }
  const auto change = std::find_if(
    aHead.history_.begin(), aHead.history_.end(), [&](const Change& aChange) {
      return aChange.revision_ == proposed;
    });
  if (change == aHead.history_.end()) {
    RefuseUnknown(aContext);
  } else if (change->id_ == run.changeId_) {
    Accept(aContext, proposed);
  } else {
    Count(aContext, SyncCount::EditsMergedAgain);
    BuildOn(aContext, aHead, aVersion);
  }
}

// Merges once the head that was read is in force here.
void
MergeAndCheck(Context& aContext)
{
  auto& run = *aContext.state_.edit_;
  const auto conflicts = Merge(run, aContext.state_.inForce_.get());
  if (!conflicts.empty()) {
    Refuse(aContext,
           SyncCount::EditsConflicting,
           { core::ErrorKind::ConfigConflict,
             absl::StrCat("changed after the edit's base: ",
                          absl::StrJoin(conflicts, ", ")) });
    return;
  }
  if (run.changed_.empty()) {
    Accept(aContext, run.baseHead_.revision_);
    return;
  }
  run.phase_ = EditPhase::Check;
  PendingRequest request;
  request.kind_ = RequestKind::EditCheck;
  request.deadline_ = absl::InfiniteFuture();
  const std::uint64_t id = AddRequest(aContext, std::move(request));
  aContext.effects_.emplace_back(CheckDocument{
    id, run.baseHead_.revision_ + 1, run.merged_, aContext.state_.inForce_ });
}

void
WriteChunks(Context& aContext)
{
  auto& run = *aContext.state_.edit_;
  absl::btree_set<std::string> underWay;
  for (const auto& [id, request] : aContext.state_.requests_) {
    if (request.kind_ == RequestKind::EditWriteChunk) {
      underWay.insert(request.digests_.front());
    }
  }
  for (const auto& digest : run.unwritten_) {
    const std::string key = absl::StrCat(kChunkPrefix, digest);
    if (underWay.size() >= kParallelChunkWrites) {
      return;
    }
    if (!underWay.insert(key).second) {
      continue;
    }
    platform::Command command;
    command.operation_ = platform::Operation::Write;
    command.key_ = key;
    command.value_ = run.chunks_.at(digest);
    Send(aContext, RequestKind::EditWriteChunk, std::move(command));
  }
}

void
WriteHead(Context& aContext)
{
  auto& run = *aContext.state_.edit_;
  if (InFlight(aContext.state_, RequestKind::EditWriteHead) > 0) {
    return;
  }
  Count(aContext, SyncCount::HeadWrites);
  run.earlierWriteUnresolved_ = run.headWriteUnresolved_;
  run.headWriteUnresolved_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = std::string(kHeadKey);
  command.value_ = run.proposalText_;
  command.expect_ = run.baseVersion_;
  Send(aContext, RequestKind::EditWriteHead, std::move(command));
}

void
ContinueInForce(Context& aContext)
{
  auto& run = *aContext.state_.edit_;
  const std::uint64_t inForce = RevisionOf(aContext.state_);
  if (inForce == run.baseHead_.revision_) {
    MergeAndCheck(aContext);
  } else if (inForce > run.baseHead_.revision_) {
    run.phase_ = EditPhase::ReadHead;
  }
}

void
SendNext(Context& aContext)
{
  auto& run = *aContext.state_.edit_;
  switch (run.phase_) {
    case EditPhase::ReadHead:
      if (InFlight(aContext.state_, RequestKind::EditReadHead) == 0) {
        SendRead(aContext, RequestKind::EditReadHead, std::string(kHeadKey));
      }
      break;
    case EditPhase::AwaitInForce:
      ContinueInForce(aContext);
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
TakeNextEdit(SyncState& aState)
{
  if (!aState.edit_ && !aState.waitingEdits_.empty()) {
    aState.edit_ = std::move(aState.waitingEdits_.front());
    aState.waitingEdits_.pop_front();
  }
}

// Keeps the chunks of an accepted proposal, so that this host needs not fetch
// what it has just written.
void
LearnProposal(Context& aContext)
{
  const PendingEdit run = *aContext.state_.edit_;
  LearnHead(aContext, run.proposalText_);
  for (const auto& [digest, content] : run.chunks_) {
    AddChunk(aContext, { digest, content });
  }
}

} // namespace

void
OnEditAsked(Context& aContext, const EditRequested& aEdit)
{
  auto& state = aContext.state_;
  if (state.waitingEdits_.size() >= kMaxWaitingEdits) {
    Count(aContext, SyncCount::EditsQueueFull);
    AnswerEdit answer;
    answer.id_ = aEdit.id_;
    answer.error_ = core::Error{ core::ErrorKind::QueueFull,
                                 "too many edits wait on this host",
                                 "",
                                 core::RunState::No,
                                 kRetryAfter };
    aContext.effects_.emplace_back(std::move(answer));
    return;
  }
  PendingEdit run;
  run.request_ = aEdit;
  run.request_.author_ = run.request_.author_.substr(0, kMaxAuthorBytes);
  run.deadline_ = aContext.now_ + state.options_.editDeadline_;
  run.changeId_ = absl::StrFormat("%s-%016x", state.host_, aContext.random_);
  state.waitingEdits_.push_back(std::move(run));
}

void
OnEditHead(Context& aContext, const platform::Reply& aReply)
{
  Head head;
  if (aReply.outcome_ == platform::Outcome::Ok) {
    auto parsed = ParseHead(aReply.value_);
    if (!parsed) {
      Count(aContext, SyncCount::MalformedHeads);
      Pause(aContext);
      return;
    }
    head = *std::move(parsed);
    LearnHead(aContext, aReply.value_);
  } else if (aReply.outcome_ != platform::Outcome::Absent) {
    Pause(aContext);
    return;
  }
  const std::uint64_t version =
    aReply.outcome_ == platform::Outcome::Ok ? aReply.version_ : 0;
  if (aContext.state_.edit_->headWriteUnresolved_) {
    Settle(aContext, head, version);
  } else {
    BuildOn(aContext, std::move(head), version);
  }
}

void
OnEditChecked(Context& aContext, const DocumentChecked& aChecked)
{
  auto& run = *aContext.state_.edit_;
  if (!aChecked.problems_.empty()) {
    Count(aContext, SyncCount::EditsInvalid);
    AnswerEdit answer;
    answer.problems_ = aChecked.problems_;
    answer.error_ = core::Error{ core::ErrorKind::ConfigInvalid,
                                 Describe(aChecked.problems_.front()) };
    Answer(aContext, std::move(answer));
    return;
  }
  Propose(run, aContext.now_);
  if (run.proposal_.retired_.size() > kMaxRetired) {
    Refuse(aContext,
           SyncCount::EditsUnavailable,
           { core::ErrorKind::QueueFull,
             "too many changes within the retention of chunks",
             "Come back later, or put several changes into one.",
             core::RunState::No,
             absl::Hours(1) });
    return;
  }
  ListUnwritten(run);
  run.phase_ =
    run.unwritten_.empty() ? EditPhase::WriteHead : EditPhase::WriteChunks;
}

void
OnEditChunkWritten(Context& aContext,
                   const PendingRequest& aRequest,
                   const platform::Reply& aReply)
{
  auto& run = *aContext.state_.edit_;
  if (aReply.outcome_ != platform::Outcome::Ok) {
    Pause(aContext);
    return;
  }
  run.unwritten_.erase(
    std::string(absl::StripPrefix(aRequest.digests_.front(), kChunkPrefix)));
  if (run.unwritten_.empty() && run.phase_ == EditPhase::WriteChunks) {
    run.phase_ = EditPhase::WriteHead;
  }
}

void
OnEditHeadWritten(Context& aContext, const platform::Reply& aReply)
{
  auto& run = *aContext.state_.edit_;
  switch (aReply.outcome_) {
    case platform::Outcome::Ok:
      LearnProposal(aContext);
      Accept(aContext, run.proposal_.revision_);
      break;
    case platform::Outcome::Refused:
      run.headWriteUnresolved_ = run.earlierWriteUnresolved_;
      Pause(aContext);
      break;
    case platform::Outcome::Lost:
      Count(aContext, SyncCount::LostHeadWrites);
      run.phase_ = EditPhase::ReadHead;
      Pause(aContext);
      break;
    case platform::Outcome::Absent:
    case platform::Outcome::Conflict:
      // An earlier write of this edit may have won; reading back tells.
      run.phase_ = EditPhase::ReadHead;
      break;
  }
}

void
AdvanceEdit(Context& aContext)
{
  auto& state = aContext.state_;
  TakeNextEdit(state);
  if (state.edit_ && aContext.now_ >= state.edit_->deadline_) {
    GiveUp(aContext);
    TakeNextEdit(state);
  }
  if (state.edit_ && aContext.now_ >= state.edit_->pausedUntil_) {
    SendNext(aContext);
  }
}

} // namespace lycheeplank::config
