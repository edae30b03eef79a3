#include "load/problem.h"

#include <nlohmann/json.hpp>

#include "lycheeplank/core.h"

namespace lycheeplank::load {

namespace {

bool
HasKind(const Problem& aProblem, core::ErrorKind aKind)
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
    problem.runState_ = body.value("run", problem.runState_);
  }
  return problem;
}

bool
IsRetryableElsewhere(const Problem& aProblem)
{
  return aProblem.runState_ == "no" &&
         (HasKind(aProblem, core::ErrorKind::Draining) ||
          HasKind(aProblem, core::ErrorKind::NotReady));
}

bool
IsRetryableLater(const Problem& aProblem)
{
  return HasKind(aProblem, core::ErrorKind::InProgress);
}

} // namespace lycheeplank::load
