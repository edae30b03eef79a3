#include "lycheeplank/budget.h"

#include <algorithm>

namespace lycheeplank::budget {

namespace {

std::int64_t
PartNumber(const Limits& aLimits, absl::Time aNow)
{
  return (aNow - absl::UnixEpoch()) / (aLimits.window_ / kParts);
}

Ledger::Part&
CurrentPart(Ledger& aLedger, const Limits& aLimits, absl::Time aNow)
{
  const auto number = PartNumber(aLimits, aNow);
  auto& part =
    aLedger.parts_[static_cast<std::size_t>(number) % aLedger.parts_.size()];
  if (part.number_ != number) {
    part = { number, 0, 0 };
  }
  return part;
}

} // namespace

void
CountRequest(Ledger& aLedger, const Limits& aLimits, absl::Time aNow)
{
  ++CurrentPart(aLedger, aLimits, aNow).requests_;
}

double
ResendsLeft(const Ledger& aLedger, const Limits& aLimits, absl::Time aNow)
{
  const auto number = PartNumber(aLimits, aNow);
  double requests = 0.0;
  double resends = 0.0;
  for (const auto& part : aLedger.parts_) {
    if (part.number_ >= 0 &&
        number - part.number_ <= static_cast<std::int64_t>(kParts)) {
      resends += part.resends_;
      // The oldest part lies outside the window by now or soon.
      requests += number - part.number_ < static_cast<std::int64_t>(kParts)
                    ? part.requests_
                    : 0;
    }
  }
  return kRatioUsed * aLimits.ratio_ * requests +
         aLimits.slack_ / std::max(1U, aLimits.hosts_) - resends;
}

bool
TakeResend(Ledger& aLedger, const Limits& aLimits, absl::Time aNow)
{
  if (ResendsLeft(aLedger, aLimits, aNow) < 1.0) {
    return false;
  }
  ++CurrentPart(aLedger, aLimits, aNow).resends_;
  return true;
}

} // namespace lycheeplank::budget
