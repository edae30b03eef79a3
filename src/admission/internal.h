#ifndef LYCHEEPLANK_SRC_ADMISSION_INTERNAL_H
#define LYCHEEPLANK_SRC_ADMISSION_INTERNAL_H

#include <cstddef>

#include "lycheeplank/admission.h"

namespace lycheeplank::admission {

// Returns the place of a priority in arrays that have one item for each.
inline std::size_t
Index(Priority aPriority)
{
  return static_cast<std::size_t>(aPriority);
}

// Returns when a request has to start to meet its deadline.
inline absl::Time
LatestStart(const Request& aRequest)
{
  return aRequest.deadline_ - aRequest.cost_;
}

} // namespace lycheeplank::admission

#endif
