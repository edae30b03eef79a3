#include "cli/api_client.h"

#include <ostream>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "cli/table.h"

namespace lycheeplank::cli {

namespace {

// HTTP statuses.
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Returns the URL of a path on an entry host; the scheme defaults to http.
std::string
UrlOf(const std::string& aEntry, const std::string& aPath)
{
  const bool hasScheme = absl::StrContains(aEntry, "://");
  return absl::StrCat(hasScheme ? "" : "http://", aEntry, aPath);
}

// Returns the HTTP call that sends aCall to one entry host.
net::Call
MakeCall(const Context& aContext,
         const ApiCall& aCall,
         const std::string& aEntry)
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

// Returns the problems of a document that a problem+json object lists.
std::vector<config::Problem>
ParseProblems(const Json& aProblem)
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

// Returns the exit code for the status and the problem type of an answer.
ExitCode
ExitCodeOf(int aStatus, const std::string& aType)
{
  if (aStatus == kUnprocessable) {
    return ExitCode::InvalidDocument;
  }
  // Other calls return 409 for other reasons, so the type is compared too.
  const bool conflict =
    aStatus == kConflict && absl::EndsWith(aType, "config_conflict");
  return conflict ? ExitCode::Conflict : ExitCode::Failed;
}

// Converts an answer of type application/problem+json to a failure. Any other
// answer gives a failure that names its status.
Failure
ParseFailure(const net::Answer& aAnswer)
{
  Failure failure;
  failure.message_ =
    absl::StrCat("the entry host answered with status ", aAnswer.end_.status_);
  const Json problem = Json::parse(aAnswer.body_, nullptr, false);
  if (!problem.is_object()) {
    return failure;
  }
  failure.code_ = ExitCodeOf(aAnswer.end_.status_, problem.value("type", ""));
  const std::string title = problem.value("title", failure.message_);
  const std::string detail = problem.value("detail", "");
  failure.message_ = absl::StrCat(title, detail.empty() ? "" : ": ", detail);
  failure.remedy_ = problem.value("remedy", "");
  failure.problems_ = ParseProblems(problem);
  return failure;
}

// Returns whether to send the call to the next entry host. A call that is not
// idempotent is sent again only if the previous host can't have received it.
bool
ShouldTryNextEntry(const ApiCall& aCall, const net::Answer& aAnswer)
{
  const int status = aAnswer.end_.status_;
  if (!aAnswer.end_.completed_) {
    return aCall.idempotent_ || aAnswer.end_.neverSent_;
  }
  return aCall.idempotent_ &&
         (status == kBadGateway || status == kUnavailable ||
          status == kGatewayTimeout);
}

// Returns the JSON of a successful answer, or a Failure.
core::Result<Json>
ParseAnswer(const net::Answer& aAnswer)
{
  if (aAnswer.end_.status_ / 100 != kOk / 100) {
    return FailWith(ParseFailure(aAnswer));
  }
  Json json = Json::parse(aAnswer.body_, nullptr, false);
  if (json.is_discarded()) {
    return FailWith({ ExitCode::Failed,
                      "the entry host's answer is not JSON",
                      "Check that LYCHEEPLANK_ENTRIES names entry hosts." });
  }
  return json;
}

// Returns the failure of a call that no entry host answered.
Failure
UnreachableFailure(const std::vector<std::string>& aReasons)
{
  return { ExitCode::Unreachable,
           absl::StrCat("no entry host could be reached: ",
                        absl::StrJoin(aReasons, "; ")),
           "Check LYCHEEPLANK_ENTRIES and the network." };
}

// Returns the failure of a call that must not be sent again and whose outcome
// is unknown.
Failure
OutcomeUnknownFailure(const std::string& aReason)
{
  return { ExitCode::Failed,
           absl::StrCat("the connection broke during the call, which may have "
                        "been carried out: ",
                        aReason),
           "Check the current state before you repeat the call." };
}

} // namespace

core::Result<Json>
CallApi(const Context& aContext, const ApiCall& aCall)
{
  std::vector<std::string> reasons;
  absl::optional<net::Answer> lastAnswer;
  for (const auto& entry : aContext.settings_.entries_) {
    const net::Answer answer =
      aContext.client_.FetchAndWait(MakeCall(aContext, aCall, entry));
    if (answer.end_.completed_) {
      lastAnswer = answer;
    }
    if (!ShouldTryNextEntry(aCall, answer)) {
      return answer.end_.completed_
               ? ParseAnswer(answer)
               : FailWith(OutcomeUnknownFailure(answer.end_.error_));
    }
    reasons.push_back(absl::StrCat(entry, " ", answer.end_.error_));
  }
  if (lastAnswer) {
    return FailWith(ParseFailure(*lastAnswer));
  }
  return FailWith(UnreachableFailure(reasons));
}

std::string
FieldText(const Json& aObject, const std::string& aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end() || found->is_null()) {
    return "-";
  }
  if (found->is_string()) {
    return MakePrintable(found->get<std::string>());
  }
  if (!found->is_array()) {
    return found->dump();
  }
  std::vector<std::string> parts;
  for (const auto& part : *found) {
    parts.push_back(part.is_string() ? MakePrintable(part.get<std::string>())
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
