#include "adapters/platform.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "core/json.h"

namespace lycheeplank::adapters {

namespace {

using platform::Command;
using platform::Operation;
using platform::Outcome;
using platform::Reply;

constexpr absl::Duration kCallTimeout = absl::Seconds(2);
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kClientErrorClass = 4;
constexpr int kStatusesPerClass = 100;

std::string
KeyPath(const Command& aCommand)
{
  std::string path = absl::StrCat("/v1/kv?key=", net::UrlEscape(aCommand.key_));
  if (aCommand.expect_) {
    absl::StrAppend(&path, "&expect=", *aCommand.expect_);
  }
  if (!aCommand.lease_.empty()) {
    absl::StrAppend(&path, "&lease=", net::UrlEscape(aCommand.lease_));
  }
  return path;
}

std::string
ListPath(const Command& aCommand)
{
  return absl::StrCat("/v1/list?prefix=",
                      net::UrlEscape(aCommand.key_),
                      "&after=",
                      net::UrlEscape(aCommand.value_));
}

// Sets aPath and the call's method, body and timeout for a command.
void
FillCall(const Command& aCommand, net::Call& aCall, std::string& aPath)
{
  const auto milliseconds = absl::ToInt64Milliseconds(aCommand.duration_);
  switch (aCommand.operation_) {
    case Operation::Read:
      aPath = KeyPath(aCommand);
      return;
    case Operation::Watch:
      aPath = absl::StrCat("/v1/watch?key=",
                           net::UrlEscape(aCommand.key_),
                           "&version=",
                           aCommand.expect_.value_or(0),
                           "&wait=",
                           milliseconds);
      aCall.timeout_ = aCommand.duration_ + kCallTimeout;
      return;
    case Operation::Write:
      aCall.method_ = "PUT";
      aCall.body_ = aCommand.value_;
      aPath = KeyPath(aCommand);
      return;
    case Operation::Delete:
      aCall.method_ = "DELETE";
      aPath = KeyPath(aCommand);
      return;
    case Operation::List:
      aPath = ListPath(aCommand);
      return;
    case Operation::GrantLease:
      aCall.method_ = "POST";
      aPath = absl::StrCat("/v1/leases?ttl=", milliseconds);
      return;
    case Operation::KeepLease:
      aCall.method_ = "POST";
      aPath = absl::StrCat("/v1/leases/", aCommand.lease_, "/keepalive");
      return;
    case Operation::DropLease:
      aCall.method_ = "DELETE";
      aPath = absl::StrCat("/v1/leases/", aCommand.lease_);
      return;
    case Operation::ListHosts:
      aPath = "/v1/hosts";
      return;
  }
}

// Returns Refused only for calls that were never sent and for answers that the
// service gives before it executes a command. After any other failure the
// command may have been executed.
Outcome
OutcomeOf(const net::Answer& aAnswer)
{
  if (!aAnswer.end_.completed_) {
    return aAnswer.end_.neverSent_ ? Outcome::Refused : Outcome::Lost;
  }
  const int status = aAnswer.end_.status_;
  if (status == kNotFound) {
    return Outcome::Absent;
  }
  if (status == kConflict || status == kNotModified) {
    return Outcome::Conflict;
  }
  if (aAnswer.Ok()) {
    return Outcome::Ok;
  }
  return status / kStatusesPerClass == kClientErrorClass ? Outcome::Refused
                                                         : Outcome::Lost;
}

platform::Host
ReadHost(const nlohmann::json& aItem)
{
  platform::Host host;
  host.name_ = aItem.value("name", "");
  host.role_ = aItem.value("role", "");
  host.peerAddress_ = aItem.value("peer_address", "");
  host.httpAddress_ = aItem.value("http_address", "");
  host.dataCentre_ = aItem.value("data_centre", "");
  host.leaving_ = aItem.value("leaving", false);
  return host;
}

// Parses the JSON body of the reply to a List, GrantLease or ListHosts command.
// Returns false or throws nlohmann::json::exception if it is malformed. A list
// that is absent isn't an empty one.
bool
ReadBody(Operation aOperation, const std::string& aBody, Reply& aReply)
{
  const auto body = json::ParseJson(aBody);
  if (!body.is_object()) {
    return false;
  }
  if (aOperation == Operation::GrantLease) {
    aReply.lease_ = body.value("lease", "");
    return !aReply.lease_.empty();
  }
  const bool isHosts = aOperation == Operation::ListHosts;
  const auto& list = body.at(isHosts ? "hosts" : "entries");
  if (!list.is_array()) {
    return false;
  }
  if (isHosts) {
    aReply.version_ = body.at("revision").get<std::uint64_t>();
    for (const auto& item : list) {
      aReply.hosts_.push_back(ReadHost(item));
    }
    return true;
  }
  aReply.more_ = body.at("more").get<bool>();
  for (const auto& item : list) {
    aReply.entries_.push_back(
      { item.value("key", ""), item.value("version", std::uint64_t{ 0 }) });
  }
  return true;
}

Reply
ReadReply(const Command& aCommand, net::Answer&& aAnswer)
{
  Reply reply;
  reply.id_ = aCommand.id_;
  reply.outcome_ = OutcomeOf(aAnswer);
  if (!absl::SimpleAtoi(net::FindField(aAnswer.headers_, "X-Version"),
                        &reply.version_)) {
    reply.version_ = 0;
  }
  const bool hasJson = aCommand.operation_ == Operation::List ||
                       aCommand.operation_ == Operation::GrantLease ||
                       aCommand.operation_ == Operation::ListHosts;
  if (!hasJson) {
    reply.value_ = std::move(aAnswer.body_);
    return reply;
  }
  try {
    if (reply.outcome_ == Outcome::Ok &&
        !ReadBody(aCommand.operation_, aAnswer.body_, reply)) {
      reply.outcome_ = Outcome::Lost;
    }
  } catch (const nlohmann::json::exception&) {
    reply.outcome_ = Outcome::Lost;
  }
  return reply;
}

} // namespace

PlatformClient::PlatformClient(net::Client& aClient,
                               std::string aUrl,
                               std::string aCaller)
  : client_(aClient)
  , url_(std::move(aUrl))
  , caller_(std::move(aCaller))
{
}

void
PlatformClient::Execute(const Command& aCommand, OnReply aOnReply)
{
  net::Call call;
  call.timeout_ = kCallTimeout;
  call.headers_.push_back({ "X-Caller", caller_ });
  std::string path;
  FillCall(aCommand, call, path);
  call.url_ = url_ + path;
  client_.Fetch(
    std::move(call),
    [command = aCommand, onReply = std::move(aOnReply)](net::Answer&& aAnswer) {
      onReply(ReadReply(command, std::move(aAnswer)));
    });
}

} // namespace lycheeplank::adapters
