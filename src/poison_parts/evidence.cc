#include "poison_parts/evidence.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>

#include "poison_parts/traffic.h"

namespace lycheeplank::poison_parts {

namespace {

// A lost request and the crash that it was lost in.
struct Case
{
  const Crash* crash_ = nullptr;
  const Loss* loss_ = nullptr;
};

// Lost requests by part.
using Cases = absl::btree_map<std::string, std::vector<Case>>;

// The evidence against one part.
struct Suspect
{
  std::string part_;
  // In the order of their crashes.
  std::vector<Case> cases_;
  std::size_t moments_ = 0;
  // An answer with the part has begun before.
  bool hasBegun_ = false;
};

// A part with which an answer has begun before is the less likely cause.
bool
IsWorse(const Suspect& aLeft, const Suspect& aRight)
{
  return std::tie(aRight.hasBegun_, aLeft.moments_, aRight.part_) >
         std::tie(aLeft.hasBegun_, aRight.moments_, aLeft.part_);
}

bool
Has(const Parts& aParts, const std::string& aPart)
{
  return std::binary_search(aParts.begin(), aParts.end(), aPart);
}

bool
HasBegun(const State& aState, const std::string& aPart)
{
  return LastBegin(aState, aPart) != absl::InfinitePast();
}

bool
FallsUnder(const Loss& aLoss, const Block& aBlock)
{
  return std::includes(aLoss.parts_.begin(),
                       aLoss.parts_.end(),
                       aBlock.parts_.begin(),
                       aBlock.parts_.end());
}

// How the known blocks explain that a request with a part was lost.
enum class Explanation
{
  None,
  // The request falls under a block without the part, so either may be the
  // cause.
  SameRequest,
  // Another request of the crash does, so the part is only a bystander.
  OtherRequest,
};

Explanation
Explain(const Case& aCase,
        const std::string& aPart,
        const std::vector<Block>& aBlocks)
{
  auto explanation = Explanation::None;
  for (const auto& block : aBlocks) {
    if (FallsUnder(*aCase.loss_, block)) {
      if (!Has(block.parts_, aPart)) {
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

// Returns the negative logarithm of the chance that requests with a sound part
// are lost at all these moments. Of the other requests of their group, lost and
// begun ones, so many were lost at that time.
double
SurpriseOf(const std::vector<Case>& aCases)
{
  double surprise = 0.0;
  TrafficByGroup own;
  auto next = aCases.begin();
  for (const auto& entry : FirstOfMoments(aCases)) {
    const auto& crash = *entry.crash_;
    const auto& group = entry.loss_->group_;
    const auto found = crash.traffic_->find(group);
    if (found == crash.traffic_->end()) {
      continue;
    }
    const auto& traffic = found->second;
    for (; next != aCases.end() && next->loss_->at_ <= traffic.at_; ++next) {
      CountLoss(own, next->loss_->group_, next->loss_->at_);
    }
    const auto& ownInGroup = own[group];
    const double lost =
      std::max(0.0,
               traffic.lost_ -
                 ownInGroup.lost_ * DecayedWeight(ownInGroup.at_, traffic.at_));
    const double chance = (lost + 1.0) / (lost + traffic.begun_ + 2.0);
    surprise += std::min(kMaxSurprisePerMoment, -std::log(chance));
  }
  return surprise;
}

bool
HasEnoughSources(const State& aState, const std::vector<Case>& aCases)
{
  std::set<std::uint64_t> requests;
  std::set<std::string> hosts;
  for (const auto& entry : aCases) {
    requests.insert(entry.loss_->request_);
    hosts.insert(entry.loss_->host_);
  }
  return requests.size() >= kMinRequests &&
         hosts.size() >= std::min(kMinHosts, aState.hosts_);
}

// Returns whether the cases prove that a part crashes targets. aUnexplained:
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
  return hasMoments && HasEnoughSources(aState, aSuspect.cases_) &&
         SurpriseOf(aSuspect.cases_) >= kMinSurprise;
}

// Returns the last lost requests of those parts that were lost often enough
// since an answer with them began.
Cases
CollectCases(const State& aState, const PartSet& aParts)
{
  absl::flat_hash_map<std::string, absl::Time> lastBegins;
  for (const auto& part : aParts) {
    if (const auto found = aState.suspects_.find(part);
        found != aState.suspects_.end() &&
        found->second.losses_ >= kMinMoments) {
      lastBegins[part] = LastBegin(aState, part);
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
      for (const auto& part : loss.parts_) {
        const auto found = lastBegins.find(part);
        if (found == lastBegins.end() || crash->at_ <= found->second) {
          continue;
        }
        if (auto& list = cases[part]; list.size() < kMaxCases) {
          list.push_back({ &*crash, &loss });
        }
      }
    }
  }
  for (auto& [part, list] : cases) {
    std::stable_sort(
      list.begin(), list.end(), [](const Case& aLeft, const Case& aRight) {
        return aLeft.crash_->at_ < aRight.crash_->at_;
      });
  }
  return cases;
}

// Returns the part with the most crashes that blocks don't explain by another
// request if they prove that it is the cause.
absl::optional<Suspect>
FindSuspect(const State& aState,
            const Cases& aCases,
            const std::vector<Block>& aBlocks,
            const std::set<std::string>& aIgnored)
{
  absl::optional<Suspect> worst;
  for (const auto& [part, all] : aCases) {
    if (all.size() < kMinMoments || aIgnored.count(part) != 0) {
      continue;
    }
    Suspect suspect{ part, {}, 0, HasBegun(aState, part) };
    std::vector<Case> unexplained;
    for (const auto& entry : all) {
      const auto explanation = Explain(entry, part, aBlocks);
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

// Returns the parts that all lost requests have in common and for which
// aMayBeCause holds.
template<typename MayBeCause>
Parts
CommonParts(const std::vector<Case>& aCases, const MayBeCause& aMayBeCause)
{
  Parts common;
  for (const auto& part : aCases.front().loss_->parts_) {
    if (aMayBeCause(part) &&
        std::all_of(aCases.begin(), aCases.end(), [&](const Case& aCase) {
          return Has(aCase.loss_->parts_, part);
        })) {
      common.push_back(part);
    }
  }
  return common;
}

// Returns a block of all parts that the lost requests have in common and that
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
  block.parts_ = CommonParts(
    aCases, [&](const std::string& aPart) { return !HasBegun(aState, aPart); });
  if (block.parts_.empty()) {
    block.parts_ = CommonParts(aCases, [&](const std::string& aPart) {
      return LastBegin(aState, aPart) <= block.firstCrashAt_;
    });
  }
  return block;
}

// The cases of a suspect, split by other parts that may be the cause instead.
struct Alternatives
{
  // Cases without such a part, in the request or another one of the crash.
  std::vector<Case> without_;
  // The others, each with the most frequent of its parts.
  std::vector<std::vector<Case>> groups_;
};

// Returns whether another request of the crash has a part without those of
// aCommon that may well be the cause.
bool
IsBesideSuspect(const State& aState, const Case& aCase, const Parts& aCommon)
{
  const auto isSuspected = [&](const std::string& aPart) {
    const auto found = aState.suspects_.find(aPart);
    return !Has(aCommon, aPart) && !HasBegun(aState, aPart) &&
           found != aState.suspects_.end() &&
           found->second.losses_ >= kMinMoments;
  };
  return std::any_of(
    aCase.crash_->losses_.begin(),
    aCase.crash_->losses_.end(),
    [&](const Loss& aLoss) {
      return &aLoss != aCase.loss_ &&
             std::any_of(aLoss.parts_.begin(), aLoss.parts_.end(), isSuspected);
    });
}

Alternatives
FindAlternatives(const State& aState,
                 const Suspect& aSuspect,
                 const Parts& aCommon)
{
  Alternatives alternatives;
  auto left = aSuspect.cases_;
  while (!left.empty()) {
    absl::btree_map<std::string, std::vector<Case>> byPart;
    for (const auto& entry : left) {
      for (const auto& part : entry.loss_->parts_) {
        if (part != aSuspect.part_ && !Has(aCommon, part) &&
            !HasBegun(aState, part)) {
          byPart[part].push_back(entry);
        }
      }
    }
    if (byPart.empty()) {
      std::copy_if(left.begin(),
                   left.end(),
                   std::back_inserter(alternatives.without_),
                   [&](const Case& aCase) {
                     return !IsBesideSuspect(aState, aCase, aCommon);
                   });
      return alternatives;
    }
    const auto& most = *std::max_element(
      byPart.begin(), byPart.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.size() < aRight.second.size();
      });
    left.erase(std::remove_if(left.begin(),
                              left.end(),
                              [&](const Case& aCase) {
                                return Has(aCase.loss_->parts_, most.first);
                              }),
               left.end());
    alternatives.groups_.push_back(most.second);
  }
  return alternatives;
}

// Returns the blocks for a proven suspect. If few other parts could be the
// causes of its crashes as well, each of them is blocked together with the
// suspect only: sound requests with either of them can still begin, which
// decides between them.
std::vector<Block>
MakeBlocks(const State& aState, const Suspect& aSuspect)
{
  auto block = MakeBlock(aState, aSuspect.cases_);
  if (block.parts_.empty()) {
    return {};
  }
  const auto alternatives = FindAlternatives(aState, aSuspect, block.parts_);
  const auto without = CountMoments(alternatives.without_);
  if (aSuspect.hasBegun_ || alternatives.groups_.empty() ||
      without >= kMinUnexplained ||
      alternatives.groups_.size() + without >= kMinCauses) {
    return { std::move(block) };
  }
  std::vector<Block> blocks;
  for (const auto& cases : alternatives.groups_) {
    const Suspect suspect{ aSuspect.part_, cases, CountMoments(cases), false };
    if (IsProven(aState, suspect, cases)) {
      blocks.push_back(MakeBlock(aState, cases));
    }
  }
  return blocks;
}

} // namespace

std::vector<Block>
FindPoison(const State& aState, const PartSet& aParts)
{
  const auto cases = CollectCases(aState, aParts);
  auto blocks = aState.blocks_;
  std::vector<Block> found;
  std::set<std::string> done;
  while (const auto suspect = FindSuspect(aState, cases, blocks, done)) {
    done.insert(suspect->part_);
    for (auto& block : MakeBlocks(aState, *suspect)) {
      blocks.push_back(block);
      found.push_back(std::move(block));
    }
  }
  return found;
}

PartSet
RecordTraffic(State& aState, absl::Time aNow)
{
  PartSet parts;
  absl::optional<TrafficByGroup> total;
  for (auto& crash : aState.crashes_) {
    if (!crash.traffic_ && aNow - crash.at_ >= kSettleTime) {
      if (!total) {
        total = TotalTraffic(aState, aNow);
      }
      crash.traffic_ = *total;
      for (const auto& loss : crash.losses_) {
        parts.insert(loss.parts_.begin(), loss.parts_.end());
      }
    }
  }
  return parts;
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

} // namespace lycheeplank::poison_parts
