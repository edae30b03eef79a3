#include "cli/connection.h"

#include <ostream>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "cli/table.h"

namespace lycheeplank::cli {

namespace {

constexpr int kFound = 200;
constexpr int kConflict = 409;
constexpr int kInvalid = 422;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

std::string
UrlOf(const std::string& aEntry, const std::string& aPath)
{
  const bool hasScheme = absl::StrContains(aEntry, "://");
  return absl::StrCat(hasScheme ? "" : "http://", aEntry, aPath);
}

net::Call
ToCall(const Context& aContext, const ApiCall& aCall, const std::string& aEntry)
{
  net::Call call;
  call.method_ = aCall.method_;
  call.url_ = UrlOf(aEntry, aCall.path_);
  call.body_ = aCall.body_;
  call.timeout_ = aCall.timeout_;
  call.headers_ = { { "Authorization",
                      absl::StrCat("Bearer ",
                                   aContext.settings_.operatorKey_) } };
  if (!aCall.body_.empty()) {
    call.headers_.push_back({ "Content-Type", "application/json" });
  }
  call.freshConnection_ = !aCall.idempotent_;
  return call;
}

std::vector<config::Problem>
ProblemsFrom(const Json& aProblem)
{
  std::vector<config::Problem> problems;
  for (const auto& item : aProblem.value("problems", Json::array())) {
    problems.push_back({ item.value("section", ""),
                         item.value("line", 1U),
                         item.value("field", ""),
                         item.value("message", "") });
  }
  return problems;
}

ExitCode
CodeOf(int aStatus, const std::string& aType)
{
  if (aStatus == kInvalid) {
    return ExitCode::InvalidDocument;
  }
  // Other calls answer 409 as well.
  const bool conflict =
    aStatus == kConflict && absl::EndsWith(aType, "config_conflict");
  return conflict ? ExitCode::Conflict : ExitCode::Failed;
}

// Turns an answer of the kind application/problem+json into a failure.
Failure
FailureFrom(const net::Answer& aAnswer)
{
  Failure failure;
  failure.message_ =
    absl::StrCat("the entry host answered with status ", aAnswer.end_.status_);
  const Json problem = Json::parse(aAnswer.body_, nullptr, false);
  if (!problem.is_object()) {
    return failure;
  }
  failure.code_ = CodeOf(aAnswer.end_.status_, problem.value("type", ""));
  const std::string title = problem.value("title", failure.message_);
  const std::string detail = problem.value("detail", "");
  failure.message_ = absl::StrCat(title, detail.empty() ? "" : ": ", detail);
  failure.remedy_ = problem.value("remedy", "");
  failure.problems_ = ProblemsFrom(problem);
  return failure;
}

// Tells whether another entry host may do better.
bool
MayGoOn(const ApiCall& aCall, const net::Answer& aAnswer)
{
  const int status = aAnswer.end_.status_;
  if (!aAnswer.end_.completed_) {
    return aCall.idempotent_ || aAnswer.end_.neverSent_;
  }
  return aCall.idempotent_ &&
         (status == kBadGateway || status == kUnavailable ||
          status == kGatewayTimeout);
}

core::Result<Json>
JsonFrom(const net::Answer& aAnswer)
{
  if (aAnswer.end_.status_ / 100 != kFound / 100) {
    return FailWith(FailureFrom(aAnswer));
  }
  Json json = Json::parse(aAnswer.body_, nullptr, false);
  if (json.is_discarded()) {
    return FailWith({ ExitCode::Failed,
                      "the entry host's answer is no JSON",
                      "Check that LYCHEEPLANK_ENTRIES names entry hosts." });
  }
  return json;
}

// Failure of a call that no entry host answered.
Failure
Unreachable(const std::vector<std::string>& aReasons)
{
  return { ExitCode::Unreachable,
           absl::StrCat("no entry host could be reached: ",
                        absl::StrJoin(aReasons, "; ")),
           "Check LYCHEEPLANK_ENTRIES and the network." };
}

Failure
Uncertain(const std::string& aReason)
{
  return { ExitCode::Failed,
           absl::StrCat("the connection broke during the call, which may have "
                        "been carried out: ",
                        aReason),
           "Look at the current state before you repeat it." };
}

} // namespace

core::Result<Json>
CallApi(const Context& aContext, const ApiCall& aCall)
{
  std::vector<std::string> reasons;
  absl::optional<net::Answer> refusal;
  for (const auto& entry : aContext.settings_.entries_) {
    const net::Answer answer =
      aContext.client_.FetchAndWait(ToCall(aContext, aCall, entry));
    if (answer.end_.completed_) {
      refusal = answer;
    }
    if (!MayGoOn(aCall, answer)) {
      return answer.end_.completed_ ? JsonFrom(answer)
                                    : FailWith(Uncertain(answer.end_.error_));
    }
    reasons.push_back(absl::StrCat(entry, " ", answer.end_.error_));
  }
  if (refusal) {
    return FailWith(FailureFrom(*refusal));
  }
  return FailWith(Unreachable(reasons));
}

std::string
TextOf(const Json& aObject, const std::string& aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end() || found->is_null()) {
    return "-";
  }
  if (found->is_string()) {
    return Printable(found->get<std::string>());
  }
  if (!found->is_array()) {
    return found->dump();
  }
  std::vector<std::string> parts;
  for (const auto& part : *found) {
    parts.push_back(part.is_string() ? Printable(part.get<std::string>())
                                     : part.dump());
  }
  return absl::StrJoin(parts, ",");
}

void
PrintJson(const Context& aContext, const Json& aJson)
{
  aContext.console_.out_ << aJson.dump(
                              2, ' ', false, Json::error_handler_t::replace)
                         << "\n";
}

} // namespace lycheeplank::cli
