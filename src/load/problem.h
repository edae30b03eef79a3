#ifndef LYCHEEPLANK_LOAD_PROBLEM_H
#define LYCHEEPLANK_LOAD_PROBLEM_H

#include <string>

namespace lycheeplank::load {

// A refusal as a problem+json body tells it.
struct Problem
{
  std::string kind_;
  // Whether the request was run: "no", "yes" or "unknown".
  std::string run_;
};

// Reads a problem; one that can't be read has the kind "unreadable" and the
// run state "unknown".
Problem
ParseProblem(const std::string& aBody);

// Whether asking another entry host helps at once.
bool
OtherHostHelps(const Problem& aProblem);

// Whether asking the same again after a while helps.
bool
WaitingHelps(const Problem& aProblem);

} // namespace lycheeplank::load

#endif
