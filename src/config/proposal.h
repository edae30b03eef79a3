#ifndef LYCHEEPLANK_SRC_CONFIG_PROPOSAL_H
#define LYCHEEPLANK_SRC_CONFIG_PROPOSAL_H

#include <string>
#include <vector>

#include <absl/time/time.h>

#include "lycheeplank/config_sync.h"

// What an edit makes of the document and of its head.
namespace lycheeplank::config {

// Applies the edit to the configuration in force, if there is one; returns the
// sections that others have changed after the edit's base.
std::vector<std::string>
Merge(PendingEdit& aRun, const Accepted* aInForce);

// Builds the head that the edit proposes and the chunks that it names.
void
Propose(PendingEdit& aRun, absl::Time aNow);

// Lists the chunks that have to be written before the head.
void
ListUnwritten(PendingEdit& aRun);

} // namespace lycheeplank::config

#endif
