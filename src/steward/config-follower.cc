#include "steward/duties.h"

#include <absl/base/thread_annotations.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "steward/clock.h"

namespace lycheeplank::steward {

namespace {

constexpr absl::Duration kAskPeriod = absl::Seconds(2);
constexpr absl::Duration kAskTimeout = absl::Seconds(10);

using nlohmann::json;

// What the entry host tells its steward.
struct Told
{
  std::uint64_t revision_ = 0;
  std::string document_;
  // Names of the live hosts.
  std::vector<std::string> hosts_;
};

absl::optional<Told>
ReadTold(const std::string& aBody)
{
  const auto body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return absl::nullopt;
  }
  try {
    Told told;
    told.revision_ = body.at("revision").get<std::uint64_t>();
    told.document_ = body.value("document", "");
    told.hosts_ = body.value("hosts", std::vector<std::string>());
    return told;
  } catch (const json::exception&) {
    return absl::nullopt;
  }
}

// A document that was read.
struct Taken
{
  std::vector<config::Section> sections_;
  config::ConfigPtr config_;
};

// Reads an accepted document that differs little from the one before it.
absl::optional<Taken>
ReadDocument(const Told& aTold, const Taken& aBefore)
{
  Taken taken;
  taken.sections_ = config::Split(aTold.document_).sections_;
  auto checked = aBefore.config_ == nullptr
                   ? config::Check(taken.sections_)
                   : config::CheckChanges(
                       taken.sections_, aBefore.sections_, *aBefore.config_);
  if (!checked.problems_.empty()) {
    LOG(ERROR) << "event=config_unreadable revision=" << aTold.revision_
               << " problem=\"" << config::Describe(checked.problems_[0])
               << '"';
    return absl::nullopt;
  }
  checked.config_.revision_ = aTold.revision_;
  taken.config_ =
    std::make_shared<const config::Config>(std::move(checked.config_));
  return taken;
}

} // namespace

// Outlives the follower while an answer is on its way.
struct ConfigFollower::Shared
{
  absl::Mutex mutex_;
  bool pending_ ABSL_GUARDED_BY(mutex_) = false;
  std::uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 0;
  Taken taken_ ABSL_GUARDED_BY(mutex_);
  std::function<void(const EventBody&)> post_;

  // Takes an answer over; an older revision is never taken.
  void Take(const net::Answer& aAnswer)
  {
    const auto told =
      aAnswer.Ok() ? ReadTold(aAnswer.body_) : absl::optional<Told>();
    const absl::MutexLock lock(&mutex_);
    pending_ = false;
    if (!told) {
      LOG(WARNING) << "event=config_unavailable status=" << aAnswer.end_.status_
                   << " error=\"" << aAnswer.end_.error_ << '"';
      return;
    }
    post_(rollout::HostsChanged{ told->hosts_ });
    if (told->revision_ <= revision_ || told->document_.empty()) {
      return;
    }
    if (auto taken = ReadDocument(*told, taken_); taken) {
      taken_ = std::move(*taken);
      revision_ = told->revision_;
      LOG(INFO) << "event=config_taken revision=" << revision_;
      post_(rollout::ConfigChanged{ taken_.config_ });
    }
  }
};

ConfigFollower::ConfigFollower(const DutyContext& aContext)
  : context_(aContext)
  , shared_(std::make_shared<Shared>())
{
  shared_->post_ = aContext.post_;
}

void
ConfigFollower::AskIfDue()
{
  const absl::Time now = BootTime();
  net::Call call;
  {
    const absl::MutexLock lock(&shared_->mutex_);
    if (now < next_ || shared_->pending_) {
      return;
    }
    shared_->pending_ = true;
    call.url_ = absl::StrCat(context_.settings_.entryUrl_,
                             "/internal/config?known=",
                             shared_->revision_);
  }
  next_ = now + kAskPeriod;
  call.timeout_ = kAskTimeout;
  call.headers_.push_back(
    { "Authorization",
      absl::StrCat("Bearer ", context_.settings_.tokenSecret_) });
  context_.client_.Fetch(
    std::move(call),
    [shared = shared_](net::Answer&& aAnswer) { shared->Take(aAnswer); });
}

} // namespace lycheeplank::steward
