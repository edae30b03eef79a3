#include "standin/load-report.h"

#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::standin {

LaggingReport::LaggingReport(Loop& aLoop,
                             absl::Duration aPeriod,
                             Collector aCollect)
  : loop_(aLoop)
  , period_(aPeriod)
  , collect_(std::move(aCollect))
{
  if (period_ > absl::ZeroDuration()) {
    loop_.Post([this] { RenewPeriodically(); });
  }
}

void
LaggingReport::Reply(const ExchangePtr& aExchange)
{
  if (period_ == absl::ZeroDuration() || text_.empty()) {
    Renew();
  }
  nlohmann::json report = nlohmann::json::parse(text_);
  report["age_ms"] = absl::ToInt64Milliseconds(absl::Now() - collectedAt_);
  ReplyJson(aExchange, 200, report);
}

void
LaggingReport::Renew()
{
  collectedAt_ = absl::Now();
  text_ = collect_().dump();
}

void
LaggingReport::RenewPeriodically()
{
  Renew();
  loop_.After(period_, [this] { RenewPeriodically(); });
}

} // namespace lycheeplank::standin
