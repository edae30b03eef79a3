#ifndef LYCHEEPLANK_SRC_CONFIG_PROPOSAL_H
#define LYCHEEPLANK_SRC_CONFIG_PROPOSAL_H

#include <string>
#include <vector>

#include <absl/time/time.h>

#include "lycheeplank/config_sync.h"

// Builds the new document and the new head that result from an edit.
namespace lycheeplank::config {

// Applies the edit to the sections in force; aInForce may be null. Returns the
// conflicts: the sections that changed after the revision the edit is based on,
// with their revisions.
std::vector<std::string>
MergeEdit(PendingEdit& aEdit, const Accepted* aInForce);

// Builds the head that the edit proposes and the chunks of the changed
// sections.
void
BuildProposal(PendingEdit& aEdit, absl::Time aNow);

// Fills unwritten_ with the chunks that have to be written before the head.
void
ListUnwrittenChunks(PendingEdit& aEdit);

} // namespace lycheeplank::config

#endif
