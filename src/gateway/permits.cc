#include "gateway/permits.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "gateway/clock.h"
#include "gateway/crash-notices.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

namespace {

using target_limits::Change;
using target_limits::Message;
using target_limits::MessageKind;
using target_limits::Permit;
using target_limits::Statement;
using target_limits::Verdict;

// A permit is void if it arrives later than this after its ask, for example
// after a freeze of this host. Round trips between data centres take a few
// milliseconds.
constexpr absl::Duration kAskTimeout = absl::Milliseconds(80);
// The decision on an ask that nobody has answered in time.
constexpr Permit kUnanswered{ Verdict::NoIssuer,
                              target_limits::kNoIssuerPause,
                              target_limits::kNoIssuerPause };
// Statements per datagram, so that it fits into one packet.
constexpr std::size_t kMaxStatements = 10;

Message
MakeMessage(const Host& aHost, MessageKind aKind)
{
  Message message;
  message.kind_ = aKind;
  message.sender_ = aHost.settings_.name_;
  message.dataCentre_ = aHost.settings_.dataCentre_;
  return message;
}

void
Broadcast(Host& aHost, const Message& aMessage)
{
  const auto text = target_limits::WriteMessage(aMessage);
  for (const auto& [name, host] : aHost.hosts_) {
    if (name != aHost.settings_.name_) {
      aHost.sendDatagram_(name, text);
    }
  }
}

void
LogChange(Host& aHost,
          const Statement& aStatement,
          Change aChange,
          absl::string_view aSource,
          absl::string_view aRequest)
{
  aHost.metrics_.Count("target_limit_changes_total",
                       "change",
                       core::NameOf(target_limits::kChanges, aChange));
  aHost.log_.Write(
    Line("target_limit")
      .Text("target", aStatement.target_)
      .Text("id", aRequest)
      .Text("change", core::NameOf(target_limits::kChanges, aChange))
      .Number("per_second", aStatement.perSecond_.value_or(0.0))
      .Age("age_ms", aStatement.age_)
      .Text("source", aSource));
}

void
ApplyStatements(Host& aHost, const Message& aMessage)
{
  const auto now = Now();
  for (const auto& statement : aMessage.limits_) {
    const auto member = aHost.members_.find(statement.target_);
    if (member == aHost.members_.end() ||
        member->second.target_.bornMs_ != statement.startedAtMs_) {
      continue;
    }
    // Both limits that begin and limits that end are dated so that a limit
    // holds if in doubt.
    const auto heardAt =
      statement.perSecond_
        ? now
        : EarliestSendTime(aHost.stallDetector_, absl::InfinitePast(), now);
    const auto change = target_limits::Note(aHost.limits_,
                                            member->second,
                                            statement.perSecond_,
                                            heardAt - statement.age_,
                                            now);
    if (change != Change::None) {
      LogChange(aHost, statement, change, aMessage.sender_, "");
    }
  }
}

void
ReplyToAsk(Host& aHost, const Message& aAsk)
{
  if (aAsk.limits_.size() != 1) {
    return;
  }
  const auto now = Now();
  const auto& ask = aAsk.limits_.front();
  const auto& target = ask.target_;
  auto reply = MakeMessage(aHost, MessageKind::Reply);
  reply.ask_ = aAsk.ask_;
  const auto member = aHost.members_.find(target);
  if (ask.isCold_ && member != aHost.members_.end() &&
      fleet::IsEvacuated(aHost.evacuations_, member->second)) {
    // This host hasn't heard of the end of the evacuation, after which the
    // target is cold.
    reply.permit_ = kUnanswered;
  } else {
    reply.permit_ = target_limits::IssueFor(
      aHost.limits_, aHost.members_, ask, aAsk.isLastChoice_, now);
  }
  aHost.metrics_.Count(
    "permits_issued_total",
    "verdict",
    core::NameOf(target_limits::kVerdicts, reply.permit_.verdict_));
  if (const auto statement =
        target_limits::StatementOf(aHost.limits_, target, now);
      statement && reply.permit_.verdict_ == Verdict::Unlimited) {
    reply.limits_.push_back(*statement);
  }
  aHost.sendDatagram_(aAsk.sender_, target_limits::WriteMessage(reply));
}

void
FinishAsk(Host& aHost, const PendingAsk& aAsk, const Permit& aPermit)
{
  aHost.metrics_.Count(
    "permit_asks_total",
    "verdict",
    core::NameOf(target_limits::kVerdicts, aPermit.verdict_));
  aHost.metrics_.Observe("permit_ask_seconds", Now() - aAsk.askedAt_);
  if (aPermit.verdict_ == Verdict::NoIssuer) {
    aHost.log_.Write(Line("permit_unanswered")
                       .Text("target", aAsk.target_)
                       .Age("took_ms", Now() - aAsk.askedAt_));
  }
  // The time holds for the limit of the process that was asked about.
  if (const auto member = aHost.members_.find(aAsk.target_);
      member != aHost.members_.end() &&
      member->second.target_.bornMs_ == aAsk.startedAtMs_) {
    member->second.noPermitUntil_ = Now() + aPermit.nextPermit_;
  }
  aAsk.onPermit_(aPermit);
}

void
OnReply(Host& aHost, const Message& aReply)
{
  auto ask = aHost.permitAsks_.extract(aReply.ask_);
  if (ask.empty()) {
    return;
  }
  const bool isLate = Now() - ask.mapped().askedAt_ > kAskTimeout;
  FinishAsk(aHost, ask.mapped(), isLate ? kUnanswered : aReply.permit_);
}

void
SendAsk(Host& aHost,
        const std::string& aIssuer,
        const std::string& aTarget,
        bool aIsLastChoice,
        const OnPermit& aOnPermit)
{
  const auto now = Now();
  auto message = MakeMessage(aHost, MessageKind::Ask);
  message.ask_ = aHost.random_();
  message.isLastChoice_ = aIsLastChoice;
  if (const auto member = aHost.members_.find(aTarget);
      member != aHost.members_.end()) {
    message.limits_.push_back(
      target_limits::AskOf(aHost.limits_, member->second, now));
  } else if (const auto statement =
               target_limits::StatementOf(aHost.limits_, aTarget, now)) {
    message.limits_.push_back(*statement);
  }
  const auto timer = std::make_shared<Timer>(aHost.loop_);
  aHost.permitAsks_[message.ask_] = {
    aTarget, StartOf(aHost, aTarget), now, aOnPermit, timer
  };
  timer->Set(kAskTimeout, [&aHost, id = message.ask_] {
    auto ask = aHost.permitAsks_.extract(id);
    if (!ask.empty()) {
      FinishAsk(aHost, ask.mapped(), kUnanswered);
    }
  });
  aHost.sendDatagram_(aIssuer, target_limits::WriteMessage(message));
}

} // namespace

bool
NeedsPermit(const Host& aHost, const std::string& aTarget)
{
  const auto member = aHost.members_.find(aTarget);
  return member != aHost.members_.end() &&
         member->second.requestsPerSecond_.has_value();
}

void
AskPermit(Host& aHost,
          const std::string& aTarget,
          bool aIsLastChoice,
          const OnPermit& aOnPermit)
{
  const auto now = Now();
  const auto issuer =
    target_limits::IssuerOf(aHost.limits_, aHost.hosts_, aTarget, now);
  if (issuer.empty() || issuer == aHost.settings_.name_) {
    FinishAsk(aHost,
              { aTarget, StartOf(aHost, aTarget), now, aOnPermit, nullptr },
              target_limits::Issue(aHost.limits_, aTarget, aIsLastChoice, now));
    return;
  }
  SendAsk(aHost, issuer, aTarget, aIsLastChoice, aOnPermit);
}

void
NoteTargetLimit(Host& aHost,
                const std::string& aTarget,
                absl::optional<double> aPerSecond,
                absl::Time aSentAt,
                absl::string_view aRequest)
{
  const auto member = aHost.members_.find(aTarget);
  if (member == aHost.members_.end()) {
    return;
  }
  const auto now = Now();
  const auto change = target_limits::Note(
    aHost.limits_, member->second, aPerSecond, aPerSecond ? now : aSentAt, now);
  if (change == Change::None) {
    return;
  }
  auto message = MakeMessage(aHost, MessageKind::Statement);
  message.limits_.push_back(
    *target_limits::StatementOf(aHost.limits_, aTarget, now));
  LogChange(aHost, message.limits_.front(), change, "answer", aRequest);
  TickLimits(aHost);
  if (change != Change::Changed) {
    Broadcast(aHost, message);
    return;
  }
  // The other hosts need the value only if they become the issuer, and hear it
  // with the issuer's next announcement.
  const auto issuer =
    target_limits::IssuerOf(aHost.limits_, aHost.hosts_, aTarget, now);
  if (!issuer.empty() && issuer != aHost.settings_.name_) {
    aHost.sendDatagram_(issuer, target_limits::WriteMessage(message));
  }
}

void
ReceiveLimitMessage(Host& aHost, absl::string_view aText)
{
  const auto message = target_limits::ReadMessage(aText);
  if (!message) {
    aHost.log_.Write(Line("message_unreadable").Number("bytes", aText.size()));
    return;
  }
  if (message->sender_ == aHost.settings_.name_) {
    return;
  }
  if (message->kind_ == MessageKind::Crash) {
    ApplyCrashNotice(aHost, *message);
    return;
  }
  ApplyStatements(aHost, *message);
  switch (message->kind_) {
    case MessageKind::Statement:
    case MessageKind::Crash:
      break;
    case MessageKind::Announcement:
      for (const auto& statement : message->limits_) {
        target_limits::NoteIssuer(aHost.limits_,
                                  aHost.hosts_,
                                  statement.target_,
                                  message->sender_,
                                  message->dataCentre_,
                                  Now());
      }
      break;
    case MessageKind::Ask:
      TickLimits(aHost);
      ReplyToAsk(aHost, *message);
      return;
    case MessageKind::Reply:
      OnReply(aHost, *message);
      return;
  }
  TickLimits(aHost);
}

void
SendCrashNotice(Host& aHost, const std::vector<std::string>& aTargets)
{
  for (std::size_t first = 0; first < aTargets.size();
       first += kMaxStatements) {
    auto message = MakeMessage(aHost, MessageKind::Crash);
    const auto end = std::min(first + kMaxStatements, aTargets.size());
    for (std::size_t i = first; i < end; ++i) {
      const auto& target = aHost.members_.at(aTargets[i]).target_;
      Statement row;
      row.target_ = target.id_;
      row.startedAtMs_ = target.bornMs_;
      message.limits_.push_back(std::move(row));
    }
    Broadcast(aHost, message);
  }
}

void
TickLimits(Host& aHost)
{
  const auto now = Now();
  const auto issuedBefore = target_limits::IssuedTargets(aHost.limits_);
  const auto announced =
    target_limits::Tick(aHost.limits_, aHost.hosts_, aHost.members_, now);
  const auto issued = target_limits::IssuedTargets(aHost.limits_);
  if (issued != issuedBefore) {
    aHost.log_.Write(Line("permit_issuer")
                       .Number("targets_before", issuedBefore.size())
                       .Number("targets", issued.size())
                       .Text("newest", issued.empty() ? "" : issued.back()));
  }
  for (std::size_t first = 0; first < announced.size();
       first += kMaxStatements) {
    auto message = MakeMessage(aHost, MessageKind::Announcement);
    const auto end = std::min(first + kMaxStatements, announced.size());
    for (std::size_t i = first; i < end; ++i) {
      message.limits_.push_back(
        *target_limits::StatementOf(aHost.limits_, announced[i], now));
    }
    Broadcast(aHost, message);
  }
}

} // namespace lycheeplank::gateway
