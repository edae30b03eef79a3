#include "steward/duties.h"

#include <atomic>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include "adapters/orders.h"
#include "steward/clock.h"

namespace lycheeplank::steward {

namespace {

using rollout::OrderResult;

// Returns how an order ended that was sent or made void.
rollout::OrderEnded
EndOf(std::uint64_t aId, const net::Answer& aAnswer, bool aVoid)
{
  rollout::OrderEnded end;
  end.id_ = aId;
  if (aVoid || aAnswer.end_.neverSent_) {
    end.result_ = OrderResult::NotSent;
  } else if (!aAnswer.end_.completed_) {
    end.result_ = OrderResult::Lost;
  } else if (aAnswer.Ok()) {
    end.result_ = OrderResult::Accepted;
  } else if (adapters::IsStaleFence(aAnswer)) {
    end.result_ = OrderResult::StaleFence;
  } else {
    end.result_ = OrderResult::Refused;
    end.detail_ = absl::StrCat("status ", aAnswer.end_.status_);
  }
  return end;
}

void
Perform(const DutyContext& aContext, const platform::Command& aCommand)
{
  aContext.platform_.Execute(
    aCommand, [post = aContext.post_](platform::Reply aReply) {
      post(rollout::PlatformReplied{ std::move(aReply) });
    });
}

void
Perform(const DutyContext& aContext, const rollout::SendOrder& aOrder)
{
  const auto isVoid = std::make_shared<std::atomic<bool>>(false);
  const auto maySend = [isVoid, notAfter = aOrder.notAfter_] {
    *isVoid = BootTime() > notAfter;
    return !*isVoid;
  };
  aContext.client_.Fetch(
    adapters::SendLoadWeightsOrder(
      aOrder.url_, { aOrder.version_, aOrder.fence_ }, maySend),
    [post = aContext.post_, id = aOrder.id_, isVoid](net::Answer&& aAnswer) {
      post(EndOf(id, aAnswer, *isVoid));
    });
}

void
Perform(const DutyContext& aContext, const rollout::ReadTarget& aRead)
{
  aContext.client_.Fetch(
    adapters::QueryWeightStatus(aRead.url_),
    [post = aContext.post_, id = aRead.id_](net::Answer&& aAnswer) {
      rollout::TargetRead read;
      read.id_ = id;
      const auto report = adapters::ReadWeightStatus(aAnswer.body_);
      if (aAnswer.Ok() && report) {
        read.reachable_ = true;
        read.version_ = report->weightVersion_;
        read.loading_ = report->loading_;
      }
      post(std::move(read));
    });
}

void
Perform(const DutyContext&, const rollout::Log& aLog)
{
  LOG(INFO) << aLog.line_;
}

} // namespace

void
PerformRollout(const DutyContext& aContext, const rollout::Effect& aEffect)
{
  std::visit([&](const auto& aPart) { Perform(aContext, aPart); }, aEffect);
}

} // namespace lycheeplank::steward
