#include <memory>
#include <vector>

#include "gateway/clock.h"
#include "gateway/exchange.h"

// The part of Exchange that ends requests of a stopping host.
namespace lycheeplank::gateway {

namespace {

// Retry-After of a stopping host, before jitter: short, because another host
// can serve the caller at once.
constexpr absl::Duration kRetryAfterStopping = absl::Milliseconds(20);
// For this time after the stop signal a host sends any request to a target,
// because callers may still hold an address list that contains it. Afterwards
// it sends only requests whose deadlines are kStopMargin before the end of the
// grace time.
constexpr absl::Duration kStoppingTime = absl::Milliseconds(2900);
constexpr absl::Duration kStopMargin = absl::Milliseconds(600);

} // namespace

void
ForEachOpen(const Host& aHost, void (Exchange::*aAction)())
{
  std::vector<std::shared_ptr<Exchange>> open;
  open.reserve(aHost.openRequests_.size());
  for (auto* request : aHost.openRequests_) {
    open.push_back(request->shared_from_this());
  }
  for (const auto& request : open) {
    (request.get()->*aAction)();
  }
}

bool
Exchange::IsTooLate() const
{
  const auto stop = host_.stoppedAt_;
  return host_.stopping_ && Now() - stop >= kStoppingTime &&
         deadline_ >= stop + host_.settings_.graceTime_ - kStopMargin;
}

void
Exchange::RefuseIfTooLate()
{
  if (!ended_ && !holdsTarget_ && history_.runs_ == 0 && IsTooLate()) {
    Refuse("stopping", kRetryAfterStopping);
  }
}

void
Exchange::EndForExit()
{
  if (!ended_) {
    GiveUp("stopping", kRetryAfterStopping);
  }
}

void
RefuseLateRequests(Host& aHost)
{
  ForEachOpen(aHost, &Exchange::RefuseIfTooLate);
}

void
EndRequests(Host& aHost)
{
  ForEachOpen(aHost, &Exchange::EndForExit);
}

} // namespace lycheeplank::gateway
