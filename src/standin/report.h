#ifndef LYCHEEPLANK_STANDIN_REPORT_H
#define LYCHEEPLANK_STANDIN_REPORT_H

#include <functional>
#include <string>

#include <absl/time/time.h>
#include <nlohmann/json_fwd.hpp>

#include "standin/frame.h"

namespace lycheeplank::standin {

// A load report that is renewed periodically, so that readers see an old one.
class LaggingReport
{
public:
  using Take = std::function<nlohmann::json()>;

  // A period of zero takes a new report for each reader.
  LaggingReport(Loop& aLoop, absl::Duration aPeriod, Take aTake);

  // Answers with the latest report and its age as "age_ms".
  void Reply(const ExchangePtr& aExchange);

private:
  void Renew();
  void RenewPeriodically();

  Loop& loop_;
  absl::Duration period_;
  Take take_;
  absl::Time takenAt_;
  // The report as JSON text.
  std::string text_;
};

} // namespace lycheeplank::standin

#endif
