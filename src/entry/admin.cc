#include "entry/admin.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

#include "entry/problem.h"
#include "entry/rollouts.h"

namespace lycheeplank::entry {

namespace {

using core::Error;
using core::ErrorKind;
using nlohmann::json;

constexpr absl::string_view kAdminPrefix = "/v1/admin/";
constexpr absl::string_view kRequestsPrefix = "/v1/admin/requests/";
constexpr absl::string_view kRolloutsPrefix = "/v1/admin/rollouts";
constexpr absl::string_view kBearerPrefix = "Bearer ";

std::string
ToString(absl::string_view aText)
{
  return std::string(aText);
}

std::string
Dump(const json& aBody)
{
  return aBody.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool
IsOperator(const net::Request& aRequest, const std::string& aKeyDigest)
{
  absl::string_view key = net::FindField(aRequest.headers_, "Authorization");
  return absl::ConsumePrefix(&key, kBearerPrefix) &&
         core::EqualConstantTime(core::Sha256Hex(key), aKeyDigest);
}

json
HostRevisionsJson(const reducer::State& aState)
{
  json hosts = json::array();
  for (const auto& host : membership::AllHosts(aState.membership_)) {
    hosts.push_back(
      { { "name", host.name_ },
        { "status",
          ToString(core::NameOf(membership::kStatuses, host.status_)) },
        { "revision", host.configRevision_ } });
  }
  return hosts;
}

// Returns the status of a target as shown to operators.
std::string
TargetStatus(const reducer::TargetState& aTarget)
{
  if (!aTarget.followed_) {
    return "not followed";
  }
  if (!aTarget.reported_) {
    return "unknown";
  }
  if (!aTarget.reached_) {
    return "unreachable";
  }
  return aTarget.leaving_ || aTarget.listedAsLeaving_ ? "leaving" : "serving";
}

// Reads an edit into aEdit. Returns an error message if it is malformed, or an
// empty string.
std::string
ReadEdit(const std::string& aBody, config::EditRequested& aEdit)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("sections") ||
      !body["sections"].is_array()) {
    return "the body needs the fields 'base_revision' and 'sections'";
  }
  try {
    aEdit.author_ = body.value("author", "");
    const auto base = body.value("base_revision", std::uint64_t{ 0 });
    for (const auto& item : body["sections"]) {
      aEdit.sections_.push_back({ item.at("name").get<std::string>(),
                                  item.at("text").get<std::string>(),
                                  base });
    }
  } catch (const json::exception& error) {
    return error.what();
  }
  return "";
}

} // namespace

Admin::Admin(Control& aControl,
             RequestTraces& aRequestTraces,
             adapters::PlatformClient& aPlatform,
             SnapshotHolder& aSnapshots,
             std::string aKeyDigest)
  : control_(aControl)
  , requestTraces_(aRequestTraces)
  , platform_(aPlatform)
  , snapshots_(aSnapshots)
  , keyDigest_(std::move(aKeyDigest))
{
}

bool
Admin::Serve(const std::shared_ptr<net::Exchange>& aExchange)
{
  const net::Request& http = aExchange->request_;
  if (!absl::StartsWith(http.path_, kAdminPrefix)) {
    return false;
  }
  if (!IsOperator(http, keyDigest_)) {
    ReplyProblem(
      *aExchange,
      { ErrorKind::WrongKey, "the operator API requires the operator key" },
      "");
    return true;
  }
  const bool get = http.method_ == "GET";
  if (http.path_ == "/v1/admin/config" && http.method_ == "POST") {
    PostEdit(aExchange);
  } else if (absl::StartsWith(http.path_, kRolloutsPrefix)) {
    ServeRollouts(aExchange, platform_, snapshots_.Get()->config_);
  } else if (get && absl::StartsWith(http.path_, kRequestsPrefix)) {
    ReplyRequestTrace(*aExchange, http.path_.substr(kRequestsPrefix.size()));
  } else if (get && http.path_ == "/v1/admin/config") {
    ReplyJson(*aExchange, 200, SectionsJson());
  } else if (get && http.path_ == "/v1/admin/config/status") {
    ReplyJson(*aExchange, 200, StatusJson());
  } else if (get && http.path_ == "/v1/admin/config/history") {
    ReplyJson(*aExchange, 200, HistoryJson());
  } else if (get && http.path_ == "/v1/admin/hosts") {
    ReplyJson(*aExchange, 200, HostsJson());
  } else if (get && http.path_ == "/v1/admin/targets") {
    ReplyJson(*aExchange, 200, TargetsJson());
  } else if (get && http.path_ == "/v1/admin/stores") {
    ReplyJson(*aExchange, 200, StoresJson());
  } else {
    ReplyProblem(*aExchange, { ErrorKind::UnknownPath, http.path_ }, "");
  }
  return true;
}

void
Admin::PostEdit(const std::shared_ptr<net::Exchange>& aExchange)
{
  config::EditRequested edit;
  edit.id_ = core::RandomId();
  if (const auto wrong = ReadEdit(aExchange->request_.body_, edit);
      !wrong.empty()) {
    ReplyProblem(*aExchange, { ErrorKind::MalformedRequest, wrong }, "");
    return;
  }
  {
    const absl::MutexLock lock(&mutex_);
    pendingEdits_[edit.id_] = aExchange;
  }
  control_.Post(reducer::ConfigEvent{ std::move(edit) });
}

void
Admin::Perform(const config::AnswerEdit& aAnswer)
{
  std::shared_ptr<net::Exchange> exchange;
  {
    const absl::MutexLock lock(&mutex_);
    auto node = pendingEdits_.extract(aAnswer.id_);
    if (node.empty()) {
      return;
    }
    exchange = std::move(node.mapped());
  }
  if (!aAnswer.error_) {
    ReplyJson(*exchange, 200, Dump({ { "revision", aAnswer.revision_ } }));
    return;
  }
  json body = json::parse(ProblemBody(*aAnswer.error_, ""));
  body["problems"] = json::array();
  for (const auto& problem : aAnswer.problems_) {
    body["problems"].push_back({ { "section", problem.section_ },
                                 { "line", problem.line_ },
                                 { "field", problem.field_ },
                                 { "message", problem.message_ } });
  }
  exchange->Reply(core::TraitsOf(aAnswer.error_->kind_).httpStatus_,
                  { { "Content-Type", "application/problem+json" } },
                  Dump(body));
}

std::string
Admin::SectionsJson()
{
  json body{ { "revision", 0 }, { "sections", json::array() } };
  control_.Inspect([&](const reducer::State& aState) {
    if (!aState.configSync_.inForce_) {
      return;
    }
    const config::Accepted& accepted = *aState.configSync_.inForce_;
    body["revision"] = accepted.head_.revision_;
    for (const auto& section : accepted.sections_) {
      const auto* head = config::FindSection(accepted.head_, section.name_);
      body["sections"].push_back(
        { { "name", section.name_ },
          { "owner", section.owner_ },
          { "revision", head == nullptr ? 0 : head->revision_ },
          { "text", section.text_ } });
    }
  });
  return Dump(body);
}

std::string
Admin::StatusJson()
{
  json body;
  control_.Inspect([&](const reducer::State& aState) {
    body["revision"] = config::RevisionOf(aState.configSync_);
    body["hosts"] = HostRevisionsJson(aState);
  });
  return Dump(body);
}

std::string
Admin::HistoryJson()
{
  json body{ { "changes", json::array() } };
  control_.Inspect([&](const reducer::State& aState) {
    if (!aState.configSync_.inForce_) {
      return;
    }
    for (const auto& change : aState.configSync_.inForce_->head_.history_) {
      body["changes"].push_back({ { "revision", change.revision_ },
                                  { "unix_ms", change.unixMs_ },
                                  { "author", change.author_ },
                                  { "sections", change.sections_ } });
    }
  });
  return Dump(body);
}

std::string
Admin::HostsJson()
{
  json body{ { "hosts", json::array() } };
  control_.Inspect([&](const reducer::State& aState) {
    for (const auto& host : membership::AllHosts(aState.membership_)) {
      body["hosts"].push_back(
        { { "name", host.name_ },
          { "status",
            ToString(core::NameOf(membership::kStatuses, host.status_)) },
          { "data_centre", host.dataCentre_ },
          { "http_address", host.httpAddress_ },
          { "config_revision", host.configRevision_ },
          { "load_permille", host.loadPermille_ } });
    }
  });
  return Dump(body);
}

std::string
Admin::TargetsJson()
{
  json body{ { "targets", json::array() } };
  control_.Inspect([&](const reducer::State& aState) {
    for (const auto& [name, target] : aState.targets_) {
      const auto settings = aState.config_->targets_.find(name);
      if (settings == aState.config_->targets_.end()) {
        continue;
      }
      const auto age =
        target.reported_
          ? absl::ToInt64Milliseconds(absl::Now() - target.measuredAt_)
          : -1;
      body["targets"].push_back(
        { { "name", name },
          { "kind",
            ToString(
              core::NameOf(config::kTargetKinds, settings->second.kind_)) },
          { "serves", settings->second.serves_ },
          { "data_centre", settings->second.dataCentre_ },
          { "status", TargetStatus(target) },
          { "weight_version", target.weightVersion_ },
          { "running", target.running_ },
          { "waiting", target.waiting_ },
          { "report_age_ms", age } });
    }
  });
  return Dump(body);
}

std::string
Admin::StoresJson()
{
  json body{ { "stores", json::array() } };
  control_.Inspect([&](const reducer::State& aState) {
    for (const auto& [name, store] : aState.stores_) {
      const auto settings = aState.config_->stores_.find(name);
      if (settings == aState.config_->stores_.end()) {
        continue;
      }
      body["stores"].push_back(
        { { "name", name },
          { "data_centre", settings->second.dataCentre_ },
          { "status", store.reached_ ? "serving" : "unreachable" },
          { "memory_used", store.memoryUsed_ },
          { "disk_used", store.diskUsed_ },
          { "link_backlog_bytes", store.linkBacklogBytes_ },
          { "known_blocks",
            directory::CountBlocks(aState.directory_, name) } });
    }
  });
  return Dump(body);
}

void
Admin::ReplyRequestTrace(net::Exchange& aExchange, const std::string& aId)
{
  const RequestTrace trace = requestTraces_.Find(aId);
  if (trace.events_.empty()) {
    ReplyProblem(
      aExchange,
      { ErrorKind::NotFound,
        absl::StrCat("request ", aId, " has no trace on this host"),
        "Ask the entry host that answered the request; it keeps only "
        "the latest traces." },
      "");
    return;
  }
  json body{ { "id", aId },
             { "workspace", trace.workspace_ },
             { "kind",
               ToString(core::NameOf(reducer::kRequestKinds, trace.kind_)) },
             { "events", json::array() } };
  for (const auto& event : trace.events_) {
    body["events"].push_back({ { "unix_ms", absl::ToUnixMillis(event.at_) },
                               { "what", event.event_ },
                               { "detail", event.detail_ } });
  }
  ReplyJson(aExchange, 200, Dump(body));
}

} // namespace lycheeplank::entry
