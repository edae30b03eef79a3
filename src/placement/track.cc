#include "lycheeplank/placement.h"

namespace lycheeplank::placement {

UnreportedWork
UnreportedWorkSince(const std::vector<SentRun>& aSent,
                    absl::Time aReportedAt,
                    absl::Time aNow)
{
  UnreportedWork unreported;
  absl::Duration ages = absl::ZeroDuration();
  for (const auto& run : aSent) {
    if (run.sentAt_ <= aReportedAt) {
      continue;
    }
    unreported.prefillTokens_ += run.prefillTokens_;
    ++unreported.runs_;
    ages += aNow - run.sentAt_;
  }
  if (unreported.runs_ > 0) {
    unreported.meanAge_ = ages / unreported.runs_;
  }
  return unreported;
}

void
RecordLinkReport(LinkQueue& aQueue, std::uint64_t aBytes)
{
  aQueue.reportedBytes_ = aBytes;
  aQueue.ownImportsEndAt_ = absl::InfinitePast();
}

void
RecordImport(LinkQueue& aQueue,
             std::uint64_t aBytes,
             double aBytesPerSecond,
             absl::Time aNow)
{
  if (aBytesPerSecond <= 0.0) {
    return;
  }
  aQueue.ownImportsEndAt_ =
    std::max(aQueue.ownImportsEndAt_, aNow) +
    absl::Seconds(static_cast<double>(aBytes) / aBytesPerSecond);
}

std::uint64_t
QueuedBytes(const LinkQueue& aQueue, double aBytesPerSecond, absl::Time aNow)
{
  const double unreported =
    std::max(0.0, absl::ToDoubleSeconds(aQueue.ownImportsEndAt_ - aNow));
  return aQueue.reportedBytes_ +
         static_cast<std::uint64_t>(unreported * aBytesPerSecond);
}

} // namespace lycheeplank::placement
