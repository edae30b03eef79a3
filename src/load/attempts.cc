#include "load/attempts.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace lycheeplank::load {

namespace {

constexpr std::uint32_t kMaxAttempts = 12;
constexpr std::uint32_t kImmediateAttempts = 3;
constexpr absl::Duration kPause = absl::Milliseconds(300);

// Sends to the first host of the entry list.
void
Send(const std::shared_ptr<Attempts>& aAttempts,
     const std::function<void(const std::string&)>& aSend)
{
  aAttempts->context_.entries_.Get(
    aAttempts->plan_.arrival_.workspace_,
    [aAttempts, aSend](const EntryBook::Urls& aUrls) {
      aAttempts->url_ = aUrls.front();
      aSend(aAttempts->url_);
    });
}

// Returns how long to wait before the next attempt: not for the first ones, as
// another host will answer, but once all seem to be gone.
absl::Duration
PauseBefore(const Attempts& aAttempts, Next aHow)
{
  const bool immediate =
    aAttempts.count_ == 1 ||
    (aHow == Next::OtherHost && aAttempts.count_ <= kImmediateAttempts);
  return immediate ? absl::ZeroDuration() : kPause;
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
  aAttempts->outcome_.repeats_ += aAttempts->count_ == 1 ? 0 : 1;
  if (aHow == Next::OtherHost) {
    aAttempts->context_.entries_.Demote(aAttempts->plan_.arrival_.workspace_,
                                        aAttempts->url_);
  }
  aAttempts->context_.loop_.After(
    PauseBefore(*aAttempts, aHow),
    [aAttempts, send = std::move(aSend)] { Send(aAttempts, send); });
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
