#include "load/fault.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace lycheeplank::load {

namespace {

constexpr absl::Duration kFaultTimeout = absl::Seconds(10);
// One of this many engines fails.
constexpr std::size_t kEnginesPerFailure = 3;
constexpr absl::string_view kDownBody = R"({"fault":"down"})";
constexpr absl::string_view kSlowBody = R"({"fault":"slow","factor":10})";
constexpr absl::string_view kNoFaultBody = R"({"fault":"none"})";

// Returns aCount members that the seed selects, in the order of the cluster.
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

std::vector<FaultCommand>
CommandsFor(const std::vector<Member>& aMembers, absl::string_view aBody)
{
  std::vector<FaultCommand> commands;
  commands.reserve(aMembers.size());
  for (const Member& member : aMembers) {
    commands.push_back({ member, std::string(aBody) });
  }
  return commands;
}

} // namespace

core::Result<std::vector<FaultCommand>>
PlanFault(const Cluster& aCluster, FaultKind aKind, std::uint64_t aSeed)
{
  if (aKind == FaultKind::None) {
    return std::vector<FaultCommand>{};
  }
  if (aKind == FaultKind::EnginesDown) {
    const std::size_t count = aCluster.engines_.size() / kEnginesPerFailure;
    if (count == 0) {
      return core::Fail({ core::ErrorKind::ConfigInvalid,
                          "too few engines to lose a third of them",
                          "use --engines=3 or more" });
    }
    return CommandsFor(PickMembers(aCluster.engines_, count, aSeed), kDownBody);
  }
  if (aCluster.stores_.empty()) {
    return core::Fail({ core::ErrorKind::ConfigInvalid,
                        "the cluster has no store for the fault",
                        "use --stores=1 or more" });
  }
  return CommandsFor(PickMembers(aCluster.stores_, 1, aSeed),
                     aKind == FaultKind::StoreDown ? kDownBody : kSlowBody);
}

std::vector<FaultCommand>
PlanRecovery(const std::vector<FaultCommand>& aCommands)
{
  std::vector<FaultCommand> recovery = aCommands;
  for (FaultCommand& command : recovery) {
    command.body_ = std::string(kNoFaultBody);
  }
  return recovery;
}

std::vector<std::string>
SendFaultCommands(net::Client& aClient,
                  const std::vector<FaultCommand>& aCommands)
{
  std::vector<std::string> unconfirmed;
  for (const FaultCommand& command : aCommands) {
    net::Call call;
    call.method_ = "POST";
    call.url_ = absl::StrCat(command.member_.http_, "/fault");
    call.body_ = command.body_;
    call.timeout_ = kFaultTimeout;
    if (!aClient.FetchAndWait(call).Ok()) {
      unconfirmed.push_back(command.member_.name_);
    }
  }
  return unconfirmed;
}

} // namespace lycheeplank::load
