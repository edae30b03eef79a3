#include "load/attempts.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace lycheeplank::load {

namespace {

constexpr std::uint32_t kMaxAttempts = 12;
constexpr absl::Duration kPause = absl::Milliseconds(200);

// Asks for the entry list and sends to the next host on it.
void
Send(const std::shared_ptr<Attempts>& aAttempts,
     const std::function<void(const std::string&)>& aSend)
{
  aAttempts->context_.entries_.Get(
    aAttempts->plan_.arrival_.workspace_,
    [aAttempts, aSend](const EntryBook::Urls& aUrls) {
      aSend(aUrls[aAttempts->hostsPassed_ % aUrls.size()]);
    });
}

} // namespace

Next
NextAfter(const Problem& aProblem)
{
  if (OtherHostHelps(aProblem)) {
    return Next::OtherHost;
  }
  return WaitingHelps(aProblem) ? Next::Later : Next::GiveUp;
}

void
WithEntry(const std::shared_ptr<Attempts>& aAttempts,
          Next aHow,
          std::function<void(const std::string&)> aSend)
{
  if (++aAttempts->count_ > kMaxAttempts || aHow == Next::GiveUp) {
    Land(*aAttempts, End::Broken);
    return;
  }
  aAttempts->hostsPassed_ += aHow == Next::OtherHost ? 1 : 0;
  const bool first = aAttempts->count_ == 1;
  aAttempts->outcome_.repeats_ += first ? 0 : 1;
  // A short pause also before another host, so that a failure of all of them
  // does not use up the attempts at once.
  const absl::Duration pause =
    first ? absl::ZeroDuration() : kPause * (aHow == Next::Later ? 2 : 1);
  aAttempts->context_.loop_.After(
    pause, [aAttempts, send = std::move(aSend)] { Send(aAttempts, send); });
}

void
Land(Attempts& aAttempts, End aEnd)
{
  aAttempts.outcome_.end_ = aEnd;
  aAttempts.outcome_.total_ = absl::Now() - aAttempts.startedAt_;
  aAttempts.onLanded_(std::move(aAttempts.outcome_));
}

void
LandRefused(Attempts& aAttempts, const Problem& aProblem)
{
  aAttempts.outcome_.refusal_ = aProblem.kind_;
  aAttempts.outcome_.run_ = aProblem.run_;
  Land(aAttempts, End::Refused);
}

std::vector<net::Field>
HeadersOf(const Attempts& aAttempts)
{
  const auto& workspace = aAttempts.context_.cluster_
                            .workspaces_[aAttempts.plan_.arrival_.workspace_];
  return { { "Authorization", absl::StrCat("Bearer ", workspace.key_) },
           { "Content-Type", "application/json" } };
}

} // namespace lycheeplank::load
