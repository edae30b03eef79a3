#include "lycheeplank/target_limits.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lycheeplank::target_limits {

namespace {

// Age of a statement of a record whose target never named a limit.
constexpr absl::Duration kNeverStated = absl::Hours(24 * 365);

bool
IsCold(const Record& aRecord)
{
  return aRecord.warmupPerSecond_ &&
         (!aRecord.perSecond_ ||
          *aRecord.warmupPerSecond_ < *aRecord.perSecond_);
}

// Returns the limit that applies.
absl::optional<double>
LimitOf(const Record& aRecord)
{
  return IsCold(aRecord) ? aRecord.warmupPerSecond_ : aRecord.perSecond_;
}

double
RateOf(const Record& aRecord)
{
  return std::max(kMinPerSecond, LimitOf(aRecord).value_or(0.0));
}

void
Refill(Record& aRecord, absl::Time aNow)
{
  const auto passed =
    std::max(absl::ZeroDuration(), aNow - aRecord.refilledAt_);
  const double rate = RateOf(aRecord);
  const double most = 1.0 + rate * absl::ToDoubleSeconds(kBurstTime);
  aRecord.tokens_ =
    std::min(most, aRecord.tokens_ + rate * absl::ToDoubleSeconds(passed));
  aRecord.denied_ =
    std::max(0.0, aRecord.denied_ - rate * absl::ToDoubleSeconds(passed));
  aRecord.refilledAt_ = aNow;
}

// Position of a host in the order of succession for a target, higher first.
// Hosts of the target's data centre come first, since most of its requests come
// from there.
using Standing = std::tuple<bool, bool, std::uint64_t>;

Standing
StandingOf(const std::string& aTarget,
           const Record& aRecord,
           absl::string_view aHost,
           absl::string_view aDataCentre,
           bool aIsLeaving)
{
  return { !aIsLeaving,
           aDataCentre == aRecord.dataCentre_,
           core::RendezvousScore(aTarget, aHost) };
}

Standing
StandingOf(const std::string& aTarget,
           const Record& aRecord,
           const entry_hosts::HostEntry& aEntry)
{
  return StandingOf(
    aTarget, aRecord, aEntry.name_, aEntry.dataCentre_, aEntry.leaving_);
}

// Returns the number of hosts that precede a host in the order of succession. A
// host that isn't listed yet comes last.
std::size_t
CountPreceding(const std::string& aTarget,
               const Record& aRecord,
               const entry_hosts::Hosts& aHosts,
               const std::string& aHost)
{
  const auto self = aHosts.find(aHost);
  if (self == aHosts.end()) {
    return aHosts.size();
  }
  const auto own = StandingOf(aTarget, aRecord, self->second.entry_);
  return static_cast<std::size_t>(
    std::count_if(aHosts.begin(), aHosts.end(), [&](const auto& aOther) {
      return StandingOf(aTarget, aRecord, aOther.second.entry_) > own;
    }));
}

bool
ShouldIssue(const std::string& aTarget,
            const Record& aRecord,
            const entry_hosts::Hosts& aHosts,
            const std::string& aSelf,
            absl::Time aNow)
{
  if (aNow - aRecord.precedingHeardAt_ < kIssuerSilence) {
    return false;
  }
  const auto preceding = CountPreceding(aTarget, aRecord, aHosts, aSelf);
  return preceding == 0 ||
         aNow - aRecord.silentSince_ >=
           kIssuerSilence +
             kSuccessionStep * static_cast<std::int64_t>(preceding - 1);
}

// Resets a record for a start of a target. A cold target stays cold, since the
// evidence may be of this start, and keeps its issuer and used permits.
void
ResetForStart(Record& aRecord, const fleet::Target& aTarget)
{
  if (!aRecord.warmupPerSecond_) {
    aRecord = Record();
  }
  aRecord.startedAtMs_ = aTarget.bornMs_;
  aRecord.perSecond_ = absl::nullopt;
  aRecord.statedAt_ = absl::InfinitePast();
}

} // namespace

Change
Note(State& aState,
     fleet::Member& aMember,
     absl::optional<double> aPerSecond,
     absl::Time aAt,
     absl::Time aNow)
{
  const auto& target = aMember.target_;
  const auto known = aState.records_.find(target.id_);
  const bool isKnown = known != aState.records_.end() &&
                       known->second.startedAtMs_ == target.bornMs_;
  if (!aPerSecond) {
    if (!isKnown || !known->second.perSecond_ ||
        aAt < known->second.statedAt_ + kEndMargin) {
      return Change::None;
    }
  } else if (isKnown && aAt < known->second.statedAt_) {
    return Change::None;
  }
  auto& record = aState.records_[target.id_];
  if (!isKnown) {
    ResetForStart(record, target);
  }
  record.dataCentre_ = target.dataCentre_;
  if (record.issues_) {
    Refill(record, aNow);
  }
  const bool wasLimited = LimitOf(record).has_value();
  const auto before = std::exchange(record.perSecond_, aPerSecond);
  record.statedAt_ = aAt;
  if (!aPerSecond) {
    record.issues_ = record.issues_ && LimitOf(record);
    Apply(aState, aMember);
    return Change::Ended;
  }
  if (!wasLimited) {
    record.silentSince_ = aNow;
  }
  Apply(aState, aMember);
  return !before                ? Change::Named
         : before != aPerSecond ? Change::Changed
                                : Change::None;
}

bool
NoteCold(State& aState,
         fleet::Member& aMember,
         double aPerSecond,
         absl::Time aUntil,
         absl::Time aNow)
{
  if (aUntil <= aNow) {
    return false;
  }
  const auto& target = aMember.target_;
  const bool isKnown = aState.records_.contains(target.id_);
  auto& record = aState.records_[target.id_];
  const bool wasCold = record.warmupPerSecond_.has_value();
  if (!isKnown || record.startedAtMs_ < target.bornMs_) {
    ResetForStart(record, target);
  }
  record.dataCentre_ = target.dataCentre_;
  if (record.issues_) {
    Refill(record, aNow);
  }
  if (!LimitOf(record)) {
    record.silentSince_ = aNow;
  }
  record.warmupPerSecond_ = aPerSecond;
  record.warmupUntil_ = std::max(record.warmupUntil_, aUntil);
  Apply(aState, aMember);
  return !wasCold;
}

void
Apply(const State& aState, fleet::Member& aMember)
{
  const auto found = aState.records_.find(aMember.target_.id_);
  aMember.requestsPerSecond_ = absl::nullopt;
  aMember.isCold_ = false;
  if (found != aState.records_.end()) {
    const auto& record = found->second;
    if (record.startedAtMs_ == aMember.target_.bornMs_) {
      aMember.requestsPerSecond_ = LimitOf(record);
      aMember.isCold_ = IsCold(record);
    } else if (record.warmupPerSecond_) {
      aMember.requestsPerSecond_ = record.warmupPerSecond_;
      aMember.isCold_ = true;
    }
  }
  if (!aMember.requestsPerSecond_) {
    aMember.noPermitUntil_ = absl::InfinitePast();
  }
}

void
NoteIssuer(State& aState,
           const entry_hosts::Hosts& aHosts,
           const std::string& aTarget,
           const std::string& aHost,
           absl::string_view aDataCentre,
           absl::Time aNow)
{
  const auto found = aState.records_.find(aTarget);
  if (found == aState.records_.end()) {
    return;
  }
  auto& record = found->second;
  const auto isListedLeaving = [&](const std::string& aName) {
    const auto host = aHosts.find(aName);
    return host != aHosts.end() && host->second.entry_.leaving_;
  };
  const auto standing =
    StandingOf(aTarget, record, aHost, aDataCentre, isListedLeaving(aHost));
  const auto self = aHosts.find(aState.self_);
  if (self == aHosts.end() ||
      standing > StandingOf(aTarget, record, self->second.entry_)) {
    record.precedingHeardAt_ = aNow;
    record.silentSince_ = aNow;
    record.issues_ = false;
  }
  const auto known = aHosts.find(record.issuer_);
  if (known == aHosts.end() || known->first == aHost ||
      aNow - record.issuerHeardAt_ >= kIssuerSilence ||
      standing > StandingOf(aTarget, record, known->second.entry_)) {
    record.issuer_ = aHost;
    record.issuerHeardAt_ = aNow;
  }
}

std::vector<std::string>
Tick(State& aState,
     const entry_hosts::Hosts& aHosts,
     fleet::Members& aMembers,
     absl::Time aNow)
{
  for (auto& [target, record] : aState.records_) {
    if (record.warmupPerSecond_ && record.warmupUntil_ <= aNow) {
      Refill(record, aNow);
      record.warmupPerSecond_ = absl::nullopt;
      record.issues_ = record.issues_ && LimitOf(record);
      if (const auto member = aMembers.find(target); member != aMembers.end()) {
        Apply(aState, member->second);
      }
    }
  }
  // Announcements that arrived while this host was frozen are still unread.
  const bool wasFrozen = aNow - aState.tickedAt_ > kMaxTickGap;
  aState.tickedAt_ = aNow;
  absl::erase_if(aState.records_, [&](const auto& aEntry) {
    const auto& record = aEntry.second;
    return aNow - std::max(record.statedAt_, record.warmupUntil_) >
             kRetention &&
           (!LimitOf(record) || !aMembers.contains(aEntry.first));
  });
  std::vector<std::string> announced;
  for (auto& [target, record] : aState.records_) {
    if (!LimitOf(record)) {
      continue;
    }
    if (wasFrozen) {
      record.silentSince_ = std::max(record.silentSince_, aNow);
    }
    const bool issues = ShouldIssue(target, record, aHosts, aState.self_, aNow);
    if (issues && !record.issues_) {
      // The issuer before may have used up all of the limit until now.
      record.tokens_ = 0.0;
      record.denied_ = 0.0;
      record.refilledAt_ = aNow;
      record.bookedUntil_ = aNow;
      record.announcedAt_ = absl::InfinitePast();
    }
    record.issues_ = issues;
    if (issues && aNow - record.announcedAt_ >= kAnnouncePeriod) {
      record.announcedAt_ = aNow;
      announced.push_back(target);
    }
  }
  return announced;
}

std::vector<std::string>
IssuedTargets(const State& aState)
{
  std::vector<std::string> targets;
  for (const auto& [target, record] : aState.records_) {
    if (record.issues_) {
      targets.push_back(target);
    }
  }
  return targets;
}

std::string
IssuerOf(const State& aState,
         const entry_hosts::Hosts& aHosts,
         const std::string& aTarget,
         absl::Time aNow)
{
  const auto found = aState.records_.find(aTarget);
  if (found == aState.records_.end() || found->second.issues_) {
    return aState.self_;
  }
  const auto& record = found->second;
  if (aNow - record.issuerHeardAt_ < kIssuerSilence) {
    return record.issuer_;
  }
  const auto best = std::max_element(
    aHosts.begin(), aHosts.end(), [&](const auto& aLeft, const auto& aRight) {
      return StandingOf(aTarget, record, aLeft.second.entry_) <
             StandingOf(aTarget, record, aRight.second.entry_);
    });
  return best == aHosts.end() ? std::string() : best->first;
}

Permit
Issue(State& aState,
      const std::string& aTarget,
      bool aIsLastChoice,
      absl::Time aNow)
{
  const auto found = aState.records_.find(aTarget);
  if (found == aState.records_.end()) {
    return { Verdict::NoIssuer, kNoIssuerPause, kNoIssuerPause };
  }
  auto& record = found->second;
  if (!LimitOf(record)) {
    return { Verdict::Unlimited };
  }
  if (!record.issues_) {
    return { Verdict::NoIssuer, kNoIssuerPause, kNoIssuerPause };
  }
  Refill(record, aNow);
  if (record.tokens_ >= 1.0) {
    record.tokens_ -= 1.0;
    return { Verdict::Granted };
  }
  const auto interval = absl::Seconds(1.0 / RateOf(record));
  const auto next = (1.0 - record.tokens_) * interval;
  auto pause = next;
  if (IsCold(record)) {
    pause = std::min(next + record.denied_ * interval,
                     std::max(kMaxColdPause, interval));
    record.denied_ += 1.0 / kColdAsksPerPermit;
  }
  if (!aIsLastChoice) {
    return { Verdict::Denied, pause, next };
  }
  record.bookedUntil_ =
    std::min(aNow + kMaxRetryAfter,
             std::max(record.bookedUntil_ + interval, aNow + next));
  return { Verdict::Denied, pause, std::max(next, record.bookedUntil_ - aNow) };
}

Permit
IssueFor(State& aState,
         const fleet::Members& aMembers,
         const Statement& aAsk,
         bool aIsLastChoice,
         absl::Time aNow)
{
  const auto found = aState.records_.find(aAsk.target_);
  const bool isLimited =
    found != aState.records_.end() && LimitOf(found->second).has_value();
  if (!aAsk.isCold_ || isLimited) {
    return Issue(aState, aAsk.target_, aIsLastChoice, aNow);
  }
  const auto member = aMembers.find(aAsk.target_);
  if (member == aMembers.end() ||
      member->second.target_.bornMs_ < aAsk.startedAtMs_ ||
      member->second.position_.revision_ < aAsk.entryRevision_) {
    return { Verdict::NoIssuer, kNoIssuerPause, kNoIssuerPause };
  }
  return { Verdict::Unlimited };
}

Statement
AskOf(const State& aState, const fleet::Member& aMember, absl::Time aNow)
{
  Statement unstated;
  unstated.target_ = aMember.target_.id_;
  unstated.startedAtMs_ = aMember.target_.bornMs_;
  unstated.age_ = kNeverStated;
  auto ask = StatementOf(aState, unstated.target_, aNow).value_or(unstated);
  if (aMember.isCold_) {
    if (ask.startedAtMs_ != unstated.startedAtMs_) {
      ask = unstated;
    }
    ask.isCold_ = true;
    ask.entryRevision_ = aMember.position_.revision_;
  }
  return ask;
}

absl::optional<Statement>
StatementOf(const State& aState, const std::string& aTarget, absl::Time aNow)
{
  const auto found = aState.records_.find(aTarget);
  if (found == aState.records_.end()) {
    return absl::nullopt;
  }
  const auto& record = found->second;
  return Statement{
    aTarget,
    record.startedAtMs_,
    record.perSecond_,
    std::clamp(aNow - record.statedAt_, absl::ZeroDuration(), kNeverStated)
  };
}

} // namespace lycheeplank::target_limits
