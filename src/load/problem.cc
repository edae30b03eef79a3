#include "load/problem.h"

#include <nlohmann/json.hpp>

#include "lycheeplank/core.h"

namespace lycheeplank::load {

namespace {

bool
Is(const Problem& aProblem, core::ErrorKind aKind)
{
  return aProblem.kind_ == core::TraitsOf(aKind).name_;
}

} // namespace

Problem
ParseProblem(const std::string& aBody)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  Problem problem{ "unreadable", "unknown" };
  if (body.is_object()) {
    problem.kind_ = body.value("kind", problem.kind_);
    problem.run_ = body.value("run", problem.run_);
  }
  return problem;
}

bool
OtherHostHelps(const Problem& aProblem)
{
  return aProblem.run_ == "no" && (Is(aProblem, core::ErrorKind::Draining) ||
                                   Is(aProblem, core::ErrorKind::NotReady));
}

bool
WaitingHelps(const Problem& aProblem)
{
  return Is(aProblem, core::ErrorKind::InProgress);
}

} // namespace lycheeplank::load
