#include "lycheeplank/fleet.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <utility>

#include "fleet/peer_usage.h"

// The choice of the target for a request.
namespace lycheeplank::fleet {

namespace {

// Time in seconds that one more running request adds to each step of a batch,
// and mean time that a request holds a slot.
constexpr double kSlotSeconds = 0.0005;
constexpr double kMeanSlotSeconds = 0.3;
// Delay in seconds that one waiting request at a target causes to another.
constexpr double kWaitingSeconds = 0.02;
// A target without memory for the request is chosen only if there is no other
// one, even in another data centre: the request waits for it.
constexpr double kFullCost = 1.0;
// Cost of a target whose entry has disappeared, since the target may be gone.
constexpr double kVanishingCost = 0.3;
// Mean duration in seconds of a run that holds memory, and the cost in seconds
// of the eviction of another run.
constexpr double kMeanRunSeconds = 1.5;
constexpr double kEvictionSeconds = 0.1;
// Minimum share of a target's memory that is used, whatever other hosts may
// have sent.
constexpr double kMinUsableShare = 0.5;
// Urgent requests wait only if requests as urgent hold more than this share of
// the memory of all targets. Below it some target has less urgent ones to
// evict, and which one that is isn't known: loads are late and tell totals. In
// simulations, urgent requests that waited below it missed their goals more
// often than those that were sent.
constexpr double kUrgentWaitShare = 0.9;
// A wait may be this many times as long as its estimate.
constexpr double kWaitSafetyFactor = 2.0;
// Assumed duration of a call to a plain service, in seconds, before
// measurements correct it.
constexpr double kCallSeconds = 0.03;

bool
WasTried(const RequestSpec& aRequest, const std::string& aId)
{
  return aRequest.tried_ != nullptr &&
         std::find(aRequest.tried_->begin(), aRequest.tried_->end(), aId) !=
           aRequest.tried_->end();
}

// Returns whether a request that starts after aWaitSeconds would start on
// weights that are outdated for longer than allowed.
bool
StartsTooLate(const PromptCost& aCost,
              const RequestSpec& aRequest,
              double aWaitSeconds)
{
  return aCost.outdatedFor_ > absl::ZeroDuration() &&
         aCost.outdatedFor_ + absl::Seconds(kWaitSafetyFactor * aWaitSeconds) >
           aRequest.oldWeightsLimit_;
}

// Returns the work of this host and of all others at a target.
PeerUsage
TotalUsage(const Member& aMember, absl::Time aNow)
{
  PeerUsage sum{ aMember.inFlight_,
                 aMember.urgentTokens_,
                 aMember.otherTokens_,
                 aMember.heldTokens_ };
  for (const auto& [host, reported] : aMember.peers_) {
    detail::AddRecent(sum, reported, aNow);
  }
  return sum;
}

// The known calls and tokens at a target.
struct Backlog
{
  double running_ = 0.0;
  double waiting_ = 0.0;
  std::uint64_t urgentTokens_ = 0;
  std::uint64_t otherTokens_ = 0;
};

Backlog
BacklogOf(const Member& aMember, const PeerUsage& aUsage, absl::Time aNow)
{
  Backlog backlog;
  backlog.running_ = aUsage.inFlight_;
  backlog.urgentTokens_ = aUsage.urgentTokens_;
  backlog.otherTokens_ = aUsage.otherTokens_;
  if (aNow - aMember.loadReportedAt_ < kMaxLoadAge) {
    backlog.running_ =
      std::max<double>(backlog.running_, aMember.load_.running_);
    backlog.waiting_ = aMember.load_.waiting_;
  }
  return backlog;
}

// Returns the tokens that other hosts are expected to have sent to this target
// for the same reason that made this host send to it.
std::uint64_t
SimilarSendTokens(const Member& aMember,
                  const RequestSpec& aRequest,
                  absl::Time aNow)
{
  if (aNow - aMember.recentSince_ > kPeerReportDelay) {
    return 0;
  }
  const auto sent = static_cast<double>(aMember.recentTokens_);
  return static_cast<std::uint64_t>(
    kSimilarSendShare * static_cast<double>(aRequest.hostsWaiting_) * sent);
}

// The wait for memory at a target, in seconds.
struct MemoryState
{
  double waitSeconds_ = 0.0;
  // The request should not be sent before other runs end.
  bool isFull_ = false;
};

// Returns the wait of a request whose target evicts less urgent requests for
// it.
MemoryState
WaitByPriority(const PeerUsage& aUsage, const RequestSpec& aRequest)
{
  const auto memory = static_cast<double>(aRequest.memoryTokens_);
  const auto own = static_cast<double>(aRequest.heldTokens_);
  const auto held = static_cast<double>(aUsage.heldTokens_);
  // Targets start urgent requests first, so these need no room for unreported
  // ones.
  const double unreported =
    aRequest.isUrgent_ ? 0.0 : aRequest.unreportedTokens_;
  const double room = std::max(kMinUsableShare * memory,
                               memory - unreported - aRequest.reservedTokens_);
  // An empty target takes any request.
  if (held + own <= room || held == 0.0) {
    return {};
  }
  const double firmShare = 1.0 - aRequest.yieldingShare_;
  const double excess = firmShare * held + own - room;
  const bool yields = aRequest.isUrgent_ && aRequest.yieldingShare_ > 0.0 &&
                      firmShare * aRequest.heldShare_ < kUrgentWaitShare;
  return excess <= 0.0 || yields
           ? MemoryState{ kEvictionSeconds, false }
           : MemoryState{
               std::max(kEvictionSeconds, kMeanRunSeconds * excess / room), true
             };
}

// Returns the time until enough of a target's memory is free.
MemoryState
MemoryWait(const PeerUsage& aUsage, const RequestSpec& aRequest)
{
  if (aRequest.memoryTokens_ == 0) {
    return {};
  }
  if (aRequest.waitsByPriority_) {
    return WaitByPriority(aUsage, aRequest);
  }
  // Requests that are not urgent leave room for unreported calls, which would
  // evict them.
  const auto memory = static_cast<double>(aRequest.memoryTokens_);
  const double room =
    aRequest.isUrgent_
      ? memory
      : std::max(kMinUsableShare * memory, memory - aRequest.unreportedTokens_);
  const auto held =
    static_cast<double>(aUsage.heldTokens_ + aRequest.heldTokens_);
  if (held <= room) {
    return {};
  }
  // Urgent requests do not wait, but the prompts that they evict are read
  // again.
  return aRequest.isUrgent_
           ? MemoryState{ kEvictionSeconds, false }
           : MemoryState{ kMeanRunSeconds * (held - room) / room, true };
}

// Returns the ids of the preferred targets of a part, by rendezvous hashing
// within the data centre.
std::vector<absl::string_view>
AffinityTargets(const std::vector<const Member*>& aUsable,
                const RequestSpec& aRequest)
{
  std::vector<std::pair<std::uint64_t, absl::string_view>> scores;
  for (const auto* member : aUsable) {
    if (member->target_.dataCentre_ == aRequest.dataCentre_) {
      scores.emplace_back(
        core::RendezvousScore(aRequest.affinity_, member->target_.id_),
        member->target_.id_);
    }
  }
  const auto count = std::min(kAffinityTargets, scores.size());
  std::partial_sort(scores.begin(),
                    scores.begin() + static_cast<std::ptrdiff_t>(count),
                    scores.end(),
                    std::greater<>());
  std::vector<absl::string_view> ids;
  for (std::size_t i = 0; i < count; ++i) {
    ids.push_back(scores[i].second);
  }
  return ids;
}

// Returns how unlikely it is that a target has a prompt in its own memory: 0 at
// the first preferred target, a half at the second, 1 elsewhere.
double
AffinityDistance(const Member& aMember,
                 const std::vector<absl::string_view>& aPreferred)
{
  const auto found =
    std::find(aPreferred.begin(), aPreferred.end(), aMember.target_.id_);
  return aPreferred.empty() ? 0.0
                            : static_cast<double>(found - aPreferred.begin()) /
                                static_cast<double>(aPreferred.size());
}

// Returns a random sample of targets, near and far, and the preferred targets
// of the prompt.
std::vector<const Member*>
SampleTargets(std::vector<const Member*> aTargets,
              const std::vector<absl::string_view>& aPreferred,
              const RequestSpec& aRequest)
{
  std::minstd_rand random(static_cast<std::uint32_t>(aRequest.seed_));
  std::shuffle(aTargets.begin(), aTargets.end(), random);
  std::vector<const Member*> sample;
  std::size_t near = 0;
  std::size_t far = 0;
  for (const auto* member : aTargets) {
    const bool keeps =
      std::find(aPreferred.begin(), aPreferred.end(), member->target_.id_) !=
      aPreferred.end();
    const bool isNear = member->target_.dataCentre_ == aRequest.dataCentre_;
    auto& taken = isNear ? near : far;
    if (keeps || taken < (isNear ? kNearSamples : kFarSamples)) {
      sample.push_back(member);
      taken += keeps ? 0 : 1;
    }
  }
  return sample;
}

} // namespace

const PromptCost&
PromptCostAt(const Member& aMember, const RequestSpec& aRequest)
{
  static const PromptCost kNone;
  // For a target that does not report the model.
  static const PromptCost kUnknown{ 0, absl::InfiniteDuration() };
  if (aRequest.model_.empty()) {
    return kNone;
  }
  const auto weights = aMember.target_.weights_.find(aRequest.model_);
  if (weights != aMember.target_.weights_.end()) {
    for (const auto& cost : aRequest.costs_) {
      if (cost.weights_ == weights->second) {
        return cost;
      }
    }
  }
  return kUnknown;
}

double
ExpectedSlowness(const Member& aMember, absl::Time aNow)
{
  if (!aMember.load_.slowness_) {
    return aMember.slowness_;
  }
  const auto age =
    std::max(absl::ZeroDuration(), aNow - aMember.loadReportedAt_);
  const double recent = std::exp(-absl::FDivDuration(age, kSlownessDecay));
  const double usual = aMember.usualSlowness_;
  return aMember.slowness_ *
         (usual + recent * (*aMember.load_.slowness_ - usual));
}

Estimate
EstimateWait(const Member& aMember,
             const RequestSpec& aRequest,
             const EngineSpeed& aSpeed,
             absl::Time aNow)
{
  const auto slots = static_cast<double>(std::max(1U, aMember.target_.slots_));
  const auto shares = TotalUsage(aMember, aNow);
  const auto backlog = BacklogOf(aMember, shares, aNow);
  const double excess =
    std::max(0.0, backlog.running_ + backlog.waiting_ + 1.0 - slots);
  const double slowness = ExpectedSlowness(aMember, aNow);
  Estimate estimate;
  estimate.running_ = backlog.running_;
  if (aRequest.model_.empty()) {
    estimate.nominalSeconds_ =
      kCallSeconds * (1.0 + excess / slots) + kSlotSeconds * backlog.running_;
    estimate.waitSeconds_ = slowness * estimate.nominalSeconds_;
    return estimate;
  }
  const auto& cost = PromptCostAt(aMember, aRequest);
  const auto before =
    backlog.urgentTokens_ + (aRequest.isUrgent_ ? 0 : backlog.otherTokens_);
  estimate.backlogTokens_ = before;
  estimate.heldTokens_ = shares.heldTokens_;
  estimate.nominalSeconds_ =
    aSpeed.startSeconds_ +
    static_cast<double>(before + cost.computedTokens_) /
      aSpeed.promptTokensPerSecond_ +
    static_cast<double>(cost.readTokens_) / aSpeed.cacheTokensPerSecond_ +
    kSlotSeconds * backlog.running_ + kWaitingSeconds * backlog.waiting_;
  auto expected = shares;
  expected.heldTokens_ += SimilarSendTokens(aMember, aRequest, aNow);
  const auto memory = MemoryWait(expected, aRequest);
  estimate.memoryFull_ = memory.isFull_;
  estimate.waitSeconds_ = slowness * estimate.nominalSeconds_ +
                          excess * kMeanSlotSeconds / slots +
                          memory.waitSeconds_;
  return estimate;
}

double
HeldShare(const Members& aMembers,
          absl::string_view aService,
          std::uint64_t aMemoryTokens,
          absl::Time aNow)
{
  double held = 0.0;
  double memory = 0.0;
  for (const auto& [id, member] : aMembers) {
    if (member.target_.service_ == aService && IsInUse(member, aNow) &&
        !IsQuarantined(member, aNow)) {
      held += static_cast<double>(TotalUsage(member, aNow).heldTokens_);
      memory += static_cast<double>(aMemoryTokens);
    }
  }
  return memory > 0.0 ? held / memory : 0.0;
}

namespace {

// Returns the cost of a choice as a share of the value of the request.
// aDistance: see AffinityDistance.
double
ChoiceCost(const Member& aMember,
           const RequestSpec& aRequest,
           const Estimate& aEstimate,
           double aDistance)
{
  const double late = std::min(
    1.0, aEstimate.waitSeconds_ / absl::ToDoubleSeconds(aRequest.goal_));
  double cost = kLateCost * late * late + kWaitCost * aEstimate.waitSeconds_;
  const auto& prompt = PromptCostAt(aMember, aRequest);
  if (prompt.outdatedFor_ > kOldWeightsGrace) {
    cost += kOldWeightsCost;
  }
  if (aMember.target_.dataCentre_ != aRequest.dataCentre_) {
    cost += kRemoteByteCost * static_cast<double>(aRequest.bytes_);
  }
  if (aEstimate.memoryFull_) {
    cost += kFullCost;
  }
  if (aMember.expiresAt_ != absl::InfiniteFuture()) {
    cost += kVanishingCost;
  }
  return cost +
         aDistance *
           (kReadTokenCost * static_cast<double>(prompt.readTokens_) +
            kUncachedTokenCost * static_cast<double>(prompt.uncachedTokens_));
}

// Chooses the target with the lowest cost; returns false if none of them can be
// used.
bool
ChooseBest(Choice& aChoice,
           const std::vector<const Member*>& aTargets,
           const std::vector<absl::string_view>& aPreferred,
           const RequestSpec& aRequest,
           const EngineSpeed& aSpeed,
           absl::Time aNow)
{
  double best = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    const auto& member = *aTargets[(i + aRequest.seed_) % aTargets.size()];
    const auto estimate = EstimateWait(member, aRequest, aSpeed, aNow);
    if (StartsTooLate(
          PromptCostAt(member, aRequest), aRequest, estimate.waitSeconds_)) {
      continue;
    }
    const double cost = ChoiceCost(
      member, aRequest, estimate, AffinityDistance(member, aPreferred));
    if (cost < best) {
      best = cost;
      aChoice.id_ = member.target_.id_;
      aChoice.waitSeconds_ = estimate.waitSeconds_;
      aChoice.nominalSeconds_ = estimate.nominalSeconds_;
      aChoice.memoryFull_ = estimate.memoryFull_;
      aChoice.loadAge_ = aNow - member.loadReportedAt_;
      aChoice.backlogTokens_ = estimate.backlogTokens_;
      aChoice.heldTokens_ = estimate.heldTokens_;
      aChoice.running_ = estimate.running_;
    }
  }
  return !aChoice.id_.empty();
}

} // namespace

namespace {

// Returns whether a target is in an evacuated data centre.
bool
IsEvacuatedFor(const RequestSpec& aRequest, const Member& aMember)
{
  return aRequest.evacuations_ != nullptr &&
         IsEvacuated(*aRequest.evacuations_, aMember);
}

// Returns whether the targets of the service that are in use are all in
// evacuated data centres, and there is one.
bool
AreAllEvacuated(const Members& aMembers,
                const RequestSpec& aRequest,
                absl::Time aNow)
{
  bool isAnyEvacuated = false;
  for (const auto& [id, member] : aMembers) {
    if (member.target_.service_ == aRequest.service_ && IsInUse(member, aNow)) {
      if (!IsEvacuatedFor(aRequest, member)) {
        return false;
      }
      isAnyEvacuated = true;
    }
  }
  return isAnyEvacuated;
}

// Returns why a target of the service can't get the request, or can get it only
// if there is no other one.
Exclusion
ExclusionOf(const std::string& aId,
            const Member& aMember,
            const RequestSpec& aRequest,
            absl::Time aNow)
{
  if (!IsInUse(aMember, aNow)) {
    return Exclusion::NotInUse;
  }
  if (IsEvacuatedFor(aRequest, aMember)) {
    return Exclusion::Evacuated;
  }
  if (!aRequest.onlyTarget_.empty() && aRequest.onlyTarget_ != aId) {
    return Exclusion::NotNamed;
  }
  if (aRequest.avoidsLimited_ && aMember.requestsPerSecond_) {
    return Exclusion::Limited;
  }
  if (WasTried(aRequest, aId)) {
    return Exclusion::Tried;
  }
  if (aRequest.maxCalls_ != 0 && aMember.inFlight_ >= aRequest.maxCalls_) {
    return Exclusion::Connections;
  }
  if (StartsTooLate(PromptCostAt(aMember, aRequest), aRequest, 0.0)) {
    return Exclusion::OldWeights;
  }
  if (aNow < aMember.closedUntil_) {
    return Exclusion::Closed;
  }
  if (aNow < aMember.noPermitUntil_ && aRequest.onlyTarget_.empty()) {
    return Exclusion::NoPermit;
  }
  if (IsQuarantined(aMember, aNow)) {
    return Exclusion::Quarantined;
  }
  return aNow < aMember.weightLoadUntil_ ? Exclusion::LoadingWeights
                                         : Exclusion::None;
}

// Returns whether a target is used if there is no other one.
bool
IsLastResort(Exclusion aExclusion)
{
  return aExclusion == Exclusion::Quarantined ||
         aExclusion == Exclusion::LoadingWeights;
}

// Returns whether a target may get the request now or when it has loaded new
// weights.
bool
IsEligible(const std::string& aId,
           const Member& aMember,
           const RequestSpec& aRequest,
           absl::Time aNow)
{
  const auto exclusion = ExclusionOf(aId, aMember, aRequest, aNow);
  return exclusion == Exclusion::None || exclusion == Exclusion::LoadingWeights;
}

} // namespace

std::vector<DataCentreTargets>
TargetsByDataCentre(const Members& aMembers,
                    const RequestSpec& aRequest,
                    double aMaxSlowness,
                    absl::Time aNow)
{
  absl::btree_map<absl::string_view, DataCentreTargets> sums;
  for (const auto& [id, member] : aMembers) {
    if (member.target_.service_ != aRequest.service_) {
      continue;
    }
    auto& sum = sums[member.target_.dataCentre_];
    sum.dataCentre_ = member.target_.dataCentre_;
    sum.reportsSlowness_ =
      sum.reportsSlowness_ || member.load_.slowness_.has_value();
    const double slowness = member.slowness_ * member.usualSlowness_;
    if (!IsEligible(id, member, aRequest, aNow) || slowness > aMaxSlowness) {
      continue;
    }
    ++sum.targets_;
    const double weight = 1.0 / static_cast<double>(sum.targets_);
    sum.slots_ += weight * (member.target_.slots_ - sum.slots_);
    sum.slowness_ += weight * (slowness - sum.slowness_);
  }
  std::vector<DataCentreTargets> all;
  for (auto& [name, sum] : sums) {
    all.push_back(std::move(sum));
  }
  return all;
}

Choice
ChooseTarget(const Members& aMembers,
             const RequestSpec& aRequest,
             const EngineSpeed& aSpeed,
             absl::Time aNow)
{
  std::vector<const Member*> usable;
  std::vector<const Member*> quarantined;
  Choice choice;
  auto nextPermit = absl::InfiniteFuture();
  for (const auto& [id, member] : aMembers) {
    if (member.target_.service_ != aRequest.service_) {
      continue;
    }
    const auto exclusion = ExclusionOf(id, member, aRequest, aNow);
    if (exclusion == Exclusion::Closed) {
      choice.backoffEndsAt_ =
        std::min(choice.backoffEndsAt_, member.closedUntil_);
    } else if (exclusion == Exclusion::NoPermit) {
      if (member.noPermitUntil_ < nextPermit) {
        nextPermit = member.noPermitUntil_;
        choice.nextPermitTarget_ = id;
      }
    } else if (IsLastResort(exclusion)) {
      quarantined.push_back(&member);
    } else if (exclusion == Exclusion::None) {
      usable.push_back(&member);
    }
  }
  choice.candidates_ = static_cast<std::uint32_t>(usable.size());
  if (usable.empty()) {
    choice.lastResort_ = true;
    usable = std::move(quarantined);
  }
  const auto preferred = aRequest.affinity_.empty()
                           ? std::vector<absl::string_view>()
                           : AffinityTargets(usable, aRequest);
  if (!aRequest.useSampling_ ||
      !ChooseBest(choice,
                  SampleTargets(usable, preferred, aRequest),
                  preferred,
                  aRequest,
                  aSpeed,
                  aNow)) {
    ChooseBest(choice, usable, preferred, aRequest, aSpeed, aNow);
  }
  if (choice.id_.empty() && aRequest.evacuations_ != nullptr) {
    choice.allEvacuated_ = AreAllEvacuated(aMembers, aRequest, aNow);
  }
  return choice;
}

Explanation
ExplainChoice(const Members& aMembers,
              const RequestSpec& aRequest,
              const EngineSpeed& aSpeed,
              absl::Time aNow)
{
  Explanation explanation;
  explanation.choice_ = ChooseTarget(aMembers, aRequest, aSpeed, aNow);
  const bool isLastResort = explanation.choice_.lastResort_;
  std::vector<std::pair<Candidate, const Member*>> found;
  std::vector<const Member*> usable;
  for (const auto& [id, member] : aMembers) {
    if (member.target_.service_ != aRequest.service_) {
      continue;
    }
    const auto exclusion = ExclusionOf(id, member, aRequest, aNow);
    if (isLastResort ? IsLastResort(exclusion) : exclusion == Exclusion::None) {
      usable.push_back(&member);
    }
    found.push_back({ { id,
                        member.target_.dataCentre_,
                        exclusion,
                        EstimateWait(member, aRequest, aSpeed, aNow),
                        0.0,
                        ExpectedSlowness(member, aNow) },
                      &member });
  }
  const auto preferred = aRequest.affinity_.empty()
                           ? std::vector<absl::string_view>()
                           : AffinityTargets(usable, aRequest);
  for (auto& [candidate, member] : found) {
    candidate.cost_ = ChoiceCost(*member,
                                 aRequest,
                                 candidate.estimate_,
                                 AffinityDistance(*member, preferred));
    // ChooseBest leaves these out because of their wait.
    if (candidate.exclusion_ == Exclusion::None &&
        StartsTooLate(PromptCostAt(*member, aRequest),
                      aRequest,
                      candidate.estimate_.waitSeconds_)) {
      candidate.exclusion_ = Exclusion::OldWeights;
    }
    explanation.candidates_.push_back(std::move(candidate));
  }
  std::stable_sort(
    explanation.candidates_.begin(),
    explanation.candidates_.end(),
    [](const auto& aOne, const auto& aOther) {
      return std::make_pair(aOne.exclusion_ != Exclusion::None, aOne.cost_) <
             std::make_pair(aOther.exclusion_ != Exclusion::None, aOther.cost_);
    });
  return explanation;
}

} // namespace lycheeplank::fleet
