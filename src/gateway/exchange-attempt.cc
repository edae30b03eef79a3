#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "gateway/clock.h"
#include "gateway/demand.h"
#include "gateway/permits.h"

// The part of Exchange that chooses targets and sends the request to them.
namespace lycheeplank::gateway {

namespace {

using mechanisms::Mechanism;

// Connecting takes one round trip; a target that takes longer counts as
// unreachable.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(200);
// A request that must not run twice reuses only connections that were in use
// within this time: if the target has closed the connection, the host can't
// know whether the request ran. Most servers keep idle connections for at least
// five seconds. Reuse saves targets the cost of a new connection.
constexpr absl::Duration kNonRepeatableIdle = absl::Seconds(2);
// Requests that may be repeated are sent again if the target has closed the
// connection.
constexpr absl::Duration kRepeatableIdle = absl::Seconds(10);
// Bodies up to this size are copied behind the head, so that one write sends
// both. Larger ones are sent from where they are.
constexpr std::size_t kMaxCopiedBytes = 16U << 10U;
// Estimated bytes of the heads of a request and its answer and of a short body.
constexpr std::uint64_t kCallBytes = 1500;
// Age of other hosts' load reports in a large fleet, where gossip passes
// through collectors; follows from the gossip periods.
constexpr absl::Duration kLargeFleetLoadDelay = absl::Milliseconds(300);
// Answer bytes per output token, for the cost of traffic between data centres.
constexpr std::uint64_t kBytesPerOutputToken = 100;
// Requests that have missed their goals are placed as if this much time were
// left.
constexpr absl::Duration kMinRemainingGoal = absl::Milliseconds(100);
// Age from which the held share of the targets' memory is computed again: the
// time between two tries of the waiting requests.
constexpr absl::Duration kHeldShareAge = absl::Milliseconds(20);
// Estimated time from the start of prompt processing to the first event.
constexpr absl::Duration kStartMargin = absl::Milliseconds(300);
// Requests aren't sent to targets with outdated weights within this time before
// the weights must be out of use.
constexpr absl::Duration kWeightsMargin = absl::Milliseconds(1500);

// A request that was denied this many permits for cold targets goes to a target
// that isn't cold if there is one. When many cold targets return at once, each
// further ask is likely to be denied as well and delays the request.
constexpr std::uint32_t kMaxColdAsks = 3;

// Returns the stores that parts are read from, for the log.
std::string
StoresOf(const std::vector<cache_index::PartPlan>& aParts)
{
  std::vector<absl::string_view> stores;
  for (const auto& part : aParts) {
    if (!part.readFrom_.empty() &&
        std::find(stores.begin(), stores.end(), part.readFrom_) ==
          stores.end()) {
      stores.push_back(part.readFrom_);
    }
  }
  return absl::StrJoin(stores, ",");
}

// Returns the number of targets of a service without those of evacuated data
// centres.
std::size_t
CountTargets(const Host& aHost, absl::string_view aService)
{
  return static_cast<std::size_t>(std::count_if(
    aHost.members_.begin(),
    aHost.members_.end(),
    [&aHost, aService](const auto& aMember) {
      return aMember.second.target_.service_ == aService &&
             !fleet::IsEvacuated(aHost.evacuations_, aMember.second);
    }));
}

// Returns the tokens that other hosts have likely sent to each target of a
// service and not reported yet.
double
UnreportedTokens(const Host& aHost, absl::string_view aService, absl::Time aNow)
{
  const auto found = aHost.sendRates_.find(std::string(aService));
  // In small fleets hosts receive each other's loads within some ten
  // milliseconds.
  if (found == aHost.sendRates_.end() ||
      !relays::IsLargeDeployment(aHost.hosts_) ||
      !Uses(aHost, Mechanism::UnreportedMargin)) {
    return 0.0;
  }
  return fleet::EstimateUnreportedTokens(found->second,
                                         aHost.hosts_.size(),
                                         CountTargets(aHost, aService),
                                         kLargeFleetLoadDelay,
                                         aNow);
}

std::uint64_t
HeldTokensOf(const Host& aHost, const CallerRequest& aRequest)
{
  const double share =
    Uses(aHost, Mechanism::OutputShare) ? fleet::kMeanOutputShare : 1.0;
  const auto output = share * static_cast<double>(aRequest.outputTokens_);
  return aRequest.promptTokens_ + static_cast<std::uint64_t>(output);
}

// Sets the memory that a request leaves to more urgent ones which are yet to
// arrive, and may take from less urgent ones.
void
SetReserve(const Host& aHost,
           const PlacementInput& aInput,
           fleet::RequestSpec& aSpec,
           absl::Time aNow)
{
  static const fleet::PriorityLoads kNone;
  const auto found = aHost.priorityLoads_.find(aInput.service_);
  const auto& loads =
    found == aHost.priorityLoads_.end() ? kNone : found->second;
  aSpec.waitsByPriority_ = true;
  aSpec.heldShare_ =
    aNow - loads.heldShareAt_ > kHeldShareAge
      ? fleet::HeldShare(
          aHost.members_, aInput.service_, aSpec.memoryTokens_, aNow)
      : loads.heldShare_;
  aSpec.yieldingShare_ = fleet::YieldingShare(loads, aInput.priority_);
  aSpec.reservedTokens_ =
    fleet::EstimateReserve(loads,
                           aInput.priority_,
                           aHost.hosts_.size(),
                           CountTargets(aHost, aInput.service_),
                           aNow);
}

} // namespace

bool
WaitsByPriority(const Host& aHost,
                const catalog::Catalog& aCatalog,
                const std::string& aService)
{
  const auto service = aCatalog.services_.find(aService);
  return SchedulesByPriority(aHost) && service != aCatalog.services_.end() &&
         service->second.memoryTokens_ > 0;
}

std::uint32_t
PriorityOf(const Host& aHost,
           const catalog::Catalog& aCatalog,
           const catalog::Route& aRoute,
           const catalog::Workspace* aWorkspace,
           const std::string& aService)
{
  if (WaitsByPriority(aHost, aCatalog, aService)) {
    return catalog::CombinedPriority(aCatalog, aRoute, aWorkspace, aService);
  }
  return aWorkspace != nullptr && aWorkspace->priority_ ? *aWorkspace->priority_
                                                        : aRoute.priority_;
}

fleet::RequestSpec
DescribePlacement(const Host& aHost,
                  const PlacementInput& aInput,
                  absl::Time aNow)
{
  fleet::RequestSpec question;
  question.service_ = aInput.service_;
  question.dataCentre_ =
    PreferredDataCentre(aHost, aInput.service_, aInput.awayDraw_);
  question.evacuations_ = &aHost.evacuations_;
  question.useSampling_ =
    Uses(aHost, Mechanism::Sampling) && relays::IsLargeDeployment(aHost.hosts_);
  if (const auto service = aInput.catalog_.services_.find(aInput.service_);
      service != aInput.catalog_.services_.end()) {
    question.memoryTokens_ = service->second.memoryTokens_;
    question.maxCalls_ = ConnectionShare(aHost, service->second);
  }
  question.goal_ = std::max(kMinRemainingGoal, aInput.goalLeft_);
  question.isUrgent_ = aInput.priority_ == 0;
  question.heldTokens_ = HeldTokensOf(aHost, aInput.request_);
  question.unreportedTokens_ = UnreportedTokens(aHost, aInput.service_, aNow);
  if (WaitsByPriority(aHost, aInput.catalog_, aInput.service_)) {
    SetReserve(aHost, aInput, question, aNow);
  }
  if (Uses(aHost, Mechanism::SimilarSends) &&
      !aHost.waiting_.entries_.empty()) {
    question.hostsWaiting_ = aHost.hosts_.size();
  }
  const auto& request = aInput.request_;
  question.bytes_ = kCallBytes + aInput.bodyBytes_ +
                    kBytesPerOutputToken * request.outputTokens_;
  if (!request.model_.empty()) {
    question.model_ = request.model_;
    const auto published = aHost.weights_.find(request.model_);
    if (published != aHost.weights_.end() && !published->second.empty()) {
      question.oldWeightsLimit_ = aHost.settings_.weightsTime_ - kWeightsMargin;
    }
    if (request.parts_.size() > 1 && Uses(aHost, Mechanism::Affinity)) {
      question.affinity_ = request.parts_[request.parts_.size() - 2].id_;
    }
  }
  return question;
}

fleet::Choice
Exchange::ChooseTarget(bool aAvoidsLimited)
{
  const auto now = Now();
  auto question = DescribePlacement(host_,
                                    { *catalog_,
                                      service_,
                                      request_,
                                      caller_->Body().size(),
                                      arrivedAt_ + route_->goal_ - now,
                                      Priority(),
                                      awayDraw_ },
                                    now);
  question.tried_ = &tried_;
  question.onlyTarget_ = permittedTarget_;
  question.avoidsLimited_ = aAvoidsLimited;
  question.seed_ = host_.random_();
  if (WaitsByPriority()) {
    ReserveForQueue(question, now);
  }
  if (!request_.model_.empty()) {
    const auto& published = host_.weights_[request_.model_];
    for (const auto version :
         fleet::WeightVersions(host_.members_, service_, request_.model_)) {
      const auto plan = PlanCacheReads(
        version, question.dataCentre_, ReadEnd(version, absl::InfinitePast()));
      question.costs_.push_back(
        { version,
          std::max(absl::ZeroDuration(),
                   now - weights::OutdatedSince(published, version)),
          ComputedTokens(plan),
          plan.readTokens_,
          plan.computedTokens_ });
    }
  }
  auto choice =
    fleet::ChooseTarget(host_.members_, question, fleet::EngineSpeed(), now);
  if (!choice.id_.empty()) {
    const auto cost =
      fleet::PromptCostAt(host_.members_.at(choice.id_), question);
    computedTokens_ = cost.computedTokens_;
    readTokens_ = cost.readTokens_;
  }
  return choice;
}

cache_index::Plan
Exchange::PlanCacheReads(std::uint64_t aWeights,
                         absl::string_view aDataCentre,
                         absl::Time aReadEnd)
{
  if (request_.parts_.size() < 2 || !Uses(host_, Mechanism::CacheStores)) {
    return {};
  }
  const std::vector<cache_index::Part> shared(request_.parts_.begin(),
                                              request_.parts_.end() - 1);
  const auto now = Now();
  const bool mayRead = now < aReadEnd;
  double draw = Uses(host_, Mechanism::SlowStores) ? readDraw_ : 0.0;
  if (!mayRead) {
    draw = cache_index::kReadNone;
  }
  auto plan = cache_index::PlanParts(
    host_.cacheIndex_,
    cache_index::ScopeOf(workspace_, request_.model_, aWeights),
    shared,
    aDataCentre,
    draw,
    now);
  const auto& published = host_.weights_[request_.model_];
  if (!mayRead && weights::FindNewer(published, aWeights) != nullptr) {
    // No request would read what this one saves.
    for (auto& part : plan.parts_) {
      part.storeAt_.clear();
    }
  }
  return plan;
}

std::uint64_t
Exchange::ComputedTokens(const cache_index::Plan& aPlan) const
{
  return request_.promptTokens_ -
         std::min<std::uint64_t>(request_.promptTokens_, aPlan.readTokens_);
}

void
Exchange::TryNextTarget()
{
  // This decision replaces the one that a wait was to make.
  waitTimer_.Cancel();
  // An answer that is due, of the permits' issuer or of a target, decides.
  if (isAskingForPermit_ || holdsTarget_) {
    return;
  }
  RefuseIfTooLate();
  if (ended_) {
    return;
  }
  if (EndIfBlocked() || WaitIfSuspected()) {
    return;
  }
  const bool mayWait =
    history_.tries_ == 0 && Uses(host_, Mechanism::WaitForMemory);
  if (mayWait && permittedTarget_.empty() && MustWait()) {
    Enqueue();
    return;
  }
  choice_ = ChooseTarget();
  if (permittedTarget_.empty() && coldAsks_ >= kMaxColdAsks &&
      !choice_.id_.empty() && host_.members_.at(choice_.id_).isCold_) {
    if (auto other = ChooseTarget(true); !other.id_.empty()) {
      choice_ = std::move(other);
    }
  }
  if (choice_.id_.empty() && !permittedTarget_.empty()) {
    // The target has become unusable since the permit was asked for.
    permittedTarget_.clear();
    choice_ = ChooseTarget();
  }
  if (choice_.id_.empty() && !choice_.nextPermitTarget_.empty()) {
    AskForPermit(choice_.nextPermitTarget_, true);
    return;
  }
  if (choice_.id_.empty()) {
    EndWithoutTarget();
    return;
  }
  if (absl::Seconds(choice_.waitSeconds_) > TimeLeft() && history_.runs_ == 0) {
    Refuse("deadline_unreachable", kRetryAfterFull);
    return;
  }
  if (choice_.memoryFull_ && mayWait && permittedTarget_.empty()) {
    Enqueue();
    return;
  }
  if (permittedTarget_.empty() && NeedsPermit(host_, choice_.id_)) {
    AskForPermit(choice_.id_, false);
    return;
  }
  permittedTarget_.clear();
  if (waiterId_ != 0) {
    request_queue::StartRequest(host_.waiting_, waiterId_, Now());
    host_.waiters_.erase(std::exchange(waiterId_, 0));
  } else if (SchedulesByPriority(host_)) {
    request_queue::RecordStart(host_.waiting_, QueueEntry(), Now());
  }
  ++history_.tries_;
  ++attemptNumber_;
  targetId_ = choice_.id_;
  tried_.push_back(targetId_);
  auto& member = host_.members_.at(targetId_);
  targetBornMs_ = member.target_.bornMs_;
  if (member.target_.dataCentre_ != host_.settings_.dataCentre_) {
    CountSentAway(member.target_.dataCentre_);
  }
  size_ = { computedTokens_, HeldTokens(), IsUrgent() };
  holdsTarget_ = true;
  fleet::RecordCallStart(member, size_, Now());
  fleet::RecordSend(host_.sendRates_[service_], size_.heldTokens_, Now());
  if (WaitsByPriority()) {
    fleet::RecordPrioritySend(
      host_.priorityLoads_[service_], Priority(), size_.heldTokens_);
  }
  host_.onLoad_();
  headAccepted_ = false;
  isEvents_ = false;
  const bool once = !catalog::MayRepeat(*route_);
  if (auto kept = host_.targetPool_.Take(
        targetId_, once ? NonRepeatableIdle() : kRepeatableIdle)) {
    Send(std::move(kept));
    return;
  }
  host_.targetPool_.Connect(
    targetId_,
    member.target_.address_,
    std::min(kConnectTimeout, TimeLeft()),
    [self = shared_from_this(),
     attempt = attemptNumber_](ConnectionPtr aConnection) {
      if (self->ended_ || self->attemptNumber_ != attempt) {
        if (aConnection) {
          aConnection->Close();
        }
        return;
      }
      if (!aConnection) {
        self->EndAttempt(retry::AttemptEnd::NotSent);
        return;
      }
      self->Send(std::move(aConnection));
    });
}

void
Exchange::CountSentAway(absl::string_view aDataCentre)
{
  const bool isSurplus =
    PreferredDataCentre(host_, service_, awayDraw_) == aDataCentre;
  host_.metrics_.Count(
    "requests_sent_away_total",
    "reason",
    isSurplus
      ? core::NameOf(spillover::kReasons, host_.spillover_.at(service_).reason_)
      : absl::string_view("cost"));
}

SentRequest
Exchange::Evidence() const
{
  return { targetId_, targetBornMs_, request_.id_, traits_,
           sentAt_,   service_,      route_->name_ };
}

void
Exchange::AskForPermit(const std::string& aTarget, bool aIsLastChoice)
{
  isAskingForPermit_ = true;
  ++permitAsks_;
  coldAsks_ += host_.members_.at(aTarget).isCold_ ? 1 : 0;
  AskPermit(host_,
            aTarget,
            aIsLastChoice,
            [self = shared_from_this(), aTarget, aIsLastChoice](
              const target_limits::Permit& aPermit) {
              self->isAskingForPermit_ = false;
              if (self->ended_) {
                return;
              }
              if (target_limits::MaySend(aPermit)) {
                self->permittedTarget_ = aTarget;
              } else if (aIsLastChoice && NeedsPermit(self->host_, aTarget)) {
                if (self->answerBegun_ || self->history_.runs_ > 0) {
                  self->EndWithoutTarget();
                } else {
                  self->RefuseUntil("target_limits", aPermit.retryAfter_);
                }
                return;
              }
              self->TryNextTarget();
            });
}

absl::Duration
Exchange::NonRepeatableIdle() const
{
  return Uses(host_, Mechanism::ReuseForOnce) ? kNonRepeatableIdle
                                              : absl::ZeroDuration();
}

std::uint64_t
Exchange::HeldTokens() const
{
  return HeldTokensOf(host_, request_);
}

std::uint32_t
Exchange::Priority() const
{
  return PriorityOf(host_, *catalog_, *route_, workspace_, service_);
}

bool
Exchange::IsUrgent() const
{
  return Priority() == 0;
}

bool
Exchange::IsSmall() const
{
  const auto service = catalog_->services_.find(service_);
  return Uses(host_, Mechanism::SmallFirst) &&
         service != catalog_->services_.end() &&
         static_cast<double>(HeldTokens()) <=
           request_queue::kSmallRequestShare *
             static_cast<double>(service->second.memoryTokens_);
}

request_queue::QueuedRequest
Exchange::QueueEntry() const
{
  return { waiterId_,
           arrivedAt_,
           arrivedAt_ + route_->goal_ - kStartMargin,
           std::min(deadline_, arrivedAt_ + route_->maxGap_) - kStartMargin,
           IsSmall(),
           service_,
           workspace_ == nullptr ? "" : workspace_->name_,
           Priority(),
           HeldTokens() };
}

bool
Exchange::MustWait() const
{
  return waiterId_ == 0 && WaitsByPriority() &&
         request_queue::MustWait(host_.waiting_, QueueEntry(), Now());
}

bool
Exchange::WaitsByPriority() const
{
  return gateway::WaitsByPriority(host_, *catalog_, service_);
}

void
Exchange::ReserveForQueue(fleet::RequestSpec& aSpec, absl::Time aNow)
{
  auto& loads = host_.priorityLoads_[service_];
  if (aNow - loads.heldShareAt_ > kHeldShareAge) {
    loads.heldShare_ = aSpec.heldShare_;
    loads.heldShareAt_ = aNow;
  }
  aSpec.reservedTokens_ =
    std::max(aSpec.reservedTokens_,
             static_cast<double>(request_queue::LargestBefore(
               host_.waiting_, QueueEntry(), aNow)));
}

void
Exchange::Enqueue()
{
  if (waiterId_ != 0) {
    return;
  }
  const auto now = Now();
  auto entry = QueueEntry();
  entry.id_ = host_.nextWaiter_++;
  if (WaitsByPriority()) {
    const auto decision = overload::Decide(Assess());
    if (decision.action_ == overload::Action::Refuse) {
      RefuseOverload(decision.reason_);
      return;
    }
    request_queue::AddRequest(host_.waiting_, entry, now);
  } else if (const auto pause =
               request_queue::Enqueue(host_.waiting_, entry, now)) {
    Refuse("queue_full", std::max(*pause, kRetryAfterFull));
    return;
  }
  waiterId_ = entry.id_;
  host_.waiters_[entry.id_] = [self = shared_from_this()](WaiterCall aCall) {
    if (aCall == WaiterCall::MayStart) {
      self->TryNextTarget();
      return;
    }
    self->waiterId_ = 0;
    const auto reason = aCall == WaiterCall::Expired
                          ? overload::Reason::WaitedTooLong
                          : overload::Reason::ExpectedTooLate;
    if (self->WaitsByPriority()) {
      self->RefuseOverload(reason);
    } else {
      self->Refuse(core::NameOf(overload::kReasons, reason), kRetryAfterFull);
    }
  };
}

overload::Situation
Exchange::Assess()
{
  auto situation = overload::Assess(
    host_.waiting_, host_.priorityLoads_[service_], QueueEntry(), Now());
  situation.draw_ = std::uniform_real_distribution<>(0.0, 1.0)(host_.random_);
  return situation;
}

void
Exchange::RefuseOverload(overload::Reason aReason)
{
  if (choice_.id_.empty()) {
    // For the log: what is known of the targets' loads.
    choice_ = ChooseTarget();
  }
  refusal_ = Assess();
  RefuseUntil(core::NameOf(overload::kReasons, aReason),
              overload::RetryAfter(*refusal_));
}

std::uint64_t
Exchange::WeightsAt(const fleet::Member& aMember) const
{
  const auto& weights = aMember.target_.weights_;
  const auto found = weights.find(request_.model_);
  return request_.model_.empty() || found == weights.end() ? 0 : found->second;
}

void
Exchange::ChooseAgain()
{
  ReleaseTarget(fleet::CallResult::Abandoned);
  ++attemptNumber_;
  TryNextTarget();
}

Attempt
Exchange::MakeAttempt(const fleet::Member& aMember)
{
  const auto now = Now();
  Attempt attempt;
  attempt.targetId_ = aMember.target_.id_;
  attempt.workspace_ = workspace_ == nullptr ? "" : workspace_->name_;
  attempt.timeLeft_ = TimeLeft();
  attempt.priority_ = Priority();
  attempt.lastEventId_ = events_.Count() > 0 ? events_.LastId() : "";
  attemptWeights_ = 0;
  attemptParts_.clear();
  const auto weights = WeightsAt(aMember);
  if (weights == 0) {
    return attempt;
  }
  attemptWeights_ = weights;
  attempt.weights_ = weights;
  attempt.cacheScope_ =
    cache_index::ScopeOf(workspace_, request_.model_, weights);
  const auto readEnd = ReadEnd(weights, aMember.firstListedAt_);
  attempt.parts_ =
    PlanCacheReads(weights, aMember.target_.dataCentre_, readEnd).parts_;
  attempt.readUntilMs_ = cache_index::StoreClockMs(host_.cacheIndex_, readEnd);
  attemptParts_ = attempt.parts_;
  if (const auto stores = StoresOf(attempt.parts_); !stores.empty()) {
    host_.log_.Write(
      Line("cache_read")
        .Text("id", request_.id_)
        .Text("target", targetId_)
        .Number("born_ms", aMember.target_.bornMs_)
        .Text("stores", stores)
        .Text("scope", attempt.cacheScope_)
        .Number("until_ms", attempt.readUntilMs_)
        .Age("for_ms", readEnd - now)
        .Age("items_age_ms", now - host_.itemsCompleteAt_)
        .Number("weights", weights)
        .Number("newest",
                weights::NewestVersion(host_.weights_[request_.model_]))
        .Number("catalog", catalog_->version_));
  }
  return attempt;
}

absl::Duration
Exchange::ReadTime() const
{
  return ReadTimeOf(*route_);
}

absl::Time
Exchange::ReadEnd(std::uint64_t aWeights, absl::Time aListedAt)
{
  const auto latest = part_use::LatestReadEnd(host_.weights_[request_.model_],
                                              aWeights,
                                              aListedAt,
                                              host_.itemsCompleteAt_);
  return std::min(Now() + ReadTime(), latest);
}

void
Exchange::Send(ConnectionPtr aConnection)
{
  connection_ = std::move(aConnection);
  const auto found = host_.members_.find(targetId_);
  if (found == host_.members_.end() ||
      found->second.target_.bornMs_ != targetBornMs_ ||
      !fleet::IsInUse(found->second, Now())) {
    // The target left the fleet or started again while the connection was made.
    EndAttempt(retry::AttemptEnd::NotSent);
    return;
  }
  if (fleet::IsEvacuated(host_.evacuations_, found->second)) {
    // The evacuation began while the connection was made. It says nothing about
    // the target's health.
    host_.metrics_.Count("sends_stopped_by_evacuation_total");
    ChooseAgain();
    return;
  }
  if (Now() >= BeginLimit(WeightsAt(found->second))) {
    // The time of the target's weights ended while the connection was made.
    host_.metrics_.Count("sends_stopped_by_weights_total");
    host_.log_.Write(Line("send_stopped")
                       .Text("id", request_.id_)
                       .Text("target", targetId_)
                       .Number("weights", WeightsAt(found->second))
                       .Text("reason", "outdated"));
    ChooseAgain();
    return;
  }
  if (FindBlock(host_, traits_) != nullptr) {
    // The block came while the connection was made.
    ReleaseTarget(fleet::CallResult::Abandoned);
    ++attemptNumber_;
    EndIfBlocked();
    return;
  }
  NoteSend(host_, traits_);
  ++history_.sends_;
  ++history_.runs_;
  sentAt_ = Now();
  firstByteAt_ = absl::InfinitePast();
  readingPaused_ = false;
  auto fields =
    host_.adapter_.targetFields_(caller_->Head(), MakeAttempt(found->second));
  const auto& head = caller_->Head();
  const auto& body = caller_->Body();
  if (!body.empty() || http::FindField(head.fields_, "content-length") ||
      http::FindField(head.fields_, "transfer-encoding")) {
    fields.push_back({ "Content-Length", absl::StrCat(body.size()) });
  }
  std::string bytes =
    http::WriteRequestHead(head.method_, head.target_, fields);
  const bool isLarge = body.size() > kMaxCopiedBytes;
  if (!isLarge) {
    bytes += body;
  }
  const auto self = shared_from_this();
  const auto attempt = attemptNumber_;
  const auto current = [self, attempt] {
    return !self->ended_ && self->attemptNumber_ == attempt;
  };
  connection_->Start(bytes,
                     head.method_ == "HEAD",
                     { [self, current](const http::ResponseHead& aHead) {
                        return current() && self->OnHead(aHead);
                      },
                       [self, current](std::string& aBody) {
                         if (current()) {
                           self->OnBody(aBody);
                         }
                       },
                       [self, current](CallEnd aEnd) {
                         if (current()) {
                           self->OnEnd(aEnd);
                         }
                       } },
                     isLarge ? caller_->SharedBody() : nullptr);
  host_.onBlock_[this] = [self] { self->WithdrawIfBlocked(); };
  StartWeightsTimer();
  if (const auto limit = retry::SilenceLimit(*route_, history_);
      limit != absl::InfiniteDuration() &&
      Uses(host_, Mechanism::SilenceLimit)) {
    StartSilenceTimer(limit + absl::Seconds(choice_.waitSeconds_));
  }
}

} // namespace lycheeplank::gateway
