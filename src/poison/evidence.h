#ifndef LYCHEEPLANK_SRC_POISON_EVIDENCE_H
#define LYCHEEPLANK_SRC_POISON_EVIDENCE_H

#include <string>

#include <absl/container/flat_hash_set.h>

#include "lycheeplank/poison.h"

// The conclusions from crashes.
namespace lycheeplank::poison {

// Returns the last time at which an answer to a request with the trait began;
// infinite past if none is known.
absl::Time
LastBegin(const State& aState, const std::string& aTrait);

// Returns the limits of a trait's kind.
const KindLimits&
LimitsOf(absl::string_view aTrait);

using TraitSet = absl::flat_hash_set<std::string>;

// Returns blocks for the crashes that lost requests with any of these traits
// and that no known block explains. A block has all traits that the lost
// requests have in common and with which no answer has begun, because any of
// them may be the cause; without such traits, those with which no answer has
// begun since the first crash.
std::vector<Block>
FindPoison(const State& aState, const TraitSet& aTraits);

// Notes the traffic at the crashes that have become old enough to be evaluated,
// and returns the traits of the requests that were lost there.
TraitSet
RecordTraffic(State& aState, absl::Time aNow);

// Returns when the next crash can be evaluated.
absl::Time
NextEvaluation(const State& aState);

} // namespace lycheeplank::poison

#endif
