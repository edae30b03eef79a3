#ifndef LYCHEEPLANK_STEWARD_RUN_REPORTS_H
#define LYCHEEPLANK_STEWARD_RUN_REPORTS_H

#include <string>
#include <vector>

#include <absl/types/optional.h>

#include "lycheeplank/offload.h"

// JSON bodies that an entry host and its steward exchange about exports.
namespace lycheeplank::steward {

// Reads the finished runs that an entry host reports; nothing if the body is
// malformed.
absl::optional<std::vector<offload::FinishedRun>>
ReadRuns(const std::string& aBody);

// Writes what an entry host is told about blocks in a store.
std::string
WriteSightings(const offload::ReportSightings& aSightings);

} // namespace lycheeplank::steward

#endif
