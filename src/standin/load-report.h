#ifndef LYCHEEPLANK_STANDIN_LOAD_REPORT_H
#define LYCHEEPLANK_STANDIN_LOAD_REPORT_H

#include <functional>
#include <string>

#include <absl/time/time.h>
#include <nlohmann/json_fwd.hpp>

#include "standin/server.h"

namespace lycheeplank::standin {

// A load report that is collected periodically, so that readers receive
// outdated values.
class LaggingReport
{
public:
  using Collector = std::function<nlohmann::json()>;

  // A period of zero collects a new report for each request. The loop must
  // outlive the report.
  LaggingReport(Loop& aLoop, absl::Duration aPeriod, Collector aCollect);

  // Replies with the latest report, with its age in milliseconds as "age_ms".
  void Reply(const ExchangePtr& aExchange);

private:
  void Renew();
  void RenewPeriodically();

  Loop& loop_;
  absl::Duration period_;
  Collector collect_;
  absl::Time collectedAt_;
  // The report as JSON text.
  std::string text_;
};

} // namespace lycheeplank::standin

#endif
