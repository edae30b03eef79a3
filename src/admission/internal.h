#ifndef LYCHEEPLANK_SRC_ADMISSION_INTERNAL_H
#define LYCHEEPLANK_SRC_ADMISSION_INTERNAL_H

#include <cstddef>

#include "lycheeplank/admission.h"

namespace lycheeplank::admission {

// Returns the index of a priority in arrays with one item per priority.
inline std::size_t
Index(Priority aPriority)
{
  return static_cast<std::size_t>(aPriority);
}

// Returns the latest start time at which a request still meets its deadline.
inline absl::Time
LatestStart(const Request& aRequest)
{
  return aRequest.deadline_ - aRequest.cost_;
}

} // namespace lycheeplank::admission

#endif
