#include "rollout/operators.h"

#include <memory>

#include <absl/strings/str_cat.h>

namespace lycheeplank::rollout {

namespace {

using platform::Outcome;
using platform::Reply;

// Attempts to write a record that others write too.
constexpr int kMaxAttempts = 5;
constexpr absl::Duration kRetryAfter = absl::Seconds(5);

core::Error
Unavailable(absl::string_view aWhat)
{
  core::Error error;
  error.kind_ = core::ErrorKind::PlatformUnavailable;
  error.detail_ = std::string(aWhat);
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

// A change of one record: read, write with the version that was read, and
// again if another write came between or the reply was lost.
struct Change
{
  CommandExecutor execute_;
  std::string model_;
  // Returns the new record, or nothing if the current one may stay.
  std::function<absl::optional<Record>(const absl::optional<Record>&)> edit_;
  // Whether the record has to exist.
  bool mustExist_ = false;
  OnDone onDone_;
  int attempts_ = 0;
};

using ChangePtr = std::shared_ptr<Change>;

void
TryChange(const ChangePtr& aChange);

void
TakeWritten(const ChangePtr& aChange, const Reply& aReply)
{
  if (aReply.outcome_ == Outcome::Ok) {
    aChange->onDone_(absl::nullopt);
    return;
  }
  if (aReply.outcome_ == Outcome::Refused) {
    aChange->onDone_(Unavailable("the platform refused the record"));
    return;
  }
  TryChange(aChange);
}

void
TakeRead(const ChangePtr& aChange, const Reply& aReply)
{
  const bool absent = aReply.outcome_ == Outcome::Absent;
  if (!absent && aReply.outcome_ != Outcome::Ok) {
    aChange->onDone_(Unavailable("the record can't be read"));
    return;
  }
  if (absent && aChange->mustExist_) {
    aChange->onDone_(core::Error{
      core::ErrorKind::NotFound,
      absl::StrCat("model ", aChange->model_, " has no rollout") });
    return;
  }
  const auto current =
    absent ? absl::optional<Record>() : ParseRecord(aReply.value_);
  const auto wanted = aChange->edit_(current);
  if (!wanted) {
    aChange->onDone_(absl::nullopt);
    return;
  }
  platform::Command command = ReadCommand(aChange->model_);
  command.operation_ = platform::Operation::Write;
  command.value_ = FormatRecord(*wanted);
  command.expect_ = absent ? 0 : aReply.version_;
  aChange->execute_(command, [aChange](const Reply& aWritten) {
    TakeWritten(aChange, aWritten);
  });
}

void
TryChange(const ChangePtr& aChange)
{
  if (++aChange->attempts_ > kMaxAttempts) {
    aChange->onDone_(Unavailable("the record could not be written"));
    return;
  }
  aChange->execute_(
    ReadCommand(aChange->model_),
    [aChange](const Reply& aReply) { TakeRead(aChange, aReply); });
}

// A listing under way: the keys first, then each record in turn.
struct ListWork
{
  CommandExecutor execute_;
  std::function<void(RolloutList)> onListing_;
  std::vector<std::string> keys_;
  std::size_t next_ = 0;
  RolloutList listing_;
};

using ListPtr = std::shared_ptr<ListWork>;

void
ReadNext(const ListPtr& aWork)
{
  if (aWork->next_ == aWork->keys_.size()) {
    aWork->onListing_(std::move(aWork->listing_));
    return;
  }
  platform::Command command;
  command.key_ = aWork->keys_[aWork->next_++];
  aWork->execute_(command, [aWork](const Reply& aReply) {
    const auto record = ParseRecord(aReply.value_);
    if (aReply.outcome_ == Outcome::Ok && record) {
      aWork->listing_.records_.push_back(*record);
    }
    ReadNext(aWork);
  });
}

void
ListFrom(const ListPtr& aWork, const std::string& aAfter)
{
  platform::Command command;
  command.operation_ = platform::Operation::List;
  command.key_ = std::string(kRecordPrefix);
  command.value_ = aAfter;
  aWork->execute_(command, [aWork](const Reply& aReply) {
    if (aReply.outcome_ != Outcome::Ok) {
      aWork->listing_.error_ = Unavailable("the rollouts can't be listed");
      aWork->onListing_(std::move(aWork->listing_));
      return;
    }
    for (const auto& entry : aReply.entries_) {
      aWork->keys_.push_back(entry.key_);
    }
    if (aReply.more_ && !aWork->keys_.empty()) {
      ListFrom(aWork, aWork->keys_.back());
    } else {
      ReadNext(aWork);
    }
  });
}

// Returns the record that starts a rollout, unless it runs already.
absl::optional<Record>
Started(const absl::optional<Record>& aCurrent,
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

// Returns the record that stops a rollout, unless it has ended by itself.
absl::optional<Record>
Stopped(const absl::optional<Record>& aCurrent)
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
             const std::function<void(RolloutList)>& aOnListing)
{
  auto work = std::make_shared<ListWork>();
  work->execute_ = aExecute;
  work->onListing_ = aOnListing;
  ListFrom(work, "");
}

void
StartRollout(const CommandExecutor& aExecute,
             const std::string& aModel,
             const std::string& aVersion,
             const OnDone& aOnDone)
{
  auto change = std::make_shared<Change>();
  change->execute_ = aExecute;
  change->model_ = aModel;
  change->edit_ = [aModel, aVersion](const absl::optional<Record>& aCurrent) {
    return Started(aCurrent, aModel, aVersion);
  };
  change->onDone_ = aOnDone;
  TryChange(change);
}

void
StopRollout(const CommandExecutor& aExecute,
            const std::string& aModel,
            const OnDone& aOnDone)
{
  auto change = std::make_shared<Change>();
  change->execute_ = aExecute;
  change->model_ = aModel;
  change->edit_ = Stopped;
  change->mustExist_ = true;
  change->onDone_ = aOnDone;
  TryChange(change);
}

} // namespace lycheeplank::rollout
