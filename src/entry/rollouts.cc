#include "entry/rollouts.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "entry/problem.h"
#include "lycheeplank/rollout.h"

namespace lycheeplank::entry {

namespace {

using core::ErrorKind;
using nlohmann::json;
using ExchangePtr = std::shared_ptr<net::Exchange>;

constexpr absl::string_view kPath = "/v1/admin/rollouts";
constexpr absl::Duration kComeBackSoon = absl::Seconds(1);

platform::Command
ReadCommand(const std::string& aModel)
{
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = rollout::RecordKey(aModel);
  return command;
}

platform::Command
WriteCommand(const rollout::Record& aRecord, std::uint64_t aVersion)
{
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = rollout::RecordKey(aRecord.model_);
  command.value_ = rollout::WriteRecord(aRecord);
  command.expect_ = aVersion;
  return command;
}

json
ToJson(const rollout::Record& aRecord)
{
  return { { "model", aRecord.model_ },
           { "version", aRecord.version_ },
           { "state",
             std::string(
               core::NameOf(rollout::kRolloutStates, aRecord.state_)) },
           { "done", aRecord.done_ },
           { "total", aRecord.total_ },
           { "detail", aRecord.detail_ } };
}

bool
IsUnreached(const platform::Reply& aReply)
{
  return aReply.outcome_ == platform::Outcome::Lost ||
         aReply.outcome_ == platform::Outcome::Refused;
}

void
ReplyUnavailable(net::Exchange& aExchange, core::RunState aRun)
{
  ReplyProblem(aExchange,
               { ErrorKind::PlatformUnavailable,
                 "the rollout's record could not be reached",
                 "Look with 'rollout status', then come back.",
                 aRun,
                 kComeBackSoon },
               "");
}

// Answers the write of a record.
void
ReplyWritten(net::Exchange& aExchange,
             const platform::Reply& aReply,
             const rollout::Record& aRecord)
{
  if (IsUnreached(aReply)) {
    ReplyUnavailable(aExchange, core::RunState::Unknown);
  } else if (aReply.outcome_ != platform::Outcome::Ok) {
    ReplyProblem(aExchange,
                 { ErrorKind::ConfigConflict,
                   "the rollout was changed meanwhile",
                   "Look with 'rollout status' and try again." },
                 "");
  } else {
    ReplyJson(aExchange, 200, ToJson(aRecord).dump());
  }
}

bool
HasVersion(const config::Config& aConfig,
           const std::string& aModel,
           const std::string& aVersion)
{
  const auto model = aConfig.models_.find(aModel);
  if (model == aConfig.models_.end()) {
    return false;
  }
  for (const auto& version : model->second.versions_) {
    if (version.name_ == aVersion) {
      return true;
    }
  }
  return false;
}

// Records of several models, collected as their replies arrive.
struct Collected
{
  absl::Mutex mutex_;
  json rows_ ABSL_GUARDED_BY(mutex_) = json::array();
  std::size_t left_ ABSL_GUARDED_BY(mutex_) = 0;
};

// Adds one reply; answers after the last one.
void
Collect(const ExchangePtr& aExchange,
        Collected& aCollected,
        const platform::Reply& aReply)
{
  const absl::MutexLock lock(&aCollected.mutex_);
  if (const auto record = rollout::ReadRecord(aReply.value_); record) {
    aCollected.rows_.push_back(ToJson(*record));
  }
  if (--aCollected.left_ == 0) {
    ReplyJson(*aExchange, 200, json{ { "rollouts", aCollected.rows_ } }.dump());
  }
}

} // namespace

Rollouts::Rollouts(adapters::PlatformClient& aPlatform, SnapshotBox& aSnapshots)
  : platform_(aPlatform)
  , snapshots_(aSnapshots)
{
}

void
Rollouts::Serve(const ExchangePtr& aExchange)
{
  const net::Request& http = aExchange->request_;
  if (http.path_ == kPath && http.method_ == "POST") {
    Begin(aExchange);
  } else if (http.path_ == kPath && http.method_ == "GET") {
    List(aExchange);
  } else if (http.method_ == "DELETE" && http.path_.size() > kPath.size() + 1) {
    Stop(aExchange, http.path_.substr(kPath.size() + 1));
  } else {
    ReplyProblem(*aExchange, { ErrorKind::UnknownPath, http.path_ }, "");
  }
}

void
Rollouts::Begin(const ExchangePtr& aExchange)
{
  const json body = json::parse(aExchange->request_.body_, nullptr, false);
  const bool readable = body.is_object() && body.contains("model") &&
                        body["model"].is_string() && body.contains("version") &&
                        body["version"].is_string();
  const SnapshotPtr snapshot = snapshots_.Get();
  if (!readable || !snapshot->config_) {
    ReplyProblem(*aExchange,
                 { ErrorKind::MalformedRequest,
                   "the body needs the texts 'model' and 'version'" },
                 "");
    return;
  }
  rollout::Record record;
  record.model_ = body["model"].get<std::string>();
  record.version_ = body["version"].get<std::string>();
  if (!HasVersion(*snapshot->config_, record.model_, record.version_)) {
    ReplyProblem(
      *aExchange,
      { ErrorKind::NotFound,
        absl::StrCat(
          "model '", record.model_, "' with version '", record.version_, "'"),
        "Add the version to the model's section first." },
      "");
    return;
  }
  platform_.Execute(
    ReadCommand(record.model_),
    [this, exchange = aExchange, record](const platform::Reply& aReply) {
      if (IsUnreached(aReply)) {
        ReplyUnavailable(*exchange, core::RunState::No);
        return;
      }
      const auto before = rollout::ReadRecord(aReply.value_);
      if (before && before->state_ == rollout::RolloutState::Running) {
        ReplyProblem(
          *exchange,
          { ErrorKind::ConfigConflict,
            absl::StrCat("a rollout of ", before->version_, " is running"),
            "Wait for its end or stop it first." },
          "");
        return;
      }
      platform_.Execute(WriteCommand(record, aReply.version_),
                        [exchange, record](const platform::Reply& aWritten) {
                          ReplyWritten(*exchange, aWritten, record);
                        });
    });
}

void
Rollouts::List(const ExchangePtr& aExchange)
{
  const SnapshotPtr snapshot = snapshots_.Get();
  if (!snapshot->config_ || snapshot->config_->models_.empty()) {
    ReplyJson(*aExchange, 200, R"({"rollouts":[]})");
    return;
  }
  auto collected = std::make_shared<Collected>();
  {
    const absl::MutexLock lock(&collected->mutex_);
    collected->left_ = snapshot->config_->models_.size();
  }
  for (const auto& [model, settings] : snapshot->config_->models_) {
    platform_.Execute(
      ReadCommand(model),
      [exchange = aExchange, collected](const platform::Reply& aReply) {
        Collect(exchange, *collected, aReply);
      });
  }
}

void
Rollouts::Stop(const ExchangePtr& aExchange, const std::string& aModel)
{
  platform_.Execute(
    ReadCommand(aModel),
    [this, exchange = aExchange, aModel](const platform::Reply& aReply) {
      auto record = rollout::ReadRecord(aReply.value_);
      if (IsUnreached(aReply)) {
        ReplyUnavailable(*exchange, core::RunState::No);
        return;
      }
      if (!record || record->state_ != rollout::RolloutState::Running) {
        ReplyProblem(
          *exchange,
          { ErrorKind::NotFound,
            absl::StrCat("no rollout of model '", aModel, "' is running") },
          "");
        return;
      }
      record->state_ = rollout::RolloutState::Stopped;
      record->detail_ = "stopped by an operator";
      platform_.Execute(
        WriteCommand(*record, aReply.version_),
        [exchange, stopped = *record](const platform::Reply& aWritten) {
          ReplyWritten(*exchange, aWritten, stopped);
        });
    });
}

} // namespace lycheeplank::entry
