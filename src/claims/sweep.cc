#include "claims/shard.h"

#include <algorithm>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace lycheeplank::claims {

namespace {

void
SendList(const Context& aContext, Shard& aShard, std::string aAfter)
{
  aShard.sweep_.listing_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::List;
  command.key_ = ObjectPrefix(aShard);
  command.value_ = std::move(aAfter);
  Send(aContext, { CommandPurpose::List, aShard.number_ }, std::move(command));
}

bool
IsUnreferenced(const Shard& aShard, absl::string_view aName)
{
  return !IsReferenced(aShard.tail_, aName) &&
         aName != aShard.replacement_.ref_.name_;
}

// Returns whether an answer object is old enough to be deleted. Its name starts
// with its kind and the time of its creation.
bool
IsExpiredAnswer(const Context& aContext, absl::string_view aName)
{
  const std::vector<absl::string_view> parts = absl::StrSplit(aName, '-');
  std::int64_t unixMs = 0;
  const auto& settings = aContext.state_.settings_;
  return parts.size() > 1 && absl::SimpleAtoi(parts[1], &unixMs) &&
         absl::FromUnixMillis(unixMs) + 2 * settings.retention_ +
             settings.clockMargin_ <
           aContext.wallClock_;
}

// Deletes expired answer objects at once and marks unreferenced segments for
// deletion after the next write of the register.
void
FinishListing(const Context& aContext, Shard& aShard)
{
  auto& sweep = aShard.sweep_;
  for (const auto& name : sweep.listedNames_) {
    if (absl::StartsWith(name, kSegmentKind)) {
      if (IsUnreferenced(aShard, name)) {
        sweep.garbage_.push_back(name);
      }
    } else if (IsExpiredAnswer(aContext, name)) {
      DeleteObject(aContext, aShard, name);
    }
  }
  sweep.listedNames_.clear();
  sweep.listing_ = false;
}

} // namespace

bool
IsReferenced(const Tail& aTail, absl::string_view aName)
{
  return std::any_of(
    aTail.segments_.begin(), aTail.segments_.end(), [&](const auto& aSegment) {
      return aSegment.name_ == aName;
    });
}

void
DeleteObject(const Context& aContext,
             const Shard& aShard,
             const std::string& aName)
{
  IncrementCounter(aContext, Counter::ObjectDeleted);
  platform::Command command;
  command.operation_ = platform::Operation::Delete;
  command.key_ = ObjectKey(aShard, aName);
  Send(
    aContext, { CommandPurpose::Delete, aShard.number_ }, std::move(command));
}

void
StartSweepIfDue(const Context& aContext, Shard& aShard)
{
  auto& sweep = aShard.sweep_;
  const absl::Duration interval = aContext.state_.settings_.sweepInterval_;
  if (sweep.nextAt_ == absl::InfinitePast()) {
    sweep.nextAt_ = aContext.now_ + interval;
  }
  if (!sweep.listing_ && sweep.garbage_.empty() &&
      aContext.now_ >= sweep.nextAt_) {
    sweep.nextAt_ = aContext.now_ + interval;
    SendList(aContext, aShard, "");
  }
}

void
OnListed(const Context& aContext, Shard& aShard, const platform::Reply& aReply)
{
  auto& sweep = aShard.sweep_;
  if (aReply.outcome_ != platform::Outcome::Ok || !IsLoaded(aShard)) {
    sweep.listedNames_.clear();
    sweep.listing_ = false;
    return;
  }
  for (const auto& entry : aReply.entries_) {
    sweep.listedNames_.emplace_back(
      absl::StripPrefix(entry.key_, ObjectPrefix(aShard)));
  }
  if (aReply.more_ && !aReply.entries_.empty()) {
    return SendList(aContext, aShard, aReply.entries_.back().key_);
  }
  FinishListing(aContext, aShard);
}

void
DeleteGarbage(const Context& aContext, Shard& aShard)
{
  auto& sweep = aShard.sweep_;
  if (!sweep.writeSent_) {
    return;
  }
  // Any host that could still add a reference to these segments must first read
  // the written register, and then abandons its replacement segment.
  for (const auto& name : sweep.garbage_) {
    if (IsUnreferenced(aShard, name)) {
      DeleteObject(aContext, aShard, name);
    }
  }
  sweep.garbage_.clear();
  sweep.writeSent_ = false;
}

} // namespace lycheeplank::claims
