#include "reducer/parts.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace lycheeplank::reducer::detail {

namespace {

// How long a report of a target that this host doesn't follow may be used.
// A leaving target gets no work by an older one, so this stays well below the
// time after which it must get none.
constexpr absl::Duration kReportLife = absl::Seconds(2);
// How long a target that did not answer is not asked again.
constexpr absl::Duration kSilence = absl::Seconds(2);
// Time that a holder has to report; the request has other targets.
constexpr absl::Duration kHolderTimeout = absl::Milliseconds(50);
// The same for targets without which the request would be refused.
constexpr absl::Duration kOnlyTimeout = absl::Milliseconds(500);
// Holders that are asked for one attempt at most.
constexpr std::size_t kAskedHolders = 2;
// Targets that are asked for one attempt when there is no other.
constexpr std::size_t kAskedOthers = 3;

// Baselines that choose without regard for cached blocks don't ask.
bool
RegardsBlocks(config::Policy aPolicy)
{
  return aPolicy == config::Policy::Estimate ||
         aPolicy == config::Policy::AlwaysImport ||
         aPolicy == config::Policy::NeverImport;
}

// Takes up to aWanted questions out of those left in this second.
std::size_t
TakeQuestions(State& aState, absl::Time aNow, std::size_t aWanted)
{
  auto& asked = aState.ownQuestions_;
  while (!asked.empty() && asked.front() <= aNow - absl::Seconds(1)) {
    asked.pop_front();
  }
  const std::size_t left =
    placement::kHolderLoadRequestsPerSecond -
    std::min(placement::kHolderLoadRequestsPerSecond, asked.size());
  const std::size_t taken = std::min(aWanted, left);
  asked.insert(asked.end(), taken, aNow);
  return taken;
}

// Returns how many leading blocks the best usable holder has whose report is at
// hand.
std::uint32_t
BlocksAtHand(const Context& aContext,
             const Pool& aPool,
             const RequestState& aRequest,
             const std::vector<directory::Holder>& aHolders)
{
  std::uint32_t most = 0;
  for (const auto& holder : aHolders) {
    if (holder.id_.kind_ == directory::HolderKind::Engine &&
        holder.leadingBlocks_ > most &&
        IsUsable(aContext, aPool, aRequest, holder.id_.name_)) {
      most = holder.leadingBlocks_;
    }
  }
  return most;
}

bool
MayBeAsked(const Context& aContext,
           const Pool& aPool,
           const RequestState& aRequest,
           const std::string& aName)
{
  const State& state = aContext.state_;
  const auto found = state.targets_.find(aName);
  if (found == state.targets_.end()) {
    return false;
  }
  return IsAskable(found->second, aContext.now_) &&
         !IsCurrent(found->second, aContext.now_) &&
         state.config_->targets_.at(aName).serves_ ==
           aRequest.request_.serves_ &&
         IsAllowed(aContext, aPool, aRequest, aName);
}

// Returns the holders worth a question, best first.
std::vector<std::string>
HoldersToAsk(const Context& aContext,
             const Pool& aPool,
             const RequestState& aRequest,
             const std::vector<directory::Holder>& aHolders)
{
  const std::uint32_t atHand =
    BlocksAtHand(aContext, aPool, aRequest, aHolders);
  std::vector<const directory::Holder*> better;
  for (const auto& holder : aHolders) {
    if (holder.id_.kind_ == directory::HolderKind::Engine &&
        holder.leadingBlocks_ > atHand &&
        MayBeAsked(aContext, aPool, aRequest, holder.id_.name_)) {
      better.push_back(&holder);
    }
  }
  std::sort(
    better.begin(),
    better.end(),
    [](const directory::Holder* aLeft, const directory::Holder* aRight) {
      return aLeft->leadingBlocks_ != aRight->leadingBlocks_
               ? aLeft->leadingBlocks_ > aRight->leadingBlocks_
               : aLeft->id_.name_ < aRight->id_.name_;
    });
  std::vector<std::string> names;
  for (std::size_t i = 0; i < std::min(better.size(), kAskedHolders); ++i) {
    names.push_back(better[i]->id_.name_);
  }
  return names;
}

// Asks as many of the targets as the limit allows; false if there is none.
bool
Ask(Context& aContext,
    RequestState& aRequest,
    std::vector<std::string> aTargets,
    absl::Duration aTimeout)
{
  const std::size_t taken =
    TakeQuestions(aContext.state_, aContext.now_, aTargets.size());
  if (taken < aTargets.size()) {
    AddCount(aContext, "load_questions_total", "result", "over_limit");
  }
  if (taken == 0) {
    return false;
  }
  aTargets.resize(taken);
  AddCount(aContext, "load_questions_total", "result", "asked");
  AddNote(aContext,
          aRequest.request_,
          "asked_loads",
          absl::StrCat("targets=", absl::StrJoin(aTargets, ",")));
  aRequest.phase_ = Phase::Asking;
  aRequest.askedTargets_ = aTargets;
  aContext.effects_.emplace_back(AskLoads{
    aRequest.request_.id_, aRequest.attempt_, std::move(aTargets), aTimeout });
  return true;
}

// Whether some target can take the request by the reports at hand.
bool
HasTarget(const Context& aContext,
          const Pool& aPool,
          const RequestState& aRequest)
{
  return std::any_of(
    aPool.targets_.begin(), aPool.targets_.end(), [&](const auto& aName) {
      const TargetState& target = aContext.state_.targets_.at(aName);
      return IsCurrent(target, aContext.now_) && !target.leaving_ &&
             IsAllowed(aContext, aPool, aRequest, aName);
    });
}

// Returns some targets of a pool that may be asked, those of this host's data
// centre first, starting at a random place.
std::vector<std::string>
SomeToAsk(const Context& aContext,
          const Pool& aPool,
          const RequestState& aRequest)
{
  const State& state = aContext.state_;
  std::vector<std::string> near;
  std::vector<std::string> far;
  const std::size_t count = aPool.targets_.size();
  for (std::size_t i = 0; i < count && near.size() < kAskedOthers; ++i) {
    const auto& name = aPool.targets_[(aContext.random_ + i) % count];
    if (MayBeAsked(aContext, aPool, aRequest, name)) {
      const auto& place = state.config_->targets_.at(name).dataCentre_;
      (place == state.self_.dataCentre_ ? near : far).push_back(name);
    }
  }
  near.insert(near.end(), far.begin(), far.end());
  near.resize(std::min(near.size(), kAskedOthers));
  return near;
}

} // namespace

bool
IsAskable(const TargetState& aTarget, absl::Time aNow)
{
  return !aTarget.followed_ && !aTarget.leavingListed_ &&
         aTarget.silentUntil_ <= aNow;
}

bool
IsCurrent(const TargetState& aTarget, absl::Time aNow)
{
  return aTarget.reached_ &&
         (aTarget.followed_ || aNow - aTarget.asOf_ <= kReportLife);
}

bool
AskForAny(Context& aContext, RequestState& aRequest)
{
  const Pool& pool = PoolOf(aContext.state_, aRequest.request_);
  if (HasTarget(aContext, pool, aRequest)) {
    return false;
  }
  aRequest.asksForAny_ =
    Ask(aContext, aRequest, SomeToAsk(aContext, pool, aRequest), kOnlyTimeout);
  return aRequest.asksForAny_;
}

void
AskAndPlace(Context& aContext,
            RequestState& aRequest,
            std::vector<directory::Holder> aHolders)
{
  const Pool& pool = PoolOf(aContext.state_, aRequest.request_);
  if (RegardsBlocks(pool.policy_) &&
      Ask(aContext,
          aRequest,
          HoldersToAsk(aContext, pool, aRequest, aHolders),
          kHolderTimeout)) {
    aRequest.holders_ = std::move(aHolders);
    return;
  }
  Place(aContext, aRequest, aHolders);
}

void
NoteSilent(Context& aContext, const RequestState& aRequest)
{
  for (const auto& name : aRequest.askedTargets_) {
    const auto found = aContext.state_.targets_.find(name);
    if (found != aContext.state_.targets_.end() &&
        !IsCurrent(found->second, aContext.now_)) {
      found->second.silentUntil_ = aContext.now_ + kSilence;
      AddCount(aContext, "load_questions_total", "result", "silent");
    }
  }
}

} // namespace lycheeplank::reducer::detail
