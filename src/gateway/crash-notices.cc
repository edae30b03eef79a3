#include "gateway/crash-notices.h"

#include "gateway/clock.h"
#include "gateway/permits.h"
#include "gateway/warmup.h"

namespace lycheeplank::gateway {

namespace {

// Targets in other data centres answer within milliseconds.
constexpr absl::Duration kCheckTimeout = absl::Milliseconds(200);

// Logs that a target was set aside and records that it is cold. aSource: the
// host whose evidence it is.
void
NoteAside(Host& aHost,
          const std::string& aTarget,
          const fleet::Member& aMember,
          absl::string_view aSource)
{
  aHost.log_.Write(Line("target_aside")
                     .Text("target", aTarget)
                     .Text("source", aSource)
                     .Text("evidence", "crash")
                     .Age("for_ms", aMember.quarantinedUntil_ - Now()));
  NoteTargetCold(
    aHost, aTarget, absl::InfiniteDuration(), ColdEvidence::Unreachable);
}

} // namespace

void
NoteTargetLoss(Host& aHost, const std::string& aTarget)
{
  const auto now = Now();
  const auto member = aHost.members_.find(aTarget);
  // A target that leaves ends its connections, and a host that has been frozen
  // can't tell when they were lost.
  if (member == aHost.members_.end() ||
      ColdTimeOf(aHost, member->second.target_.service_) <=
        absl::ZeroDuration() ||
      !fleet::IsInUse(member->second, now) ||
      IsCatchingUp(aHost.stallDetector_, now)) {
    return;
  }
  const auto& target = member->second.target_;
  if (!crash_evidence::RecordLoss(aHost.crashes_, target, now)) {
    return;
  }
  aHost.targetPool_.OpenSpare(
    aTarget, target.address_, kCheckTimeout, [&aHost, target](ConnectEnd aEnd) {
      const auto listed = aHost.members_.find(target.id_);
      if (aEnd == ConnectEnd::Refused && listed != aHost.members_.end() &&
          listed->second.target_.bornMs_ == target.bornMs_) {
        crash_evidence::RecordRefusal(aHost.crashes_, target, Now());
      }
    });
}

void
NoteTargetBytes(Host& aHost,
                const std::string& aTarget,
                std::int64_t aStartedAtMs)
{
  const auto member = aHost.members_.find(aTarget);
  if (member == aHost.members_.end() ||
      member->second.target_.bornMs_ != aStartedAtMs) {
    return;
  }
  const auto now = Now();
  crash_evidence::NoteAlive(member->second, now);
  std::vector<std::string> crashed;
  for (auto& id : crash_evidence::RecordBytes(
         aHost.crashes_, member->second.target_, now)) {
    const auto found = aHost.members_.find(id);
    // Another host has told it already.
    if (found == aHost.members_.end() || now < found->second.noticeUntil_) {
      continue;
    }
    crash_evidence::SetAside(found->second, aHost.random_(), now);
    NoteAside(aHost, id, found->second, aHost.settings_.name_);
    crashed.push_back(std::move(id));
  }
  if (!crashed.empty()) {
    aHost.metrics_.Count("crash_notices_total",
                         static_cast<double>(crashed.size()));
    SendCrashNotice(aHost, crashed);
  }
}

void
ApplyCrashNotice(Host& aHost, const target_limits::Message& aNotice)
{
  for (const auto& row : aNotice.limits_) {
    const auto member = aHost.members_.find(row.target_);
    if (member != aHost.members_.end() &&
        member->second.target_.bornMs_ == row.startedAtMs_ &&
        ColdTimeOf(aHost, member->second.target_.service_) >
          absl::ZeroDuration() &&
        crash_evidence::ApplyNotice(
          aHost.crashes_, member->second, aHost.random_(), Now())) {
      NoteAside(aHost, row.target_, member->second, aNotice.sender_);
    }
  }
}

} // namespace lycheeplank::gateway
