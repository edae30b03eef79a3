#include "load/fault.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace lycheeplank::load {

namespace {

constexpr absl::Duration kOrderLimit = absl::Seconds(10);
constexpr std::size_t kEnginesPerLoss = 3;
constexpr absl::string_view kDown = R"({"fault":"down"})";
constexpr absl::string_view kSlow = R"({"fault":"slow","factor":10})";
constexpr absl::string_view kNone = R"({"fault":"none"})";

// Returns a number of members that the seed chooses, in the cluster's order.
std::vector<Member>
PickMembers(const std::vector<Member>& aMembers,
            std::size_t aCount,
            std::uint64_t aSeed)
{
  const auto rankOf = [aSeed](const Member& aMember) {
    return core::StableHash(aMember.name_, aSeed);
  };
  std::vector<std::uint64_t> ranks;
  ranks.reserve(aMembers.size());
  for (const Member& member : aMembers) {
    ranks.push_back(rankOf(member));
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<Member> picked;
  for (const Member& member : aMembers) {
    if (picked.size() < aCount && rankOf(member) <= ranks[aCount - 1]) {
      picked.push_back(member);
    }
  }
  return picked;
}

std::vector<FaultOrder>
SameOrder(const std::vector<Member>& aMembers, absl::string_view aBody)
{
  std::vector<FaultOrder> orders;
  orders.reserve(aMembers.size());
  for (const Member& member : aMembers) {
    orders.push_back({ member, std::string(aBody) });
  }
  return orders;
}

} // namespace

core::Result<std::vector<FaultOrder>>
PlanFault(const Cluster& aCluster, FaultKind aKind, std::uint64_t aSeed)
{
  if (aKind == FaultKind::None) {
    return std::vector<FaultOrder>{};
  }
  if (aKind == FaultKind::EnginesGone) {
    const std::size_t count = aCluster.engines_.size() / kEnginesPerLoss;
    if (count == 0) {
      return core::Fail({ core::ErrorKind::ConfigInvalid,
                          "too few engines to lose a third of them",
                          "use --engines=3 or more" });
    }
    return SameOrder(PickMembers(aCluster.engines_, count, aSeed), kDown);
  }
  if (aCluster.stores_.empty()) {
    return core::Fail({ core::ErrorKind::ConfigInvalid,
                        "there is no store to fail",
                        "use --stores=1 or more" });
  }
  return SameOrder(PickMembers(aCluster.stores_, 1, aSeed),
                   aKind == FaultKind::StoreDead ? kDown : kSlow);
}

std::vector<FaultOrder>
PlanRepair(const std::vector<FaultOrder>& aOrders)
{
  std::vector<FaultOrder> repair = aOrders;
  for (FaultOrder& order : repair) {
    order.body_ = std::string(kNone);
  }
  return repair;
}

std::vector<std::string>
SendOrders(net::Client& aClient, const std::vector<FaultOrder>& aOrders)
{
  std::vector<std::string> unconfirmed;
  for (const FaultOrder& order : aOrders) {
    net::Call call;
    call.method_ = "POST";
    call.url_ = absl::StrCat(order.member_.http_, "/fault");
    call.body_ = order.body_;
    call.timeout_ = kOrderLimit;
    if (!aClient.FetchAndWait(call).Ok()) {
      unconfirmed.push_back(order.member_.name_);
    }
  }
  return unconfirmed;
}

} // namespace lycheeplank::load
