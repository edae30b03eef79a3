#include "lycheeplank/placement.h"

#include <algorithm>

namespace lycheeplank::placement {

namespace {

// Part of the newest transfer in the learnt rate of a link.
constexpr double kNewestShare = 0.3;
// Transfers shorter than this say little about a rate.
constexpr absl::Duration kShortestTransfer = absl::Milliseconds(1);
constexpr absl::Duration kFirstClosure = absl::Seconds(1);
constexpr absl::Duration kLongestClosure = absl::Seconds(30);

} // namespace

OwnWork
OwnWorkSince(const std::vector<SentRun>& aSent,
             absl::Time aReportedAt,
             absl::Time aNow)
{
  OwnWork own;
  absl::Duration ages = absl::ZeroDuration();
  for (const auto& run : aSent) {
    if (run.sentAt_ <= aReportedAt) {
      continue;
    }
    own.prefillTokens_ += run.prefillTokens_;
    ++own.runs_;
    ages += aNow - run.sentAt_;
  }
  if (own.runs_ > 0) {
    own.meanAge_ = ages / own.runs_;
  }
  return own;
}

void
NoteTransfer(LinkView& aLink, std::uint64_t aBytes, absl::Duration aTook)
{
  aLink.failuresInRow_ = 0;
  aLink.closedUntil_ = absl::InfinitePast();
  const double rate = static_cast<double>(aBytes) /
                      absl::ToDoubleSeconds(std::max(aTook, kShortestTransfer));
  aLink.bytesPerSecond_ =
    aLink.bytesPerSecond_ <= 0.0
      ? rate
      : (1.0 - kNewestShare) * aLink.bytesPerSecond_ + kNewestShare * rate;
}

void
NoteFailure(LinkView& aLink, absl::Time aNow)
{
  const absl::Duration closure =
    std::min(kLongestClosure,
             kFirstClosure * (1U << std::min(aLink.failuresInRow_, 5U)));
  ++aLink.failuresInRow_;
  aLink.closedUntil_ = aNow + closure;
}

bool
Usable(const LinkView& aLink, absl::Time aNow)
{
  return aNow >= aLink.closedUntil_;
}

void
NoteReport(LinkQueue& aQueue, std::uint64_t aBytes)
{
  aQueue.reportedBytes_ = aBytes;
  aQueue.ownUntil_ = absl::InfinitePast();
}

void
NoteImport(LinkQueue& aQueue,
           std::uint64_t aBytes,
           double aBytesPerSecond,
           absl::Time aNow)
{
  if (aBytesPerSecond <= 0.0) {
    return;
  }
  aQueue.ownUntil_ =
    std::max(aQueue.ownUntil_, aNow) +
    absl::Seconds(static_cast<double>(aBytes) / aBytesPerSecond);
}

std::uint64_t
QueuedBytes(const LinkQueue& aQueue, double aBytesPerSecond, absl::Time aNow)
{
  const double own =
    std::max(0.0, absl::ToDoubleSeconds(aQueue.ownUntil_ - aNow));
  return aQueue.reportedBytes_ +
         static_cast<std::uint64_t>(own * aBytesPerSecond);
}

} // namespace lycheeplank::placement
