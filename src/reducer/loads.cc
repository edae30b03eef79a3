#include "reducer/internal.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace lycheeplank::reducer::detail {

namespace {

// How long the report of a target that this host doesn't follow may be used.
// It has to stay well below the time within which a leaving target must stop
// getting work, because an older report may not show that the target leaves.
constexpr absl::Duration kReportLifetime = absl::Seconds(2);
// Time after which a target that did not answer may be queried again.
constexpr absl::Duration kUnansweredBackoff = absl::Seconds(2);
// Timeout of a query to a holder of blocks; the request has other targets.
constexpr absl::Duration kHolderTimeout = absl::Milliseconds(50);
// Timeout of queries without which the request would be refused.
constexpr absl::Duration kNoTargetTimeout = absl::Milliseconds(500);
// Largest number of holders that are queried for one attempt.
constexpr std::size_t kMaxQueriedHolders = 2;
// Largest number of targets that are queried for an attempt when no target with
// a current report can take it.
constexpr std::size_t kMaxQueriedTargets = 3;

// Returns whether a policy takes cached blocks into account. The other
// policies are baselines and query no holders.
bool
UsesCachedBlocks(config::Policy aPolicy)
{
  return aPolicy == config::Policy::Estimate ||
         aPolicy == config::Policy::AlwaysImport ||
         aPolicy == config::Policy::NeverImport;
}

// Reserves up to aMaxCount queries within the limit per second, and returns the
// number reserved.
std::size_t
ReserveQueries(State& aState, absl::Time aNow, std::size_t aMaxCount)
{
  auto& recent = aState.recentQueries_;
  while (!recent.empty() && recent.front() <= aNow - absl::Seconds(1)) {
    recent.pop_front();
  }
  const std::size_t left =
    placement::kHolderLoadRequestsPerSecond -
    std::min(placement::kHolderLoadRequestsPerSecond, recent.size());
  const std::size_t taken = std::min(aMaxCount, left);
  recent.insert(recent.end(), taken, aNow);
  return taken;
}

// Returns the largest number of leading blocks that a usable target with a
// current report holds.
std::uint32_t
BestUsableHolderBlocks(const Context& aContext,
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

// Returns whether a load query to a target is allowed, needed and of use to the
// request.
bool
ShouldQueryLoad(const Context& aContext,
                const Pool& aPool,
                const RequestState& aRequest,
                const std::string& aName)
{
  const State& state = aContext.state_;
  const auto found = state.targets_.find(aName);
  if (found == state.targets_.end()) {
    return false;
  }
  return MayQueryLoad(found->second, aContext.now_) &&
         !HasCurrentReport(found->second, aContext.now_) &&
         state.config_->targets_.at(aName).serves_ ==
           aRequest.request_.modelOrService_ &&
         IsAllowed(aContext, aPool, aRequest, aName);
}

// Returns the engines to query because they hold more leading blocks than any
// usable target, best first.
std::vector<std::string>
HoldersToQuery(const Context& aContext,
               const Pool& aPool,
               const RequestState& aRequest,
               const std::vector<directory::Holder>& aHolders)
{
  const std::uint32_t atHand =
    BestUsableHolderBlocks(aContext, aPool, aRequest, aHolders);
  std::vector<const directory::Holder*> better;
  for (const auto& holder : aHolders) {
    if (holder.id_.kind_ == directory::HolderKind::Engine &&
        holder.leadingBlocks_ > atHand &&
        ShouldQueryLoad(aContext, aPool, aRequest, holder.id_.name_)) {
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
  for (std::size_t i = 0; i < std::min(better.size(), kMaxQueriedHolders);
       ++i) {
    names.push_back(better[i]->id_.name_);
  }
  return names;
}

// Sends load queries to as many of the targets as the rate limit allows.
// Returns false if none was sent.
bool
SendLoadQueries(Context& aContext,
                RequestState& aRequest,
                std::vector<std::string> aTargets,
                absl::Duration aTimeout)
{
  const std::size_t taken =
    ReserveQueries(aContext.state_, aContext.now_, aTargets.size());
  if (taken < aTargets.size()) {
    AddCount(aContext, "load_questions_total", "result", "over_limit");
  }
  if (taken == 0) {
    return false;
  }
  aTargets.resize(taken);
  AddCount(aContext, "load_questions_total", "result", "asked");
  AddTrace(aContext,
           aRequest.request_,
           "asked_loads",
           absl::StrCat("targets=", absl::StrJoin(aTargets, ",")));
  aRequest.phase_ = Phase::QueryingLoads;
  aRequest.queriedTargets_ = aTargets;
  aContext.effects_.emplace_back(QueryLoads{
    aRequest.request_.id_, aRequest.attempt_, std::move(aTargets), aTimeout });
  return true;
}

// Returns whether a target with a current report can take the request.
bool
HasUsableTarget(const Context& aContext,
                const Pool& aPool,
                const RequestState& aRequest)
{
  return std::any_of(
    aPool.targets_.begin(), aPool.targets_.end(), [&](const auto& aName) {
      const TargetState& target = aContext.state_.targets_.at(aName);
      return HasCurrentReport(target, aContext.now_) && !target.leaving_ &&
             IsAllowed(aContext, aPool, aRequest, aName);
    });
}

// Returns some targets of a pool to query, starting at a random one. Targets in
// this host's data centre come first.
std::vector<std::string>
ChooseTargetsToQuery(const Context& aContext,
                     const Pool& aPool,
                     const RequestState& aRequest)
{
  const State& state = aContext.state_;
  std::vector<std::string> near;
  std::vector<std::string> far;
  const std::size_t count = aPool.targets_.size();
  for (std::size_t i = 0; i < count && near.size() < kMaxQueriedTargets; ++i) {
    const auto& name = aPool.targets_[(aContext.random_ + i) % count];
    if (ShouldQueryLoad(aContext, aPool, aRequest, name)) {
      const auto& place = state.config_->targets_.at(name).dataCentre_;
      (place == state.self_.dataCentre_ ? near : far).push_back(name);
    }
  }
  near.insert(near.end(), far.begin(), far.end());
  near.resize(std::min(near.size(), kMaxQueriedTargets));
  return near;
}

} // namespace

bool
MayQueryLoad(const TargetState& aTarget, absl::Time aNow)
{
  return !aTarget.followed_ && !aTarget.listedAsLeaving_ &&
         aTarget.noQueryUntil_ <= aNow;
}

bool
HasCurrentReport(const TargetState& aTarget, absl::Time aNow)
{
  return aTarget.reached_ &&
         (aTarget.followed_ || aNow - aTarget.measuredAt_ <= kReportLifetime);
}

bool
QueryAnyTargets(Context& aContext, RequestState& aRequest)
{
  const Pool& pool = PoolOf(aContext.state_, aRequest.request_);
  if (HasUsableTarget(aContext, pool, aRequest)) {
    return false;
  }
  aRequest.beginsAfterQuery_ =
    SendLoadQueries(aContext,
                    aRequest,
                    ChooseTargetsToQuery(aContext, pool, aRequest),
                    kNoTargetTimeout);
  return aRequest.beginsAfterQuery_;
}

void
QueryHoldersAndPlace(Context& aContext,
                     RequestState& aRequest,
                     std::vector<directory::Holder> aHolders)
{
  const Pool& pool = PoolOf(aContext.state_, aRequest.request_);
  if (UsesCachedBlocks(pool.policy_) &&
      SendLoadQueries(aContext,
                      aRequest,
                      HoldersToQuery(aContext, pool, aRequest, aHolders),
                      kHolderTimeout)) {
    aRequest.holders_ = std::move(aHolders);
    return;
  }
  PlaceAttempt(aContext, aRequest, aHolders);
}

void
RecordUnansweredQueries(Context& aContext, const RequestState& aRequest)
{
  for (const auto& name : aRequest.queriedTargets_) {
    const auto found = aContext.state_.targets_.find(name);
    if (found != aContext.state_.targets_.end() &&
        !HasCurrentReport(found->second, aContext.now_)) {
      found->second.noQueryUntil_ = aContext.now_ + kUnansweredBackoff;
      AddCount(aContext, "load_questions_total", "result", "silent");
    }
  }
}

} // namespace lycheeplank::reducer::detail
