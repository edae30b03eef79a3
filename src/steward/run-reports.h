#ifndef LYCHEEPLANK_STEWARD_RUN_REPORTS_H
#define LYCHEEPLANK_STEWARD_RUN_REPORTS_H

#include <string>
#include <vector>

#include <absl/types/optional.h>

#include "lycheeplank/offload.h"

// Parses and formats the JSON bodies about exports that an entry host and its
// steward exchange.
namespace lycheeplank::steward {

// Parses the finished runs that an entry host reports. Returns nothing if the
// body is malformed.
absl::optional<std::vector<offload::FinishedRun>>
ParseRuns(const std::string& aBody);

// Formats the report to an entry host about blocks that a store holds or no
// longer holds.
std::string
FormatSightings(const offload::ReportSightings& aSightings);

} // namespace lycheeplank::steward

#endif
