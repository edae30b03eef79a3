#ifndef LYCHEEPLANK_LOAD_ATTEMPTS_H
#define LYCHEEPLANK_LOAD_ATTEMPTS_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "load/flight.h"
#include "load/problem.h"

namespace lycheeplank::load {

// What completions and service calls under way have in common.
struct Attempts
{
  FlightContext& context_;
  FlightPlan plan_;
  OnLanded onLanded_;
  Outcome outcome_;
  absl::Time startedAt_;
  std::uint32_t count_ = 0;
  // The entry host asked last.
  std::string url_;
};

// How the caller goes on after a call that gave no answer.
enum class Next
{
  // Another entry host, at once.
  OtherHost,
  // The same again after a while.
  Later,
  GiveUp,
};

// Returns how to go on after a refusal.
Next
NextAfter(const Problem& aProblem);

// Calls the function with the URL of the entry host to use and counts the
// attempt; ends the request as broken when there were too many attempts.
void
WithEntry(const std::shared_ptr<Attempts>& aAttempts,
          Next aHow,
          std::function<void(const std::string&)> aSend);

// Ends the request.
void
Land(Attempts& aAttempts, End aEnd);

void
LandRefused(Attempts& aAttempts, const Problem& aProblem);

// Returns the headers that each call carries.
std::vector<net::Field>
HeadersOf(const Attempts& aAttempts);

} // namespace lycheeplank::load

#endif
