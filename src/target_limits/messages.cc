#include "core/json.h"
#include "lycheeplank/target_limits.h"

// The wire format of the messages between hosts: JSON after a byte that no
// other datagram begins with.
namespace lycheeplank::target_limits {

namespace {

constexpr char kMarker = '\0';

json::Json
WriteStatement(const Statement& aStatement)
{
  json::Json row{ { "target", aStatement.target_ },
                  { "started", aStatement.startedAtMs_ },
                  { "age_ms", absl::ToInt64Milliseconds(aStatement.age_) } };
  if (aStatement.perSecond_) {
    row["per_second"] = *aStatement.perSecond_;
  }
  if (aStatement.isCold_) {
    row["cold"] = true;
    row["entry"] = aStatement.entryRevision_;
  }
  return row;
}

Statement
ReadStatement(const json::Json& aRow)
{
  Statement statement;
  statement.target_ = json::TextOf(aRow, "target");
  statement.startedAtMs_ =
    static_cast<std::int64_t>(json::NumberOf(aRow, "started"));
  statement.age_ = absl::Milliseconds(json::NumberOf(aRow, "age_ms"));
  if (const auto perSecond = json::NumberOf(aRow, "per_second", -1.0);
      perSecond >= 0.0) {
    statement.perSecond_ = perSecond;
  }
  statement.isCold_ = json::FlagOf(aRow, "cold");
  statement.entryRevision_ = json::CountOf(aRow, "entry");
  return statement;
}

} // namespace

std::string
WriteMessage(const Message& aMessage)
{
  auto limits = json::Json::array();
  for (const auto& statement : aMessage.limits_) {
    limits.push_back(WriteStatement(statement));
  }
  const auto& permit = aMessage.permit_;
  const json::Json body{
    { "kind", core::NameOf(kMessageKinds, aMessage.kind_) },
    { "host", aMessage.sender_ },
    { "data_centre", aMessage.dataCentre_ },
    { "ask", aMessage.ask_ },
    { "last_choice", aMessage.isLastChoice_ },
    { "verdict", core::NameOf(kVerdicts, permit.verdict_) },
    { "next_permit_ms", absl::ToInt64Milliseconds(permit.nextPermit_) },
    { "retry_after_ms", absl::ToInt64Milliseconds(permit.retryAfter_) },
    { "limits", limits },
  };
  return std::string(1, kMarker) +
         body.dump(-1, ' ', false, json::Json::error_handler_t::replace);
}

absl::optional<Message>
ReadMessage(absl::string_view aText)
{
  if (aText.empty() || aText.front() != kMarker) {
    return absl::nullopt;
  }
  const auto body = json::ParseJson(aText.substr(1));
  const auto kind = core::ValueOf(kMessageKinds, json::TextOf(body, "kind"));
  const auto verdict = core::ValueOf(kVerdicts, json::TextOf(body, "verdict"));
  if (!kind || !verdict) {
    return absl::nullopt;
  }
  Message message;
  message.kind_ = *kind;
  message.sender_ = json::TextOf(body, "host");
  message.dataCentre_ = json::TextOf(body, "data_centre");
  message.ask_ = json::CountOf(body, "ask");
  message.isLastChoice_ = json::FlagOf(body, "last_choice");
  message.permit_ = {
    *verdict,
    absl::Milliseconds(json::NumberOf(body, "next_permit_ms")),
    absl::Milliseconds(json::NumberOf(body, "retry_after_ms")),
  };
  for (const auto& row : json::ListOf(body, "limits")) {
    message.limits_.push_back(ReadStatement(row));
  }
  return message;
}

} // namespace lycheeplank::target_limits
