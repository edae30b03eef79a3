#include "steward/tasks.h"

#include <absl/base/thread_annotations.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "steward/clock.h"

namespace lycheeplank::steward {

namespace {

constexpr absl::Duration kFetchPeriod = absl::Seconds(2);
constexpr absl::Duration kFetchTimeout = absl::Seconds(10);

using nlohmann::json;

// Configuration and live hosts, as the entry host reports them to its steward.
struct EntryReport
{
  std::uint64_t revision_ = 0;
  std::string document_;
  // Names of the live hosts.
  std::vector<std::string> hosts_;
};

// Parses a report of the entry host. Returns nothing if it is malformed.
absl::optional<EntryReport>
ParseEntryReport(const std::string& aBody)
{
  const auto body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return absl::nullopt;
  }
  try {
    EntryReport report;
    report.revision_ = body.at("revision").get<std::uint64_t>();
    report.document_ = body.value("document", "");
    report.hosts_ = body.value("hosts", std::vector<std::string>());
    return report;
  } catch (const json::exception&) {
    return absl::nullopt;
  }
}

// The configuration of a document, with the sections that it was parsed from.
struct ParsedConfig
{
  std::vector<config::Section> sections_;
  config::ConfigPtr config_;
};

// Parses a document that was accepted before. Checks only the changes from
// aPrevious, if there is a previous one. Returns nothing and logs the problem
// if the document is invalid.
absl::optional<ParsedConfig>
ParseDocument(const EntryReport& aReport, const ParsedConfig& aPrevious)
{
  ParsedConfig parsed;
  parsed.sections_ = config::Split(aReport.document_).sections_;
  auto checked = aPrevious.config_ == nullptr
                   ? config::Check(parsed.sections_)
                   : config::CheckChanges(parsed.sections_,
                                          aPrevious.sections_,
                                          *aPrevious.config_);
  if (!checked.problems_.empty()) {
    LOG(ERROR) << "event=config_unreadable revision=" << aReport.revision_
               << " problem=\"" << config::Describe(checked.problems_[0])
               << '"';
    return absl::nullopt;
  }
  checked.config_.revision_ = aReport.revision_;
  parsed.config_ =
    std::make_shared<const config::Config>(std::move(checked.config_));
  return parsed;
}

} // namespace

// State that remains valid until a pending answer has arrived, even if the
// follower is destroyed first.
struct ConfigFollower::SharedState
{
  absl::Mutex mutex_;
  bool fetchPending_ ABSL_GUARDED_BY(mutex_) = false;
  std::uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 0;
  ParsedConfig current_ ABSL_GUARDED_BY(mutex_);
  std::function<void(const EventBody&)> post_;

  // Posts the live hosts and the configuration of an answer. Ignores the
  // configuration unless its revision is newer.
  void HandleAnswer(const net::Answer& aAnswer)
  {
    const auto report = aAnswer.Ok() ? ParseEntryReport(aAnswer.body_)
                                     : absl::optional<EntryReport>();
    const absl::MutexLock lock(&mutex_);
    fetchPending_ = false;
    if (!report) {
      LOG(WARNING) << "event=config_unavailable status=" << aAnswer.end_.status_
                   << " error=\"" << aAnswer.end_.error_ << '"';
      return;
    }
    post_(rollout::HostsChanged{ report->hosts_ });
    if (report->revision_ <= revision_ || report->document_.empty()) {
      return;
    }
    if (auto parsed = ParseDocument(*report, current_); parsed) {
      current_ = std::move(*parsed);
      revision_ = report->revision_;
      LOG(INFO) << "event=config_taken revision=" << revision_;
      post_(rollout::ConfigChanged{ current_.config_ });
    }
  }
};

ConfigFollower::ConfigFollower(const TaskContext& aContext)
  : context_(aContext)
  , state_(std::make_shared<SharedState>())
{
  state_->post_ = aContext.post_;
}

void
ConfigFollower::FetchIfDue()
{
  const absl::Time now = BootTime();
  net::Call call;
  {
    const absl::MutexLock lock(&state_->mutex_);
    if (now < nextFetch_ || state_->fetchPending_) {
      return;
    }
    state_->fetchPending_ = true;
    call.url_ = absl::StrCat(context_.settings_.entryUrl_,
                             "/internal/config?known=",
                             state_->revision_);
  }
  nextFetch_ = now + kFetchPeriod;
  call.timeout_ = kFetchTimeout;
  call.headers_.push_back(
    { "Authorization",
      absl::StrCat("Bearer ", context_.settings_.tokenSecret_) });
  context_.client_.Fetch(
    std::move(call),
    [state = state_](net::Answer&& aAnswer) { state->HandleAnswer(aAnswer); });
}

} // namespace lycheeplank::steward
