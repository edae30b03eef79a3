#include "steward/tasks.h"

#include <atomic>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include "adapters/orders.h"
#include "steward/clock.h"

namespace lycheeplank::steward {

namespace {

using rollout::OrderResult;

// Returns the result of an order from its answer. aExpired is set if the order
// was not sent because its deadline had passed.
rollout::OrderEnded
MakeOrderEnded(std::uint64_t aId, const net::Answer& aAnswer, bool aExpired)
{
  rollout::OrderEnded ended;
  ended.id_ = aId;
  if (aExpired || aAnswer.end_.neverSent_) {
    ended.result_ = OrderResult::NotSent;
  } else if (!aAnswer.end_.completed_) {
    ended.result_ = OrderResult::Lost;
  } else if (aAnswer.Ok()) {
    ended.result_ = OrderResult::Accepted;
  } else if (adapters::IsStaleFence(aAnswer)) {
    ended.result_ = OrderResult::StaleFence;
  } else {
    ended.result_ = OrderResult::Refused;
    ended.detail_ = absl::StrCat("status ", aAnswer.end_.status_);
  }
  return ended;
}

void
Perform(const TaskContext& aContext, const platform::Command& aCommand)
{
  aContext.platform_.Execute(
    aCommand, [post = aContext.post_](platform::Reply aReply) {
      post(rollout::PlatformReplied{ std::move(aReply) });
    });
}

void
Perform(const TaskContext& aContext, const rollout::SendOrder& aOrder)
{
  const auto isExpired = std::make_shared<std::atomic<bool>>(false);
  const auto maySend = [isExpired, notAfter = aOrder.notAfter_] {
    *isExpired = BootTime() > notAfter;
    return !*isExpired;
  };
  aContext.client_.Fetch(
    adapters::SendLoadWeightsOrder(
      aOrder.url_, { aOrder.version_, aOrder.fence_ }, maySend),
    [post = aContext.post_, id = aOrder.id_, isExpired](net::Answer&& aAnswer) {
      post(MakeOrderEnded(id, aAnswer, *isExpired));
    });
}

void
Perform(const TaskContext& aContext, const rollout::ReadTarget& aRead)
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
Perform(const TaskContext&, const rollout::Log& aLog)
{
  LOG(INFO) << aLog.line_;
}

} // namespace

void
PerformRollout(const TaskContext& aContext, const rollout::Effect& aEffect)
{
  std::visit([&](const auto& aBody) { Perform(aContext, aBody); }, aEffect);
}

} // namespace lycheeplank::steward
