#include "claims/shard.h"

#include <algorithm>

namespace lycheeplank::claims {

namespace {

// Maximum ratio between the sizes of segments of one level.
constexpr std::uint32_t kMaxLevelSizeRatio = 4;

std::int64_t
LatestUnixMs(const std::vector<Record>& aRecords)
{
  std::int64_t last = 0;
  for (const auto& record : aRecords) {
    last = std::max(last, record.unixMs_);
  }
  return last;
}

void
WriteReplacement(const Context& aContext, Shard& aShard)
{
  auto& replacement = aShard.replacement_;
  auto& ref = replacement.ref_;
  const std::string value = Encode(replacement.segment_);
  ref.first_ = replacement.segment_.first_;
  ref.count_ = static_cast<std::uint32_t>(replacement.segment_.records_.size());
  ref.bytes_ = static_cast<std::uint32_t>(value.size());
  ref.latestUnixMs_ = LatestUnixMs(replacement.segment_.records_);
  replacement.stage_ = ReplacementStage::Writing;
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = ObjectKey(aShard, ref.name_);
  command.value_ = value;
  command.expect_ = 0;
  Send(aContext,
       { CommandPurpose::WriteSegment, aShard.number_, replacement.id_ },
       std::move(command));
}

void
StartReplacement(const Context& aContext, Shard& aShard, std::uint64_t aFirst)
{
  aShard.replacement_ = Replacement();
  aShard.replacement_.ref_.name_ = NewObjectName(aContext, kSegmentKind);
  aShard.replacement_.id_ = aContext.state_.lastObjectNumber_;
  aShard.replacement_.segment_.first_ = aFirst;
}

void
StartSeal(const Context& aContext, Shard& aShard)
{
  StartReplacement(aContext, aShard, aShard.tail_.openFirst_);
  aShard.replacement_.segment_.records_ = aShard.tail_.open_;
  WriteReplacement(aContext, aShard);
}

// Reads the next segment to merge, or writes the merged segment after the last
// one.
void
ContinueMerge(const Context& aContext, Shard& aShard)
{
  auto& replacement = aShard.replacement_;
  const std::uint64_t next =
    replacement.segment_.first_ + replacement.segment_.records_.size();
  if (next == replacement.end_) {
    return WriteReplacement(aContext, aShard);
  }
  const auto* const source = FindSegment(aShard.tail_, next);
  if (source == nullptr) {
    replacement = Replacement();
    return;
  }
  replacement.stage_ = ReplacementStage::Reading;
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = ObjectKey(aShard, source->name_);
  Send(aContext,
       { CommandPurpose::ReadMergeSource, aShard.number_, replacement.id_ },
       std::move(command));
}

// A range of adjacent segments.
struct SegmentRange
{
  std::size_t first_ = 0;
  std::size_t count_ = 0;
};

bool
IsSameLevel(std::uint32_t aLeft, std::uint32_t aRight)
{
  return std::max(aLeft, aRight) <=
         kMaxLevelSizeRatio * std::min(aLeft, aRight);
}

// Returns the number of segments from aFirst on, up to the merge count, that
// are of the same level as aFirst and together fit into one segment.
std::size_t
CountMergeable(const Settings& aSettings, const Tail& aTail, std::size_t aFirst)
{
  const auto& segments = aTail.segments_;
  std::uint64_t bytes = 0;
  std::size_t count = 0;
  while (aFirst + count < segments.size() && count < aSettings.mergeCount_) {
    const auto& next = segments[aFirst + count];
    bytes += next.bytes_;
    if (bytes > aSettings.maxSegmentBytes_ ||
        !IsSameLevel(segments[aFirst].bytes_, next.bytes_)) {
      break;
    }
    ++count;
  }
  return count;
}

SegmentRange
FindMerge(const Settings& aSettings, const Tail& aTail)
{
  for (std::size_t i = 0; i < aTail.segments_.size(); ++i) {
    if (const auto count = CountMergeable(aSettings, aTail, i);
        count >= aSettings.mergeCount_) {
      return { i, count };
    }
  }
  return {};
}

void
StartMerge(const Context& aContext, Shard& aShard, SegmentRange aSources)
{
  const auto& segments = aShard.tail_.segments_;
  StartReplacement(aContext, aShard, segments[aSources.first_].first_);
  aShard.replacement_.end_ =
    EndPosition(segments[aSources.first_ + aSources.count_ - 1]);
  ContinueMerge(aContext, aShard);
}

void
AbandonReplacement(const Context& aContext, Shard& aShard)
{
  IncrementCounter(aContext, Counter::PlatformFailure);
  aShard.replacement_ = Replacement();
  aShard.replacement_.retryAt_ =
    aContext.now_ + aContext.state_.settings_.maxBackoff_;
}

} // namespace

void
Maintain(const Context& aContext, Shard& aShard)
{
  if (!IsLoaded(aShard) || aContext.now_ < aShard.readBackoff_.retryAt_) {
    return;
  }
  StartSweepIfDue(aContext, aShard);
  const auto& settings = aContext.state_.settings_;
  if (aShard.replacement_.stage_ != ReplacementStage::None ||
      aContext.now_ < aShard.replacement_.retryAt_) {
    return;
  }
  if (EncodedSize(aShard.tail_.open_) > settings.maxOpenBytes_) {
    return StartSeal(aContext, aShard);
  }
  if (const auto sources = FindMerge(settings, aShard.tail_);
      sources.count_ > 0) {
    StartMerge(aContext, aShard, sources);
  }
}

bool
HasExpiredSegment(const Context& aContext, const Shard& aShard)
{
  const auto& settings = aContext.state_.settings_;
  return !aShard.tail_.segments_.empty() &&
         absl::FromUnixMillis(aShard.tail_.segments_.front().latestUnixMs_) +
             settings.retention_ + settings.clockMargin_ <
           aContext.wallClock_;
}

void
DropExpired(const Context& aContext, Tail& aTail)
{
  const auto& settings = aContext.state_.settings_;
  const std::int64_t limit = absl::ToUnixMillis(
    aContext.wallClock_ - settings.retention_ - settings.clockMargin_);
  auto& segments = aTail.segments_;
  const auto firstKept =
    std::find_if(segments.begin(), segments.end(), [&](const auto& aSegment) {
      return aSegment.latestUnixMs_ >= limit;
    });
  segments.erase(segments.begin(), firstKept);
}

void
ApplyReplacement(Shard& aShard, Tail& aTail)
{
  const auto& ref = aShard.replacement_.ref_;
  if (aShard.replacement_.stage_ != ReplacementStage::Ready) {
    return;
  }
  if (ref.first_ < FirstPosition(aTail)) {
    // The replaced segments have expired.
    aShard.replacement_ = Replacement();
    return;
  }
  auto& segments = aTail.segments_;
  const auto first =
    std::find_if(segments.begin(), segments.end(), [&](const auto& aSegment) {
      return aSegment.first_ >= ref.first_;
    });
  const auto last = std::find_if(first, segments.end(), [&](const auto& aNext) {
    return aNext.first_ >= EndPosition(ref);
  });
  const auto at = segments.erase(first, last);
  segments.insert(at, ref);
  if (EndPosition(ref) > aTail.openFirst_) {
    const auto sealed =
      static_cast<std::ptrdiff_t>(EndPosition(ref) - aTail.openFirst_);
    aTail.open_.erase(aTail.open_.begin(), aTail.open_.begin() + sealed);
    aTail.openFirst_ = EndPosition(ref);
  }
}

void
DeleteReplacedSegments(const Context& aContext,
                       Shard& aShard,
                       const Tail& aBefore)
{
  auto& replacement = aShard.replacement_;
  if (replacement.stage_ == ReplacementStage::Ready &&
      IsReferenced(aShard.tail_, replacement.ref_.name_)) {
    replacement = Replacement();
  }
  for (const auto& segment : aBefore.segments_) {
    if (!IsReferenced(aShard.tail_, segment.name_)) {
      DeleteObject(aContext, aShard, segment.name_);
    }
  }
  DeleteGarbage(aContext, aShard);
}

void
OnMergeSourceRead(const Context& aContext,
                  Shard& aShard,
                  const PendingCommand& aPending,
                  const platform::Reply& aReply)
{
  auto& replacement = aShard.replacement_;
  if (replacement.id_ != aPending.subject_ ||
      replacement.stage_ != ReplacementStage::Reading) {
    return;
  }
  auto segment = aReply.outcome_ == platform::Outcome::Ok
                   ? DecodeOrNullopt(DecodeSegment, aReply.value_)
                   : absl::nullopt;
  auto& records = replacement.segment_.records_;
  const std::uint64_t next = replacement.segment_.first_ + records.size();
  if (!segment || segment->first_ != next) {
    return AbandonReplacement(aContext, aShard);
  }
  std::move(segment->records_.begin(),
            segment->records_.end(),
            std::back_inserter(records));
  ContinueMerge(aContext, aShard);
}

void
OnSegmentWritten(const Context& aContext,
                 Shard& aShard,
                 const PendingCommand& aPending,
                 const platform::Reply& aReply)
{
  auto& replacement = aShard.replacement_;
  if (replacement.id_ != aPending.subject_ ||
      replacement.stage_ != ReplacementStage::Writing) {
    return;
  }
  if (aReply.outcome_ != platform::Outcome::Ok) {
    return AbandonReplacement(aContext, aShard);
  }
  IncrementCounter(aContext, Counter::SegmentWritten);
  replacement.stage_ = ReplacementStage::Ready;
  Advance(aContext, aShard);
}

} // namespace lycheeplank::claims
