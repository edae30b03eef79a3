#include "lycheeplank/overload.h"

#include <algorithm>
#include <limits>

namespace lycheeplank::overload {

namespace {

// Weights of priority, workspace and chance in the order of retries.
constexpr double kPriorityWeight = 0.5;
constexpr double kWorkspaceWeight = 0.25;
constexpr double kChanceWeight = 0.25;
// Multiple of the equal share from which workspaces are spread alike.
constexpr double kLargeShare = 2.0;

// Returns the time in which tokens start that go before a request.
absl::Duration
TimeFor(std::uint64_t aTokens,
        const request_queue::Queue& aQueue,
        const fleet::PriorityLoads& aLoads,
        const request_queue::QueuedRequest& aRequest,
        absl::Time aNow)
{
  const auto rate = request_queue::TokensPerSecond(
    aQueue, aRequest.service_, aRequest.tokens_, aNow);
  if (!rate || aTokens == 0) {
    return absl::ZeroDuration();
  }
  const bool isLate = aRequest.goalAt_ <= aNow;
  const double taken = fleet::MoreUrgentPerSecond(
    aLoads,
    isLate ? std::numeric_limits<std::uint32_t>::max() : aRequest.priority_,
    aNow);
  const double left = std::max(*rate - taken, kMinFreeShare * *rate);
  return absl::Seconds(static_cast<double>(aTokens) / left);
}

// Returns what is known of a waiting request whose expected wait is given.
Situation
MakeSituation(const request_queue::QueuedRequest& aRequest,
              absl::Duration aExpectedWait,
              absl::Time aNow)
{
  Situation situation;
  situation.priority_ = aRequest.priority_;
  situation.isWaiting_ = aRequest.id_ != 0;
  situation.expectedWait_ = aExpectedWait;
  situation.goalLeft_ = aRequest.goalAt_ - aNow;
  situation.timeLeft_ = aRequest.callerLeavesAt_ - aNow;
  return situation;
}

} // namespace

absl::Duration
ExpectedWait(const request_queue::Queue& aQueue,
             const fleet::PriorityLoads& aLoads,
             const request_queue::QueuedRequest& aRequest,
             absl::Time aNow)
{
  return TimeFor(request_queue::TokensBefore(aQueue, aRequest, aNow),
                 aQueue,
                 aLoads,
                 aRequest,
                 aNow);
}

Situation
Assess(const request_queue::Queue& aQueue,
       const fleet::PriorityLoads& aLoads,
       const request_queue::QueuedRequest& aRequest,
       absl::Time aNow)
{
  auto situation =
    MakeSituation(aRequest, ExpectedWait(aQueue, aLoads, aRequest, aNow), aNow);
  situation.workspaceShare_ = request_queue::WorkspaceShare(aQueue, aRequest);
  return situation;
}

Decision
Decide(const Situation& aSituation)
{
  if (aSituation.timeLeft_ <= absl::ZeroDuration()) {
    return { Action::Refuse, Reason::WaitedTooLong, RetryAfter(aSituation) };
  }
  if (aSituation.hasRoom_) {
    return {};
  }
  // The wait may take longer than expected; the less time remains after it, the
  // less likely is an answer.
  const double chance =
    1.0 - absl::FDivDuration(aSituation.expectedWait_, aSituation.timeLeft_);
  const bool isInTime = aSituation.expectedWait_ <= aSituation.goalLeft_;
  const double value = (isInTime ? 1.0 : kLateValue) * chance;
  if (aSituation.expectedWait_ > absl::ZeroDuration() && value < kMinValue) {
    return { Action::Refuse,
             aSituation.isWaiting_ ? Reason::ExpectedTooLate
                                   : Reason::QueueFull,
             RetryAfter(aSituation) };
  }
  return { Action::Wait };
}

absl::Duration
RetryAfter(const Situation& aSituation)
{
  const auto honoured =
    std::max(kMinRetryAfter, kRetryShare * aSituation.timeLeft_);
  const auto window =
    aSituation.expectedWait_ > absl::ZeroDuration()
      ? std::clamp(aSituation.expectedWait_, kMinRetryAfter, honoured)
      : honoured;
  const double priority =
    static_cast<double>(std::min(aSituation.priority_, kSpreadPriorities)) /
    kSpreadPriorities;
  const double share = std::min(1.0, aSituation.workspaceShare_ / kLargeShare);
  return kMinRetryAfter +
         (window - kMinRetryAfter) *
           (kPriorityWeight * priority + kWorkspaceWeight * share +
            kChanceWeight * aSituation.draw_);
}

std::vector<std::uint64_t>
RemoveHopeless(request_queue::Queue& aQueue,
               const Loads& aLoads,
               absl::Time aNow)
{
  static const fleet::PriorityLoads kNoLoads;
  std::vector<std::uint64_t> hopeless;
  absl::flat_hash_map<std::string, std::uint64_t> before;
  for (const auto& request : request_queue::StartOrder(aQueue, aNow)) {
    auto& tokens = before[request.service_];
    const auto loads = aLoads.find(request.service_);
    const auto wait = TimeFor(tokens,
                              aQueue,
                              loads == aLoads.end() ? kNoLoads : loads->second,
                              request,
                              aNow);
    if (Decide(MakeSituation(request, wait, aNow)).action_ == Action::Refuse) {
      hopeless.push_back(request.id_);
      request_queue::RemoveRequest(aQueue, request.id_);
    } else {
      tokens += request.tokens_;
    }
  }
  return hopeless;
}

} // namespace lycheeplank::overload
