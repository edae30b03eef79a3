#include "entry/api.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

#include "entry/problem.h"

namespace lycheeplank::entry {

namespace {

using core::Error;
using core::ErrorKind;
using core::Fail;
using core::Result;
using nlohmann::json;

constexpr absl::string_view kCompletionsPath = "/v1/completions";
constexpr absl::string_view kServicesPath = "/v1/services/";
constexpr absl::string_view kEntriesPath = "/v1/entries";
constexpr absl::string_view kBearer = "Bearer ";
constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr absl::Duration kComeBackSoon = absl::Seconds(1);

// A caller that is known, and the configuration that says so.
struct Caller
{
  SnapshotPtr snapshot_;
  std::string workspace_;
};

Result<Caller>
Authenticate(const ApiContext& aContext, const net::Request& aRequest)
{
  Caller caller{ aContext.snapshots_.Get(), "" };
  if (!caller.snapshot_->config_ || caller.snapshot_->isolated_) {
    return Fail({ ErrorKind::NotReady,
                  caller.snapshot_->isolated_
                    ? "this host reaches neither the platform nor its peers"
                    : "no configuration has arrived yet",
                  "",
                  core::RunState::No,
                  kComeBackSoon });
  }
  absl::string_view header = net::FindField(aRequest.headers_, "Authorization");
  if (!absl::ConsumePrefix(&header, kBearer) || header.empty()) {
    return Fail(
      { ErrorKind::MissingKey, "the Authorization header is missing" });
  }
  const std::string digest = core::Sha256Hex(header);
  const auto& known = caller.snapshot_->config_->workspaceByKeyDigest_;
  const auto found = known.find(digest);
  if (found == known.end() || !core::EqualConstantTime(found->first, digest)) {
    return Fail({ ErrorKind::WrongKey, "no workspace has this key" });
  }
  caller.workspace_ = found->second;
  return caller;
}

Result<json>
ParseBody(const net::Request& aRequest)
{
  if (aRequest.tooLarge_) {
    return Fail({ ErrorKind::BodyTooLarge, "the body is over the limit" });
  }
  json body = json::parse(aRequest.body_, nullptr, false);
  if (!body.is_object()) {
    return Fail(
      { ErrorKind::MalformedRequest, "the body is not a JSON object" });
  }
  return body;
}

Result<std::string>
TextField(const json& aBody, const char* aName, bool aRequired)
{
  const auto found = aBody.find(aName);
  if (found == aBody.end() && !aRequired) {
    return std::string();
  }
  if (found == aBody.end() || !found->is_string()) {
    return Fail({ ErrorKind::MalformedRequest,
                  absl::StrCat("field '", aName, "' has to be a string") });
  }
  return found->get<std::string>();
}

// Reads a whole number within limits, or the default where it is absent.
Result<std::int64_t>
NumberField(const json& aBody,
            const char* aName,
            std::int64_t aDefault,
            std::int64_t aMost)
{
  const auto found = aBody.find(aName);
  if (found == aBody.end()) {
    return aDefault;
  }
  if (!found->is_number_integer() || found->get<std::int64_t>() < 1 ||
      found->get<std::int64_t>() > aMost) {
    return Fail(
      { ErrorKind::MalformedRequest,
        absl::StrCat(
          "field '", aName, "' has to be a whole number from 1 to ", aMost) });
  }
  return found->get<std::int64_t>();
}

Result<bool>
FlagField(const json& aBody, const char* aName)
{
  const auto found = aBody.find(aName);
  if (found == aBody.end()) {
    return false;
  }
  if (!found->is_boolean()) {
    return Fail(
      { ErrorKind::MalformedRequest,
        absl::StrCat("field '", aName, "' has to be true or false") });
  }
  return found->get<bool>();
}

Result<admission::Priority>
PriorityField(const json& aBody)
{
  BOOST_LEAF_AUTO(name, TextField(aBody, "priority", false));
  if (name.empty()) {
    return admission::Priority::Interactive;
  }
  if (const auto value = core::ValueOf(admission::kPriorities, name); value) {
    return *value;
  }
  return Fail({ ErrorKind::MalformedRequest,
                absl::StrCat("field 'priority' has to be one of ",
                             core::AllNames(admission::kPriorities)) });
}

Result<absl::Time>
Deadline(const config::Limits& aLimits,
         std::int64_t aMilliseconds,
         absl::Time aNow)
{
  if (absl::Milliseconds(aMilliseconds) > aLimits.maxDeadline_) {
    return Fail({ ErrorKind::MalformedRequest,
                  absl::StrCat("the deadline is over the limit of ",
                               absl::FormatDuration(aLimits.maxDeadline_)) });
  }
  return aNow + absl::Milliseconds(aMilliseconds);
}

Result<void>
CheckModel(const Caller& aCaller, const std::string& aModel)
{
  const config::Config& config = *aCaller.snapshot_->config_;
  if (config.models_.count(aModel) == 0) {
    return Fail(
      { ErrorKind::UnknownModel, absl::StrCat("model '", aModel, "'") });
  }
  if (!config::Allowed(
        config, aCaller.workspace_, config::TargetKind::Engine, aModel, "")) {
    return Fail(
      { ErrorKind::Forbidden,
        absl::StrCat("no rule lets the workspace use model '", aModel, "'") });
  }
  return {};
}

// Reads the fields of a completion into ticket and request.
Result<void>
ReadCompletion(const Caller& aCaller,
               const net::Request& aHttp,
               Ticket& aTicket,
               reducer::NewRequest& aRequest)
{
  const config::Config& config = *aCaller.snapshot_->config_;
  if (aHttp.body_.size() > config.limits_.maxBodyBytes_) {
    return Fail({ ErrorKind::BodyTooLarge,
                  absl::StrCat("the body is over ",
                               config.limits_.maxBodyBytes_,
                               " bytes") });
  }
  BOOST_LEAF_AUTO(body, ParseBody(aHttp));
  BOOST_LEAF_ASSIGN(aTicket.serves_, TextField(body, "model", true));
  BOOST_LEAF_CHECK(CheckModel(aCaller, aTicket.serves_));
  BOOST_LEAF_AUTO(prompt, TextField(body, "prompt", true));
  BOOST_LEAF_ASSIGN(aTicket.adapter_, TextField(body, "adapter", false));
  BOOST_LEAF_ASSIGN(aTicket.stream_, FlagField(body, "stream"));
  BOOST_LEAF_ASSIGN(aRequest.priority_, PriorityField(body));
  const config::Model& model = config.models_.at(aTicket.serves_);
  BOOST_LEAF_AUTO(maxTokens,
                  NumberField(body,
                              "max_tokens",
                              std::min(kDefaultMaxTokens, model.maxTokens_),
                              model.maxTokens_));
  BOOST_LEAF_AUTO(
    milliseconds,
    NumberField(body,
                "deadline_ms",
                absl::ToInt64Milliseconds(config.limits_.defaultDeadline_),
                absl::ToInt64Milliseconds(config.limits_.maxDeadline_)));
  BOOST_LEAF_ASSIGN(aRequest.deadline_,
                    Deadline(config.limits_, milliseconds, aTicket.arrived_));
  aTicket.maxTokens_ = static_cast<std::uint32_t>(maxTokens);
  aTicket.interactive_ = aRequest.priority_ == admission::Priority::Interactive;
  aRequest.maxTokens_ = aTicket.maxTokens_;
  aRequest.adapter_ = aTicket.adapter_;
  aRequest.promptTokens_ = core::CountTokens(prompt);
  aRequest.blockHashes_ = core::BlockContents(prompt, model.blockTokens_);
  aTicket.prompt_ = std::make_shared<const std::string>(std::move(prompt));
  return {};
}

// Reads a call of a plain service into ticket and request.
Result<void>
ReadCall(const Caller& aCaller,
         const net::Request& aHttp,
         Ticket& aTicket,
         reducer::NewRequest& aRequest)
{
  const config::Config& config = *aCaller.snapshot_->config_;
  const std::vector<std::string> parts =
    absl::StrSplit(absl::StripPrefix(aHttp.path_, kServicesPath), '/');
  const auto service = config.services_.find(parts[0]);
  const bool known = parts.size() == 2 && service != config.services_.end() &&
                     service->second.calls_.count(parts[1]) > 0;
  if (!known) {
    return Fail({ ErrorKind::UnknownService, aHttp.path_ });
  }
  if (!config::Allowed(config,
                       aCaller.workspace_,
                       config::TargetKind::Service,
                       parts[0],
                       "")) {
    return Fail({ ErrorKind::Forbidden,
                  absl::StrCat("no rule lets the workspace use service '",
                               parts[0],
                               "'") });
  }
  if (aHttp.tooLarge_ || aHttp.body_.size() > config.limits_.maxBodyBytes_) {
    return Fail({ ErrorKind::BodyTooLarge, "the body is over the limit" });
  }
  const config::ServiceCall& call = service->second.calls_.at(parts[1]);
  aTicket.serves_ = parts[0];
  aTicket.call_ = parts[1];
  aTicket.body_ = aHttp.body_;
  aTicket.contentType_ =
    std::string(net::FindField(aHttp.headers_, "Content-Type"));
  aTicket.idempotencyKey_ =
    std::string(net::FindField(aHttp.headers_, "Idempotency-Key"));
  const std::string& key = aTicket.idempotencyKey_;
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return Fail({ ErrorKind::MalformedRequest,
                  absl::StrCat("the Idempotency-Key is over ",
                               kMaxIdempotencyKeyBytes,
                               " bytes") });
  }
  if (key.empty() && !call.repeatable_) {
    return Fail({ ErrorKind::IdempotencyKeyRequired,
                  absl::StrCat("call '", parts[1], "' may not be repeated") });
  }
  aRequest.repeatable_ = call.repeatable_;
  aRequest.idempotencyKey_ = key;
  aRequest.digest_ =
    core::Sha256Hex(absl::StrCat(aHttp.path_, "\n", aHttp.body_));
  absl::Duration limit = call.timeout_;
  std::int64_t milliseconds = 0;
  if (absl::SimpleAtoi(net::FindField(aHttp.headers_, "X-Deadline-Ms"),
                       &milliseconds) &&
      milliseconds > 0) {
    limit = std::min(limit, absl::Milliseconds(milliseconds));
  }
  aRequest.deadline_ = aTicket.arrived_ + limit;
  return {};
}

// Goes on with a stream whose connection was lost.
Result<void>
ResumeStream(const ApiContext& aContext,
             const Caller& aCaller,
             const std::shared_ptr<net::Exchange>& aExchange)
{
  const auto position = resume::Verify(
    aContext.secret_,
    aCaller.workspace_,
    net::FindField(aExchange->request_.headers_, "Last-Event-ID"));
  if (!position) {
    return Fail({ ErrorKind::BadResumeToken,
                  "the Last-Event-ID is not a token of this workspace" });
  }
  const auto& targets = aCaller.snapshot_->config_->targets_;
  const auto target = targets.find(position->target_);
  if (target == targets.end()) {
    return Fail(
      { ErrorKind::UnknownRun,
        absl::StrCat("target ", position->target_, " is no longer configured"),
        "",
        core::RunState::Unknown });
  }
  aContext.runner_.Resume(
    aExchange, *position, target->second.serves_, target->second.url_);
  return {};
}

// Hands a request that was read to the control thread.
void
Submit(const ApiContext& aContext,
       const TicketPtr& aTicket,
       reducer::NewRequest aRequest)
{
  aContext.tickets_.Add(aTicket);
  aRequest.id_ = aTicket->id_;
  aRequest.publicId_ = aTicket->name_;
  aRequest.workspace_ = aTicket->workspace_;
  aRequest.modelOrService_ = aTicket->serves_;
  aRequest.callName_ = aTicket->call_;
  const reducer::RequestId id = aTicket->id_;
  aTicket->exchange_->OnClosed(
    [&tickets = aContext.tickets_, post = aContext.post_, id] {
      if (tickets.Find(id)) {
        post(reducer::CallerDisconnected{ id });
      }
    });
  aContext.post_(reducer::RequestArrived{ std::move(aRequest) });
}

Result<void>
StartRequest(const ApiContext& aContext,
             const std::shared_ptr<net::Exchange>& aExchange,
             const std::string& aName)
{
  net::Request& http = aExchange->request_;
  BOOST_LEAF_AUTO(caller, Authenticate(aContext, http));
  const bool completion = http.path_ == kCompletionsPath;
  if (completion && net::HasField(http.headers_, "Last-Event-ID")) {
    return ResumeStream(aContext, caller, aExchange);
  }
  auto ticket = std::make_shared<Ticket>();
  ticket->name_ = aName;
  ticket->workspace_ = caller.workspace_;
  const absl::Time now = absl::Now();
  ticket->arrived_ = now - http.readDelay_;
  ticket->exchange_ = aExchange;
  reducer::NewRequest request;
  request.kind_ = completion ? reducer::RequestKind::Completion
                             : reducer::RequestKind::ServiceCall;
  if (completion) {
    BOOST_LEAF_CHECK(ReadCompletion(caller, http, *ticket, request));
  } else {
    BOOST_LEAF_CHECK(ReadCall(caller, http, *ticket, request));
  }
  if (request.deadline_ <= now) {
    return Fail({ ErrorKind::DeadlineExceeded,
                  "the deadline passed before this host read the request",
                  "",
                  core::RunState::No,
                  kComeBackSoon });
  }
  http.body_ = std::string();
  Submit(aContext, ticket, std::move(request));
  return {};
}

Result<void>
AnswerEntries(const ApiContext& aContext, net::Exchange& aExchange)
{
  BOOST_LEAF_AUTO(caller, Authenticate(aContext, aExchange.request_));
  ReplyJson(aExchange, 200, aContext.entries_(caller.workspace_));
  return {};
}

} // namespace

bool
ServeCaller(const ApiContext& aContext,
            const std::shared_ptr<net::Exchange>& aExchange)
{
  const net::Request& http = aExchange->request_;
  const bool starts =
    http.method_ == "POST" && (http.path_ == kCompletionsPath ||
                               absl::StartsWith(http.path_, kServicesPath));
  const bool entries = http.method_ == "GET" && http.path_ == kEntriesPath;
  if (!starts && !entries) {
    return false;
  }
  const std::string name = core::RandomId();
  core::HandleError(
    [&]() -> Result<void> {
      return entries ? AnswerEntries(aContext, *aExchange)
                     : StartRequest(aContext, aExchange, name);
    },
    [&](const Error& aError) {
      aContext.metrics_.Count(
        "refusals_total", "kind", core::TraitsOf(aError.kind_).name_);
      ReplyProblem(*aExchange, aError, name);
    });
  return true;
}

} // namespace lycheeplank::entry
