#include "poison/evidence.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>

#include "poison/traffic.h"

namespace lycheeplank::poison {

namespace {

// A lost request and the crash that it was lost in.
struct Case
{
  const Crash* crash_ = nullptr;
  const Loss* loss_ = nullptr;
};

// Lost requests by trait.
using Cases = absl::btree_map<std::string, std::vector<Case>>;

// The evidence against one trait.
struct Suspect
{
  std::string trait_;
  // In the order of their crashes.
  std::vector<Case> cases_;
  std::size_t moments_ = 0;
  // An answer with the trait has begun before.
  bool hasBegun_ = false;
};

// A trait with which an answer has begun before is the less likely cause.
bool
IsWorse(const Suspect& aLeft, const Suspect& aRight)
{
  return std::tie(aRight.hasBegun_, aLeft.moments_, aRight.trait_) >
         std::tie(aLeft.hasBegun_, aRight.moments_, aLeft.trait_);
}

bool
Has(const Traits& aTraits, const std::string& aTrait)
{
  return std::binary_search(aTraits.begin(), aTraits.end(), aTrait);
}

bool
HasBegun(const State& aState, const std::string& aTrait)
{
  return LastBegin(aState, aTrait) != absl::InfinitePast();
}

bool
FallsUnder(const Loss& aLoss, const Block& aBlock)
{
  return std::includes(aLoss.traits_.begin(),
                       aLoss.traits_.end(),
                       aBlock.traits_.begin(),
                       aBlock.traits_.end());
}

// How the known blocks explain that a request with a trait was lost.
enum class Explanation
{
  None,
  // The request falls under a block without the trait, so either may be the
  // cause.
  SameRequest,
  // Another request of the crash does, so the trait is only a bystander.
  OtherRequest,
};

Explanation
Explain(const Case& aCase,
        const std::string& aTrait,
        const std::vector<Block>& aBlocks)
{
  auto explanation = Explanation::None;
  for (const auto& block : aBlocks) {
    if (FallsUnder(*aCase.loss_, block)) {
      if (!Has(block.traits_, aTrait)) {
        explanation = Explanation::SameRequest;
      }
      continue;
    }
    if (std::any_of(
          aCase.crash_->losses_.begin(),
          aCase.crash_->losses_.end(),
          [&](const Loss& aLoss) { return FallsUnder(aLoss, block); })) {
      return Explanation::OtherRequest;
    }
  }
  return explanation;
}

// Returns the first case of each moment.
std::vector<Case>
FirstOfMoments(const std::vector<Case>& aCases)
{
  std::vector<Case> first;
  for (const auto& entry : aCases) {
    if (first.empty() ||
        entry.crash_->at_ - first.back().crash_->at_ >= kMomentTime) {
      first.push_back(entry);
    }
  }
  return first;
}

std::size_t
CountMoments(const std::vector<Case>& aCases)
{
  return FirstOfMoments(aCases).size();
}

// Returns the negative logarithm of the chance that requests with a sound trait
// are lost at all these moments. Of the other requests of their group, lost and
// begun ones, so many were lost at that time. aTrafficOf: returns the traffic
// at a case, or nullptr.
template<typename TrafficOf>
double
SurpriseOf(const std::vector<Case>& aCases, const TrafficOf& aTrafficOf)
{
  double surprise = 0.0;
  TrafficByGroup own;
  auto next = aCases.begin();
  for (const auto& entry : FirstOfMoments(aCases)) {
    const TrafficByGroup* traffic = aTrafficOf(entry);
    if (traffic == nullptr) {
      continue;
    }
    const auto& group = entry.loss_->group_;
    const auto at = entry.crash_->evaluatedAt_;
    for (; next != aCases.end() && next->loss_->at_ <= at; ++next) {
      CountLoss(own, next->loss_->group_, next->loss_->at_);
    }
    surprise += std::min(kMaxSurprisePerMoment,
                         -std::log(LossShare(*traffic, own, group, at)));
  }
  return surprise;
}

// Returns the surprise, judged by the traffic of the only host that has lost
// the requests if there is only one.
double
SurpriseOf(const std::vector<Case>& aCases)
{
  const double surprise = SurpriseOf(
    aCases, [](const Case& aCase) { return &*aCase.crash_->traffic_; });
  const auto& host = aCases.front().loss_->host_;
  const bool isOneHost =
    std::all_of(aCases.begin(), aCases.end(), [&](const Case& aCase) {
      return aCase.loss_->host_ == host;
    });
  if (!isOneHost) {
    return surprise;
  }
  return std::min(surprise, SurpriseOf(aCases, [&](const Case& aCase) {
                    const auto& byHost = aCase.crash_->trafficByHost_;
                    const auto found = byHost.find(host);
                    return found == byHost.end() ? nullptr : &found->second;
                  }));
}

bool
HasEnoughSources(const State& aState, const Suspect& aSuspect)
{
  std::set<std::uint64_t> requests;
  std::set<std::string> hosts;
  for (const auto& entry : aSuspect.cases_) {
    requests.insert(entry.loss_->request_);
    hosts.insert(entry.loss_->host_);
  }
  const auto& limits = LimitsOf(aSuspect.trait_);
  return requests.size() >= limits.minRequests_ &&
         hosts.size() >= std::min(limits.minHosts_, aState.hosts_);
}

// Returns whether the cases prove that a trait crashes targets. aUnexplained:
// those that no known block explains.
bool
IsProven(const State& aState,
         const Suspect& aSuspect,
         const std::vector<Case>& aUnexplained)
{
  const bool hasMoments =
    aSuspect.hasBegun_ ? CountMoments(aUnexplained) >= kMinMomentsAfterSuccess
                       : aSuspect.moments_ >= kMinMoments &&
                           CountMoments(aUnexplained) >= kMinUnexplained;
  return hasMoments && HasEnoughSources(aState, aSuspect) &&
         SurpriseOf(aSuspect.cases_) >= kMinSurprise;
}

// Returns the last lost requests of those traits that were lost often enough
// since an answer with them began.
Cases
CollectCases(const State& aState, const TraitSet& aTraits)
{
  absl::flat_hash_map<std::string, absl::Time> lastBegins;
  for (const auto& trait : aTraits) {
    if (const auto found = aState.suspects_.find(trait);
        found != aState.suspects_.end() &&
        found->second.losses_ >= kMinMoments) {
      lastBegins[trait] = LastBegin(aState, trait);
    }
  }
  Cases cases;
  if (lastBegins.empty()) {
    return cases;
  }
  const auto& crashes = aState.crashes_;
  for (auto crash = crashes.rbegin(); crash != crashes.rend(); ++crash) {
    if (!crash->traffic_) {
      continue;
    }
    for (const auto& loss : crash->losses_) {
      for (const auto& trait : loss.traits_) {
        const auto found = lastBegins.find(trait);
        if (found == lastBegins.end() || crash->at_ <= found->second) {
          continue;
        }
        if (auto& list = cases[trait]; list.size() < kMaxCases) {
          list.push_back({ &*crash, &loss });
        }
      }
    }
  }
  for (auto& [trait, list] : cases) {
    std::stable_sort(
      list.begin(), list.end(), [](const Case& aLeft, const Case& aRight) {
        return aLeft.crash_->at_ < aRight.crash_->at_;
      });
  }
  return cases;
}

// Returns the trait with the most crashes that blocks don't explain by another
// request if they prove that it is the cause.
absl::optional<Suspect>
FindSuspect(const State& aState,
            const Cases& aCases,
            const std::vector<Block>& aBlocks,
            const std::set<std::string>& aIgnored)
{
  absl::optional<Suspect> worst;
  for (const auto& [trait, all] : aCases) {
    if (all.size() < kMinMoments || aIgnored.count(trait) != 0) {
      continue;
    }
    Suspect suspect{ trait, {}, 0, HasBegun(aState, trait) };
    std::vector<Case> unexplained;
    for (const auto& entry : all) {
      const auto explanation = Explain(entry, trait, aBlocks);
      if (explanation == Explanation::OtherRequest) {
        continue;
      }
      suspect.cases_.push_back(entry);
      if (explanation == Explanation::None) {
        unexplained.push_back(entry);
      }
    }
    suspect.moments_ = CountMoments(suspect.cases_);
    if ((!worst || IsWorse(suspect, *worst)) &&
        IsProven(aState, suspect, unexplained)) {
      worst = std::move(suspect);
    }
  }
  return worst;
}

// Returns the traits that all lost requests have in common and for which
// aMayBeCause holds.
template<typename MayBeCause>
Traits
CommonTraits(const std::vector<Case>& aCases, const MayBeCause& aMayBeCause)
{
  Traits common;
  for (const auto& trait : aCases.front().loss_->traits_) {
    if (aMayBeCause(trait) &&
        std::all_of(aCases.begin(), aCases.end(), [&](const Case& aCase) {
          return Has(aCase.loss_->traits_, trait);
        })) {
      common.push_back(trait);
    }
  }
  return common;
}

// Returns a block of all traits that the lost requests have in common and that
// may be the cause.
Block
MakeBlock(const State& aState, const std::vector<Case>& aCases)
{
  Block block;
  std::set<const Crash*> crashes;
  for (const auto& entry : aCases) {
    crashes.insert(entry.crash_);
  }
  block.crashes_ = crashes.size();
  block.firstCrashAt_ = aCases.front().crash_->at_;
  block.lastCrashAt_ = aCases.back().crash_->at_;
  block.surprise_ = SurpriseOf(aCases);
  block.traits_ = CommonTraits(aCases, [&](const std::string& aTrait) {
    return !HasBegun(aState, aTrait);
  });
  if (block.traits_.empty()) {
    block.traits_ = CommonTraits(aCases, [&](const std::string& aTrait) {
      return LastBegin(aState, aTrait) <= block.firstCrashAt_;
    });
  }
  return block;
}

// The cases of a suspect, split by other traits that may be the cause instead.
struct Alternatives
{
  // Cases without such a trait, in the request or another one of the crash.
  std::vector<Case> without_;
  // The others, each with the most frequent of its traits.
  std::vector<std::vector<Case>> groups_;
};

// Returns whether another request of the crash has a trait without those of
// aCommon that may well be the cause.
bool
IsBesideSuspect(const State& aState, const Case& aCase, const Traits& aCommon)
{
  const auto isSuspected = [&](const std::string& aTrait) {
    const auto found = aState.suspects_.find(aTrait);
    return !Has(aCommon, aTrait) && !HasBegun(aState, aTrait) &&
           found != aState.suspects_.end() &&
           found->second.losses_ >= LimitsOf(aTrait).suspectLosses_;
  };
  return std::any_of(aCase.crash_->losses_.begin(),
                     aCase.crash_->losses_.end(),
                     [&](const Loss& aLoss) {
                       return &aLoss != aCase.loss_ &&
                              std::any_of(aLoss.traits_.begin(),
                                          aLoss.traits_.end(),
                                          isSuspected);
                     });
}

// Returns whether a trait may be the cause of these cases instead of another
// one that they have in common. Each request has its own fingerprint, so a lost
// request says nothing against it unless its caller's next attempt is lost,
// too.
bool
IsAlternative(const State& aState,
              const std::string& aTrait,
              const std::vector<Case>& aCases)
{
  if (HasBegun(aState, aTrait)) {
    return false;
  }
  return KindOf(aTrait) != TraitKind::Request ||
         std::any_of(aCases.begin(), aCases.end(), [&](const Case& aCase) {
           return aCase.loss_->request_ != aCases.front().loss_->request_;
         });
}

Alternatives
FindAlternatives(const State& aState,
                 const Suspect& aSuspect,
                 const Traits& aCommon)
{
  Alternatives alternatives;
  auto left = aSuspect.cases_;
  while (!left.empty()) {
    absl::btree_map<std::string, std::vector<Case>> byTrait;
    for (const auto& entry : left) {
      for (const auto& trait : entry.loss_->traits_) {
        if (trait != aSuspect.trait_ && !Has(aCommon, trait)) {
          byTrait[trait].push_back(entry);
        }
      }
    }
    absl::erase_if(byTrait, [&](const auto& aEntry) {
      return !IsAlternative(aState, aEntry.first, aEntry.second);
    });
    if (byTrait.empty()) {
      std::copy_if(left.begin(),
                   left.end(),
                   std::back_inserter(alternatives.without_),
                   [&](const Case& aCase) {
                     return !IsBesideSuspect(aState, aCase, aCommon);
                   });
      return alternatives;
    }
    const auto& most =
      *std::max_element(byTrait.begin(),
                        byTrait.end(),
                        [](const auto& aLeft, const auto& aRight) {
                          return aLeft.second.size() < aRight.second.size();
                        });
    left.erase(std::remove_if(left.begin(),
                              left.end(),
                              [&](const Case& aCase) {
                                return Has(aCase.loss_->traits_, most.first);
                              }),
               left.end());
    alternatives.groups_.push_back(most.second);
  }
  return alternatives;
}

// Returns the blocks for a proven suspect. If few other traits could be the
// causes of its crashes as well, each of them is blocked together with the
// suspect only: sound requests with either of them can still begin, which
// decides between them.
std::vector<Block>
MakeBlocks(const State& aState, const Suspect& aSuspect)
{
  auto block = MakeBlock(aState, aSuspect.cases_);
  if (block.traits_.empty()) {
    return {};
  }
  const auto alternatives = FindAlternatives(aState, aSuspect, block.traits_);
  const auto without = CountMoments(alternatives.without_);
  if (aSuspect.hasBegun_ || alternatives.groups_.empty() ||
      without >= kMinUnexplained ||
      alternatives.groups_.size() + without >= kMinCauses) {
    return { std::move(block) };
  }
  std::vector<Block> blocks;
  for (const auto& cases : alternatives.groups_) {
    const Suspect suspect{ aSuspect.trait_, cases, CountMoments(cases), false };
    if (IsProven(aState, suspect, cases)) {
      blocks.push_back(MakeBlock(aState, cases));
    }
  }
  return blocks;
}

} // namespace

std::vector<Block>
FindPoison(const State& aState, const TraitSet& aTraits)
{
  const auto cases = CollectCases(aState, aTraits);
  auto blocks = aState.blocks_;
  std::vector<Block> found;
  std::set<std::string> done;
  while (const auto suspect = FindSuspect(aState, cases, blocks, done)) {
    done.insert(suspect->trait_);
    for (auto& block : MakeBlocks(aState, *suspect)) {
      blocks.push_back(block);
      found.push_back(std::move(block));
    }
  }
  return found;
}

TraitSet
RecordTraffic(State& aState, absl::Time aNow)
{
  TraitSet traits;
  absl::optional<TrafficByGroup> total;
  for (auto& crash : aState.crashes_) {
    if (!crash.traffic_ && aNow - crash.at_ >= kSettleTime) {
      if (!total) {
        total = TotalTraffic(aState, aNow);
      }
      crash.evaluatedAt_ = aNow;
      crash.traffic_ = *total;
      for (const auto& loss : crash.losses_) {
        crash.trafficByHost_[loss.host_] = TrafficOf(aState, loss.host_);
      }
      for (const auto& loss : crash.losses_) {
        traits.insert(loss.traits_.begin(), loss.traits_.end());
      }
    }
  }
  return traits;
}

absl::Time
NextEvaluation(const State& aState)
{
  auto next = absl::InfiniteFuture();
  for (const auto& crash : aState.crashes_) {
    if (!crash.traffic_) {
      next = std::min(next, crash.at_ + kSettleTime);
    }
  }
  return next;
}

} // namespace lycheeplank::poison
