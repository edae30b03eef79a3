#ifndef LYCHEEPLANK_LOAD_PROBLEM_H
#define LYCHEEPLANK_LOAD_PROBLEM_H

#include <string>

namespace lycheeplank::load {

// The content of a problem+json body.
struct Problem
{
  std::string kind_;
  // Whether the request was executed: "no", "yes" or "unknown".
  std::string runState_;
};

// Parses a problem+json body. An invalid body gives the kind "unreadable" and
// the run state "unknown".
Problem
ParseProblem(const std::string& aBody);

// Returns whether the request can be repeated at another entry host at once.
bool
IsRetryableElsewhere(const Problem& aProblem);

// Returns whether the request can be repeated after a pause.
bool
IsRetryableLater(const Problem& aProblem);

} // namespace lycheeplank::load

#endif
