#include "rollout/operators.h"

#include <memory>

#include <absl/strings/str_cat.h>

namespace lycheeplank::rollout {

namespace {

using platform::Outcome;
using platform::Reply;

// Limit of attempts to write a record that stewards and other operators write
// too.
constexpr int kMaxWriteAttempts = 5;
constexpr absl::Duration kRetryAfter = absl::Seconds(5);

core::Error
PlatformUnavailableError(absl::string_view aDetail)
{
  core::Error error;
  error.kind_ = core::ErrorKind::PlatformUnavailable;
  error.detail_ = std::string(aDetail);
  error.retryAfter_ = kRetryAfter;
  return error;
}

platform::Command
ReadCommand(const std::string& aModel)
{
  platform::Command command;
  command.key_ = RecordKey(aModel);
  return command;
}

// An update of one record by compare-and-swap: reads the record, writes it if
// its version is unchanged, and retries after a conflict or a lost reply.
struct RecordUpdate
{
  CommandExecutor execute_;
  std::string model_;
  // Returns the new record, or nothing if the current one needs no change.
  std::function<absl::optional<Record>(const absl::optional<Record>&)> edit_;
  // Whether the update fails if the record does not exist.
  bool mustExist_ = false;
  OnDone onDone_;
  int attempts_ = 0;
};

using RecordUpdatePtr = std::shared_ptr<RecordUpdate>;

void
AttemptUpdate(const RecordUpdatePtr& aUpdate);

void
HandleWriteReply(const RecordUpdatePtr& aUpdate, const Reply& aReply)
{
  if (aReply.outcome_ == Outcome::Ok) {
    aUpdate->onDone_(absl::nullopt);
    return;
  }
  if (aReply.outcome_ == Outcome::Refused) {
    aUpdate->onDone_(PlatformUnavailableError(
      "the platform refused to write the rollout record"));
    return;
  }
  AttemptUpdate(aUpdate);
}

void
HandleReadReply(const RecordUpdatePtr& aUpdate, const Reply& aReply)
{
  const bool absent = aReply.outcome_ == Outcome::Absent;
  if (!absent && aReply.outcome_ != Outcome::Ok) {
    aUpdate->onDone_(
      PlatformUnavailableError("the rollout record can't be read"));
    return;
  }
  if (absent && aUpdate->mustExist_) {
    aUpdate->onDone_(core::Error{
      core::ErrorKind::NotFound,
      absl::StrCat("model ", aUpdate->model_, " has no rollout") });
    return;
  }
  const auto current =
    absent ? absl::optional<Record>() : ParseRecord(aReply.value_);
  const auto updated = aUpdate->edit_(current);
  if (!updated) {
    aUpdate->onDone_(absl::nullopt);
    return;
  }
  platform::Command command = ReadCommand(aUpdate->model_);
  command.operation_ = platform::Operation::Write;
  command.value_ = FormatRecord(*updated);
  command.expect_ = absent ? 0 : aReply.version_;
  aUpdate->execute_(command, [aUpdate](const Reply& aWriteReply) {
    HandleWriteReply(aUpdate, aWriteReply);
  });
}

void
AttemptUpdate(const RecordUpdatePtr& aUpdate)
{
  if (++aUpdate->attempts_ > kMaxWriteAttempts) {
    aUpdate->onDone_(
      PlatformUnavailableError("the rollout record could not be written"));
    return;
  }
  aUpdate->execute_(
    ReadCommand(aUpdate->model_),
    [aUpdate](const Reply& aReply) { HandleReadReply(aUpdate, aReply); });
}

// A listing in progress: lists all keys first, then reads one record after
// another.
struct ListOperation
{
  CommandExecutor execute_;
  std::function<void(RolloutList)> onList_;
  std::vector<std::string> keys_;
  std::size_t nextKey_ = 0;
  RolloutList list_;
};

using ListOperationPtr = std::shared_ptr<ListOperation>;

void
ReadNextRecord(const ListOperationPtr& aOperation)
{
  if (aOperation->nextKey_ == aOperation->keys_.size()) {
    aOperation->onList_(std::move(aOperation->list_));
    return;
  }
  platform::Command command;
  command.key_ = aOperation->keys_[aOperation->nextKey_++];
  aOperation->execute_(command, [aOperation](const Reply& aReply) {
    const auto record = ParseRecord(aReply.value_);
    if (aReply.outcome_ == Outcome::Ok && record) {
      aOperation->list_.records_.push_back(*record);
    }
    ReadNextRecord(aOperation);
  });
}

void
ListKeysAfter(const ListOperationPtr& aOperation, const std::string& aAfter)
{
  platform::Command command;
  command.operation_ = platform::Operation::List;
  command.key_ = std::string(kRecordPrefix);
  command.value_ = aAfter;
  aOperation->execute_(command, [aOperation](const Reply& aReply) {
    if (aReply.outcome_ != Outcome::Ok) {
      aOperation->list_.error_ =
        PlatformUnavailableError("the rollouts can't be listed");
      aOperation->onList_(std::move(aOperation->list_));
      return;
    }
    for (const auto& entry : aReply.entries_) {
      aOperation->keys_.push_back(entry.key_);
    }
    if (aReply.more_ && !aOperation->keys_.empty()) {
      ListKeysAfter(aOperation, aOperation->keys_.back());
    } else {
      ReadNextRecord(aOperation);
    }
  });
}

// Returns the record that starts a rollout, or nothing if a rollout of the same
// version runs already.
absl::optional<Record>
StartedRecord(const absl::optional<Record>& aCurrent,
              const std::string& aModel,
              const std::string& aVersion)
{
  const bool runs = aCurrent && aCurrent->version_ == aVersion &&
                    aCurrent->state_ == RolloutState::Running;
  if (runs) {
    return absl::nullopt;
  }
  Record record;
  record.model_ = aModel;
  record.version_ = aVersion;
  return record;
}

// Returns the record that stops a rollout, or nothing if it has failed or was
// stopped already.
absl::optional<Record>
StoppedRecord(const absl::optional<Record>& aCurrent)
{
  const bool active = aCurrent && (aCurrent->state_ == RolloutState::Running ||
                                   aCurrent->state_ == RolloutState::Done);
  if (!active) {
    return absl::nullopt;
  }
  Record record = *aCurrent;
  record.state_ = RolloutState::Stopped;
  return record;
}

} // namespace

void
ListRollouts(const CommandExecutor& aExecute,
             const std::function<void(RolloutList)>& aOnList)
{
  auto operation = std::make_shared<ListOperation>();
  operation->execute_ = aExecute;
  operation->onList_ = aOnList;
  ListKeysAfter(operation, "");
}

void
StartRollout(const CommandExecutor& aExecute,
             const std::string& aModel,
             const std::string& aVersion,
             const OnDone& aOnDone)
{
  auto update = std::make_shared<RecordUpdate>();
  update->execute_ = aExecute;
  update->model_ = aModel;
  update->edit_ = [aModel, aVersion](const absl::optional<Record>& aCurrent) {
    return StartedRecord(aCurrent, aModel, aVersion);
  };
  update->onDone_ = aOnDone;
  AttemptUpdate(update);
}

void
StopRollout(const CommandExecutor& aExecute,
            const std::string& aModel,
            const OnDone& aOnDone)
{
  auto update = std::make_shared<RecordUpdate>();
  update->execute_ = aExecute;
  update->model_ = aModel;
  update->edit_ = StoppedRecord;
  update->mustExist_ = true;
  update->onDone_ = aOnDone;
  AttemptUpdate(update);
}

} // namespace lycheeplank::rollout
