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
constexpr absl::Duration kSilence = absl::Seconds(5);
// Holders that are asked for one attempt at most.
constexpr std::size_t kAskedHolders = 2;

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
  auto& asked = aState.holderQuestions_;
  while (!asked.empty() && asked.front() <= aNow - absl::Seconds(1)) {
    asked.pop_front();
  }
  const std::size_t left =
    placement::kHolderQuestionsPerSecond -
    std::min(placement::kHolderQuestionsPerSecond, asked.size());
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
  const TargetState& target = found->second;
  return !target.followed_ && !IsCurrent(target, aContext.now_) &&
         target.silentUntil_ <= aContext.now_ &&
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

} // namespace

bool
IsCurrent(const TargetState& aTarget, absl::Time aNow)
{
  return aTarget.reached_ &&
         (aTarget.followed_ || aNow - aTarget.asOf_ <= kReportLife);
}

void
AskAndPlace(Context& aContext,
            RequestState& aRequest,
            std::vector<directory::Holder> aHolders)
{
  State& state = aContext.state_;
  const Pool& pool = PoolOf(state, aRequest.request_);
  std::vector<std::string> asked;
  if (RegardsBlocks(pool.policy_)) {
    asked = HoldersToAsk(aContext, pool, aRequest, aHolders);
    const std::size_t taken = TakeQuestions(state, aContext.now_, asked.size());
    if (taken < asked.size()) {
      AddCount(aContext, "holder_questions_total", "result", "over_limit");
    }
    asked.resize(taken);
  }
  if (asked.empty()) {
    Place(aContext, aRequest, aHolders);
    return;
  }
  AddCount(aContext, "holder_questions_total", "result", "asked");
  AddNote(aContext,
          aRequest.request_,
          "asked_holders",
          absl::StrCat("targets=", absl::StrJoin(asked, ",")));
  aRequest.phase_ = Phase::Asking;
  aRequest.holders_ = std::move(aHolders);
  aRequest.askedTargets_ = asked;
  aContext.effects_.emplace_back(
    AskLoads{ aRequest.request_.id_, aRequest.attempt_, std::move(asked) });
}

void
NoteSilent(Context& aContext, const RequestState& aRequest)
{
  for (const auto& name : aRequest.askedTargets_) {
    const auto found = aContext.state_.targets_.find(name);
    if (found != aContext.state_.targets_.end() &&
        !IsCurrent(found->second, aContext.now_)) {
      found->second.silentUntil_ = aContext.now_ + kSilence;
      AddCount(aContext, "holder_questions_total", "result", "silent");
    }
  }
}

} // namespace lycheeplank::reducer::detail
