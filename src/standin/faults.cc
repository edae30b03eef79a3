#include "standin/faults.h"

#include <absl/strings/match.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

CountedFault
ParseCountedFault(const Json& aBody)
{
  return { aBody.value("count", 1U), aBody.value("match", std::string()) };
}

absl::Time
ParseDownUntil(const Json& aBody)
{
  const auto milliseconds = aBody.value("ms", 0);
  return milliseconds == 0 ? absl::InfiniteFuture()
                           : absl::Now() + absl::Milliseconds(milliseconds);
}

void
Apply(Faults& aFaults, Fault aFault, const Json& aBody)
{
  switch (aFault) {
    case Fault::None:
      aFaults = Faults{};
      break;
    case Fault::Down:
      aFaults.downUntil_ = ParseDownUntil(aBody);
      break;
    case Fault::Slow:
      aFaults.answerDelay_ = absl::Milliseconds(aBody.value("ms", 0));
      aFaults.slowdown_ = std::max(1.0, aBody.value("factor", 1.0));
      break;
    case Fault::LoseReply:
      aFaults.loseReply_ = ParseCountedFault(aBody);
      break;
    case Fault::Gaps:
      aFaults.gapsEvery_ = aBody.value("every", 2U);
      break;
    case Fault::Full:
      aFaults.full_ = true;
      break;
    case Fault::Refuse:
      aFaults.refuse_ = ParseCountedFault(aBody);
      aFaults.refuseStatus_ = aBody.value("status", 503);
      break;
    case Fault::Leaving:
      aFaults.leaving_ = true;
      break;
  }
}

} // namespace

bool
ConsumeFault(CountedFault& aFault, absl::string_view aPath)
{
  if (aFault.count_ == 0 || !absl::StrContains(aPath, aFault.match_)) {
    return false;
  }
  --aFault.count_;
  return true;
}

bool
ApplyFault(Faults& aFaults, const std::string& aBody)
{
  const Json body = Json::parse(aBody);
  const auto fault = core::ValueOf(kFaults, body.value("fault", std::string()));
  if (!fault) {
    return false;
  }
  Apply(aFaults, *fault, body);
  return true;
}

} // namespace lycheeplank::standin
