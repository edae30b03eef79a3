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
constexpr absl::string_view kBearerPrefix = "Bearer ";
constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr absl::Duration kRetryAfter = absl::Seconds(1);

// An authenticated caller and the snapshot that it was authenticated against.
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
                    ? "this host can reach neither the platform nor its peers"
                    : "this host has not loaded a configuration yet",
                  "",
                  core::RunState::No,
                  kRetryAfter });
  }
  absl::string_view header = net::FindField(aRequest.headers_, "Authorization");
  if (!absl::ConsumePrefix(&header, kBearerPrefix) || header.empty()) {
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
    return Fail({ ErrorKind::BodyTooLarge, "the body exceeds the size limit" });
  }
  json body = json::parse(aRequest.body_, nullptr, false);
  if (!body.is_object()) {
    return Fail(
      { ErrorKind::MalformedRequest, "the body is not a JSON object" });
  }
  return body;
}

// Reads a string. Returns an empty one if an optional field is absent.
Result<std::string>
TextField(const json& aBody, const char* aName, bool aRequired)
{
  const auto found = aBody.find(aName);
  if (found == aBody.end() && !aRequired) {
    return std::string();
  }
  if (found == aBody.end() || !found->is_string()) {
    return Fail({ ErrorKind::MalformedRequest,
                  absl::StrCat("field '", aName, "' must be a string") });
  }
  return found->get<std::string>();
}

// Reads an integer from 1 to aMax. Returns aDefault if the field is absent.
Result<std::int64_t>
NumberField(const json& aBody,
            const char* aName,
            std::int64_t aDefault,
            std::int64_t aMax)
{
  const auto found = aBody.find(aName);
  if (found == aBody.end()) {
    return aDefault;
  }
  if (!found->is_number_integer() || found->get<std::int64_t>() < 1 ||
      found->get<std::int64_t>() > aMax) {
    return Fail(
      { ErrorKind::MalformedRequest,
        absl::StrCat(
          "field '", aName, "' must be an integer from 1 to ", aMax) });
  }
  return found->get<std::int64_t>();
}

// Reads a boolean. Returns false if the field is absent.
Result<bool>
FlagField(const json& aBody, const char* aName)
{
  const auto found = aBody.find(aName);
  if (found == aBody.end()) {
    return false;
  }
  if (!found->is_boolean()) {
    return Fail({ ErrorKind::MalformedRequest,
                  absl::StrCat("field '", aName, "' must be true or false") });
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
                absl::StrCat("field 'priority' must be one of ",
                             core::AllNames(admission::kPriorities)) });
}

Result<absl::Time>
DeadlineAfter(const config::Limits& aLimits,
              std::int64_t aMilliseconds,
              absl::Time aNow)
{
  if (absl::Milliseconds(aMilliseconds) > aLimits.maxDeadline_) {
    return Fail({ ErrorKind::MalformedRequest,
                  absl::StrCat("the deadline exceeds the limit of ",
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
  if (!config::IsAllowed(
        config, aCaller.workspace_, config::TargetKind::Engine, aModel, "")) {
    return Fail({ ErrorKind::Forbidden,
                  absl::StrCat("no rule allows the workspace to use model '",
                               aModel,
                               "'") });
  }
  return {};
}

// Reads the fields of a completion into aOpenRequest and aRequest.
Result<void>
ReadCompletion(const Caller& aCaller,
               const net::Request& aHttp,
               OpenRequest& aOpenRequest,
               reducer::NewRequest& aRequest)
{
  const config::Config& config = *aCaller.snapshot_->config_;
  if (aHttp.body_.size() > config.limits_.maxBodyBytes_) {
    return Fail({ ErrorKind::BodyTooLarge,
                  absl::StrCat("the body exceeds ",
                               config.limits_.maxBodyBytes_,
                               " bytes") });
  }
  BOOST_LEAF_AUTO(body, ParseBody(aHttp));
  BOOST_LEAF_ASSIGN(aOpenRequest.modelOrService_,
                    TextField(body, "model", true));
  BOOST_LEAF_CHECK(CheckModel(aCaller, aOpenRequest.modelOrService_));
  BOOST_LEAF_AUTO(prompt, TextField(body, "prompt", true));
  BOOST_LEAF_ASSIGN(aOpenRequest.adapter_, TextField(body, "adapter", false));
  BOOST_LEAF_ASSIGN(aOpenRequest.stream_, FlagField(body, "stream"));
  BOOST_LEAF_ASSIGN(aRequest.priority_, PriorityField(body));
  const config::Model& model = config.models_.at(aOpenRequest.modelOrService_);
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
  BOOST_LEAF_ASSIGN(
    aRequest.deadline_,
    DeadlineAfter(config.limits_, milliseconds, aOpenRequest.arrived_));
  aOpenRequest.maxTokens_ = static_cast<std::uint32_t>(maxTokens);
  aOpenRequest.interactive_ =
    aRequest.priority_ == admission::Priority::Interactive;
  aRequest.maxTokens_ = aOpenRequest.maxTokens_;
  aRequest.adapter_ = aOpenRequest.adapter_;
  aRequest.promptTokens_ = core::CountTokens(prompt);
  aRequest.blockHashes_ = core::BlockContents(prompt, model.blockTokens_);
  aOpenRequest.prompt_ = std::make_shared<const std::string>(std::move(prompt));
  return {};
}

// Reads a call of a plain service into aOpenRequest and aRequest.
Result<void>
ReadCall(const Caller& aCaller,
         const net::Request& aHttp,
         OpenRequest& aOpenRequest,
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
  if (!config::IsAllowed(config,
                         aCaller.workspace_,
                         config::TargetKind::Service,
                         parts[0],
                         "")) {
    return Fail({ ErrorKind::Forbidden,
                  absl::StrCat("no rule allows the workspace to use service '",
                               parts[0],
                               "'") });
  }
  if (aHttp.tooLarge_ || aHttp.body_.size() > config.limits_.maxBodyBytes_) {
    return Fail({ ErrorKind::BodyTooLarge, "the body exceeds the size limit" });
  }
  const config::ServiceCall& call = service->second.calls_.at(parts[1]);
  aOpenRequest.modelOrService_ = parts[0];
  aOpenRequest.callName_ = parts[1];
  aOpenRequest.body_ = aHttp.body_;
  aOpenRequest.contentType_ =
    std::string(net::FindField(aHttp.headers_, "Content-Type"));
  aOpenRequest.idempotencyKey_ =
    std::string(net::FindField(aHttp.headers_, "Idempotency-Key"));
  const std::string& key = aOpenRequest.idempotencyKey_;
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return Fail({ ErrorKind::MalformedRequest,
                  absl::StrCat("the Idempotency-Key exceeds ",
                               kMaxIdempotencyKeyBytes,
                               " bytes") });
  }
  if (key.empty() && !call.repeatable_) {
    return Fail({ ErrorKind::IdempotencyKeyRequired,
                  absl::StrCat("call '", parts[1], "' is not repeatable") });
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
  aRequest.deadline_ = aOpenRequest.arrived_ + limit;
  return {};
}

// Resumes a stream whose connection to the caller was lost.
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
    return Fail(
      { ErrorKind::BadResumeToken,
        "the Last-Event-ID is not a resume token of this workspace" });
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

// Registers an open request and posts it to the control thread.
void
Submit(const ApiContext& aContext,
       const OpenRequestPtr& aOpenRequest,
       reducer::NewRequest aRequest)
{
  aContext.openRequests_.Add(aOpenRequest);
  aRequest.id_ = aOpenRequest->id_;
  aRequest.publicId_ = aOpenRequest->publicId_;
  aRequest.workspace_ = aOpenRequest->workspace_;
  aRequest.modelOrService_ = aOpenRequest->modelOrService_;
  aRequest.callName_ = aOpenRequest->callName_;
  const reducer::RequestId id = aOpenRequest->id_;
  aOpenRequest->exchange_->OnClosed(
    [&openRequests = aContext.openRequests_, post = aContext.post_, id] {
      if (openRequests.Find(id)) {
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
  auto openRequest = std::make_shared<OpenRequest>();
  openRequest->publicId_ = aName;
  openRequest->workspace_ = caller.workspace_;
  const absl::Time now = absl::Now();
  openRequest->arrived_ = now - http.readDelay_;
  openRequest->exchange_ = aExchange;
  reducer::NewRequest request;
  request.kind_ = completion ? reducer::RequestKind::Completion
                             : reducer::RequestKind::ServiceCall;
  if (completion) {
    BOOST_LEAF_CHECK(ReadCompletion(caller, http, *openRequest, request));
  } else {
    BOOST_LEAF_CHECK(ReadCall(caller, http, *openRequest, request));
  }
  if (request.deadline_ <= now) {
    return Fail({ ErrorKind::DeadlineExceeded,
                  "the deadline passed before this host read the request",
                  "",
                  core::RunState::No,
                  kRetryAfter });
  }
  http.body_ = std::string();
  Submit(aContext, openRequest, std::move(request));
  return {};
}

Result<void>
ReplyEntries(const ApiContext& aContext, net::Exchange& aExchange)
{
  BOOST_LEAF_AUTO(caller, Authenticate(aContext, aExchange.request_));
  ReplyJson(aExchange, 200, aContext.entriesJson_(caller.workspace_));
  return {};
}

} // namespace

bool
ServeCaller(const ApiContext& aContext,
            const std::shared_ptr<net::Exchange>& aExchange)
{
  const net::Request& http = aExchange->request_;
  const bool startsRequest =
    http.method_ == "POST" && (http.path_ == kCompletionsPath ||
                               absl::StartsWith(http.path_, kServicesPath));
  const bool listsEntries = http.method_ == "GET" && http.path_ == kEntriesPath;
  if (!startsRequest && !listsEntries) {
    return false;
  }
  const std::string name = core::RandomId();
  core::HandleError(
    [&]() -> Result<void> {
      return listsEntries ? ReplyEntries(aContext, *aExchange)
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
