#include "lycheeplank/claims.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "claims/shard.h"

namespace lycheeplank::claims {

namespace {

constexpr absl::string_view kLayoutKey = "claims/layout";
// Below the platform's limit for a value.
constexpr std::size_t kMaxAnswerBytes = 1000000;
// Events of several threads may be out of order by less than this.
constexpr absl::Duration kMaxEventDisorder = absl::Seconds(1);
// How long a refused attempt is remembered to check that it isn't granted.
constexpr absl::Duration kRefusedKept = absl::Minutes(10);

Shard&
ShardFor(const Context& aContext,
         absl::string_view aWorkspace,
         absl::string_view aKey)
{
  auto& state = aContext.state_;
  const std::uint32_t number = ShardOf(aWorkspace, aKey, state.shards_);
  auto& shard = state.loaded_[number];
  if (shard == nullptr) {
    shard = std::make_shared<Shard>();
    shard->number_ = number;
  }
  shard->used_ = aContext.now_;
  return *shard;
}

void
ReadLayout(const Context& aContext)
{
  auto& state = aContext.state_;
  if (state.shards_ != 0 || state.layoutAsked_ ||
      aContext.now_ < state.layoutRetryAt_) {
    return;
  }
  state.layoutAsked_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = std::string(kLayoutKey);
  Send(aContext, { Purpose::ReadLayout }, std::move(command));
}

void
CreateLayout(const Context& aContext)
{
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = std::string(kLayoutKey);
  command.value_ = EncodeLayout(aContext.state_.settings_.shards_);
  command.expect_ = 0;
  Send(aContext, { Purpose::CreateLayout }, std::move(command));
}

bool
IsExpiredKey(const Context& aContext, const Ask& aAsk)
{
  const auto time = KeyTime(aAsk.key_);
  return time &&
         *time + aContext.state_.settings_.retention_ < aContext.wallClock_;
}

// Answers an ask that no write has been sent for.
void
AnswerUnsent(const Context& aContext,
             const Ask& aAsk,
             Verdict aVerdict,
             Counter aCounter)
{
  const absl::Duration retryAfter = aVerdict == Verdict::Unavailable
                                      ? aContext.state_.settings_.maxBackoff_
                                      : absl::ZeroDuration();
  Raise(aContext, aCounter);
  aContext.effects_.emplace_back(
    Answered{ aAsk.ticket_, aVerdict, StoredAnswer(), retryAfter });
}

Waiting
ToWaiting(const Context& aContext, const Ask& aAsk)
{
  Waiting waiting;
  waiting.ticket_ = aAsk.ticket_;
  waiting.key_ = KeyFingerprint(aAsk.workspace_, aAsk.key_);
  waiting.attempt_ = FingerprintOf(aAsk.attempt_);
  waiting.request_ = core::StableHash(aAsk.requestDigest_);
  waiting.holder_ = aAsk.holder_;
  waiting.since_ = aContext.now_;
  waiting.event_ = aContext.state_.lastEvent_;
  return waiting;
}

// Refuses an ask unless it is part of a write or its answer is being read.
void
RefuseUnsent(const Context& aContext, Shard& aShard, std::uint64_t aTicket)
{
  auto& asks = aShard.asks_;
  const auto found =
    std::find_if(asks.begin(), asks.end(), [&](const auto& aAsk) {
      return aAsk.ticket_ == aTicket && !aAsk.sent_ && !aAsk.fetching_;
    });
  if (found != asks.end()) {
    const Waiting ask = *found;
    asks.erase(found);
    Refuse(aContext, aShard, ask);
  }
}

void
Handle(const Context& aContext, const Ask& aAsk)
{
  auto& state = aContext.state_;
  if (IsExpiredKey(aContext, aAsk)) {
    return AnswerUnsent(aContext, aAsk, Verdict::Expired, Counter::Expired);
  }
  if (state.shards_ == 0) {
    if (state.early_.size() >= state.settings_.maxWaiting_) {
      return AnswerUnsent(
        aContext, aAsk, Verdict::Unavailable, Counter::Unavailable);
    }
    state.early_.push_back({ aAsk, aContext.now_ });
    return ReadLayout(aContext);
  }
  auto& shard = ShardFor(aContext, aAsk.workspace_, aAsk.key_);
  const auto waiting = ToWaiting(aContext, aAsk);
  if (shard.asks_.size() >= state.settings_.maxWaiting_) {
    return Refuse(aContext, shard, waiting);
  }
  shard.asks_.push_back(waiting);
  Pump(aContext, shard);
  if (IsFailing(aContext, shard)) {
    RefuseUnsent(aContext, shard, waiting.ticket_);
  }
}

RecordKind
KindOf(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Done:
      return RecordKind::Done;
    case AttemptOutcome::Withdrawn:
      return RecordKind::Withdrawn;
    case AttemptOutcome::Unknown:
      break;
  }
  return RecordKind::Unknown;
}

Recording
ToRecording(const Context& aContext, const Report& aReport)
{
  Recording recording;
  recording.id_ = ++aContext.state_.lastReport_;
  recording.ticket_ = aReport.ticket_;
  recording.since_ = aContext.now_;
  recording.event_ = aContext.state_.lastEvent_;
  auto& record = recording.record_;
  record.kind_ = KindOf(aReport.outcome_);
  record.key_ = KeyFingerprint(aReport.workspace_, aReport.key_);
  record.attempt_ = FingerprintOf(aReport.attempt_);
  record.unixMs_ = absl::ToUnixMillis(aContext.wallClock_);
  if (aReport.answer_.body_.size() > kMaxAnswerBytes) {
    Raise(aContext, Counter::AnswerTooLarge);
    record.kind_ = RecordKind::Unknown;
  } else if (record.kind_ == RecordKind::Done) {
    record.answer_ = aReport.answer_;
  }
  recording.ready_ =
    record.answer_.body_.size() <= aContext.state_.settings_.inlineAnswerBytes_;
  return recording;
}

// Gives the ticket of a repeated report to the one under way.
bool
JoinReport(const Context& aContext, Shard& aShard, const Recording& aReport)
{
  for (auto& earlier : aShard.reports_) {
    if (earlier.record_.attempt_ != aReport.record_.attempt_ ||
        earlier.record_.kind_ != aReport.record_.kind_) {
      continue;
    }
    if (earlier.ticket_ != 0) {
      aContext.effects_.emplace_back(Recorded{ earlier.ticket_, false });
    }
    earlier.ticket_ = aReport.ticket_;
    earlier.ticketSince_ = aReport.since_;
    return true;
  }
  return false;
}

void
Handle(const Context& aContext, const Report& aReport)
{
  auto& state = aContext.state_;
  if (state.shards_ == 0) {
    state.early_.push_back({ aReport, aContext.now_ });
    return ReadLayout(aContext);
  }
  auto& shard = ShardFor(aContext, aReport.workspace_, aReport.key_);
  auto recording = ToRecording(aContext, aReport);
  recording.ticketSince_ = recording.since_;
  if (!JoinReport(aContext, shard, recording)) {
    shard.reports_.push_back(std::move(recording));
  }
  Pump(aContext, shard);
}

void
Handle(const Context& aContext, const Running& aRunning)
{
  auto& state = aContext.state_;
  if (state.shards_ == 0) {
    return;
  }
  const auto found = state.loaded_.find(
    ShardOf(aRunning.workspace_, aRunning.key_, state.shards_));
  if (found == state.loaded_.end()) {
    return;
  }
  auto& shard = *found->second;
  const auto key = KeyFingerprint(aRunning.workspace_, aRunning.key_);
  const auto attempt = FingerprintOf(aRunning.attempt_);
  const auto* const claim = Find(shard.index_, key);
  if (claim != nullptr && claim->state_ == ClaimState::Open &&
      claim->attempt_ == attempt) {
    shard.running_.insert_or_assign(key, Run{ attempt, aContext.now_ });
  }
  Pump(aContext, shard);
}

// Handles what came before the number of shards was known.
void
ReplayEarly(const Context& aContext)
{
  const auto early = std::move(aContext.state_.early_);
  aContext.state_.early_.clear();
  for (const auto& [event, since] : early) {
    // What came early has waited since then.
    const Context context{
      aContext.state_, since, aContext.wallClock_, aContext.effects_
    };
    if (const auto* const ask = std::get_if<Ask>(&event)) {
      Handle(context, *ask);
    } else if (const auto* const report = std::get_if<Report>(&event)) {
      Handle(context, *report);
    }
  }
}

void
OnLayout(const Context& aContext, const platform::Reply& aReply)
{
  auto& state = aContext.state_;
  state.layoutAsked_ = false;
  const auto shards = ValueOrNothing(DecodeLayout, aReply.value_);
  if (!shards) {
    Raise(aContext, Counter::Corrupt);
    state.layoutRetryAt_ = aContext.now_ + state.settings_.maxBackoff_;
    return;
  }
  if (*shards != state.settings_.shards_) {
    Raise(aContext, Counter::LayoutDiffers);
  }
  state.shards_ = *shards;
  ReplayEarly(aContext);
}

void
OnLayoutReply(const Context& aContext,
              Purpose aPurpose,
              const platform::Reply& aReply)
{
  auto& state = aContext.state_;
  const bool isRead = aPurpose == Purpose::ReadLayout;
  if (isRead && aReply.outcome_ == platform::Outcome::Absent) {
    return CreateLayout(aContext);
  }
  if (isRead && aReply.outcome_ == platform::Outcome::Ok) {
    return OnLayout(aContext, aReply);
  }
  // A created layout is read back, whoever created it.
  state.layoutAsked_ = false;
  if (aReply.outcome_ != platform::Outcome::Ok &&
      aReply.outcome_ != platform::Outcome::Conflict) {
    Raise(aContext, Counter::PlatformFailure);
    state.layoutRetryAt_ = aContext.now_ + state.settings_.firstBackoff_;
  }
  ReadLayout(aContext);
}

void
OnShardReply(const Context& aContext,
             Shard& aShard,
             const Flight& aFlight,
             const platform::Reply& aReply)
{
  switch (aFlight.purpose_) {
    case Purpose::ReadTail:
      return OnTailRead(aContext, aShard, aFlight, aReply);
    case Purpose::WriteTail:
      return OnTailWritten(aContext, aShard, aFlight, aReply);
    case Purpose::LoadSegment:
      return OnSegmentLoaded(aContext, aShard, aReply);
    case Purpose::ReadMergeSource:
      return OnMergeSource(aContext, aShard, aFlight, aReply);
    case Purpose::WriteSegment:
      return OnSegmentWritten(aContext, aShard, aFlight, aReply);
    case Purpose::WriteAnswer:
      return OnAnswerStored(aContext, aShard, aFlight, aReply);
    case Purpose::ReadAnswerSegment:
      return OnAnswerSegment(aContext, aShard, aFlight, aReply);
    case Purpose::ReadAnswerObject:
      return OnAnswerObject(aContext, aShard, aFlight, aReply);
    case Purpose::List:
      return OnListed(aContext, aShard, aReply);
    case Purpose::ReadLayout:
    case Purpose::CreateLayout:
    case Purpose::Delete:
      // A deletion that failed is repeated by the next sweep.
      return;
  }
}

void
Handle(const Context& aContext, const PlatformReplied& aReplied)
{
  auto& state = aContext.state_;
  const auto found = state.flights_.find(aReplied.reply_.id_);
  if (found == state.flights_.end()) {
    return;
  }
  const Flight flight = found->second;
  state.flights_.erase(found);
  if (flight.purpose_ == Purpose::ReadLayout ||
      flight.purpose_ == Purpose::CreateLayout) {
    return OnLayoutReply(aContext, flight.purpose_, aReplied.reply_);
  }
  auto& shard = *state.loaded_.at(flight.shard_);
  --shard.flights_;
  OnShardReply(aContext, shard, flight, aReplied.reply_);
}

// Refuses early asks and answers early reports that have waited too long.
void
ExpireEarly(const Context& aContext)
{
  auto& early = aContext.state_.early_;
  const absl::Time limit =
    aContext.now_ - aContext.state_.settings_.askTimeout_;
  const auto isLateAsk = [&](Early& aEarly) {
    if (aEarly.since_ > limit) {
      return false;
    }
    if (auto* const report = std::get_if<Report>(&aEarly.event_);
        report != nullptr && report->ticket_ != 0) {
      aContext.effects_.emplace_back(Recorded{ report->ticket_, false });
      report->ticket_ = 0;
    }
    const auto* const ask = std::get_if<Ask>(&aEarly.event_);
    if (ask == nullptr) {
      return false;
    }
    AnswerUnsent(aContext, *ask, Verdict::Unavailable, Counter::Unavailable);
    return true;
  };
  early.erase(std::remove_if(early.begin(), early.end(), isLateAsk),
              early.end());
}

bool
IsIdle(const Context& aContext, const Shard& aShard)
{
  return aShard.asks_.empty() && aShard.reports_.empty() &&
         aShard.flights_ == 0 &&
         aContext.now_ - aShard.used_ >= aContext.state_.settings_.idleTimeout_;
}

void
Handle(const Context& aContext, const Tick& /*aTick*/)
{
  ReadLayout(aContext);
  ExpireEarly(aContext);
  for (auto& [number, shard] : aContext.state_.loaded_) {
    Pump(aContext, *shard);
    ExpireWaiting(aContext, *shard);
    Maintain(aContext, *shard);
    absl::erase_if(shard->refused_, [&](const auto& aEntry) {
      return aContext.now_ - aEntry.second >= kRefusedKept;
    });
  }
  auto& loaded = aContext.state_.loaded_;
  for (auto at = loaded.begin(); at != loaded.end();) {
    at = IsIdle(aContext, *at->second) ? loaded.erase(at) : std::next(at);
  }
}

void
Handle(const Context& aContext, const SettingsChanged& aChange)
{
  auto& settings = aContext.state_.settings_;
  // Object names of this process keep their instance.
  auto instance = settings.instance_;
  settings = aChange.settings_;
  if (!instance.empty()) {
    settings.instance_ = std::move(instance);
  }
  if (const auto shards = aContext.state_.shards_;
      shards != 0 && shards != settings.shards_) {
    Raise(aContext, Counter::LayoutDiffers);
  }
}

// Returns the time that an event carries, or else that of the one before.
absl::Time
TimeOf(const State& aState, const Event& aEvent)
{
  return std::visit(
    [&](const auto& aSpecific) {
      if constexpr (requires { aSpecific.now_; }) {
        return aSpecific.now_;
      } else {
        return aState.wallClock_;
      }
    },
    aEvent);
}

// Lets the time for timeouts go on from where it was if the clock was set back.
void
AdvanceClock(State& aState, absl::Time aWallClock)
{
  if (aWallClock < aState.wallClock_ - kMaxEventDisorder) {
    aState.setBack_ += aState.wallClock_ - aWallClock;
  }
  aState.wallClock_ = aWallClock;
  aState.now_ = std::max(aState.now_, aWallClock + aState.setBack_);
}

} // namespace

void
Send(const Context& aContext, Flight aFlight, platform::Command aCommand)
{
  auto& state = aContext.state_;
  aCommand.id_ = ++state.lastCommand_;
  aFlight.event_ = state.lastEvent_;
  if (const auto shard = state.loaded_.find(aFlight.shard_);
      aFlight.purpose_ != Purpose::ReadLayout &&
      aFlight.purpose_ != Purpose::CreateLayout) {
    ++shard->second->flights_;
  }
  state.flights_.emplace(aCommand.id_, aFlight);
  aContext.effects_.emplace_back(std::move(aCommand));
}

void
Raise(const Context& aContext, Counter aCounter)
{
  aContext.effects_.emplace_back(Count{ aCounter });
}

std::string
NewObjectName(const Context& aContext, absl::string_view aKind)
{
  auto& state = aContext.state_;
  return absl::StrCat(aKind,
                      "-",
                      absl::ToUnixMillis(aContext.wallClock_),
                      "-",
                      state.settings_.instance_,
                      "-",
                      ++state.lastObject_);
}

std::vector<Effect>
Step(State& aState, const Event& aEvent)
{
  std::vector<Effect> effects;
  ++aState.lastEvent_;
  AdvanceClock(aState, TimeOf(aState, aEvent));
  const Context context{ aState, aState.now_, aState.wallClock_, effects };
  std::visit([&](const auto& aSpecific) { Handle(context, aSpecific); },
             aEvent);
  return effects;
}

std::uint32_t
ShardOf(absl::string_view aWorkspace,
        absl::string_view aKey,
        std::uint32_t aShards)
{
  return static_cast<std::uint32_t>(KeyFingerprint(aWorkspace, aKey).high_ %
                                    aShards);
}

absl::optional<absl::Time>
KeyTime(absl::string_view aKey)
{
  constexpr std::size_t kLength = 36;
  constexpr std::size_t kVersionAt = 14;
  constexpr std::size_t kVariantAt = 19;
  constexpr absl::string_view kVariants = "89abAB";
  constexpr absl::string_view kForm = "xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx";
  if (aKey.size() != kLength || aKey[kVersionAt] != '7' ||
      kVariants.find(aKey[kVariantAt]) == absl::string_view::npos) {
    return absl::nullopt;
  }
  for (std::size_t i = 0; i < kLength; ++i) {
    const bool fits =
      kForm[i] == '-'
        ? aKey[i] == '-'
        : absl::ascii_isxdigit(static_cast<unsigned char>(aKey[i]));
    if (!fits) {
      return absl::nullopt;
    }
  }
  std::uint64_t unixMs = 0;
  if (!absl::SimpleHexAtoi(absl::StrCat(aKey.substr(0, 8), aKey.substr(9, 4)),
                           &unixMs)) {
    return absl::nullopt;
  }
  return absl::FromUnixMillis(static_cast<std::int64_t>(unixMs));
}

Usage
UsageOf(const State& aState)
{
  Usage usage;
  for (const auto& [number, shard] : aState.loaded_) {
    ++usage.shards_;
    usage.claims_ += shard->index_.claims_.size();
    usage.indexBytes_ += MemoryOf(shard->index_);
  }
  return usage;
}

} // namespace lycheeplank::claims
